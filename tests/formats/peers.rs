//! Messages between controllers.

use knotlanding::digest::{Counts, Digest, DigestContents, DigestReply, Hint};
use knotlanding::forwarding::messages::{
    BatchAnswer, ForwardedAnswer, ForwardedOrder, ForwardedVerb, ReportBatch, BATCH_VERSION,
};
use knotlanding::model::{JobId, MachineId, Term};
use knotlanding::peer::cancelled::{Cancelled, CANCELLED};
use knotlanding::peer::contact::CONTACT;
use knotlanding::peer::digest::DIGEST;
use knotlanding::peer::links::LINKS;
use knotlanding::peer::reports::REPORTS;
use knotlanding::peer::{decode, encode, BINCODE};
use knotlanding::wire::{Cause, Report, ReportedTask, TaskPhase};
use knotlanding_links::link::LinkState;
use knotlanding_links::row::{LinkReport, PeerLinks, RowMessage, RowReply, ROW_VERSION};
use knotlanding_links::workers::WorkerSet;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::fixture;

fn assert_message<T>(name: &str, message: &T)
where
    T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug,
{
    fixture::assert_bytes(name, &encode(message).unwrap());
    let read: T = decode(&fixture::bytes(name)).unwrap_or_else(|| panic!("{name} is not read"));
    assert_eq!(&read, message);
}

#[test]
fn paths_and_versions_stay() {
    assert_eq!(BINCODE, "application/x-bincode");
    assert_eq!(DIGEST, "/peer/digest");
    assert_eq!(CANCELLED, "/peer/cancelled");
    assert_eq!(REPORTS, "/peer/reports");
    assert_eq!(LINKS, "/peer/links");
    assert_eq!(CONTACT, "/peer/pulse");
    assert_eq!((BATCH_VERSION, ROW_VERSION), (1, 1));
}

#[test]
fn digests_keep_their_form() {
    let hint = Hint {
        address: "10.1.0.232:9000".to_owned(),
        session: 3,
        images: vec![("img-07".to_owned(), 6.25)],
    };
    let digest = Digest {
        term: Term(41),
        member: "knot-1".to_owned(),
        number: 300,
        full: true,
        news: DigestContents {
            counts: vec![Counts {
                id: JobId::parse("wk-000412").unwrap(),
                done: 3,
                running: 13,
            }],
            over: vec![JobId::parse("wk-000411").unwrap()],
            hints: vec![(MachineId("m-000231".into()), hint)],
            gone: vec![MachineId("m-000230".into())],
        },
    };
    assert_message("peer-digest.hex", &digest);
    assert_message("peer-digest-reply.hex", &DigestReply { misdirected: 5_000 });
}

#[test]
fn cancellations_keep_their_form() {
    let cancelled = Cancelled {
        member: "knot-1".to_owned(),
        jobs: vec![JobId::parse("wk-000412").unwrap()],
    };
    assert_message("peer-cancelled.hex", &cancelled);
}

fn task(index: usize, phase: TaskPhase, cause: Option<Cause>) -> ReportedTask {
    ReportedTask {
        task: format!("wk-000412/{index}"),
        attempt: 0x2900000002,
        phase,
        cause,
        saved: cause.map(|cause| cause == Cause::Stopped),
    }
}

/// A report with a value in every field, and every phase and cause.
pub fn full_report() -> Report {
    let phases = [
        TaskPhase::Pulling,
        TaskPhase::Gathering,
        TaskPhase::Running,
        TaskPhase::Flushing,
    ];
    let causes = [
        Cause::Done,
        Cause::Stopped,
        Cause::MatesGone,
        Cause::Alone,
        Cause::Error,
        Cause::NoRoom,
        Cause::InUse,
        Cause::Unknown,
        Cause::Other,
    ];
    let mut tasks: Vec<ReportedTask> = Vec::new();
    for phase in phases {
        tasks.push(task(tasks.len(), phase, None));
    }
    for cause in causes {
        tasks.push(task(tasks.len(), TaskPhase::Exited, Some(cause)));
    }
    Report {
        machine: "m-000231".to_owned(),
        address: "10.1.0.232:9000".to_owned(),
        build: "g8".to_owned(),
        zone: "north".to_owned(),
        spot: true,
        session: 2,
        seq: 88,
        token: 41 << 20,
        notice_s: Some(61.5),
        tasks,
    }
}

#[test]
fn batches_of_reports_keep_their_form() {
    let batch = ReportBatch {
        version: BATCH_VERSION,
        member: "knot-1".to_owned(),
        term: Term(41),
        sent_at_ms: 1_800_000_000_123,
        reports: vec![full_report().into()],
    };
    assert_message("peer-report-batch.hex", &batch);
    let order = |verb| ForwardedOrder {
        verb,
        task: "wk-000412/3".to_owned(),
        attempt: 0x2900000002,
    };
    let accepted = ForwardedAnswer::Accepted {
        token: 41 << 20,
        orders: vec![
            order(ForwardedVerb::Run),
            order(ForwardedVerb::Kill { grace_s: 10.0 }),
            order(ForwardedVerb::Clear),
        ],
    };
    let answer = BatchAnswer {
        version: BATCH_VERSION,
        answers: vec![accepted, ForwardedAnswer::Unavailable],
    };
    assert_message("peer-batch-answer.hex", &answer);
}

#[test]
fn rows_of_the_connectivity_matrix_keep_their_form() {
    let link = |state, suppressed, evidence_age_ms| LinkReport {
        state,
        suppressed,
        evidence_age_ms,
    };
    let workers = WorkerSet::of(["m-000231", "m-000232"].into_iter());
    let row = RowMessage {
        version: ROW_VERSION,
        member: "knot-1".to_owned(),
        life: 1_800_000_000_123,
        sequence: 17,
        sent_at_ms: 1_800_000_000_456,
        leads_term: Some(41),
        store_read: link(LinkState::Up, false, Some(250)),
        store_write: link(LinkState::Suspect, true, Some(1_250)),
        peers: vec![PeerLinks {
            member: "knot-2".to_owned(),
            outbound: link(LinkState::Down, false, Some(9_000)),
            inbound: link(LinkState::Unknown, false, None),
        }],
        workers_heard: workers.to_bytes(),
        workers_reached: WorkerSet::default().to_bytes(),
    };
    assert_message("peer-row.hex", &row);
    let reply = RowReply {
        newest_life: 1_800_000_000_123,
    };
    assert_message("peer-row-reply.hex", &reply);
}
