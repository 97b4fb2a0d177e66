//! Unit tests of [`super`].

use super::*;

/// The number of machines that the cloud lists per page.
const PAGE_SIZE: usize = 500;
/// The rate to which the leader limits its requests; the limit of the cloud is 4 per second.
const REQUESTS_PER_S: f64 = 2.8;
const INTERVAL: Duration = Duration::from_secs(5);

fn page(first: usize, total: usize) -> MachinePage {
    let machines = (first..total.min(first + PAGE_SIZE)).map(|number| ListedMachine {
        id: format!("m-{number:06}"),
        address: format!("10.1.{}.{}:9000", number / 250, number % 250),
        machine_type: "gpu-8".to_owned(),
        zone: "zone-1".to_owned(),
        spot: false,
        status: "running".to_owned(),
        age_s: 100.0,
    });
    MachinePage {
        machines: machines.collect(),
        more: first + PAGE_SIZE < total,
    }
}

/// Regression test: all pages of a large list requested at once exceeded the rate limit of the
/// cloud, so that no listing was ever complete.
#[test]
fn list_of_4000_machines_is_returned_only_after_its_last_page() {
    let mut listing = MachineListing::default();
    let mut now = Instant::now();
    assert!(listing.is_due(INTERVAL, REQUESTS_PER_S, now));
    let mut requests = 0;
    let list = loop {
        assert!(
            listing.is_due(INTERVAL, REQUESTS_PER_S, now),
            "listing with unread pages is not due"
        );
        requests += 1;
        let read = listing.machines.len();
        assert_eq!(listing.in_progress(), read > 0);
        if let Some(list) = listing.add_page(page(read, 4_000), now) {
            break list;
        }
        assert_eq!(
            listing.last_read_machine().unwrap(),
            format!("m-{:06}", read + PAGE_SIZE - 1)
        );
        now += Duration::from_millis(400);
    };
    assert_eq!((requests, list.len()), (8, 4_000));
    // Half of the request rate is left for rentals and releases.
    let min_interval = Duration::from_secs_f64(8.0 / (REQUESTS_PER_S / 2.0));
    assert!(min_interval > INTERVAL);
    assert!(!listing.is_due(INTERVAL, REQUESTS_PER_S, now + INTERVAL));
    assert!(listing.is_due(INTERVAL, REQUESTS_PER_S, now + min_interval));
}

#[test]
fn small_list_is_due_after_the_interval_and_an_abandoned_listing_restarts_at_the_first_page() {
    let mut listing = MachineListing::default();
    let now = Instant::now();
    assert_eq!(listing.add_page(page(0, 40), now).unwrap().len(), 40);
    assert!(!listing.is_due(INTERVAL, REQUESTS_PER_S, now));
    assert!(listing.is_due(INTERVAL, REQUESTS_PER_S, now + INTERVAL));
    assert!(listing.add_page(page(0, 1_200), now).is_none());
    listing.abandon();
    assert!(!listing.in_progress());
    assert!(listing.add_page(page(0, 600), now).is_none());
    assert_eq!(listing.add_page(page(500, 600), now).unwrap().len(), 600);
}
