//! Faults of servers.

use super::Cluster;
use std::collections::BTreeSet;
use violetseam_simulated_site::scenario::{Fault, FaultKind};
use violetseam_site_protocol::endpoint_list::EndpointState;

/// The factor by which the counts of recent attempts decay at each tick.
const DECAY_PER_TICK: f64 = 0.98;

/// Decaying counts of recent attempts. They give the newest build's share of the traffic, on which the effect
/// of a build that slows all servers down depends.
#[derive(Clone, Copy, Debug)]
pub(super) struct NewestBuildTraffic {
    /// Attempts to the newest build.
    newest: f64,
    total: f64,
}

impl Default for NewestBuildTraffic {
    fn default() -> Self {
        NewestBuildTraffic { newest: 0.0, total: 1.0 }
    }
}

impl NewestBuildTraffic {
    pub fn add_attempt(&mut self, at_newest: bool) {
        self.newest += f64::from(u8::from(at_newest));
        self.total += 1.0;
    }

    fn share(self) -> f64 {
        self.newest / self.total.max(1e-9)
    }

    fn decay(&mut self) {
        self.newest *= DECAY_PER_TICK;
        // The added 0.01 keeps the total above zero.
        self.total = self.total * DECAY_PER_TICK + 0.01;
    }
}

impl Cluster {
    /// Applies the active faults to all servers, and restarts servers whose crash is over.
    pub fn apply_faults(&mut self) {
        let now = self.now;
        let traffic_share = self.newest_build_traffic.share();
        let fleet_slowdown = self.build(self.newest_build).fleet_slowdown(traffic_share);
        self.newest_build_traffic.decay();
        let active: Vec<Fault> = self.scenario.active_faults(now).cloned().collect();
        let mut crashed = Vec::new();
        let mut restarted = BTreeSet::new();
        for (&number, server) in &mut self.servers {
            let index = server.fault_target.index;
            let down = active.iter().any(|f| f.kind == FaultKind::ServerCrash && f.targets.contains(&index));
            server.fault_target.apply_faults(&mut server.model, fleet_slowdown, now, active.iter());
            if server.running && down {
                server.running = false;
                crashed.push(number);
            } else if !server.running && !down {
                restarted.insert(number);
            }
        }
        for server in crashed {
            self.lose_attempts(server);
            self.list_server(now + self.scenario.discovery.crash_delay, server, EndpointState::Gone);
        }
        for server in restarted {
            self.restart_server(server);
        }
    }
}
