//! A scenario in which clients ask for a given multiple of what the servers can do.

use crate::base_scenario::{MS, S, base_scenario, fault};
use violetseam_simulated_site::scenario::{Fault, FaultKind, Scenario};

/// Number of servers.
const SERVERS: usize = 8;
/// Duration for which requests arrive.
const LENGTH: u64 = 20 * S;
/// The slow server's factor on the time of each request.
const SLOWDOWN: f64 = 4.0;
/// How long a client waits before a retry that carries no advice.
const CLIENT_BACKOFF: u64 = 100 * MS;

/// What varies between overload scenarios.
#[derive(Clone, Copy, Debug)]
pub struct Overload {
    /// Offered work of first tries as a multiple of the servers' capacity.
    pub load: f64,
    /// Number of proxies. The more there are, the less of the servers' queues each one sees.
    pub proxies: usize,
    /// The most requests that wait at a server.
    pub server_queue: usize,
    /// How often clients retry.
    pub client_retries: u32,
}

/// Returns a scenario of steady load on four classes with different deadlines and two tenants. One of the
/// servers is slow for half of the time.
pub fn overload(overload: Overload) -> Scenario {
    let mut scenario = base_scenario("overload", LENGTH, overload.proxies, SERVERS, 1.0);
    scenario.traffic.rate = overload.load * scenario.capacity() / scenario.mean_work();
    scenario.traffic.shape = vec![(0.0, 1.0), (1.0, 1.0)];
    scenario.clients.retries = overload.client_retries;
    scenario.clients.backoff = CLIENT_BACKOFF;
    for server in scenario.servers.iter_mut().chain(&mut scenario.spares) {
        server.queue = overload.server_queue;
    }
    let slow_server = fault(FaultKind::SlowServer, LENGTH / 4, LENGTH / 2);
    scenario.faults = vec![Fault { magnitude: SLOWDOWN, targets: vec![3], ..slow_server }];
    scenario
}
