//! Scenarios that test what the whole fleet shares: most servers fail a part of their requests, so that all
//! proxies want more retries than the fleet's quota has, while links, processes and zones fail.

use crate::base_scenario::{MS, S, base_scenario, fault};
use violetseam_simulated_site::scenario::{Fault, FaultKind, RetryQuotas, Scenario};

/// Requests a second for each proxy, on average.
const REQUEST_RATE: f64 = 90.0;
/// Retries a second for each proxy, of each class that has a quota.
const RETRY_RATE: f64 = 4.0;
/// Share of the requests that servers fail.
const SERVER_ERROR_RATE: f64 = 0.4;
/// The part of the retry quota that is never lent, in percent.
const GUARANTEED_PERCENT: u64 = 25;
/// One in so many proxies has most of the clients ...
const BUSY_PROXY_INTERVAL: usize = 3;
/// ... so many times as many as another.
const BUSY_PROXY_WEIGHT: f64 = 6.0;

/// A scenario in which retry quota is scarce, with further faults: one in three proxies has most of the
/// clients; all servers fail two of five requests from the first second on.
fn scarce_quota(name: &str, length: u64, proxies: usize, faults: Vec<Fault>) -> Scenario {
    let fleet_size = proxies as f64;
    let mut scenario = base_scenario(name, length, proxies, (2 * proxies).max(12), REQUEST_RATE * fleet_size);
    for proxy in scenario.proxies.iter_mut().step_by(BUSY_PROXY_INTERVAL) {
        proxy.weight = BUSY_PROXY_WEIGHT;
    }
    scenario.clients.own_proxy = true;
    scenario.clients.disconnect_share = 0.0;
    // The deduplication group of a keyed class is large, so that a retry finds a server.
    scenario.classes[1].share = 0.4;
    let quota = RETRY_RATE * fleet_size;
    scenario.retry_quotas = Some(RetryQuotas {
        retries_per_second: vec![quota, quota, 0.0, 0.0],
        guaranteed_percent: GUARANTEED_PERCENT,
        lease: 2 * S,
        burst: S,
    });
    scenario.faults = vec![Fault {
        magnitude: SERVER_ERROR_RATE,
        targets: (0..scenario.servers.len()).collect(),
        ..fault(FaultKind::FastErrors, S, length)
    }];
    scenario.faults.extend(faults);
    scenario
}

/// A third of a fleet, rounded up.
fn third(proxies: usize) -> Vec<usize> {
    (0..proxies.div_ceil(3)).collect()
}

/// Links fail: a third of the proxies is partitioned from all others and each other, then nothing that it
/// sends arrives, then nothing that is sent to it; datagrams are delayed by up to 3 s and reordered; half
/// of them are lost; at last nothing fails.
pub fn failing_links(proxies: usize) -> Scenario {
    let third = third(proxies);
    let faults = vec![
        Fault {
            parameter: 1.0,
            targets: third.clone(),
            ..fault(FaultKind::GossipPartition, 2 * S, 2_500 * MS)
        },
        Fault { targets: third.clone(), selector: 1, ..fault(FaultKind::GossipPartition, 5 * S, 1_500 * MS) },
        Fault { targets: third, selector: 2, ..fault(FaultKind::GossipPartition, 6_500 * MS, 1_500 * MS) },
        Fault { magnitude: 3.0, ..fault(FaultKind::GossipDelay, 8 * S, 3 * S) },
        Fault { magnitude: 0.5, ..fault(FaultKind::GossipLoss, 10 * S, 2 * S) },
        fault(FaultKind::GossipReordering, 11 * S, S),
    ];
    scarce_quota("fleet-links", 14 * S, proxies, faults)
}

/// Processes fail: a third of the proxies is killed with quota leases and starts again at once; another
/// proxy is suspended until its leases have expired, and continues as if they had not; another is killed
/// and comes back after its leases; second processes start under identities in use; at last all are
/// restarted one batch after another.
pub fn failing_processes(proxies: usize) -> Scenario {
    let third = third(proxies);
    let middle = proxies / 2;
    let last = proxies - 1;
    let batch = (proxies / 3).max(1) as f64;
    let all: Vec<usize> = (0..proxies).collect();
    let faults = vec![
        Fault { targets: third, ..fault(FaultKind::ProxyCrash, 2_500 * MS, 150 * MS) },
        Fault { magnitude: 3_000.0, targets: vec![middle], ..fault(FaultKind::ProxyPause, 5 * S, 3 * S) },
        Fault { targets: vec![last], ..fault(FaultKind::ProxyCrash, 6 * S, 3 * S) },
        Fault { targets: vec![0, last], ..fault(FaultKind::DuplicateProxy, 9_500 * MS, S) },
        Fault {
            magnitude: batch,
            parameter: 0.3,
            targets: all,
            ..fault(FaultKind::ProxyRollingRestart, 10_500 * MS, 3 * S)
        },
    ];
    scarce_quota("fleet-deaths", 15 * S, proxies, faults)
}

/// No datagram ever arrives; meanwhile one proxy is partitioned from discovery, one from the release
/// service, a third of them from the servers of a zone.
pub fn no_gossip(proxies: usize) -> Scenario {
    let third = third(proxies);
    let faults = vec![
        fault(FaultKind::GossipOutage, 0, 12 * S),
        Fault { targets: vec![proxies / 2], ..fault(FaultKind::DiscoveryPartition, 2 * S, 4 * S) },
        Fault { targets: vec![proxies - 1], ..fault(FaultKind::ReleaseServicePartition, 3 * S, 4 * S) },
        Fault { targets: third, selector: 1, ..fault(FaultKind::ServerPartition, 4 * S, 3 * S) },
    ];
    scarce_quota("fleet-deaf", 9 * S, proxies, faults)
}

/// Nothing fails but the servers' answers and a share of the datagrams, from 0 to 1: what quota leases are
/// worth.
pub fn quota_lending(proxies: usize, loss: f64) -> Scenario {
    let length = 10 * S;
    let mut faults = Vec::new();
    if loss > 0.0 {
        faults.push(Fault { magnitude: loss, ..fault(FaultKind::GossipLoss, 0, 2 * length) });
    }
    scarce_quota("fleet-lending", length, proxies, faults)
}
