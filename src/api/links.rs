//! Handler of `GET /admin/links`: the connectivity matrix, suppressed links and the latest decisions on
//! leadership handovers.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use actix_web::{web, HttpResponse};
use knotlanding_links::gate::GateRefusal;
use knotlanding_links::handover::{connectivity, Connectivity, HandoverDecision};
use knotlanding_links::row::{LinkStatus, Row};
use serde::Serialize;

use crate::service::links::ActiveLinks;
use crate::service::Shared;
use crate::wire::ErrorBody;

#[derive(Debug, Serialize)]
struct PeerLinksView {
    /// Whether the peer responds to this controller's requests.
    outbound: LinkStatus,
    /// Whether the peer's requests arrive at this controller.
    inbound: LinkStatus,
}

/// One controller's row of the connectivity matrix.
#[derive(Debug, Serialize)]
struct RowView {
    #[serde(rename = "life")]
    incarnation: u64,
    sequence: u64,
    /// Seconds since the row was received; absent for the row of the responding controller.
    received_s_ago: Option<f64>,
    leads_term: Option<u64>,
    store_read: LinkStatus,
    store_write: LinkStatus,
    peers: BTreeMap<String, PeerLinksView>,
    workers_heard: u64,
    workers_reached: u64,
    /// How well connected this controller would be as the leader.
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
            workers_heard: row.reporting_workers.len(),
            workers_reached: row.reachable_workers.len(),
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
    decision: HandoverDecision,
}

#[derive(Debug, Serialize)]
struct LinksView {
    member: String,
    placement_gate: GateView,
    suppressed: Vec<String>,
    /// Rows by controller; `None` where there is no recent row.
    matrix: BTreeMap<String, Option<RowView>>,
    decisions: Vec<DecisionView>,
    rows_taken: u64,
    rows_refused: u64,
}

fn links_view(shared: &Shared, active: &ActiveLinks, now: Instant) -> LinksView {
    let leads_term = shared
        .election
        .lock()
        .leadership(now)
        .map(|leadership| leadership.term.0);
    let own_row = active.own_row(leads_term, now);
    let snapshot = active.snapshot();
    let own_member = shared.settings.member.clone();
    let mut matrix: BTreeMap<String, Option<RowView>> = BTreeMap::new();
    {
        let rows = active.matrix.lock();
        let as_leader = connectivity(&own_row, &own_row, &rows, now);
        matrix.insert(
            own_member.clone(),
            Some(RowView::of(&own_row, None, as_leader)),
        );
        matrix.extend(rows.members().map(|member| (member.to_owned(), None)));
        for (member, row, age) in rows.rows(now) {
            let as_leader = connectivity(row, &own_row, &rows, now);
            let row_view = RowView::of(row, Some(age), as_leader);
            matrix.insert(member.to_owned(), Some(row_view));
        }
    }
    let (suppressed, refused_for) = {
        let table = active.table.lock();
        let names = table.suppressed_links().into_iter();
        let names: Vec<String> = names.map(|name| name.to_string()).collect();
        (names, table.gate_refused_for(now))
    };
    let seconds_since = |at: Instant| now.saturating_duration_since(at).as_secs_f64();
    let decisions = snapshot.decisions.iter().map(|entry| DecisionView {
        s_ago: seconds_since(entry.at),
        decision: entry.decision.clone(),
    });
    LinksView {
        member: own_member,
        placement_gate: GateView {
            on: active.features.placement_gate,
            refuses: snapshot.gate.refusal,
            since_s: seconds_since(snapshot.gate.changed_at),
            refused_s: refused_for.as_secs_f64(),
        },
        suppressed,
        matrix,
        decisions: decisions.collect(),
        rows_taken: active.rows_accepted.load(Ordering::Relaxed),
        rows_refused: active.rows_rejected.load(Ordering::Relaxed),
    }
}

/// `GET /admin/links`: 404 where links are not enabled.
pub async fn links(shared: web::Data<Shared>) -> HttpResponse {
    match shared.links.active() {
        Some(active) => HttpResponse::Ok().json(links_view(&shared, active, Instant::now())),
        None => HttpResponse::NotFound().json(ErrorBody {
            error: "links are not turned on here; see deploy/features.toml".to_owned(),
        }),
    }
}
