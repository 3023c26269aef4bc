//! Days on which what the whole fleet shares is put to the test: most servers fail a part of their requests, so that all
//! proxies want more further attempts than the fleet has, while links, processes and places fail.

use crate::days::{base, trouble};
use violetseam_simulated_site::scenario::*;

const MS: u64 = 1_000;
const S: u64 = 1_000_000;
/// Requests a second for each proxy, on average.
const RATE: f64 = 90.0;
/// Further attempts a second for each proxy, of each class that may repeat.
const FURTHER: f64 = 4.0;

/// One in three proxies has most of the clients; all servers fail two of five requests from the first second on.
fn scarce(name: &str, length: u64, proxies: usize, troubles: Vec<Fault>) -> Scenario {
    let n = proxies as f64;
    let mut day = base(name, length, proxies, (2 * proxies).max(12), RATE * n);
    day.proxies.iter_mut().step_by(3).for_each(|p| p.weight = 6.0);
    day.clients.own_proxy = true;
    day.clients.disconnect_share = 0.0;
    // The group of a keyed class is large, so that a repeat finds a server.
    day.classes[1].share = 0.4;
    let lease = 2 * S;
    let further = vec![FURTHER * n, FURTHER * n, 0.0, 0.0];
    day.retry_quotas =
        Some(RetryQuotas { retries_per_second: further, guaranteed_percent: 25, lease, burst: S });
    let servers: Vec<usize> = (0..day.servers.len()).collect();
    day.faults = vec![trouble(FaultKind::FastErrors, S, length, 0.4, 0.0, &servers, 0)];
    day.faults.extend(troubles);
    day
}

/// A third of a fleet, rounded up.
fn third(proxies: usize) -> Vec<usize> {
    (0..proxies.div_ceil(3)).collect()
}

/// Links fail: a third hears and is heard by nobody, then only sends in vain, then only hears nothing; datagrams come up to
/// 3 s late and in any order; half of them are lost; at last all is well again.
pub fn links(proxies: usize) -> Scenario {
    let third = third(proxies);
    let all: &[usize] = &[];
    let troubles = vec![
        trouble(FaultKind::GossipPartition, 2 * S, 2_500 * MS, 0.0, 1.0, &third, 0),
        trouble(FaultKind::GossipPartition, 5 * S, 1_500 * MS, 0.0, 0.0, &third, 1),
        trouble(FaultKind::GossipPartition, 6_500 * MS, 1_500 * MS, 0.0, 0.0, &third, 2),
        trouble(FaultKind::GossipDelay, 8 * S, 3 * S, 3.0, 0.0, all, 0),
        trouble(FaultKind::GossipLoss, 10 * S, 2 * S, 0.5, 0.0, all, 0),
        trouble(FaultKind::GossipReordering, 11 * S, S, 0.0, 0.0, all, 0),
    ];
    scarce("fleet-links", 14 * S, proxies, troubles)
}

/// Processes fail: a third is killed holding rights and starts again at once; another is stopped past its leases and goes on
/// believing in them; a third is killed and comes back after its leases; second processes start under identities in use; at
/// last all are restarted one after another.
pub fn deaths(proxies: usize) -> Scenario {
    let (third, middle) = (third(proxies), proxies / 2);
    let last = proxies - 1;
    let batch = (proxies / 3).max(1) as f64;
    let all: Vec<usize> = (0..proxies).collect();
    let troubles = vec![
        trouble(FaultKind::ProxyCrash, 2_500 * MS, 150 * MS, 0.0, 0.0, &third, 0),
        trouble(FaultKind::ProxyPause, 5 * S, 3 * S, 3_000.0, 0.0, &[middle], 0),
        trouble(FaultKind::ProxyCrash, 6 * S, 3 * S, 0.0, 0.0, &[last], 0),
        trouble(FaultKind::DuplicateProxy, 9_500 * MS, S, 0.0, 0.0, &[0, last], 0),
        trouble(FaultKind::ProxyRollingRestart, 10_500 * MS, 3 * S, batch, 0.3, &all, 0),
    ];
    scarce("fleet-deaths", 15 * S, proxies, troubles)
}

/// No datagram ever arrives; beside that one proxy is cut off from the roster, one from the desk, a third from the servers of
/// a zone.
pub fn deaf(proxies: usize) -> Scenario {
    let third = third(proxies);
    let troubles = vec![
        trouble(FaultKind::GossipOutage, 0, 12 * S, 0.0, 0.0, &[], 0),
        trouble(FaultKind::DiscoveryPartition, 2 * S, 4 * S, 0.0, 0.0, &[proxies / 2], 0),
        trouble(FaultKind::ReleaseServicePartition, 3 * S, 4 * S, 0.0, 0.0, &[proxies - 1], 0),
        trouble(FaultKind::ServerPartition, 4 * S, 3 * S, 0.0, 0.0, &third, 1),
    ];
    scarce("fleet-deaf", 9 * S, proxies, troubles)
}

/// Nothing fails but the servers' answers and a share of the datagrams: what lending is worth.
pub fn lending(proxies: usize, loss: f64) -> Scenario {
    let length = 10 * S;
    let lossy = trouble(FaultKind::GossipLoss, 0, 2 * length, loss, 0.0, &[], 0);
    scarce("fleet-lending", length, proxies, Vec::from_iter((loss > 0.0).then_some(lossy)))
}
