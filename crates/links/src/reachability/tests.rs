//! Tests of [`super`].

use super::*;

#[test]
fn pending_acknowledgement_ends_only_with_the_required_token_or_a_higher_one() {
    let start = Instant::now();
    let at = |s: u64| start + Duration::from_secs(s);
    let mut worker = Reachability::default();
    worker.require_acknowledgement(7, at(0));
    worker.require_acknowledgement(9, at(5));
    worker.record_token(6);
    assert!(!worker.is_confirmed() && worker.pending_since() == Some(at(0)));
    assert!(worker.acknowledgement_overdue(at(10), Duration::from_secs(9)));
    worker.extend_wait(Duration::from_secs(4));
    assert!(
        !worker.acknowledgement_overdue(at(10), Duration::from_secs(9)),
        "no acknowledgement could arrive during the extension"
    );
    worker.record_token(7);
    assert!(worker.is_confirmed() && !worker.acknowledgement_overdue(at(100), Duration::ZERO));
}

#[test]
fn few_workers_report_if_less_than_a_quarter_of_the_known_ones_send_heartbeats() {
    assert!(!few_workers_reporting(0, 0), "no worker is known");
    assert!(few_workers_reporting(4, 0) && !few_workers_reporting(4, 1));
    assert!(few_workers_reporting(4_000, 999) && !few_workers_reporting(4_000, 1_000));
}
