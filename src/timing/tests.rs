//! Tests of [`super`].

use super::*;

/// Seen on a lean site: three leaders within twelve seconds of a quiet day, each lost to the burst
/// of workers that came to it.
#[test]
fn a_small_machine_has_a_longer_lease() {
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
