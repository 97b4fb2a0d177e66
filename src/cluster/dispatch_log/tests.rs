//! Tests of [`super`].

use super::*;

fn entry(number: u32) -> DispatchEntry {
    let id = JobId::parse(&format!("wk-{number:06}")).unwrap();
    let machine = MachineId(format!("m-{number:06}").as_str().into());
    DispatchEntry {
        job: id,
        targets: DispatchTargets::Machines([machine].into()),
    }
}

fn dispatch_log() -> DispatchLog {
    DispatchLog::load(Term(3), &BTreeMap::new(), 16.0).0
}

fn ids(write: &DispatchRecordChange) -> BTreeSet<JobId> {
    write
        .entries
        .iter()
        .map(|entry| entry.job.clone())
        .collect()
}

/// One record per job would exhaust the write limit: several jobs arrive per second, and the store
/// accepts 30 changes per second in total.
#[test]
fn jobs_share_a_record_and_a_record_whose_jobs_have_ended_is_overwritten() {
    let mut log = dispatch_log();
    let mut due: Vec<DispatchEntry> = (0..40).map(entry).collect();
    let write = log.next_record_change(&mut due).unwrap();
    assert_eq!(
        (write.entries.len(), due.len()),
        (40, 0),
        "all entries are written with one change"
    );
    assert_eq!(write.condition.version, 0);
    log.apply_write_outcome(&write.key, ids(&write), Some(7));
    for entry in (0..39).map(entry) {
        log.remove_job(&entry.job);
    }
    let other = log.next_record_change(&mut vec![entry(50)]).unwrap();
    assert_ne!(
        other.key, write.key,
        "a record that still names an unfinished job is not overwritten"
    );
    log.remove_job(&entry(39).job);
    let overwrite = log.next_record_change(&mut vec![entry(51)]).unwrap();
    assert_eq!(
        (&overwrite.key, overwrite.condition.version),
        (&write.key, 7)
    );
    assert!(!log.may_write(), "two writes are in flight");
}

#[test]
fn records_fit_a_value_and_keys_of_writes_with_unknown_outcome_are_not_reused() {
    let mut log = dispatch_log();
    let mut due: Vec<DispatchEntry> = (0..2000).map(entry).collect();
    let write = log.next_record_change(&mut due).unwrap();
    assert!(!due.is_empty(), "the remaining entries need another record");
    let Change::Put { value, .. } = &write.change else {
        panic!("the change is not a put");
    };
    assert!(crate::wire::encode(value).len() < 16 * 1024);
    log.apply_write_outcome(&write.key, ids(&write), None);
    let next = log.next_record_change(&mut due).unwrap();
    assert_ne!(next.key, write.key, "the first write may be committed late");
}

/// Guards against records that stay in the store for the rest of the term: the write of a record whose jobs all ended
/// before it was committed was forgotten.
#[test]
fn record_whose_jobs_ended_while_it_was_written_is_overwritten() {
    let mut log = dispatch_log();
    let write = log.next_record_change(&mut vec![entry(1)]).unwrap();
    log.remove_job(&entry(1).job);
    log.apply_write_outcome(&write.key, BTreeSet::new(), Some(7));
    let overwrite = log.next_record_change(&mut vec![entry(2)]).unwrap();
    assert_eq!(
        (&overwrite.key, overwrite.condition.version),
        (&write.key, 7)
    );
}
