//! What a fleet of engines consists of, and the settings and servers of each.

use violetseam::interface::{
    Build, GateMode, Idempotency, Limits, Micros, Phase, ReleaseStatus, RequestClass, Rollout, ServerEntry,
    ServerId, ServerStatus, ServiceRules, Settings,
};

/// The build that is on trial; the one before it runs on all other servers.
pub const TRIAL_BUILD: Build = 2;
/// One server in so many runs the build on trial.
const TRIAL_SERVER_INTERVAL: usize = 4;
/// The first stage's cap on attempts at the build on trial.
const FIRST_STAGE_CAP: f64 = 0.25;

/// Where the status of builds comes from and the votes go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseSource {
    /// A build is on trial from the start and stays so; every vote is accepted after a while.
    OnTrial,
    /// The newest build was released before the start.
    Released,
    /// A controller outside the fleet: see [`EngineFleet::take_votes`], [`EngineFleet::on_vote_reply`] and
    /// [`EngineFleet::on_release_status`].
    ///
    /// [`EngineFleet::take_votes`]: super::EngineFleet::take_votes
    /// [`EngineFleet::on_vote_reply`]: super::EngineFleet::on_vote_reply
    /// [`EngineFleet::on_release_status`]: super::EngineFleet::on_release_status
    ExternalController,
}

impl ReleaseSource {
    /// The status that each proxy has from the start; none where a controller will send it.
    pub(super) fn initial_status(self) -> Option<ReleaseStatus> {
        let status = |phase, cap| ReleaseStatus { build: TRIAL_BUILD, stage: 0, phase, cap };
        match self {
            ReleaseSource::OnTrial => Some(status(Phase::Trial, FIRST_STAGE_CAP)),
            ReleaseSource::Released => Some(status(Phase::Released, 1.0)),
            ReleaseSource::ExternalController => None,
        }
    }
}

/// What a fleet of engines consists of.
#[derive(Clone, Copy, Debug)]
pub struct FleetConfig {
    /// Proxies.
    pub proxies: usize,
    /// Servers on each proxy's list.
    pub servers: usize,
    /// Mean requests a second that each proxy takes, at random times.
    pub request_rate: f64,
    /// How long a vote stands, in microseconds.
    pub vote_ttl: Micros,
    /// Where the status of builds comes from and the votes go to.
    pub release_source: ReleaseSource,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// Settings of one proxy: two classes, stages that move by a share of all votes.
pub(super) fn proxy_settings(config: &FleetConfig, position: usize) -> Settings {
    Settings {
        classes: vec![request_class(Idempotency::Idempotent), request_class(Idempotency::NonIdempotent)],
        rollout: rollout(config),
        limits: Limits { max_attempts: 3, cancel: true, gossip: true, ..Limits::default() },
        rules: ServiceRules {
            deadline_grace: 20_000,
            poll_interval_max: 10_000_000,
            slow_start_floor: 0.5,
            slow_start_span: 1_000_000,
            drain_grace: 2_000_000,
            overload_multiple: 3.0,
            overload_span: 1_000_000,
        },
        fleet_size: config.proxies,
        position,
        tick: 5_000,
        ..Settings::default()
    }
}

fn request_class(idempotency: Idempotency) -> RequestClass {
    RequestClass {
        latency_objective: 200_000,
        deadline: super::REQUEST_DEADLINE,
        idempotency,
        priority_weight: 1.0,
        late_weight: 0.5,
        ..RequestClass::default()
    }
}

fn rollout(config: &FleetConfig) -> Rollout {
    let half = (config.proxies as f64 / 2.0).max(1.0);
    Rollout {
        gate: GateMode::Share,
        stage_caps: vec![FIRST_STAGE_CAP, 1.0],
        exposure_window: 2_000_000,
        exposure_slack: 2.0,
        vote_ttl: config.vote_ttl,
        vote_timeout: 1_000_000,
        votes_to_promote: half,
        votes_to_roll_back: half,
        vote_rate_limit: 1e6,
        ..Rollout::default()
    }
}

/// The list that each proxy has: every fourth server runs the build on trial.
pub(super) fn server_list(count: usize) -> Vec<ServerEntry> {
    let entry = |number: usize| ServerEntry {
        id: number as ServerId + 1,
        zone: 0,
        build: if number.is_multiple_of(TRIAL_SERVER_INTERVAL) { TRIAL_BUILD } else { TRIAL_BUILD - 1 },
        cell: 0,
        status: ServerStatus::Ready,
        size: 1.0,
        started_at: 0,
    };
    (0..count).map(entry).collect()
}
