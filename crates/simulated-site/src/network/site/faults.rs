//! Applies the faults of the scenario as they begin, continue and end.

use super::state::Site;
use crate::model::server::Build;
use crate::scenario::{Fault, FaultKind};

impl Site {
    /// Applies the changes and effects of faults that are due in this turn.
    pub(super) fn apply_faults(&mut self, now: u64) {
        self.apply_fault_changes(now);
        self.restart_crashed_servers(now);
        self.impair_servers(now);
        self.stop_collapsed_servers();
    }

    fn apply_fault_changes(&mut self, now: u64) {
        let scenario = self.scenario.clone();
        for (index, fault) in scenario.faults.iter().enumerate() {
            let is_active = fault.is_active(now);
            if is_active == self.was_fault_active[index] {
                continue;
            }
            self.was_fault_active[index] = is_active;
            if is_active {
                self.log(format!("trouble begins: {}", fault.kind.log_name()));
                self.on_fault_start(now, fault);
            } else {
                self.log(format!("trouble ends: {}", fault.kind.log_name()));
                self.on_fault_end(fault);
            }
        }
    }

    fn on_fault_start(&mut self, now: u64, fault: &Fault) {
        match fault.kind {
            FaultKind::ZoneOutage if leaves_servers_unreachable(fault) => {
                for server in self.affected_servers(fault) {
                    self.set_unreachable(server);
                }
            }
            FaultKind::ServerCrash | FaultKind::ZoneOutage => {
                for server in self.affected_servers(fault) {
                    self.crash(now, server, fault.end());
                }
            }
            FaultKind::DiscoveryOutage
            | FaultKind::DiscoveryGarbage
            | FaultKind::DiscoveryVersionRollback => self.disrupt_endpoint_watches(fault.kind),
            FaultKind::DiscoveryPartition | FaultKind::ReleaseServicePartition => {
                self.close_partitioned_watches(fault);
            }
            _ => {}
        }
    }

    fn on_fault_end(&mut self, fault: &Fault) {
        match fault.kind {
            FaultKind::ZoneOutage if leaves_servers_unreachable(fault) => {
                for server in self.affected_servers(fault) {
                    self.set_reachable(server);
                }
            }
            FaultKind::ServerPartition => self.close_partitioned_connections(),
            _ => {}
        }
    }

    /// Returns the servers that a crash or a zone outage affects.
    fn affected_servers(&self, fault: &Fault) -> Vec<u64> {
        let affected = self.servers.iter().filter(|(_, server)| match fault.kind {
            FaultKind::ZoneOutage => usize::from(server.model.spec.zone) == fault.selector,
            _ => fault.targets.contains(&server.fault_target.index),
        });
        affected.map(|(id, _)| *id).collect()
    }

    /// Applies the impairments of active faults, and the slowdown of the fleet by the newest build, to each
    /// server.
    fn impair_servers(&mut self, now: u64) {
        let scenario = self.scenario.clone();
        let newest = self.releases.status().build.max(scenario.rollout.first_build);
        let traffic_share = self.recent_attempts.share_of_newest_build();
        let fleet_slowdown = Build::in_scenario(&scenario, newest).fleet_slowdown(traffic_share);
        for server in self.servers.values_mut() {
            let active = scenario.active_faults(now);
            server.fault_target.apply_faults(&mut server.model, fleet_slowdown, now, active);
        }
    }
}

/// Returns whether a zone outage makes the servers of the zone unreachable. Otherwise they crash.
fn leaves_servers_unreachable(outage: &Fault) -> bool {
    outage.parameter > 0.5
}
