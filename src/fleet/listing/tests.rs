//! Tests of [`super`].

use super::*;

/// Machines that the cloud lists on one page.
const PAGE: usize = 500;
/// Requests a second that the leader allows itself of a cloud that takes four.
const REQUESTS_PER_S: f64 = 2.8;
const INTERVAL: Duration = Duration::from_secs(5);

fn page(first: usize, of: usize) -> MachinePage {
    let machines = (first..of.min(first + PAGE)).map(|number| ListedMachine {
        id: format!("m-{number:06}"),
        address: format!("10.1.{}.{}:9000", number / 250, number % 250),
        machine_type: "heavybid".to_owned(),
        zone: "karachi".to_owned(),
        spot: false,
        status: "running".to_owned(),
        age_s: 100.0,
    });
    MachinePage {
        machines: machines.collect(),
        more: first + PAGE < of,
    }
}

/// Read in one go, nine pages are more than the cloud takes at once, and no list was ever complete.
#[test]
fn a_list_of_4000_machines_is_read_over_several_looks_and_counts_when_it_is_whole() {
    let mut listing = MachineListing::default();
    let mut now = Instant::now();
    assert!(listing.is_due(INTERVAL, REQUESTS_PER_S, now));
    let mut requests = 0;
    let list = loop {
        assert!(listing.is_due(INTERVAL, REQUESTS_PER_S, now), "it goes on");
        requests += 1;
        let read = listing.read.len();
        assert_eq!(listing.under_way(), read > 0);
        if let Some(list) = listing.add_page(page(read, 4_000), now) {
            break list;
        }
        assert_eq!(
            listing.last_read_machine().unwrap(),
            format!("m-{:06}", read + PAGE - 1)
        );
        now += Duration::from_millis(400);
    };
    assert_eq!((requests, list.len()), (8, 4_000));
    // Half of the requests are left to rentals and returns.
    let paced = Duration::from_secs_f64(8.0 / (REQUESTS_PER_S / 2.0));
    assert!(paced > INTERVAL);
    assert!(!listing.is_due(INTERVAL, REQUESTS_PER_S, now + INTERVAL));
    assert!(listing.is_due(INTERVAL, REQUESTS_PER_S, now + paced));
}

#[test]
fn a_small_list_keeps_its_interval_and_an_abandoned_reading_begins_anew() {
    let mut listing = MachineListing::default();
    let now = Instant::now();
    assert_eq!(listing.add_page(page(0, 40), now).unwrap().len(), 40);
    assert!(!listing.is_due(INTERVAL, REQUESTS_PER_S, now));
    assert!(listing.is_due(INTERVAL, REQUESTS_PER_S, now + INTERVAL));
    assert!(listing.add_page(page(0, 1_200), now).is_none());
    listing.abandon();
    assert!(!listing.under_way());
    assert!(listing.add_page(page(0, 600), now).is_none());
    assert_eq!(listing.add_page(page(500, 600), now).unwrap().len(), 600);
}
