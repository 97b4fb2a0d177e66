//! Tests of [`super`].

use super::*;

fn settings(sockets: usize, nodes: usize) -> Settings {
    let known: String = (1..nodes)
        .map(|n| format!("[[known]]\nmember = \"k-{n}\"\npeer_addr = \"10.0.0.{n}:8081\"\n"))
        .collect();
    let text = include_str!("../../deploy/example.toml")
        .replace("max_sockets = 2000", &format!("max_sockets = {sockets}"))
        .replace("[external]", &format!("{known}[external]"));
    Settings::parse(&text, "a test").unwrap()
}

/// All purposes at their fullest at once must fit, or the state service gets no socket.
#[test]
fn all_shares_together_fit_the_limit_with_room_for_what_is_being_closed() {
    for (limit, nodes) in [(500, 3), (2000, 3), (2100, 5), (3068, 7), (3500, 3)] {
        let shares = Sockets::of(&settings(limit, nodes));
        let sum = shares.public
            + shares.peers_in
            + shares.own
            + shares.store
            + shares.election
            + shares.forwarding
            + shares.direct;
        assert!(sum * 100 <= limit * 96, "{limit}: {shares:?}");
        assert!(shares.public * 100 >= limit * 70, "{limit}: {shares:?}");
        assert!(shares.heartbeats_close < shares.users_close);
        assert!(shares.users_close < shares.public);
    }
}

#[test]
fn few_sockets_still_leave_half_for_the_public() {
    let shares = Sockets::of(&settings(60, 7));
    assert!(shares.public >= 30, "{shares:?}");
}
