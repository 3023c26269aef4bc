//! Stored scenarios keep the names of fields and variants that they were first written with.

use serde_json::{Value, json};
use violetseam_simulated_site::scenario::{
    BuildDefect, FaultKind, GateMode, Idempotency, Scenario, ScenarioError,
};

fn stored_scenario() -> Value {
    json!({
        "name": "stored", "length": 10_000_000, "seed": 3,
        "proxies": [{"zone": 0, "weight": 1.0}],
        "servers": [{"zone": 1, "cell": 2, "cores": 3.0, "speed": 0.5, "slots": 4, "queue": 5, "connections": 6,
            "cold_from": 0.25, "cold_span": 7, "error_rate": 0.125}],
        "spares": [],
        "classes": [{"name": "read", "share": 1.0, "work": 100.0, "cv": 0.5, "aim": 10, "deadline": 20,
            "worth": 3.0, "late_worth": 0.5, "effect": "safe", "window": 30},
            {"name": "write", "share": 1.0, "work": 100.0, "cv": 0.5, "aim": 10, "deadline": 20,
            "worth": 3.0, "late_worth": 0.5, "effect": "keyed_cell", "window": 30}],
        "tenants": [["first", 1.0]],
        "traffic": {"rate": 5.0, "shape": [[0.0, 1.0]], "keys": 8, "key_skew": 0.5, "hints": true},
        "clients": {"retries": 1, "try_share": 0.5, "backoff": 2, "honour": 0.75, "impatient": 0.25,
            "notice": 9, "own_proxy": true},
        "roster": {"add": 1, "notice": 2, "silent_notice": 3},
        "rollout": {"gate": "timer", "beside": true, "stages": [0.5, 1.0], "caps": [0.5, 1.0], "votes_on": 0.1,
            "votes_hold": 0.2, "votes_back": 0.3, "vote_life": 4, "bake": 5, "step": 6, "boot": 7, "drain": 8,
            "push": 9, "told_late": 10, "call": 11, "call_timeout": 12, "calls_per_s": 13.0,
            "flag_share": 0.25, "flag_late": 14, "false_flags": 0.5, "guarded": 1, "one_way": true,
            "window": 15, "free": 2.0, "by_class": true, "first_build": 100},
        "releases": [
            {"at": 1, "fault": null, "strength": 0.0, "speed": 1.0},
            {"at": 2, "fault": {"class": 1}, "strength": 0.5, "speed": 1.0},
            {"at": 3, "fault": "load", "strength": 0.5, "speed": 1.0}],
        "troubles": [{"kind": "neighbour", "at": 1, "len": 2, "size": 0.5, "extra": 0.25, "on": [3], "which": 4}],
        "contract": {"answer_grace": 1, "ask_within": 2, "cold_from": 0.5, "cold_span": 3, "drain_grace": 4,
            "fall_multiple": 5.0, "fall_span": 6, "max_attempts": 7, "second_copies": true},
        "budgets": {"further": [0.0, 1.5], "floor_percent": 25, "lease": 8, "burst": 9}
    })
}

fn parse(stored: &Value) -> Scenario {
    serde_json::from_value(stored.clone()).unwrap()
}

#[test]
fn a_stored_scenario_is_read_and_written_with_the_same_names() {
    let stored = stored_scenario();
    let scenario = parse(&stored);
    assert_eq!(serde_json::to_value(&scenario).unwrap(), stored);
    assert_eq!(scenario.rollout.gate, GateMode::Timer);
    assert_eq!(scenario.classes[0].idempotency, Idempotency::Idempotent);
    assert_eq!(scenario.classes[1].idempotency, Idempotency::KeyedCell);
    assert_eq!(scenario.releases[1].defect, Some(BuildDefect::ClassErrors(1)));
    assert_eq!(scenario.releases[2].defect, Some(BuildDefect::UnderLoad));
    assert_eq!(scenario.faults[0].kind, FaultKind::NoisyNeighbor);
    assert_eq!(scenario.faults[0].duration, 2);
}

#[test]
fn every_fault_kind_has_its_stored_name() {
    let names = [
        ("crash", FaultKind::ServerCrash),
        ("slow", FaultKind::SlowServer),
        ("fast_errors", FaultKind::FastErrors),
        ("pauses", FaultKind::ServerPauses),
        ("neighbour", FaultKind::NoisyNeighbor),
        ("shared_slow", FaultKind::SlowFleet),
        ("slow_class", FaultKind::SlowClass),
        ("zone_loss", FaultKind::ZoneOutage),
        ("proxy_crash", FaultKind::ProxyCrash),
        ("proxy_roll", FaultKind::ProxyRollingRestart),
        ("proxy_stall", FaultKind::ProxyPause),
        ("proxy_twin", FaultKind::DuplicateProxy),
        ("peers_cut", FaultKind::GossipPartition),
        ("peers_loss", FaultKind::GossipLoss),
        ("peers_slow", FaultKind::GossipDelay),
        ("roster_cut", FaultKind::DiscoveryPartition),
        ("desk_cut", FaultKind::ReleaseServicePartition),
        ("servers_cut", FaultKind::ServerPartition),
        ("proxy_takeover", FaultKind::ProxyTakeover),
        ("controller_crash", FaultKind::ControllerCrash),
        ("desk_silent", FaultKind::ReleaseServiceUnresponsive),
        ("desk_errors", FaultKind::ReleaseServiceErrors),
        ("desk_late", FaultKind::ReleaseServiceDelay),
        ("roster_lost", FaultKind::DiscoveryOutage),
        ("roster_late", FaultKind::DiscoveryDelay),
        ("roster_back", FaultKind::DiscoveryVersionRollback),
        ("roster_garbage", FaultKind::DiscoveryGarbage),
        ("peers_lost", FaultKind::GossipOutage),
        ("peers_disordered", FaultKind::GossipReordering),
        ("handshake_slow", FaultKind::SlowHandshake),
    ];
    for (name, kind) in names {
        assert_eq!(serde_json::to_value(kind).unwrap(), json!(name));
        assert_eq!(serde_json::from_value::<FaultKind>(json!(name)).unwrap(), kind);
    }
}

#[test]
fn logs_name_a_fault_by_its_stored_name_in_camel_case() {
    assert_eq!(FaultKind::GossipReordering.log_name(), "PeersDisordered");
    assert_eq!(FaultKind::ServerCrash.log_name(), "Crash");
    assert_eq!(FaultKind::SlowFleet.log_name(), "SharedSlow");
}

#[test]
fn a_scenario_with_missing_parts_or_too_long_is_invalid() {
    let valid = parse(&stored_scenario());
    assert_eq!(valid.validate(), Ok(()));
    let mut without_proxies = valid.clone();
    without_proxies.proxies.clear();
    assert_eq!(without_proxies.validate(), Err(ScenarioError::Empty));
    let mut without_cap = valid.clone();
    without_cap.rollout.caps.pop();
    assert_eq!(without_cap.validate(), Err(ScenarioError::Stages));
    let mut without_quota = valid.clone();
    without_quota.retry_quotas.as_mut().unwrap().retries_per_second.pop();
    assert_eq!(without_quota.validate(), Err(ScenarioError::RetryQuotas));
    let mut too_long = valid;
    too_long.length = 600_000_001;
    assert_eq!(too_long.validate(), Err(ScenarioError::Length));
}
