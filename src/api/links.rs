//! `GET /admin/links`: the connectivity matrix, suppressed links and the last decisions on leadership.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use actix_web::{web, HttpResponse};
use knotlanding_links::gate::GateRefusal;
use knotlanding_links::handover::{connectivity, Connectivity, Decision};
use knotlanding_links::row::{LinkStatus, Row};
use serde::Serialize;

use crate::service::links::ActiveLinks;
use crate::service::Shared;
use crate::wire::Problem;

#[derive(Debug, Serialize)]
struct PeerLinksView {
    /// Requests to it are answered.
    outbound: LinkStatus,
    /// Its requests arrive.
    inbound: LinkStatus,
}

/// One controller's row.
#[derive(Debug, Serialize)]
struct RowView {
    #[serde(rename = "life")]
    incarnation: u64,
    sequence: u64,
    /// Time since the row came; nothing for the row of the controller that was asked.
    received_s_ago: Option<f64>,
    leads_term: Option<u64>,
    store_read: LinkStatus,
    store_write: LinkStatus,
    peers: BTreeMap<String, PeerLinksView>,
    workers_heard: u64,
    workers_reached: u64,
    /// How well connected it would be as the leader.
    as_leader: Connectivity,
}

impl RowView {
    fn of(row: &Row, age: Option<Duration>, as_leader: Connectivity) -> Self {
        let message = &row.message;
        let peers = message.peers.iter().map(|links| {
            let view = PeerLinksView {
                outbound: links.outbound,
                inbound: links.inbound,
            };
            (links.member.clone(), view)
        });
        Self {
            incarnation: message.incarnation,
            sequence: message.sequence,
            received_s_ago: age.map(|age| age.as_secs_f64()),
            leads_term: message.leads_term,
            store_read: message.store_read,
            store_write: message.store_write,
            peers: peers.collect(),
            workers_heard: row.heard.len(),
            workers_reached: row.reached.len(),
            as_leader,
        }
    }
}

#[derive(Debug, Serialize)]
struct GateView {
    on: bool,
    refuses: Option<GateRefusal>,
    since_s: f64,
    refused_s: f64,
}

#[derive(Debug, Serialize)]
struct DecisionView {
    s_ago: f64,
    #[serde(flatten)]
    decision: Decision,
}

#[derive(Debug, Serialize)]
struct LinksView {
    member: String,
    placement_gate: GateView,
    suppressed: Vec<String>,
    /// Rows by controller; nothing where none came lately.
    matrix: BTreeMap<String, Option<RowView>>,
    decisions: Vec<DecisionView>,
    rows_taken: u64,
    rows_refused: u64,
}

fn view(shared: &Shared, active: &ActiveLinks, now: Instant) -> LinksView {
    let leads = shared
        .election
        .lock()
        .leadership(now)
        .map(|leadership| leadership.term.0);
    let own = active.own_row(leads, now);
    let snapshot = active.snapshot();
    let me = shared.settings.member.clone();
    let mut matrix: BTreeMap<String, Option<RowView>> = BTreeMap::new();
    {
        let rows = active.matrix.lock();
        let as_leader = connectivity(&own, &own, &rows, now);
        matrix.insert(me.clone(), Some(RowView::of(&own, None, as_leader)));
        matrix.extend(rows.members().map(|member| (member.to_owned(), None)));
        for (member, row, age) in rows.rows(now) {
            let as_leader = connectivity(row, &own, &rows, now);
            let shown = RowView::of(row, Some(age), as_leader);
            matrix.insert(member.to_owned(), Some(shown));
        }
    }
    let (suppressed, refused_for) = {
        let table = active.table.lock();
        let names = table.suppressed().into_iter();
        let names: Vec<String> = names.map(|name| name.to_string()).collect();
        (names, table.gate_refused_for(now))
    };
    let seconds_since = |at: Instant| now.saturating_duration_since(at).as_secs_f64();
    let decisions = snapshot.decisions.iter().map(|entry| DecisionView {
        s_ago: seconds_since(entry.at),
        decision: entry.decision.clone(),
    });
    LinksView {
        member: me,
        placement_gate: GateView {
            on: active.features.placement_gate,
            refuses: snapshot.gate.refusal,
            since_s: seconds_since(snapshot.gate.since),
            refused_s: refused_for.as_secs_f64(),
        },
        suppressed,
        matrix,
        decisions: decisions.collect(),
        rows_taken: active.rows_accepted.load(Ordering::Relaxed),
        rows_refused: active.rows_rejected.load(Ordering::Relaxed),
    }
}

/// `GET /admin/links`
pub async fn links(shared: web::Data<Shared>) -> HttpResponse {
    match shared.links.active() {
        Some(active) => HttpResponse::Ok().json(view(&shared, active, Instant::now())),
        None => HttpResponse::NotFound().json(Problem {
            error: "links are not turned on here; see deploy/features.toml".to_owned(),
        }),
    }
}
