//! Messages between controllers, which are encoded with bincode.

use knotlanding::forwarding::messages::{
    BatchAnswer, ForwardedAction, ForwardedAnswer, ForwardedCommand, HeartbeatBatch, BATCH_VERSION,
};
use knotlanding::model::{JobId, MachineId, Term};
use knotlanding::peer::cancelled::{CancellationNotice, CANCELLED_PATH};
use knotlanding::peer::contact::STORE_CONTACT_PATH;
use knotlanding::peer::heartbeats::HEARTBEATS_PATH;
use knotlanding::peer::links::ROWS_PATH;
use knotlanding::peer::summary::SUMMARY_PATH;
use knotlanding::peer::{decode, encode, BINCODE_CONTENT_TYPE};
use knotlanding::state_summary::{
    MachineSummary, StateSummary, SummaryContents, SummaryReply, TaskCounts,
};
use knotlanding::wire::{ExitCause, Heartbeat, TaskPhase, TaskStatus};
use knotlanding_links::link::LinkState;
use knotlanding_links::row::{LinkStatus, PeerLinks, RowMessage, RowReply, ROW_VERSION};
use knotlanding_links::workers::WorkerSet;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::fixture;

/// Asserts that the message is encoded as the bytes of the fixture, and that they are decoded as the message.
fn assert_message<T>(name: &str, message: &T)
where
    T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug,
{
    fixture::assert_bytes(name, &encode(message).unwrap());
    let read: T =
        decode(&fixture::bytes(name)).unwrap_or_else(|| panic!("{name} cannot be decoded"));
    assert_eq!(&read, message);
}

#[test]
fn peer_paths_and_versions_are_unchanged() {
    assert_eq!(BINCODE_CONTENT_TYPE, "application/x-bincode");
    assert_eq!(SUMMARY_PATH, "/peer/digest");
    assert_eq!(CANCELLED_PATH, "/peer/cancelled");
    assert_eq!(HEARTBEATS_PATH, "/peer/reports");
    assert_eq!(ROWS_PATH, "/peer/links");
    assert_eq!(STORE_CONTACT_PATH, "/peer/pulse");
    assert_eq!((BATCH_VERSION, ROW_VERSION), (1, 1));
}

#[test]
fn state_summaries_keep_their_encoding() {
    let machine_summary = MachineSummary {
        address: "10.1.0.232:9000".to_owned(),
        epoch: 3,
        images: vec![("img-07".to_owned(), 6.25)],
    };
    let summary = StateSummary {
        term: Term(41),
        member: "knot-1".to_owned(),
        number: 300,
        full: true,
        contents: SummaryContents {
            task_counts: vec![TaskCounts {
                id: JobId::parse("wk-000412").unwrap(),
                done: 3,
                running: 13,
            }],
            ended_jobs: vec![JobId::parse("wk-000411").unwrap()],
            machines: vec![(MachineId("m-000231".into()), machine_summary)],
            removed_machines: vec![MachineId("m-000230".into())],
        },
    };
    assert_message("peer-digest.hex", &summary);
    assert_message(
        "peer-digest-reply.hex",
        &SummaryReply { misdirected: 5_000 },
    );
}

#[test]
fn cancellation_notices_keep_their_encoding() {
    let notice = CancellationNotice {
        member: "knot-1".to_owned(),
        jobs: vec![JobId::parse("wk-000412").unwrap()],
    };
    assert_message("peer-cancelled.hex", &notice);
}

fn task_status(index: usize, phase: TaskPhase, cause: Option<ExitCause>) -> TaskStatus {
    TaskStatus {
        task: format!("wk-000412/{index}"),
        attempt: 0x2900000002,
        phase,
        cause,
        saved: cause.map(|cause| cause == ExitCause::Stopped),
    }
}

/// A heartbeat with a value in every field, and with every task phase and exit cause.
pub fn full_heartbeat() -> Heartbeat {
    let phases = [
        TaskPhase::PullingImage,
        TaskPhase::AwaitingGang,
        TaskPhase::Running,
        TaskPhase::Checkpointing,
    ];
    let causes = [
        ExitCause::Done,
        ExitCause::Stopped,
        ExitCause::GangMemberLost,
        ExitCause::GangBarrierTimeout,
        ExitCause::Error,
        ExitCause::InsufficientCapacity,
        ExitCause::AlreadyPresent,
        ExitCause::UnknownTask,
        ExitCause::Other,
    ];
    let mut tasks: Vec<TaskStatus> = Vec::new();
    for phase in phases {
        tasks.push(task_status(tasks.len(), phase, None));
    }
    for cause in causes {
        tasks.push(task_status(tasks.len(), TaskPhase::Exited, Some(cause)));
    }
    Heartbeat {
        machine: "m-000231".to_owned(),
        address: "10.1.0.232:9000".to_owned(),
        machine_type: "g8".to_owned(),
        zone: "north".to_owned(),
        spot: true,
        epoch: 2,
        sequence: 88,
        token: 41 << 20,
        notice_s: Some(61.5),
        tasks,
    }
}

#[test]
fn heartbeat_batches_keep_their_encoding() {
    let batch = HeartbeatBatch {
        version: BATCH_VERSION,
        member: "knot-1".to_owned(),
        term: Term(41),
        sent_at_ms: 1_800_000_000_123,
        heartbeats: vec![full_heartbeat().into()],
    };
    assert_message("peer-report-batch.hex", &batch);
    let command = |verb| ForwardedCommand {
        verb,
        task: "wk-000412/3".to_owned(),
        attempt: 0x2900000002,
    };
    let accepted = ForwardedAnswer::Accepted {
        token: 41 << 20,
        commands: vec![
            command(ForwardedAction::Run),
            command(ForwardedAction::Kill { grace_s: 10.0 }),
            command(ForwardedAction::Clear),
        ],
    };
    let answer = BatchAnswer {
        version: BATCH_VERSION,
        answers: vec![accepted, ForwardedAnswer::Unavailable],
    };
    assert_message("peer-batch-answer.hex", &answer);
}

#[test]
fn rows_of_the_connectivity_matrix_keep_their_encoding() {
    let link = |state, suppressed, evidence_age_ms| LinkStatus {
        state,
        suppressed,
        evidence_age_ms,
    };
    let workers = WorkerSet::from_names(["m-000231", "m-000232"].into_iter());
    let row = RowMessage {
        version: ROW_VERSION,
        member: "knot-1".to_owned(),
        incarnation: 1_800_000_000_123,
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
        reporting_workers: workers.to_bytes(),
        reachable_workers: WorkerSet::default().to_bytes(),
    };
    assert_message("peer-row.hex", &row);
    let reply = RowReply {
        newest_incarnation: 1_800_000_000_123,
    };
    assert_message("peer-row-reply.hex", &reply);
}
