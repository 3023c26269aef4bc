//! The release service: the controller's state machine, the platform that starts and drains servers, and the
//! proxies' votes.

use super::{Simulation, TICK_INTERVAL, WARM_UP};
use crate::error::SimulationError;
use crate::event_queue::SimulationEvent;
use crate::outcome::BuildOutcome;
use violetseam::interface as decisions;
use violetseam_invariants::{ObservedEvent, Phase as ObservedPhase};
use violetseam_plan::moment_of;
use violetseam_plan_simulation::platform::{PlaceReport, Platform};
use violetseam_release::{
    Announcement, Event, Now, Order, Phase, PlaceState, Release, Reply, Vote, VoteRateLimit,
};
use violetseam_simulated_site::scenario::{FaultKind, Scenario};

/// The wall-clock time at the start of the simulation, in UTC.
const START_TIME: &str = "2026-12-01T08:00";
/// The delay before a rejected release is offered again, in microseconds.
const OFFER_RETRY_INTERVAL: u64 = 10 * TICK_INTERVAL;

/// An announcement and the time at which it was made.
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
    /// All announcements so far, in the order of time.
    announcements: Vec<TimedAnnouncement>,
    /// The wall-clock time at the start of the simulation, in microseconds since 1970 UTC.
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

    /// Starts the controller, reports the platform's places to it, and returns its first announcement.
    pub fn start(&mut self) -> Announcement {
        let now = self.clocks(0);
        self.release.on_event(now, &Event::Started);
        for PlaceReport { place, build, state } in self.platform.reports() {
            self.release.on_event(now, &Event::Place { place, build, state });
        }
        self.release.announcement()
    }

    /// Returns the controller's wall and monotonic clocks at a simulated time.
    fn clocks(&self, now: u64) -> Now {
        Now { wall: self.wall_clock_start + now, steady: now }
    }

    /// Returns the announcement that was current at a time, or the first one for a time before it.
    fn announcement_at(&self, at: u64) -> Option<Announcement> {
        let current = self.announcements.iter().rev().find(|timed| timed.at <= at);
        current.or(self.announcements.first()).map(|timed| timed.announcement)
    }
}

impl Simulation {
    /// Advances the platform, gives the controller a tick, and has the platform run the builds that the
    /// controller desires.
    pub(super) fn on_controller_tick(&mut self) {
        let now = self.cluster.now;
        for PlaceReport { place, build, state } in self.release_service.platform.advance(now) {
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
            for PlaceReport { place, build, state } in self.release_service.platform.reconcile(now, &desired)
            {
                if state == PlaceState::Draining {
                    self.cluster.drain_server(place, build);
                }
                self.apply_release_event(&Event::Place { place, build, state });
            }
        }
        self.cluster.queue.schedule(now + TICK_INTERVAL, SimulationEvent::ControllerTick);
    }

    /// Applies an event to the controller. A new announcement reaches the proxies after the scenario's status
    /// delay.
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

    /// Records the start, release or rollback of a build that an announcement shows.
    fn collect_build_outcome(&mut self, announcement: Announcement, previous_build: u16) {
        let build = announcement.build;
        let scenario_time = self.cluster.now.saturating_sub(WARM_UP);
        let builds = &mut self.collector.outcome.builds;
        if build != previous_build {
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

    /// Returns the delay with which proxies receive the release status.
    fn status_delay(&self) -> u64 {
        let fault_delay = self.cluster.fault_delay(FaultKind::ReleaseServiceDelay);
        self.cluster.scenario.rollout.status_delay + fault_delay
    }

    /// Handles a proxy's vote that reaches the controller, and schedules the reply.
    pub(super) fn on_vote(&mut self, vote: Vote) {
        let now = self.cluster.now;
        let proxy = vote.proxy as usize;
        let arrives_at = now + self.cluster.scenario.rollout.vote_latency / 2;
        let outcome = self.count_vote(vote);
        // The status in a reply is as old as the one on the stream, so that a reply does not overtake the
        // stream.
        let status_time = now.saturating_sub(self.status_delay());
        let announcement = self.release_service.announcement_at(status_time);
        let status = announcement.filter(|_| outcome == decisions::Outcome::Ok).map(release_status);
        let event = SimulationEvent::VoteReply { proxy, outcome, status };
        self.cluster.queue.schedule(arrives_at, event);
    }

    /// Applies a vote, unless a fault or the rate limit prevents it, and returns how the proxy's call ends.
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

    /// Offers a release. If it is rejected because another release is on trial, that release is ordered back.
    /// A rejected release is offered again later.
    pub(super) fn on_release_offer(&mut self, release: usize) -> Result<(), SimulationError> {
        let now = self.release_service.clocks(self.cluster.now);
        let script = violetseam_scenarios::release_plan::script(&self.cluster.scenario, release);
        let plan = violetseam_plan::read_text("day", &script, &[], now.wall)
            .map_err(|errors| SimulationError::Plan { release, errors })?;
        let reply = self.apply_release_event(&Event::Offer(Box::new(plan)));
        let Reply::Rejected(reason) = reply else { return Ok(()) };
        if reason.contains("on trial") {
            self.apply_release_event(&Event::Order { who: "lab".into(), order: Order::Back });
        }
        let retry_at = self.cluster.now + OFFER_RETRY_INTERVAL;
        self.cluster.queue.schedule(retry_at, SimulationEvent::ReleaseOffer { release });
        Ok(())
    }

    /// Handles the release status that reaches a proxy.
    pub(super) fn on_release_status(&mut self, proxy: usize, status: decisions::ReleaseStatus) {
        self.observe_release_status(proxy, status);
        self.proxies[proxy].engine.on_release_status(self.cluster.now, status);
        self.run_engine_actions(proxy);
    }

    /// Handles the controller's reply to a vote that reaches the proxy.
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

    /// Records for the invariant checker that a proxy received the release status.
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

/// Converts an announcement to the release status that proxies receive.
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
