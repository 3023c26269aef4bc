//! Tests of the simulated release service: stages, votes and rollback.

use violetseam_simulated_site::model::release_service::{ReleaseService, ServerCommand};
use violetseam_simulated_site::scenario::{GateMode, Release, Rollout};
use violetseam_site_protocol::release_service::{PhaseName, VerdictName, Vote, VoteOutcome};

const MILLISECOND: u64 = 1_000;
const SECOND: u64 = 1_000 * MILLISECOND;
const STEP: u64 = 20 * MILLISECOND;
const PROXIES: usize = 2;
const PLACES: usize = 4;

fn rollout() -> Rollout {
    Rollout {
        gate: GateMode::Any,
        keep_previous_build: false,
        stages: vec![0.5, 1.0],
        caps: vec![0.6, 1.0],
        votes_to_promote: 0.0,
        votes_to_hold: 0.0,
        votes_to_roll_back: 0.0,
        vote_lifetime: 4 * SECOND,
        bake: SECOND,
        stage_duration: 0,
        startup_time: 500 * MILLISECOND,
        drain_time: 500 * MILLISECOND,
        resend_interval: 2 * SECOND,
        status_delay: 0,
        vote_latency: 0,
        vote_timeout: SECOND,
        vote_rate_limit: 100.0,
        report_share: 0.0,
        report_delay: 0,
        false_report_share: 0.0,
        idempotent_only_stages: 0,
        sticky_to_new_build: false,
        exposure_window: SECOND,
        exposure_slack: 0.0,
        exposure_per_class: false,
        first_build: 100,
    }
}

/// A release service with one release, and the commands that it has issued.
struct Run {
    service: ReleaseService,
    now: u64,
    commands: Vec<ServerCommand>,
}

impl Run {
    fn new(rollout: Rollout) -> Run {
        let release = Release { at: SECOND, defect: None, severity: 0.0, speed: 1.0 };
        let service = ReleaseService::new(rollout, vec![release], PROXIES, PLACES);
        Run { service, now: 0, commands: Vec::new() }
    }

    /// Advances the service by a span, one step after another.
    fn advance(&mut self, span: u64) {
        let until = self.now + span;
        while self.now < until {
            self.now += STEP;
            self.service.advance(self.now, false, &mut self.commands);
        }
    }

    /// Votes for the first proxy on the current build and stage.
    fn vote(&mut self, verdict: VerdictName) -> VoteOutcome {
        let status = self.service.status();
        let vote = Vote { proxy: 0, build: status.build, stage: status.stage, verdict };
        self.service.vote(self.now, &vote)
    }
}

#[test]
fn votes_promote_a_build_through_its_stages_to_release() {
    let mut run = Run::new(rollout());
    run.advance(4 * SECOND);
    let status = run.service.status();
    assert_eq!((status.build, status.stage, status.phase), (101, 0, PhaseName::Trial));
    assert_eq!(status.cap, 0.6);
    assert_eq!(run.vote(VerdictName::On), VoteOutcome::Ok);
    run.advance(SECOND);
    assert_eq!(run.service.status().stage, 1);
    run.advance(3 * SECOND);
    assert_eq!(run.vote(VerdictName::On), VoteOutcome::Ok);
    run.advance(2 * SECOND);
    assert_eq!(run.service.status().phase, PhaseName::Released);
    let starts = run.commands.iter().filter(|command| matches!(command, ServerCommand::Start { .. }));
    let stops = run.commands.iter().filter(|command| matches!(command, ServerCommand::Stop { .. }));
    assert_eq!((starts.count(), stops.count()), (PLACES, PLACES));
    assert!(run.service.outcomes()[0].released_at.is_some());
}

#[test]
fn a_vote_to_roll_back_restores_the_previous_build() {
    let mut run = Run::new(rollout());
    run.advance(4 * SECOND);
    assert_eq!(run.vote(VerdictName::Back), VoteOutcome::Ok);
    run.advance(STEP);
    assert_eq!(run.service.status().phase, PhaseName::RollingBack);
    run.advance(3 * SECOND);
    let status = run.service.status();
    assert_eq!((status.phase, status.cap), (PhaseName::Withdrawn, 0.0));
    let outcome = &run.service.outcomes()[0];
    assert!(outcome.rolled_back_at.is_some() && outcome.released_at.is_none());
}

#[test]
fn votes_above_the_rate_limit_are_rejected() {
    let mut run = Run::new(Rollout { vote_rate_limit: 1.0, ..rollout() });
    run.advance(4 * SECOND);
    let outcomes: Vec<VoteOutcome> = (0..3).map(|_| run.vote(VerdictName::On)).collect();
    assert_eq!(outcomes, [VoteOutcome::Ok, VoteOutcome::Ok, VoteOutcome::RateLimited]);
}

#[test]
fn a_vote_on_another_stage_has_no_effect() {
    let mut run = Run::new(rollout());
    run.advance(4 * SECOND);
    let vote = Vote { proxy: 0, build: 101, stage: 1, verdict: VerdictName::On };
    assert_eq!(run.service.vote(run.now, &vote), VoteOutcome::Obsolete);
    let unknown_proxy = Vote { proxy: PROXIES, ..vote };
    assert_eq!(run.service.vote(run.now, &unknown_proxy), VoteOutcome::Error);
}
