//! Days that come with the program.

use crate::fleet_days;
use violetseam_simulated_site::scenario::*;

const MS: u64 = 1_000;
const S: u64 = 1_000_000;

/// Names of the days that come with the program.
pub const NAMES: [&str; 13] = [
    "demo",
    "bad-day",
    "bad-day-short",
    "quiet",
    "takeovers",
    "takeover-short",
    "controller-kills",
    "controller-spared",
    "controller-kills-short",
    "fleet-links",
    "fleet-deaths",
    "fleet-deaf",
    "fleet-lending",
];

/// Proxies of a fleet day, where no other number is asked for.
const FLEET: usize = 3;

/// A day by its name; a fleet day may be followed by its number of proxies, as in `fleet-links:12`, and `fleet-lending` by
/// the share of datagrams that is lost as well, in percent, as in `fleet-lending:12:20`.
pub fn named(name: &str) -> Option<Scenario> {
    let mut parts = name.split(':');
    let (name, count, loss) = (parts.next()?, parts.next(), parts.next());
    let may = |part: Option<&str>, days: &str| part.is_none() || name.starts_with(days);
    if !may(count, "fleet-") || !may(loss, "fleet-lending") || parts.next().is_some() {
        return None;
    }
    let proxies = count.map_or(Some(FLEET), |n| n.parse().ok()).filter(|n| (3..=60).contains(n))?;
    let loss = loss.map_or(Some(0.0), |n| n.parse().ok()).filter(|n| (0.0..=100.0).contains(n))? / 100.0;
    match name {
        "fleet-links" => Some(fleet_days::links(proxies)),
        "fleet-deaths" => Some(fleet_days::deaths(proxies)),
        "fleet-deaf" => Some(fleet_days::deaf(proxies)),
        "fleet-lending" => Some(fleet_days::lending(proxies, loss)),
        "demo" => Some(demo()),
        "bad-day" => Some(bad_day()),
        "bad-day-short" => Some(bad_day_short()),
        "quiet" => Some(quiet()),
        "takeovers" => Some(takeovers()),
        "takeover-short" => Some(takeover_short()),
        "controller-kills" => Some(controller_kills()),
        "controller-kills-short" => Some(controller_kills_short()),
        "controller-spared" => Some(Scenario { faults: Vec::new(), ..controller_kills() }),
        _ => None,
    }
}

fn server(zone: u16, cell: u16, speed: f64) -> ServerSpec {
    ServerSpec {
        zone,
        cell,
        cores: 3.0,
        speed,
        slots: 3,
        queue: 60,
        connections: 600,
        slow_start_floor: 0.4,
        slow_start_span: 3 * S,
        error_rate: 0.0005,
    }
}

fn class(
    name: &str,
    share: f64,
    work: f64,
    aim: u64,
    deadline: u64,
    worth: f64,
    effect: Idempotency,
) -> ClassSpec {
    ClassSpec {
        name: name.into(),
        share,
        work,
        cv: 0.7,
        latency_objective: aim,
        deadline,
        priority_weight: worth,
        late_weight: 0.0,
        idempotency: effect,
        dedup_window: 3 * S,
    }
}

/// A fleet of three zones and one class of each kind.
#[expect(clippy::too_many_lines, reason = "this package has not been parted by concern yet")]
pub(crate) fn base(name: &str, length: u64, proxies: usize, servers: usize, rate: f64) -> Scenario {
    let speed = |i: usize| 0.9 + 0.05 * (i % 5) as f64;
    let spec = |i: usize| server((i % 3) as u16, (i % 4) as u16, speed(i));
    Scenario {
        name: name.into(),
        length,
        seed: 1,
        proxies: (0..proxies).map(|i| ProxySpec { zone: (i % 3) as u16, weight: 1.0 }).collect(),
        servers: (0..servers).map(spec).collect(),
        spares: (0..2 * servers).map(spec).collect(),
        classes: vec![
            class("status-read", 0.6, 18_000.0, 250 * MS, 1_200 * MS, 3.0, Idempotency::Idempotent),
            class("service-log", 0.2, 30_000.0, 500 * MS, 2_000 * MS, 2.0, Idempotency::KeyedAll),
            class("print-order", 0.1, 24_000.0, 400 * MS, 1_500 * MS, 2.0, Idempotency::KeyedZone),
            class("proof-drop", 0.1, 20_000.0, 400 * MS, 1_500 * MS, 3.0, Idempotency::NonIdempotent),
        ],
        tenants: vec![("first".into(), 0.6), ("second".into(), 0.4)],
        traffic: Traffic {
            rate,
            shape: vec![(0.0, 0.9), (0.5, 1.1), (1.0, 0.95)],
            keys: 4_000,
            key_skew: 0.6,
            hints: false,
        },
        clients: Clients {
            retries: 1,
            attempt_timeout_share: 0.9,
            backoff: 60 * MS,
            retry_after_compliance: 0.7,
            disconnect_share: 0.003,
            dead_proxy_detection: 800 * MS,
            own_proxy: false,
        },
        discovery: DiscoveryDelays {
            startup_delay: 500 * MS,
            drain_delay: 900 * MS,
            crash_delay: 2_500 * MS,
        },
        rollout: Rollout {
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
        },
        releases: Vec::new(),
        faults: Vec::new(),
        service_rules: ServiceRules {
            deadline_grace: 20 * MS,
            poll_interval_max: 10 * S,
            slow_start_floor: 0.35,
            slow_start_span: 3_500 * MS,
            drain_grace: 2 * S,
            overload_multiple: 3.0,
            overload_span: 2 * S,
            max_attempts: 4,
            hedging: false,
        },
        retry_quotas: None,
    }
}

fn release(at: u64, fault: Option<BuildDefect>, strength: f64) -> Release {
    Release { at, defect: fault, severity: strength, speed: 1.0 }
}

pub(crate) fn trouble(
    kind: FaultKind,
    at: u64,
    len: u64,
    size: f64,
    extra: f64,
    on: &[usize],
    which: usize,
) -> Fault {
    Fault {
        kind,
        at,
        duration: len,
        magnitude: size,
        parameter: extra,
        targets: on.to_vec(),
        selector: which,
    }
}

/// Two proxies, one good build and one bad one, a slow server; under a minute.
pub fn demo() -> Scenario {
    let mut day = base("demo", 44 * S, 2, 8, 420.0);
    day.releases = vec![release(2 * S, None, 0.0), release(29 * S, Some(BuildDefect::Errors), 0.6)];
    day.faults = vec![trouble(FaultKind::SlowServer, 8 * S, 6 * S, 4.0, 0.0, &[3], 0)];
    day
}

/// Nothing goes wrong, nothing is released.
pub fn quiet() -> Scenario {
    base("quiet", 10 * S, 3, 12, 500.0)
}

/// Twenty takeovers of two proxies at 70% load while builds come.
pub fn takeovers() -> Scenario {
    let mut day = base("takeovers", 46 * S, 2, 8, 800.0);
    day.traffic.shape = vec![(0.0, 1.0), (1.0, 1.0)];
    day.clients.disconnect_share = 0.0;
    day.releases = vec![release(2 * S, None, 0.0), release(26 * S, Some(BuildDefect::Errors), 0.6)];
    day.faults = vec![trouble(FaultKind::ProxyTakeover, 3 * S, 40 * S, 10.0, 0.0, &[0, 1], 0)];
    day
}

/// A good build, and a bad one after it, while the controller is killed five times.
pub fn controller_kills() -> Scenario {
    let mut day = base("controller-kills", 46 * S, 3, 12, 400.0);
    day.clients.disconnect_share = 0.0;
    day.releases = vec![release(2 * S, None, 0.0), release(28 * S, Some(BuildDefect::Errors), 0.6)];
    day.faults = vec![trouble(FaultKind::ControllerCrash, 3 * S, 30 * S, 5.0, 0.4, &[], 0)];
    day
}

/// A good build while the controller is killed twice, for CI.
pub fn controller_kills_short() -> Scenario {
    let mut day = base("controller-kills-short", 20 * S, 2, 8, 250.0);
    day.clients.disconnect_share = 0.0;
    day.releases = vec![release(S, None, 0.0)];
    day.faults = vec![trouble(FaultKind::ControllerCrash, 3 * S, 8 * S, 2.0, 0.3, &[], 0)];
    day
}

/// Four takeovers of two proxies while a build comes, for CI.
pub fn takeover_short() -> Scenario {
    let mut day = base("takeover-short", 12 * S, 2, 8, 300.0);
    day.clients.disconnect_share = 0.0;
    day.releases = vec![release(S, None, 0.0)];
    day.faults = vec![trouble(FaultKind::ProxyTakeover, 3 * S, 6 * S, 2.0, 0.0, &[0, 1], 0)];
    day
}

/// All at once: a bad build while servers fail, a shared slowness, a lost zone, a killed proxy, a silent
/// desk, a late roster and lost datagrams.
pub fn bad_day() -> Scenario {
    let mut day = base("bad-day", 40 * S, 3, 12, 620.0);
    day.releases = vec![release(2 * S, Some(BuildDefect::Errors), 0.7), release(20 * S, None, 0.0)];
    day.faults = vec![
        trouble(FaultKind::FastErrors, 3 * S, 8 * S, 0.8, 0.0, &[1, 6], 0),
        trouble(FaultKind::GossipOutage, 4 * S, 6 * S, 0.0, 0.0, &[], 0),
        trouble(FaultKind::DiscoveryDelay, 5 * S, 8 * S, 2.0, 0.0, &[], 0),
        trouble(FaultKind::ProxyCrash, 7 * S, 2 * S, 0.0, 0.0, &[1], 0),
        trouble(FaultKind::SlowFleet, 12 * S, 4 * S, 2.2, 0.0, &[], 0),
        trouble(FaultKind::ReleaseServiceUnresponsive, 14 * S, 5 * S, 0.0, 0.0, &[], 0),
        trouble(FaultKind::ServerCrash, 16 * S, 4 * S, 0.0, 0.0, &[4], 0),
        trouble(FaultKind::GossipReordering, 18 * S, 8 * S, 0.0, 0.0, &[], 0),
        trouble(FaultKind::ZoneOutage, 22 * S, 6 * S, 0.0, 1.0, &[], 2),
        trouble(FaultKind::DiscoveryGarbage, 24 * S, 2 * S, 0.0, 0.0, &[], 0),
        trouble(FaultKind::ServerPauses, 27 * S, 8 * S, 200.0, 1.5, &[0, 3, 7], 0),
        trouble(FaultKind::ProxyRollingRestart, 30 * S, 6 * S, 1.0, 0.6, &[0, 1, 2], 0),
        trouble(FaultKind::DiscoveryVersionRollback, 33 * S, 2 * S, 0.0, 0.0, &[], 0),
        trouble(FaultKind::SlowHandshake, 35 * S, 3 * S, 60.0, 0.0, &[], 0),
    ];
    day
}

/// The bad day in a short form, for CI: fewer requests, the same kinds of trouble closer together.
pub fn bad_day_short() -> Scenario {
    let mut day = base("bad-day-short", 18 * S, 3, 12, 300.0);
    day.releases = vec![release(S, Some(BuildDefect::Errors), 0.8)];
    day.faults = vec![
        trouble(FaultKind::FastErrors, 2 * S, 5 * S, 0.7, 0.0, &[1, 6], 0),
        trouble(FaultKind::GossipOutage, 2 * S, 4 * S, 0.0, 0.0, &[], 0),
        trouble(FaultKind::DiscoveryDelay, 3 * S, 5 * S, 1.5, 0.0, &[], 0),
        trouble(FaultKind::ProxyCrash, 5 * S, 1_500 * MS, 0.0, 0.0, &[1], 0),
        trouble(FaultKind::SlowFleet, 6 * S, 3 * S, 2.0, 0.0, &[], 0),
        trouble(FaultKind::ReleaseServiceUnresponsive, 8 * S, 3 * S, 0.0, 0.0, &[], 0),
        trouble(FaultKind::ServerCrash, 9 * S, 3 * S, 0.0, 0.0, &[4], 0),
        trouble(FaultKind::GossipReordering, 9 * S, 4 * S, 0.0, 0.0, &[], 0),
        trouble(FaultKind::ZoneOutage, 11 * S, 4 * S, 0.0, 1.0, &[], 2),
        trouble(FaultKind::DiscoveryGarbage, 13 * S, 1_500 * MS, 0.0, 0.0, &[], 0),
        trouble(FaultKind::DiscoveryVersionRollback, 15 * S, 1_500 * MS, 0.0, 0.0, &[], 0),
    ];
    day
}
