//! Tests of [`super`].

use super::*;

fn entry(number: u32) -> Entry {
    let id = JobId::parse(&format!("wk-{number:06}")).unwrap();
    let host = MachineId(format!("m-{number:06}").as_str().into());
    (id, Sent::Hosts([host].into()))
}

fn sent_lists() -> SentLists {
    SentLists::load(Term(3), &BTreeMap::new(), 16.0).0
}

fn ids(page: &Page) -> BTreeSet<JobId> {
    page.entries.iter().map(|(id, _)| id.clone()).collect()
}

/// Several jobs a second at 30 changes a second for everything: a record a job was too dear.
#[test]
fn many_jobs_share_a_list_and_a_list_whose_jobs_are_over_is_written_again() {
    let mut sent_lists = sent_lists();
    let mut due: Vec<Entry> = (0..40).map(entry).collect();
    let page = sent_lists.page(&mut due).unwrap();
    assert_eq!((page.entries.len(), due.len()), (40, 0), "one change");
    assert_eq!(page.conditions.version, 0);
    sent_lists.written(&page.key, ids(&page), Some(7));
    for (id, _) in (0..39).map(entry) {
        sent_lists.over(&id);
    }
    let other = sent_lists.page(&mut vec![entry(50)]).unwrap();
    assert_ne!(other.key, page.key, "one job of the first is not over");
    sent_lists.over(&entry(39).0);
    let again = sent_lists.page(&mut vec![entry(51)]).unwrap();
    assert_eq!((&again.key, again.conditions.version), (&page.key, 7));
    assert!(!sent_lists.may_write(), "two are being written");
}

#[test]
fn a_list_is_no_larger_than_a_value_and_one_with_an_unknown_end_is_left_alone() {
    let mut sent_lists = sent_lists();
    let mut due: Vec<Entry> = (0..2000).map(entry).collect();
    let page = sent_lists.page(&mut due).unwrap();
    assert!(!due.is_empty(), "the rest goes into another one");
    let Change::Put { value, .. } = &page.change else {
        panic!("a list is written");
    };
    assert!(crate::wire::encode(value).len() < 16 * 1024);
    sent_lists.written(&page.key, ids(&page), None);
    let next = sent_lists.page(&mut due).unwrap();
    assert_ne!(next.key, page.key, "the first may be applied late");
}
