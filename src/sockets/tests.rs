//! Tests of [`super`].

use super::*;

fn settings(sockets: usize, controllers: usize) -> Settings {
    let known: String = (1..controllers)
        .map(|n| format!("[[known]]\nmember = \"k-{n}\"\npeer_addr = \"10.0.0.{n}:8081\"\n"))
        .collect();
    let text = include_str!("../../deploy/example.toml")
        .replace("max_sockets = 2000", &format!("max_sockets = {sockets}"))
        .replace("[external]", &format!("{known}[external]"));
    Settings::parse(&text, "a test").unwrap()
}

/// If all purposes used their full shares at once and exceeded the limit, connections to the key-value
/// store could no longer be opened.
#[test]
fn sum_of_all_shares_stays_below_the_limit_with_spare_sockets() {
    for (limit, controllers) in [(500, 3), (2000, 3), (2100, 5), (3068, 7), (3500, 3)] {
        let shares = SocketLimits::from_settings(&settings(limit, controllers));
        let sum = shares.public
            + shares.peers_inbound
            + shares.cloud_and_peers
            + shares.store
            + shares.election
            + shares.forwarding
            + shares.direct_commands;
        assert!(sum * 100 <= limit * 96, "{limit}: {shares:?}");
        assert!(shares.public * 100 >= limit * 70, "{limit}: {shares:?}");
        assert!(shares.heartbeat_close_threshold < shares.user_close_threshold);
        assert!(shares.user_close_threshold < shares.public);
    }
}

#[test]
fn few_sockets_leave_at_least_half_for_the_public_address() {
    let shares = SocketLimits::from_settings(&settings(60, 7));
    assert!(shares.public >= 30, "{shares:?}");
}
