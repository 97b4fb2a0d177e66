//! Settings files that the tests share.

/// Text of a settings file for the controller `member`, with two zones and two teams. The field
/// `surprise` is unknown to the parser, which ignores it.
#[allow(dead_code)]
pub fn settings_text(member: &str, public: &str, peer: &str, store: &str, cloud: &str) -> String {
    format!(
        r#"
member = "{member}"
area = "north"
public_addr = "{public}"
peer_bind = "{peer}"
surprise = "ignored"

[external]
cloud = "{cloud}"
state = "{store}"

[params]
count = 1
zones = ["north", "south"]
clock_off_ms = 25.0

[[params.teams]]
name = "red"
gpus = 2.0
gpus_max = 4.0

[[params.teams]]
name = "blue"
gpus = 4.0
gpus_max = 100.0

[[params.objectives]]
kind = "wait"
class = "prompt"
within_s = 30.0
share = 0.9

[params.workers]
report_s = 0.5
lease_s = 20.0
gang_wait_s = 30.0
gang_peer_s = 4.0
cancel_s = 40.0

[params.state]
rps = 200.0
write_rps = 100.0
value_kb = 16.0
txn_ops = 12

[params.cloud]
rps = 10.0
list_lag_s = 1.0

[params.resources]
cores = 1.0
mem_mb = 136.0
max_sockets = 500
"#
    )
}

/// Text of a settings file whose addresses have no listener.
#[allow(dead_code)]
pub fn settings_with_unreachable_addresses() -> String {
    settings_text(
        "knot-0",
        "127.0.0.1:1",
        "127.0.0.1:2",
        "127.0.0.1:3",
        "127.0.0.1:4",
    )
}
