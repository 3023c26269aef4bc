//! The common base of the built-in scenarios: the site that they share, and helpers for releases and faults.

use violetseam_simulated_site::scenario::{
    BuildDefect, ClassSpec, Clients, DiscoveryDelays, Fault, FaultKind, GateMode, Idempotency, ProxySpec,
    Release, Rollout, Scenario, ServerSpec, ServiceRules, Traffic,
};

/// A millisecond in microseconds.
pub(crate) const MS: u64 = 1_000;
/// A second in microseconds.
pub(crate) const S: u64 = 1_000_000;

/// Number of zones over which proxies and servers are distributed.
const ZONES: usize = 3;
/// Number of cells over which servers are distributed.
const CELLS: usize = 4;
/// Number of different server speeds.
const SPEEDS: usize = 5;

/// Returns a scenario with three zones and four request classes that differ in idempotency, without releases
/// and faults. `length` is in microseconds, `rate` in requests per second.
pub(crate) fn base_scenario(name: &str, length: u64, proxies: usize, servers: usize, rate: f64) -> Scenario {
    Scenario {
        name: name.into(),
        length,
        seed: 1,
        proxies: (0..proxies).map(proxy).collect(),
        servers: (0..servers).map(server).collect(),
        spares: (0..2 * servers).map(server).collect(),
        classes: classes(),
        tenants: vec![("first".into(), 0.6), ("second".into(), 0.4)],
        traffic: traffic(rate),
        clients: clients(),
        discovery: DiscoveryDelays {
            startup_delay: 500 * MS,
            drain_delay: 900 * MS,
            crash_delay: 2_500 * MS,
        },
        rollout: rollout(),
        releases: Vec::new(),
        faults: Vec::new(),
        service_rules: service_rules(),
        retry_quotas: None,
    }
}

fn proxy(index: usize) -> ProxySpec {
    ProxySpec { zone: (index % ZONES) as u16, weight: 1.0 }
}

fn server(index: usize) -> ServerSpec {
    ServerSpec {
        zone: (index % ZONES) as u16,
        cell: (index % CELLS) as u16,
        cores: 3.0,
        speed: 0.9 + 0.05 * (index % SPEEDS) as f64,
        slots: 3,
        queue: 60,
        connections: 600,
        slow_start_floor: 0.4,
        slow_start_span: 3 * S,
        error_rate: 0.0005,
    }
}

fn classes() -> Vec<ClassSpec> {
    let status_read = ClassSpec {
        name: "status-read".into(),
        share: 0.6,
        work: 18_000.0,
        cv: 0.7,
        latency_objective: 250 * MS,
        deadline: 1_200 * MS,
        priority_weight: 3.0,
        late_weight: 0.0,
        idempotency: Idempotency::Idempotent,
        dedup_window: 3 * S,
    };
    let service_log = ClassSpec {
        name: "service-log".into(),
        share: 0.2,
        work: 30_000.0,
        latency_objective: 500 * MS,
        deadline: 2_000 * MS,
        priority_weight: 2.0,
        idempotency: Idempotency::KeyedAll,
        ..status_read.clone()
    };
    let print_order = ClassSpec {
        name: "print-order".into(),
        share: 0.1,
        work: 24_000.0,
        latency_objective: 400 * MS,
        deadline: 1_500 * MS,
        priority_weight: 2.0,
        idempotency: Idempotency::KeyedZone,
        ..status_read.clone()
    };
    let proof_drop = ClassSpec {
        name: "proof-drop".into(),
        share: 0.1,
        work: 20_000.0,
        latency_objective: 400 * MS,
        deadline: 1_500 * MS,
        idempotency: Idempotency::NonIdempotent,
        ..status_read.clone()
    };
    vec![status_read, service_log, print_order, proof_drop]
}

fn traffic(rate: f64) -> Traffic {
    Traffic {
        rate,
        shape: vec![(0.0, 0.9), (0.5, 1.1), (1.0, 0.95)],
        keys: 4_000,
        key_skew: 0.6,
        hints: false,
    }
}

fn clients() -> Clients {
    Clients {
        retries: 1,
        attempt_timeout_share: 0.9,
        backoff: 60 * MS,
        retry_after_compliance: 0.7,
        disconnect_share: 0.003,
        dead_proxy_detection: 800 * MS,
        own_proxy: false,
    }
}

fn rollout() -> Rollout {
    Rollout {
        gate: GateMode::Any,
        keep_previous_build: false,
        stages: vec![0.1, 0.3, 0.6, 1.0],
        caps: vec![0.2, 0.5, 1.0, 1.0],
        votes_to_promote: 0.0,
        votes_to_hold: 0.0,
        votes_to_roll_back: 0.0,
        vote_lifetime: 4 * S,
        bake: 1_500 * MS,
        stage_duration: 0,
        startup_time: 800 * MS,
        drain_time: 1_200 * MS,
        resend_interval: 2 * S,
        status_delay: 300 * MS,
        vote_latency: 60 * MS,
        vote_timeout: 800 * MS,
        vote_rate_limit: 100.0,
        report_share: 0.3,
        report_delay: S,
        false_report_share: 0.0005,
        idempotent_only_stages: 1,
        sticky_to_new_build: true,
        exposure_window: 4 * S,
        exposure_slack: 2.0,
        exposure_per_class: false,
        first_build: 100,
    }
}

fn service_rules() -> ServiceRules {
    ServiceRules {
        deadline_grace: 20 * MS,
        poll_interval_max: 10 * S,
        slow_start_floor: 0.35,
        slow_start_span: 3_500 * MS,
        drain_grace: 2 * S,
        overload_multiple: 3.0,
        overload_span: 2 * S,
        max_attempts: 4,
        hedging: false,
    }
}

/// Returns the release of a build without a defect, offered at the given time.
pub(crate) fn sound_release(at: u64) -> Release {
    Release { at, defect: None, severity: 0.0, speed: 1.0 }
}

/// Returns the release of a build that fails a share of its requests, offered at the given time.
pub(crate) fn failing_release(at: u64, severity: f64) -> Release {
    Release { at, defect: Some(BuildDefect::Errors), severity, speed: 1.0 }
}

/// Returns a fault without targets and with all parameters 0. Callers set those that the fault needs with a
/// struct update.
pub(crate) fn fault(kind: FaultKind, at: u64, duration: u64) -> Fault {
    Fault { kind, at, duration, magnitude: 0.0, parameter: 0.0, targets: Vec::new(), selector: 0 }
}
