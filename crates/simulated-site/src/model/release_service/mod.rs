//! The simulated release service. It offers builds in stages, counts the proxies' votes, and starts and
//! drains servers.
//!
//! Each server occupies a place. A stage runs the new build in a share of the places. Depending on the
//! rollout, the server of the previous build either stays in its place until the release, or drains once the
//! server of the new build runs. When a build is rolled back, servers of the previous build replace it; they
//! are started again in the places where they have stopped.

mod pool;
mod rollback;
mod stage_clock;
mod stages;
mod votes;

pub use pool::{PooledServer, ServerCommand, ServerPool};

use crate::scenario::{GateMode, Release, Rollout};
use stage_clock::StageClock;
use violetseam_site_protocol::release_service::{PhaseName, ReleaseUpdate, VerdictName, Vote, VoteOutcome};
use votes::{VoteRateLimit, Votes, is_for_any_stage, matches_status};

/// The history of a build that was offered. Times are in microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BuildOutcome {
    /// The build.
    pub build: u16,
    /// When the build was offered.
    pub offered_at: u64,
    /// When the build was released, if it was.
    pub released_at: Option<u64>,
    /// When the build was rolled back or withdrawn, if it was.
    pub rolled_back_at: Option<u64>,
}

impl BuildOutcome {
    /// Creates the history of a build that is offered now.
    pub fn offered(build: u16, now: u64) -> Self {
        BuildOutcome { build, offered_at: now, released_at: None, rolled_back_at: None }
    }
}

/// The simulated release service.
#[derive(Debug)]
pub struct ReleaseService {
    plan: Rollout,
    releases: Vec<Release>,
    /// Number of releases that have been offered so far.
    offered: usize,
    proxies: usize,
    places: usize,
    pool: ServerPool,
    status: ReleaseUpdate,
    /// The build that a rollback of the current one restores.
    previous_build: u16,
    clock: StageClock,
    votes: Votes,
    rate_limit: VoteRateLimit,
    outcomes: Vec<BuildOutcome>,
}

impl ReleaseService {
    /// Creates a service in which every place runs the first build.
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

    /// The current release status.
    pub fn status(&self) -> ReleaseUpdate {
        self.status
    }

    /// The history of each build that has been offered, in the order of the offers.
    pub fn outcomes(&self) -> &[BuildOutcome] {
        &self.outcomes
    }

    /// Performs all work that is due and appends commands for the servers. While the service is down
    /// (`is_down`), only the platform's own work goes on: servers that start or drain finish doing so.
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

    /// Offers the next build once its time has come and all servers are running. A build that is still on
    /// trial then is rolled back first.
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
        self.status = ReleaseUpdate {
            build,
            stage: 0,
            phase: PhaseName::Trial,
            cap: self.plan.caps[0],
            fence: 0,
            revision: 0,
        };
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

    fn start_server(&mut self, now: u64, place: usize, build: u16) {
        self.pool.start(place, build, now + self.plan.startup_time);
    }

    fn drain(&mut self, now: u64, server: u64, commands: &mut Vec<ServerCommand>) {
        if self.pool.drain(server, now + self.plan.drain_time).is_some() {
            commands.push(ServerCommand::Drain { server });
        }
    }

    /// Drains each server of the build `old` whose place also has a running server of the build `new`.
    fn drain_replaced(&mut self, now: u64, old: u16, new: u16, commands: &mut Vec<ServerCommand>) {
        let running = self.pool.iter().filter(|(_, server)| server.build == new && server.is_running());
        let places: Vec<usize> = running.map(|(_, server)| server.place).collect();
        let replaced = self.pool.of_build(old).filter(|(_, server)| places.contains(&server.place));
        let replaced: Vec<u64> = replaced.map(|(id, _)| id).collect();
        for server in replaced {
            self.drain(now, server, commands);
        }
    }

    fn has_votes_to_roll_back(&self) -> bool {
        self.has_votes(VerdictName::Back, self.plan.votes_to_roll_back)
    }

    /// Whether enough proxies have voted for a verdict: one proxy under [`GateMode::Any`], otherwise the
    /// given share of all proxies.
    fn has_votes(&self, verdict: VerdictName, share: f64) -> bool {
        let needed = match self.plan.gate {
            GateMode::Any => 1,
            GateMode::Share | GateMode::Timer => ((share * self.proxies as f64).ceil() as usize).max(1),
        };
        self.votes.count(verdict, &self.status) >= needed
    }

    /// Records a proxy's vote, or removes the recorded one if the verdict is to withdraw it. Votes above the
    /// rate limit, from unknown proxies or without any effect are not recorded.
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

    /// Whether a vote can have an effect under this gate, in the current phase and for the current status.
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

/// The release status before any build is offered: `build` is released.
pub fn initial_status(build: u16) -> ReleaseUpdate {
    ReleaseUpdate { build, stage: 0, phase: PhaseName::Released, cap: 1.0, fence: 0, revision: 0 }
}
