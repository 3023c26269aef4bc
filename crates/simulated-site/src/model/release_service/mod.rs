//! The simulated release service: offers builds in stages, counts votes, starts and drains servers.
//!
//! Servers stand in places. A stage wants the new build in its share of them; the previous server of a place
//! stays until the release, or drains once its successor runs, as the rollout says. A build that is rolled back
//! is replaced by the previous one, which is started again where it has ended.

mod pool;
mod votes;

pub use pool::{PooledServer, ServerCommand, ServerPool};

use crate::scenario::{GateMode, Release, Rollout};
use violetseam_site_protocol::release_service::{PhaseName, ReleaseUpdate, VerdictName, Vote, VoteOutcome};
use votes::{VoteRateLimit, Votes, is_for_any_stage, matches_status};

/// A stage's clock starts so long after all its servers run, in microseconds ...
const STAGE_SETTLE_TIME: u64 = 1_000_000;
/// ... or so long after their launch at the latest.
const MAX_LAUNCH_TIME: u64 = 8_000_000;

/// What became of a build.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BuildOutcome {
    /// The build.
    pub build: u16,
    /// When it was offered.
    pub offered_at: u64,
    /// When it was released.
    pub released_at: Option<u64>,
    /// When it was rolled back or withdrawn.
    pub rolled_back_at: Option<u64>,
}

impl BuildOutcome {
    /// A build that is offered now.
    pub fn offered(build: u16, now: u64) -> Self {
        BuildOutcome { build, offered_at: now, released_at: None, rolled_back_at: None }
    }
}

/// Times of the present stage.
#[derive(Debug, Default)]
struct StageClock {
    launched_at: u64,
    /// When the stage's own time begins.
    settled_at: Option<u64>,
    /// Time that does not count, because the clock was held or the service was down.
    held: u64,
    held_since: Option<u64>,
    down_since: Option<u64>,
}

impl StageClock {
    fn restart(&mut self, now: u64) {
        self.launched_at = now;
        self.settled_at = None;
        self.held = 0;
    }

    fn stop(&mut self, now: u64) {
        self.down_since.get_or_insert(now);
    }

    /// Goes on after a stop.
    fn resume(&mut self, now: u64) {
        let Some(since) = self.down_since.take() else { return };
        if let Some(settled_at) = self.settled_at {
            self.held += now.saturating_sub(since.max(settled_at));
        }
    }

    /// Counts the time since the last turn as held, if it was.
    fn set_held(&mut self, now: u64, is_held: bool) {
        if let Some(since) = self.held_since.take() {
            self.held += now.saturating_sub(since);
        }
        self.held_since = is_held.then_some(now);
    }

    /// When the stage's own time begins, once that is known.
    fn settle(&mut self, now: u64, is_running: bool) -> Option<u64> {
        let is_due = is_running || now >= self.launched_at + MAX_LAUNCH_TIME;
        if self.settled_at.is_none() && is_due {
            self.settled_at = Some(now + STAGE_SETTLE_TIME);
        }
        self.settled_at
    }
}

/// The release service.
#[derive(Debug)]
pub struct ReleaseService {
    plan: Rollout,
    releases: Vec<Release>,
    /// How many of the releases have been offered.
    offered: usize,
    proxies: usize,
    places: usize,
    pool: ServerPool,
    status: ReleaseUpdate,
    /// The build that runs everywhere before the newest.
    previous_build: u16,
    clock: StageClock,
    votes: Votes,
    rate_limit: VoteRateLimit,
    outcomes: Vec<BuildOutcome>,
}

impl ReleaseService {
    /// A service whose places all run the first build.
    pub fn new(plan: Rollout, releases: Vec<Release>, proxies: usize, places: usize) -> Self {
        let build = plan.first_build;
        ReleaseService {
            releases,
            offered: 0,
            proxies,
            places,
            pool: ServerPool::running(places, build),
            status: initial_status(build),
            previous_build: build,
            clock: StageClock::default(),
            votes: Votes::default(),
            rate_limit: VoteRateLimit::new(plan.vote_rate_limit),
            outcomes: Vec::new(),
            plan,
        }
    }

    /// The present release status.
    pub fn status(&self) -> ReleaseUpdate {
        self.status
    }

    /// What became of each build.
    pub fn outcomes(&self) -> &[BuildOutcome] {
        &self.outcomes
    }

    /// Does what is due. `is_down`: the service does nothing but what the platform does by itself.
    pub fn advance(&mut self, now: u64, is_down: bool, commands: &mut Vec<ServerCommand>) {
        commands.extend(self.pool.advance(now).into_iter().map(ServerCommand::from));
        if is_down {
            return self.clock.stop(now);
        }
        self.clock.resume(now);
        self.votes.remove_expired(now);
        self.offer_next(now);
        match self.status.phase {
            PhaseName::Trial => self.advance_stage(now, commands),
            PhaseName::RollingBack => self.advance_rollback(now, commands),
            PhaseName::Released if self.has_votes_to_roll_back() => {
                if self.previous_build != self.status.build {
                    self.roll_back(now);
                }
            }
            PhaseName::Released | PhaseName::Withdrawn => {}
        }
    }

    /// Offers the next build once its time has come. A build on trial makes way for it.
    fn offer_next(&mut self, now: u64) {
        let is_due = self.releases.get(self.offered).is_some_and(|release| release.at <= now);
        if !is_due {
            return;
        }
        if self.status.phase == PhaseName::Trial {
            self.roll_back(now);
        }
        let is_free = matches!(self.status.phase, PhaseName::Released | PhaseName::Withdrawn);
        if is_free && self.pool.iter().all(|(_, server)| server.is_running()) {
            self.offer(now);
        }
    }

    fn offer(&mut self, now: u64) {
        if self.status.phase == PhaseName::Released {
            self.previous_build = self.status.build;
        }
        self.offered += 1;
        let build = self.plan.first_build + self.offered as u16;
        self.status =
            ReleaseUpdate { build, stage: 0, phase: PhaseName::Trial, cap: self.plan.caps[0], fence: 0 };
        self.outcomes.push(BuildOutcome::offered(build, now));
        self.clock.restart(now);
        self.votes.clear();
    }

    fn roll_back(&mut self, now: u64) {
        self.status.phase = PhaseName::RollingBack;
        if let Some(outcome) = self.outcomes.last_mut() {
            outcome.rolled_back_at = Some(now);
        }
        self.votes.clear();
    }

    fn launch(&mut self, now: u64, place: usize, build: u16) {
        self.pool.launch(place, build, now + self.plan.startup_time);
    }

    fn drain(&mut self, now: u64, server: u64, commands: &mut Vec<ServerCommand>) {
        if self.pool.drain(server, now + self.plan.drain_time).is_some() {
            commands.push(ServerCommand::Drain { server });
        }
    }

    /// Drains each server of one build whose place has a running server of another.
    fn drain_replaced(&mut self, now: u64, old: u16, new: u16, commands: &mut Vec<ServerCommand>) {
        let running = self.pool.iter().filter(|(_, server)| server.build == new && server.is_running());
        let places: Vec<usize> = running.map(|(_, server)| server.place).collect();
        let replaced = self.pool.of_build(old).filter(|(_, server)| places.contains(&server.place));
        let replaced: Vec<u64> = replaced.map(|(id, _)| id).collect();
        for server in replaced {
            self.drain(now, server, commands);
        }
    }

    /// A turn of a build on trial.
    fn advance_stage(&mut self, now: u64, commands: &mut Vec<ServerCommand>) {
        let build = self.status.build;
        let wanted = self.wanted_servers();
        self.launch_missing(now, wanted);
        if !self.plan.keep_previous_build {
            self.drain_replaced(now, self.previous_build, build, commands);
        }
        let is_running = self.running_servers(build) >= wanted;
        let Some(settled_at) = self.clock.settle(now, is_running) else { return };
        self.clock.set_held(now, self.is_held());
        if self.has_votes_to_roll_back() {
            return self.roll_back(now);
        }
        if self.may_promote(now, settled_at) {
            self.promote(now, commands);
        }
    }

    /// Servers of the new build that the present stage wants.
    fn wanted_servers(&self) -> usize {
        let share = self.plan.stages[usize::from(self.status.stage)];
        ((share * self.places as f64).ceil() as usize).clamp(1, self.places)
    }

    fn running_servers(&self, build: u16) -> usize {
        self.pool.of_build(build).filter(|(_, server)| server.is_running()).count()
    }

    /// Launches servers of the new build until there are as many as wanted.
    fn launch_missing(&mut self, now: u64, wanted: usize) {
        let build = self.status.build;
        let taken: Vec<usize> = self.pool.of_build(build).map(|(_, server)| server.place).collect();
        // Spread over the places, and so over zones and cells.
        let spread = (0..self.places).map(|i| (i * 7 + 3) % self.places.max(1));
        let candidates = spread.chain(0..self.places).filter(|place| !taken.contains(place));
        let mut chosen: Vec<usize> = Vec::new();
        for place in candidates {
            if taken.len() + chosen.len() < wanted && !chosen.contains(&place) {
                chosen.push(place);
            }
        }
        for place in chosen {
            self.launch(now, place, build);
        }
    }

    /// Whether votes hold the clock.
    fn is_held(&self) -> bool {
        self.plan.gate == GateMode::Timer
            && self.plan.votes_to_hold > 0.0
            && self.has_votes(VerdictName::Hold, self.plan.votes_to_hold)
    }

    fn may_promote(&self, now: u64, settled_at: u64) -> bool {
        let age = now.saturating_sub(settled_at + self.clock.held);
        let is_settled = now >= settled_at;
        match self.plan.gate {
            GateMode::Timer => is_settled && age >= self.plan.stage_duration,
            GateMode::Any | GateMode::Share => {
                let has_votes = self.has_votes(VerdictName::On, self.plan.votes_to_promote);
                is_settled && has_votes && age >= self.plan.bake
            }
        }
    }

    /// Goes on to the next stage, or releases the build after the last.
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

    /// A turn of a rollback: the cap falls with the number of servers of the build.
    fn advance_rollback(&mut self, now: u64, commands: &mut Vec<ServerCommand>) {
        let build = self.status.build;
        let previous = self.previous_build;
        let restored: Vec<usize> = self.pool.of_build(previous).map(|(_, server)| server.place).collect();
        for place in (0..self.places).filter(|place| !restored.contains(place)) {
            self.launch(now, place, previous);
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

    /// Removes servers of a build that do not run yet.
    fn cancel_starts(&mut self, build: u16) {
        let starting = self.pool.of_build(build).filter(|(_, server)| server.is_starting());
        let starting: Vec<u64> = starting.map(|(id, _)| id).collect();
        for server in starting {
            self.pool.remove(server);
        }
    }

    fn lower_cap(&mut self) {
        let remaining = self.pool.of_build(self.status.build).count() as f64 / self.places as f64;
        let cap_per_share = self.plan.caps[0] / self.plan.stages[0];
        let bound = (remaining * cap_per_share).min(1.0);
        self.status.cap = if remaining == 0.0 { 0.0 } else { self.status.cap.min(bound) };
    }

    fn has_votes_to_roll_back(&self) -> bool {
        self.has_votes(VerdictName::Back, self.plan.votes_to_roll_back)
    }

    /// Whether enough proxies vote so: one under [`GateMode::Any`], otherwise a share of all proxies.
    fn has_votes(&self, verdict: VerdictName, share: f64) -> bool {
        let needed = match self.plan.gate {
            GateMode::Any => 1,
            GateMode::Share | GateMode::Timer => ((share * self.proxies as f64).ceil() as usize).max(1),
        };
        self.votes.count(verdict, &self.status) >= needed
    }

    /// Counts a vote.
    pub fn vote(&mut self, now: u64, vote: &Vote) -> VoteOutcome {
        if !self.rate_limit.try_take(now) {
            return VoteOutcome::RateLimited;
        }
        if vote.proxy >= self.proxies {
            return VoteOutcome::Error;
        }
        if !self.is_vote_open(vote) {
            return VoteOutcome::Obsolete;
        }
        if vote.verdict == VerdictName::Withdraw {
            self.votes.remove(vote.proxy);
        } else {
            self.votes.insert(*vote, now + self.plan.vote_lifetime);
        }
        VoteOutcome::Ok
    }

    /// Whether a vote can still have an effect.
    fn is_vote_open(&self, vote: &Vote) -> bool {
        let is_timer = self.plan.gate == GateMode::Timer;
        let fits_gate = match vote.verdict {
            VerdictName::On => !is_timer,
            VerdictName::Hold => is_timer,
            VerdictName::Back | VerdictName::Withdraw => true,
        };
        let fits_phase = match self.status.phase {
            PhaseName::Trial => true,
            PhaseName::Released => is_for_any_stage(vote.verdict),
            PhaseName::RollingBack | PhaseName::Withdrawn => false,
        };
        fits_gate && fits_phase && matches_status(vote, &self.status)
    }
}

/// The status before any build is offered.
pub fn initial_status(build: u16) -> ReleaseUpdate {
    ReleaseUpdate { build, stage: 0, phase: PhaseName::Released, cap: 1.0, fence: 0 }
}
