//! The settings file, the features file and the deploy file.

use knotlanding::config::{ConfigError, Settings};
use knotlanding::features::{Features, FeaturesError, LinkFeatures};

use crate::common;
use crate::fixture;

fn repository_file(name: &str) -> String {
    let root = std::path::PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(root.join(name)).unwrap()
}

#[test]
fn settings_file_keeps_its_fields() {
    let settings = Settings::parse(&fixture::text("settings.toml"), "settings.toml").unwrap();
    assert_eq!(
        (settings.member.as_str(), settings.zone.as_str()),
        ("knot-0", "north")
    );
    assert_eq!(settings.public_addr.to_string(), "10.0.0.1:8080");
    assert_eq!(settings.peer_bind.to_string(), "10.0.0.1:8081");
    let peer = &settings.peers[0];
    assert_eq!(
        (peer.member.as_str(), peer.zone.as_str()),
        ("knot-1", "south")
    );
    assert_eq!(peer.peer_addr.to_string(), "10.0.0.2:8081");
    assert_eq!(settings.external.cloud.to_string(), "10.2.0.2:8443");
    assert_eq!(settings.external.store.to_string(), "10.2.0.1:2379");
    let params = &settings.params;
    assert_eq!((params.count, params.clock_off_ms), (2, 25.0));
    assert_eq!(params.zones, ["north", "south"]);
    let team = &params.teams[0];
    assert_eq!(team.name, "red");
    assert_eq!(
        (team.cpus, team.cpus_max, team.gpus, team.gpus_max),
        (1.0, 2.0, 3.0, 4.0)
    );
    let objective = &params.objectives[1];
    assert_eq!(
        (objective.kind.as_str(), objective.class.as_str()),
        ("deadline", "batch")
    );
    assert_eq!((objective.within_s, objective.times), (None, Some(1.5)));
    assert_eq!(params.objectives[0].within_s, Some(30.0));
    let workers = &params.workers;
    assert_eq!((workers.report_s, workers.lease_s), (3.0, 22.0));
    assert_eq!((workers.gang_wait_s, workers.gang_peer_s), (35.0, 4.0));
    assert_eq!(workers.cancel_s, 42.0);
    let store = &params.store;
    assert_eq!(
        (store.rps, store.write_rps, store.value_kb),
        (80.0, 30.0, 32.0)
    );
    assert_eq!(store.txn_ops, 12);
    assert_eq!((params.cloud.rps, params.cloud.list_lag_s), (4.0, 5.0));
    let resources = &params.resources;
    assert_eq!((resources.cores, resources.mem_mb), (0.16, 136.0));
    assert_eq!(resources.max_sockets, 2000);
}

#[test]
fn error_in_settings_names_the_field() {
    let text =
        common::settings_with_unreachable_addresses().replace("lease_s = 20.0", "lease_s = -1.0");
    let error = Settings::parse(&text, "a file").unwrap_err();
    assert!(matches!(error, ConfigError::Invalid { .. }));
    assert_eq!(
        error.to_string(),
        "settings field `params.workers.lease_s` is wrong: must be a number above 0"
    );
}

#[test]
fn features_file_keeps_its_fields_and_defaults() {
    let text = fixture::text("features.toml");
    let features = Features::parse(&text, "features.toml").unwrap();
    let expected = LinkFeatures {
        placement_gate: false,
        damping: false,
        leadership: false,
        detector_phi: 5.5,
        handovers_max: 7,
    };
    assert_eq!(features.links, Some(expected));
    let disabled = Features::parse("[links]\nenabled = false\n", "a file").unwrap();
    assert_eq!(disabled, Features::default());
    let unknown_field = Features::parse("[links]\nspeed = 1\n", "a file").unwrap_err();
    assert!(matches!(unknown_field, FeaturesError::UnknownField { .. }));
    let shipped = Features::parse(&repository_file("deploy/features.toml"), "a file").unwrap();
    assert_eq!(shipped.links, Some(LinkFeatures::default()));
}

#[test]
fn deploy_file_keeps_its_commands() {
    fixture::assert_text("service.toml", &repository_file("deploy/service.toml"));
}
