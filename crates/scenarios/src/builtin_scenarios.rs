//! The scenarios that are built into the program.

use crate::base_scenario::{MS, S, base_scenario, failing_release, fault, sound_release};
use crate::fleet_scenarios;
use std::ops::RangeInclusive;
use violetseam_simulated_site::scenario::{Fault, FaultKind, Scenario};

/// Names of the built-in scenarios.
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

/// Name prefix of the scenarios with a variable number of proxies.
const FLEET_PREFIX: &str = "fleet-";
/// Name of the scenario with a variable loss of gossip datagrams.
const QUOTA_LENDING: &str = "fleet-lending";
/// Number of proxies of a fleet scenario if the name does not give one.
const DEFAULT_FLEET_SIZE: usize = 3;
/// Numbers of proxies that a name may give.
const FLEET_SIZES: RangeInclusive<usize> = 3..=60;

/// Returns the scenario with the given name. The name of a fleet scenario may be followed by the number of
/// proxies, as in `fleet-links:12`; that of `fleet-lending` also by the percentage of datagrams that are
/// lost, as in `fleet-lending:12:20`.
pub fn named(name: &str) -> Option<Scenario> {
    let mut parts = name.split(':');
    let name = parts.next()?;
    let proxies = fleet_size(name, parts.next())?;
    let loss = datagram_loss(name, parts.next())?;
    if parts.next().is_some() {
        return None;
    }
    match name {
        "fleet-links" => Some(fleet_scenarios::failing_links(proxies)),
        "fleet-deaths" => Some(fleet_scenarios::failing_processes(proxies)),
        "fleet-deaf" => Some(fleet_scenarios::no_gossip(proxies)),
        QUOTA_LENDING => Some(fleet_scenarios::quota_lending(proxies, loss)),
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

/// Returns the number of proxies; `None` if it is invalid or this scenario has a fixed number.
fn fleet_size(name: &str, size: Option<&str>) -> Option<usize> {
    let Some(size) = size else { return Some(DEFAULT_FLEET_SIZE) };
    let size = size.parse().ok()?;
    (name.starts_with(FLEET_PREFIX) && FLEET_SIZES.contains(&size)).then_some(size)
}

/// Returns the share of datagrams that are lost, from 0 to 1; `None` if it is invalid or this scenario has
/// no such share.
fn datagram_loss(name: &str, percent: Option<&str>) -> Option<f64> {
    let Some(percent) = percent else { return Some(0.0) };
    let percent: f64 = percent.parse().ok()?;
    (name == QUOTA_LENDING && (0.0..=100.0).contains(&percent)).then_some(percent / 100.0)
}

/// Two proxies, one good and one bad build, and a slow server; takes less than a minute.
pub fn demo() -> Scenario {
    let mut scenario = base_scenario("demo", 44 * S, 2, 8, 420.0);
    scenario.releases = vec![sound_release(2 * S), failing_release(29 * S, 0.6)];
    scenario.faults =
        vec![Fault { magnitude: 4.0, targets: vec![3], ..fault(FaultKind::SlowServer, 8 * S, 6 * S) }];
    scenario
}

/// A scenario without faults and releases.
pub fn quiet() -> Scenario {
    base_scenario("quiet", 10 * S, 3, 12, 500.0)
}

/// Twenty takeovers of two proxies at 70% load while builds are being released.
pub fn takeovers() -> Scenario {
    let mut scenario = base_scenario("takeovers", 46 * S, 2, 8, 800.0);
    scenario.traffic.shape = vec![(0.0, 1.0), (1.0, 1.0)];
    scenario.clients.disconnect_share = 0.0;
    scenario.releases = vec![sound_release(2 * S), failing_release(26 * S, 0.6)];
    scenario.faults = vec![Fault {
        magnitude: 10.0,
        targets: vec![0, 1],
        ..fault(FaultKind::ProxyTakeover, 3 * S, 40 * S)
    }];
    scenario
}

/// A good build followed by a bad one, while the controller is killed five times.
pub fn controller_kills() -> Scenario {
    let mut scenario = base_scenario("controller-kills", 46 * S, 3, 12, 400.0);
    scenario.clients.disconnect_share = 0.0;
    scenario.releases = vec![sound_release(2 * S), failing_release(28 * S, 0.6)];
    scenario.faults =
        vec![Fault { magnitude: 5.0, parameter: 0.4, ..fault(FaultKind::ControllerCrash, 3 * S, 30 * S) }];
    scenario
}

/// A good build while the controller is killed twice, for CI.
pub fn controller_kills_short() -> Scenario {
    let mut scenario = base_scenario("controller-kills-short", 20 * S, 2, 8, 250.0);
    scenario.clients.disconnect_share = 0.0;
    scenario.releases = vec![sound_release(S)];
    scenario.faults =
        vec![Fault { magnitude: 2.0, parameter: 0.3, ..fault(FaultKind::ControllerCrash, 3 * S, 8 * S) }];
    scenario
}

/// Four takeovers of two proxies while a build is being released, for CI.
pub fn takeover_short() -> Scenario {
    let mut scenario = base_scenario("takeover-short", 12 * S, 2, 8, 300.0);
    scenario.clients.disconnect_share = 0.0;
    scenario.releases = vec![sound_release(S)];
    scenario.faults =
        vec![Fault { magnitude: 2.0, targets: vec![0, 1], ..fault(FaultKind::ProxyTakeover, 3 * S, 6 * S) }];
    scenario
}

/// Combined faults: a bad build while servers fail, a slowdown of the whole fleet, the outage of a zone, a
/// killed proxy, an unresponsive release service, delayed discovery and lost datagrams.
pub fn bad_day() -> Scenario {
    let mut scenario = base_scenario("bad-day", 40 * S, 3, 12, 620.0);
    scenario.releases = vec![failing_release(2 * S, 0.7), sound_release(20 * S)];
    scenario.faults = vec![
        Fault { magnitude: 0.8, targets: vec![1, 6], ..fault(FaultKind::FastErrors, 3 * S, 8 * S) },
        fault(FaultKind::GossipOutage, 4 * S, 6 * S),
        Fault { magnitude: 2.0, ..fault(FaultKind::DiscoveryDelay, 5 * S, 8 * S) },
        Fault { targets: vec![1], ..fault(FaultKind::ProxyCrash, 7 * S, 2 * S) },
        Fault { magnitude: 2.2, ..fault(FaultKind::SlowFleet, 12 * S, 4 * S) },
        fault(FaultKind::ReleaseServiceUnresponsive, 14 * S, 5 * S),
        Fault { targets: vec![4], ..fault(FaultKind::ServerCrash, 16 * S, 4 * S) },
        fault(FaultKind::GossipReordering, 18 * S, 8 * S),
        Fault { parameter: 1.0, selector: 2, ..fault(FaultKind::ZoneOutage, 22 * S, 6 * S) },
        fault(FaultKind::DiscoveryGarbage, 24 * S, 2 * S),
        Fault {
            magnitude: 200.0,
            parameter: 1.5,
            targets: vec![0, 3, 7],
            ..fault(FaultKind::ServerPauses, 27 * S, 8 * S)
        },
        Fault {
            magnitude: 1.0,
            parameter: 0.6,
            targets: vec![0, 1, 2],
            ..fault(FaultKind::ProxyRollingRestart, 30 * S, 6 * S)
        },
        fault(FaultKind::DiscoveryVersionRollback, 33 * S, 2 * S),
        Fault { magnitude: 60.0, ..fault(FaultKind::SlowHandshake, 35 * S, 3 * S) },
    ];
    scenario
}

/// A short form of [`bad_day`] for CI: fewer requests, and the same kinds of faults closer
/// together.
pub fn bad_day_short() -> Scenario {
    let mut scenario = base_scenario("bad-day-short", 18 * S, 3, 12, 300.0);
    scenario.releases = vec![failing_release(S, 0.8)];
    scenario.faults = vec![
        Fault { magnitude: 0.7, targets: vec![1, 6], ..fault(FaultKind::FastErrors, 2 * S, 5 * S) },
        fault(FaultKind::GossipOutage, 2 * S, 4 * S),
        Fault { magnitude: 1.5, ..fault(FaultKind::DiscoveryDelay, 3 * S, 5 * S) },
        Fault { targets: vec![1], ..fault(FaultKind::ProxyCrash, 5 * S, 1_500 * MS) },
        Fault { magnitude: 2.0, ..fault(FaultKind::SlowFleet, 6 * S, 3 * S) },
        fault(FaultKind::ReleaseServiceUnresponsive, 8 * S, 3 * S),
        Fault { targets: vec![4], ..fault(FaultKind::ServerCrash, 9 * S, 3 * S) },
        fault(FaultKind::GossipReordering, 9 * S, 4 * S),
        Fault { parameter: 1.0, selector: 2, ..fault(FaultKind::ZoneOutage, 11 * S, 4 * S) },
        fault(FaultKind::DiscoveryGarbage, 13 * S, 1_500 * MS),
        fault(FaultKind::DiscoveryVersionRollback, 15 * S, 1_500 * MS),
    ];
    scenario
}
