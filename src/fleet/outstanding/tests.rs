use super::*;

#[test]
fn only_an_error_without_a_complete_response_leaves_the_outcome_unknown() {
    let outcome = |error: CloudError| RequestOutcome::of_error(&error);
    assert_eq!(outcome(CloudError::OutcomeUnknown), RequestOutcome::Unknown);
    let undecodable = CloudError::Undecodable("a test".to_owned());
    assert_eq!(outcome(undecodable), RequestOutcome::Unknown);
    assert_eq!(outcome(CloudError::NoCapacity), RequestOutcome::Completed);
    for status in [429, 500, 503] {
        let refused = outcome(CloudError::Refused(status));
        assert_eq!(refused, RequestOutcome::NotExecuted, "{status}");
    }
    assert_eq!(outcome(CloudError::Refused(400)), RequestOutcome::Rejected);
}

/// Guards against a pool for which nothing is rented any more, since a rental whose content the cloud rejects stays
/// outstanding.
#[test]
fn rental_without_response_ends_once_the_cloud_rejects_its_content() {
    let pool = MachinePool {
        machine_type: "cpu16".to_owned(),
        zone: "north".to_owned(),
        spot: false,
    };
    let mut requests = OutstandingRequests::default();
    requests.enter_term(Term(3));
    let (id, rental) = requests.add_rental(&pool, 70);
    assert_eq!(rental.request.request, "kl-3-1");
    assert_eq!(requests.machines_requested(&pool), RENTAL_SIZE_MAX);
    requests.apply_rental_outcome(id, RequestOutcome::Unknown);
    requests.apply_rental_outcome(id, RequestOutcome::NotExecuted);
    assert_eq!(requests.machines_requested(&pool), RENTAL_SIZE_MAX);
    requests.apply_rental_outcome(id, RequestOutcome::Rejected);
    assert_eq!(requests.machines_requested(&pool), 0);
}

/// Idempotency keys must not be used again, also not in a later term of the same process.
#[test]
fn requests_of_an_earlier_term_are_dropped_and_their_keys_not_used_again() {
    let pool = MachinePool {
        machine_type: "cpu16".to_owned(),
        zone: "north".to_owned(),
        spot: true,
    };
    let mut requests = OutstandingRequests::default();
    requests.enter_term(Term(3));
    let (id, _) = requests.add_rental(&pool, 1);
    requests.apply_rental_outcome(id, RequestOutcome::Unknown);
    assert!(!requests.enter_term(Term(3)));
    assert_eq!(requests.rentals().count(), 1);
    assert!(requests.enter_term(Term(5)));
    assert_eq!(requests.rentals().count(), 0);
    let (_, rental) = requests.add_rental(&pool, 1);
    assert_eq!(rental.request.request, "kl-5-2");
}
