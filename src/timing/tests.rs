//! Tests of [`super`].

use super::*;

/// On a site of small machines, three leaders in succession lost their leases within twelve seconds
/// under little load, each during the burst of agents that connected to it.
#[test]
fn leader_lease_is_longer_on_a_small_machine() {
    let text = include_str!("../../deploy/example.toml");
    let mut settings = Settings::parse(text, "the example").unwrap();
    let mut lease_of = |cores: f64| {
        settings.params.resources.cores = cores;
        leader_lease(&settings)
    };
    assert_eq!(lease_of(1.0), LEADER_LEASE_MIN);
    assert_eq!(lease_of(0.16), LEADER_LEASE_MIN);
    assert!(lease_of(0.029) > LEADER_LEASE_MIN);
    assert!(lease_of(0.02) > lease_of(0.029));
    assert_eq!(lease_of(0.0001), LEADER_LEASE_MAX);
    assert_eq!(lease_of(0.0), LEADER_LEASE_MAX);
}
