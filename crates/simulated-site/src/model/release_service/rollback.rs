//! Rollback of a build: servers of the previous build are started again, and the cap of the new one falls.

use super::{ReleaseService, ServerCommand};
use violetseam_site_protocol::release_service::PhaseName;

impl ReleaseService {
    /// Performs the next steps of a rollback. The cap falls in proportion to the servers that the build has
    /// left; the build is withdrawn once it has none and every place runs the previous build.
    pub(super) fn advance_rollback(&mut self, now: u64, commands: &mut Vec<ServerCommand>) {
        let build = self.status.build;
        let previous = self.previous_build;
        let restored: Vec<usize> = self.pool.of_build(previous).map(|(_, server)| server.place).collect();
        for place in (0..self.places).filter(|place| !restored.contains(place)) {
            self.start_server(now, place, previous);
        }
        self.cancel_starts(build);
        self.drain_replaced(now, build, previous, commands);
        self.lower_cap();
        let is_gone = self.pool.iter().all(|(_, server)| server.build != build);
        if is_gone && self.running_servers(previous) >= self.places {
            self.status.phase = PhaseName::Withdrawn;
            self.status.cap = 0.0;
        }
    }

    /// Removes the servers of a build that are still starting.
    fn cancel_starts(&mut self, build: u16) {
        let starting = self.pool.of_build(build).filter(|(_, server)| server.is_starting());
        let starting: Vec<u64> = starting.map(|(id, _)| id).collect();
        for server in starting {
            self.pool.remove(server);
        }
    }

    /// Lowers the cap to the build's remaining share of the places, times the ratio of cap to share in the
    /// first stage.
    fn lower_cap(&mut self) {
        let remaining = self.pool.of_build(self.status.build).count() as f64 / self.places as f64;
        let cap_per_share = self.plan.caps[0] / self.plan.stages[0];
        let bound = (remaining * cap_per_share).min(1.0);
        self.status.cap = if remaining == 0.0 { 0.0 } else { self.status.cap.min(bound) };
    }
}
