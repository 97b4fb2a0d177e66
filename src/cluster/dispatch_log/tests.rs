//! Tests of [`super`].

use super::*;

fn entry(number: u32) -> DispatchEntry {
    let id = JobId::parse(&format!("wk-{number:06}")).unwrap();
    let host = MachineId(format!("m-{number:06}").as_str().into());
    DispatchEntry {
        job: id,
        targets: DispatchTargets::Machines([host].into()),
    }
}

fn dispatch_log() -> DispatchLog {
    DispatchLog::load(Term(3), &BTreeMap::new(), 16.0).0
}

fn ids(page: &DispatchRecordChange) -> BTreeSet<JobId> {
    page.entries.iter().map(|entry| entry.job.clone()).collect()
}

/// One record per job would exhaust the write limit: several jobs arrive per second, and the
/// store accepts 30 changes per second in total.
#[test]
fn many_jobs_share_a_record_and_one_whose_jobs_are_over_is_written_again() {
    let mut log = dispatch_log();
    let mut due: Vec<DispatchEntry> = (0..40).map(entry).collect();
    let page = log.next_record_change(&mut due).unwrap();
    assert_eq!((page.entries.len(), due.len()), (40, 0), "one change");
    assert_eq!(page.condition.version, 0);
    log.apply_write_outcome(&page.key, ids(&page), Some(7));
    for entry in (0..39).map(entry) {
        log.remove_job(&entry.job);
    }
    let other = log.next_record_change(&mut vec![entry(50)]).unwrap();
    assert_ne!(other.key, page.key, "one job of the first is not over");
    log.remove_job(&entry(39).job);
    let again = log.next_record_change(&mut vec![entry(51)]).unwrap();
    assert_eq!((&again.key, again.condition.version), (&page.key, 7));
    assert!(!log.may_write(), "two are being written");
}

#[test]
fn a_record_is_no_larger_than_a_value_and_one_of_unknown_outcome_is_left_alone() {
    let mut log = dispatch_log();
    let mut due: Vec<DispatchEntry> = (0..2000).map(entry).collect();
    let page = log.next_record_change(&mut due).unwrap();
    assert!(!due.is_empty(), "the rest goes into another one");
    let Change::Put { value, .. } = &page.change else {
        panic!("a record is written");
    };
    assert!(crate::wire::encode(value).len() < 16 * 1024);
    log.apply_write_outcome(&page.key, ids(&page), None);
    let next = log.next_record_change(&mut due).unwrap();
    assert_ne!(next.key, page.key, "the first may be applied late");
}
