//! Stages of a build on trial: starts the servers of each stage, and promotes by votes or by time.

use super::{ReleaseService, ServerCommand};
use crate::scenario::GateMode;
use violetseam_site_protocol::release_service::{PhaseName, VerdictName};

impl ReleaseService {
    /// Performs the next steps of the current stage of a build on trial.
    pub(super) fn advance_stage(&mut self, now: u64, commands: &mut Vec<ServerCommand>) {
        let build = self.status.build;
        let wanted = self.wanted_servers();
        self.start_missing(now, wanted);
        if !self.plan.keep_previous_build {
            self.drain_replaced(now, self.previous_build, build, commands);
        }
        let is_running = self.running_servers(build) >= wanted;
        let Some(settled_at) = self.clock.settle(now, is_running) else { return };
        self.clock.set_paused(now, self.is_paused_by_votes());
        if self.has_votes_to_roll_back() {
            return self.roll_back(now);
        }
        if self.may_promote(now, settled_at) {
            self.promote(now, commands);
        }
    }

    /// Number of servers of the new build in the current stage.
    fn wanted_servers(&self) -> usize {
        let share = self.plan.stages[usize::from(self.status.stage)];
        ((share * self.places as f64).ceil() as usize).clamp(1, self.places)
    }

    pub(super) fn running_servers(&self, build: u16) -> usize {
        self.pool.of_build(build).filter(|(_, server)| server.is_running()).count()
    }

    /// Starts servers of the new build until it has the wanted number of them.
    fn start_missing(&mut self, now: u64, wanted: usize) {
        let build = self.status.build;
        let taken: Vec<usize> = self.pool.of_build(build).map(|(_, server)| server.place).collect();
        // Steps of 7 spread the servers over the places, and so over zones and cells.
        let spread = (0..self.places).map(|i| (i * 7 + 3) % self.places.max(1));
        let candidates = spread.chain(0..self.places).filter(|place| !taken.contains(place));
        let mut chosen: Vec<usize> = Vec::new();
        for place in candidates {
            if taken.len() + chosen.len() < wanted && !chosen.contains(&place) {
                chosen.push(place);
            }
        }
        for place in chosen {
            self.start_server(now, place, build);
        }
    }

    /// Whether votes pause the clock of a stage that is promoted by time.
    fn is_paused_by_votes(&self) -> bool {
        self.plan.gate == GateMode::Timer
            && self.plan.votes_to_hold > 0.0
            && self.has_votes(VerdictName::Hold, self.plan.votes_to_hold)
    }

    fn may_promote(&self, now: u64, settled_at: u64) -> bool {
        let age = now.saturating_sub(settled_at + self.clock.paused_time);
        let is_settled = now >= settled_at;
        match self.plan.gate {
            GateMode::Timer => is_settled && age >= self.plan.stage_duration,
            GateMode::Any | GateMode::Share => {
                let has_votes = self.has_votes(VerdictName::On, self.plan.votes_to_promote);
                is_settled && has_votes && age >= self.plan.bake
            }
        }
    }

    /// Advances to the next stage. After the last stage, releases the build and drains the previous one.
    fn promote(&mut self, now: u64, commands: &mut Vec<ServerCommand>) {
        self.votes.clear();
        let next_stage = usize::from(self.status.stage) + 1;
        if next_stage < self.plan.stages.len() {
            self.status.stage += 1;
            self.status.cap = self.plan.caps[next_stage];
            return self.clock.restart(now);
        }
        self.status.phase = PhaseName::Released;
        self.status.cap = 1.0;
        if let Some(outcome) = self.outcomes.last_mut() {
            outcome.released_at = Some(now);
        }
        let previous: Vec<u64> = self.pool.of_build(self.previous_build).map(|(id, _)| id).collect();
        for server in previous {
            self.drain(now, server, commands);
        }
    }
}
