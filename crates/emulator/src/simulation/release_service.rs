//! The release service: the controller's state machine, the platform that moves servers, and votes.

use super::{Simulation, TICK_INTERVAL, WARM_UP};
use crate::error::SimulationError;
use crate::event_queue::SimulationEvent;
use crate::outcome::BuildOutcome;
use violetseam::interface as decisions;
use violetseam_invariants::{ObservedEvent, Phase as ObservedPhase};
use violetseam_plan::moment_of;
use violetseam_plan_simulation::platform::Platform;
use violetseam_release::{
    Announcement, Event, Now, Order, Phase, PlaceState, Release, Reply, Vote, VoteRateLimit,
};
use violetseam_simulated_site::scenario::{FaultKind, Scenario};

/// The wall clock's time at the start, UTC.
const START_TIME: &str = "2026-12-01T08:00";
/// How long a release that was rejected waits before it is offered again, in microseconds.
const OFFER_RETRY_INTERVAL: u64 = 10 * TICK_INTERVAL;

/// An announcement and since when it stands.
#[derive(Clone, Copy)]
struct TimedAnnouncement {
    at: u64,
    announcement: Announcement,
}

/// The controller and the platform.
pub(super) struct ReleaseService {
    release: Release,
    platform: Platform,
    vote_rate_limit: VoteRateLimit,
    /// All announcements, in the order of time.
    announcements: Vec<TimedAnnouncement>,
    /// The wall clock at the start, in microseconds.
    wall_clock_start: u64,
}

impl ReleaseService {
    pub fn new(scenario: &Scenario) -> Self {
        let rollout = &scenario.rollout;
        let release = Release::new(rollout.first_build);
        let places = scenario.servers.len() as u32;
        ReleaseService {
            platform: Platform::new(places, rollout.first_build, rollout.startup_time, rollout.drain_time),
            vote_rate_limit: VoteRateLimit::new(rollout.vote_rate_limit, 0),
            announcements: vec![TimedAnnouncement { at: 0, announcement: release.announcement() }],
            wall_clock_start: moment_of(START_TIME, "UTC").unwrap_or(0),
            release,
        }
    }

    /// Starts the controller with what the platform runs, and returns its first announcement.
    pub fn start(&mut self) -> Announcement {
        let now = self.clocks(0);
        self.release.on_event(now, &Event::Started);
        for (place, build, state) in self.platform.all() {
            self.release.on_event(now, &Event::Place { place, build, state });
        }
        self.release.announcement()
    }

    fn clocks(&self, now: u64) -> Now {
        Now { wall: self.wall_clock_start + now, steady: now }
    }

    /// The announcement that stood at a moment.
    fn announcement_at(&self, at: u64) -> Option<Announcement> {
        let standing = self.announcements.iter().rev().find(|timed| timed.at <= at);
        standing.or(self.announcements.first()).map(|timed| timed.announcement)
    }
}

impl Simulation {
    /// The platform moves on, and the controller looks at the time.
    pub(super) fn on_controller_tick(&mut self) {
        let now = self.cluster.now;
        for (place, build, state) in self.release_service.platform.advance(now) {
            match state {
                PlaceState::Running => self.cluster.start_server(place, build),
                PlaceState::Gone => self.cluster.end_server(place, build),
                PlaceState::Starting | PlaceState::Draining => {}
            }
            self.apply_release_event(&Event::Place { place, build, state });
        }
        self.apply_release_event(&Event::Tick);
        let desired = self.release_service.release.desired_builds();
        if !desired.is_empty() {
            for (place, build, state) in self.release_service.platform.want(now, &desired) {
                if state == PlaceState::Draining {
                    self.cluster.drain_server(place, build);
                }
                self.apply_release_event(&Event::Place { place, build, state });
            }
        }
        self.cluster.queue.schedule(now + TICK_INTERVAL, SimulationEvent::ControllerTick);
    }

    /// Gives the controller an event. What it announces reaches the proxies as late as the scenario says.
    fn apply_release_event(&mut self, event: &Event) -> Reply {
        let at = self.cluster.now;
        let service = &mut self.release_service;
        let before = service.release.announcement();
        let reply = service.release.on_event(service.clocks(at), event).reply;
        let announcement = service.release.announcement();
        if announcement == before {
            return reply;
        }
        service.announcements.push(TimedAnnouncement { at, announcement });
        self.collect_build_outcome(announcement, before.build);
        let arrives_at = at + self.status_delay();
        let status = release_status(announcement);
        for proxy in 0..self.proxies.len() {
            self.cluster.queue.schedule(arrives_at, SimulationEvent::ReleaseStatus { proxy, status });
        }
        reply
    }

    /// Notes what an announcement says of its build.
    fn collect_build_outcome(&mut self, announcement: Announcement, build_before: u16) {
        let build = announcement.build;
        let scenario_time = self.cluster.now.saturating_sub(WARM_UP);
        let builds = &mut self.collector.outcome.builds;
        if build != build_before {
            builds.push(BuildOutcome {
                build,
                defective: self.cluster.build(build).is_defective(),
                began_at: scenario_time,
                released_at: None,
                rolled_back_at: None,
            });
            self.cluster.newest_build = build;
        }
        let Some(outcome) = builds.last_mut().filter(|outcome| outcome.build == build) else { return };
        match announcement.phase {
            Phase::Released => {
                outcome.released_at.get_or_insert(scenario_time);
            }
            Phase::RollingBack => {
                outcome.rolled_back_at.get_or_insert(scenario_time);
            }
            Phase::Trial | Phase::Withdrawn => {}
        }
    }

    /// How late proxies get the release status.
    fn status_delay(&self) -> u64 {
        let fault_delay = self.cluster.fault_delay(FaultKind::ReleaseServiceDelay);
        self.cluster.scenario.rollout.status_delay + fault_delay
    }

    /// A vote reaches the controller.
    pub(super) fn on_vote(&mut self, vote: Vote) {
        let now = self.cluster.now;
        let proxy = vote.proxy as usize;
        let arrives_at = now + self.cluster.scenario.rollout.vote_latency / 2;
        let outcome = self.count_vote(vote);
        // As late as every status: a reply does not overtake the stream.
        let seen_at = now.saturating_sub(self.status_delay());
        let announcement = self.release_service.announcement_at(seen_at);
        let status = announcement.filter(|_| outcome == decisions::Outcome::Ok).map(release_status);
        let event = SimulationEvent::VoteReply { proxy, outcome, status };
        self.cluster.queue.schedule(arrives_at, event);
    }

    fn count_vote(&mut self, vote: Vote) -> decisions::Outcome {
        if self.cluster.active_fault(FaultKind::ReleaseServiceErrors).is_some() {
            return decisions::Outcome::Error;
        }
        if !self.release_service.vote_rate_limit.try_take(self.cluster.now) {
            return decisions::Outcome::Rejected;
        }
        match self.apply_release_event(&Event::Vote(vote)) {
            Reply::Accepted => decisions::Outcome::Ok,
            Reply::Obsolete(_) => decisions::Outcome::NotSent,
            Reply::Rejected(_) => decisions::Outcome::Error,
        }
    }

    /// A release is offered, and again later if it is rejected. A release on trial is sent back for it.
    pub(super) fn on_release_offer(&mut self, release: usize) -> Result<(), SimulationError> {
        let now = self.release_service.clocks(self.cluster.now);
        let script = violetseam_scenarios::release_plan::script(&self.cluster.scenario, release);
        let plan = violetseam_plan::read_text("day", &script, &[], now.wall)
            .map_err(|faults| SimulationError::Plan { release, faults })?;
        let reply = self.apply_release_event(&Event::Offer(Box::new(plan)));
        let Reply::Rejected(reason) = reply else { return Ok(()) };
        if reason.contains("on trial") {
            self.apply_release_event(&Event::Order { who: "lab".into(), order: Order::Back });
        }
        let retry_at = self.cluster.now + OFFER_RETRY_INTERVAL;
        self.cluster.queue.schedule(retry_at, SimulationEvent::ReleaseOffer { release });
        Ok(())
    }

    /// The release status reaches a proxy.
    pub(super) fn on_release_status(&mut self, proxy: usize, status: decisions::ReleaseStatus) {
        self.observe_release_status(proxy, status);
        self.proxies[proxy].engine.on_release_status(self.cluster.now, status);
        self.run_engine_actions(proxy);
    }

    /// The controller's reply to a vote reaches its proxy.
    pub(super) fn on_vote_reply(
        &mut self,
        proxy: usize,
        outcome: decisions::Outcome,
        status: Option<decisions::ReleaseStatus>,
    ) {
        if let Some(status) = status {
            self.observe_release_status(proxy, status);
        }
        self.proxies[proxy].engine.on_vote_reply(self.cluster.now, outcome, status);
        self.run_engine_actions(proxy);
    }

    fn observe_release_status(&mut self, proxy: usize, status: decisions::ReleaseStatus) {
        let phase = match status.phase {
            decisions::Phase::Trial => ObservedPhase::Trial,
            decisions::Phase::RollingBack => ObservedPhase::RollingBack,
            decisions::Phase::Released => ObservedPhase::Released,
            decisions::Phase::Withdrawn => ObservedPhase::Withdrawn,
        };
        self.cluster.observe(ObservedEvent::ReleaseStatusSent {
            proxy: proxy as u32,
            build: status.build,
            stage: status.stage,
            phase,
            cap: status.cap,
        });
    }
}

/// An announcement as proxies get it.
pub(super) fn release_status(announcement: Announcement) -> decisions::ReleaseStatus {
    let phase = match announcement.phase {
        Phase::Trial => decisions::Phase::Trial,
        Phase::RollingBack => decisions::Phase::RollingBack,
        Phase::Released => decisions::Phase::Released,
        Phase::Withdrawn => decisions::Phase::Withdrawn,
    };
    decisions::ReleaseStatus {
        build: announcement.build,
        stage: announcement.stage,
        phase,
        cap: announcement.cap,
    }
}
