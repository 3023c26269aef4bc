//! Scenarios that test the retry quota shared by the whole fleet: the servers fail a part of their requests,
//! so that all proxies need more retries than the quota of the fleet allows, while links, processes and zones
//! fail.

use crate::base_scenario::{MS, S, base_scenario, fault};
use violetseam_simulated_site::scenario::{Fault, FaultKind, RetryQuotas, Scenario};

/// Average requests per second and proxy.
const REQUEST_RATE: f64 = 90.0;
/// Retry quota in retries per second and proxy, for each class that has a quota.
const RETRY_RATE: f64 = 4.0;
/// Share of the requests that the servers answer with an error.
const SERVER_ERROR_RATE: f64 = 0.4;
/// The part of the retry quota that is never lent to other proxies, in percent.
const GUARANTEED_PERCENT: u64 = 25;
/// Every proxy whose position is a multiple of this number is busy: it serves most of the clients.
const BUSY_PROXY_INTERVAL: usize = 3;
/// The number of clients of a busy proxy, as a multiple of that of any other proxy.
const BUSY_PROXY_WEIGHT: f64 = 6.0;

/// Returns a scenario in which retry quota is scarce, with additional faults. One in three proxies serves
/// most of the clients, and all servers fail two of five requests from the first second on.
fn scarce_quota(name: &str, length: u64, proxies: usize, faults: Vec<Fault>) -> Scenario {
    let fleet_size = proxies as f64;
    let mut scenario = base_scenario(name, length, proxies, (2 * proxies).max(12), REQUEST_RATE * fleet_size);
    for proxy in scenario.proxies.iter_mut().step_by(BUSY_PROXY_INTERVAL) {
        proxy.weight = BUSY_PROXY_WEIGHT;
    }
    scenario.clients.own_proxy = true;
    scenario.clients.disconnect_share = 0.0;
    // The keyed class gets a large share because its deduplication group spans all servers, so that
    // a retry finds a server.
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

/// Returns the positions of the first third of a fleet, rounded up.
fn third(proxies: usize) -> Vec<usize> {
    (0..proxies.div_ceil(3)).collect()
}

/// Failing links. A third of the proxies is partitioned from all others and from each other; then nothing
/// that these proxies send arrives, then nothing that is sent to them. Later datagrams are delayed by up to
/// 3 s and reordered, and half of them are lost. At the end no link fails.
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

/// Failing processes. A third of the proxies is killed while holding quota leases and restarted at once. One
/// proxy is suspended until its leases have expired, and then continues as if they were valid. Another is
/// killed and restarted after its leases have expired. Second processes are started under identities that
/// are in use. At the end all proxies are restarted in batches.
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

/// No gossip datagram arrives during the whole scenario. Meanwhile one proxy is partitioned from discovery,
/// one from the release service, and a third of the proxies from the servers of a zone.
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

/// Shows the benefit of quota leases: the only faults are failed responses of the servers and, if `loss` is
/// above 0, the loss of that share of the datagrams, from 0 to 1.
pub fn quota_lending(proxies: usize, loss: f64) -> Scenario {
    let length = 10 * S;
    let mut faults = Vec::new();
    if loss > 0.0 {
        faults.push(Fault { magnitude: loss, ..fault(FaultKind::GossipLoss, 0, 2 * length) });
    }
    scarce_quota("fleet-lending", length, proxies, faults)
}
