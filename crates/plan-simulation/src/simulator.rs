//! Runs a script against the controller's state machine.

mod scripted;
mod voters;

use crate::platform::{PlaceReport, Platform};
use crate::run::{Sample, SimulationRun, Step, TimelineEntry};
use crate::script::Script;
use scripted::ScheduledEvent;
use std::collections::VecDeque;
use violetseam_plan::{Micros, Plan};
use violetseam_release::{Announcement, Event, EventOutcome, Now, PlaceState, Release, Reply, VoteRateLimit};
use voters::VoterSchedule;

/// The most iterations of a simulation, so that every simulation ends.
const MAX_ITERATIONS: usize = 2_000_000;
/// How long a simulation continues after the longest duration that the plan permits, so that it covers a
/// rollback at that time completely: an hour, in microseconds.
const ROLLBACK_MARGIN: Micros = 3_600_000_000;

/// Simulates the release of a plan under a script. `observer` is called after every event, with the
/// decisions on it.
pub fn simulate(plan: &Plan, script: &Script, observer: &mut dyn FnMut(&Step)) -> SimulationRun {
    let mut simulator = Simulator::new(plan, script, observer);
    simulator.run_to_end();
    simulator.run.final_status = simulator.release.describe();
    simulator.run
}

/// The state of a simulation.
struct Simulator<'a> {
    plan: &'a Plan,
    script: &'a Script,
    release: Release,
    /// A copy that gets only the persisted events. It is the state with which a controller resumes after an
    /// outage.
    persisted_release: Release,
    platform: Platform,
    vote_rate_limit: VoteRateLimit,
    voters: Vec<VoterSchedule<'a>>,
    /// The scripted events that have not occurred yet, in the order of time.
    scripted_events: VecDeque<ScheduledEvent<'a>>,
    /// The time since the offer, in microseconds.
    elapsed: Micros,
    /// How far the controller's wall clock is ahead of the true time, in microseconds.
    wall_clock_offset: i64,
    /// When the release needs the next tick; `None` if it waits for no time to pass.
    next_tick: Option<Micros>,
    run: SimulationRun,
    observer: &'a mut dyn FnMut(&Step),
}

impl<'a> Simulator<'a> {
    fn new(plan: &'a Plan, script: &'a Script, observer: &'a mut dyn FnMut(&Step)) -> Self {
        let Script { initial_build, start_duration, drain_duration, .. } = *script;
        Simulator {
            plan,
            script,
            release: Release::new(initial_build),
            persisted_release: Release::new(initial_build),
            platform: Platform::new(plan.fleet.places, initial_build, start_duration, drain_duration),
            vote_rate_limit: VoteRateLimit::new(plan.fleet.votes_per_s, 0),
            voters: script.voters.iter().map(VoterSchedule::new).collect(),
            scripted_events: scripted::schedule(script),
            elapsed: 0,
            wall_clock_offset: 0,
            next_tick: Some(0),
            run: SimulationRun::default(),
            observer,
        }
    }

    /// Runs the simulation until the release is over or the end time is reached.
    fn run_to_end(&mut self) {
        if !self.offer_build() {
            return;
        }
        let end = self.script.end.unwrap_or(self.plan.longest + ROLLBACK_MARGIN);
        for _ in 0..MAX_ITERATIONS {
            let Some(next) = self.next_event_time().filter(|next| *next <= end) else { break };
            self.elapsed = self.elapsed.max(next);
            self.process_due_events();
            if self.is_over() {
                break;
            }
        }
    }

    /// Starts the controller and offers the build. Returns false if the offer is rejected.
    fn offer_build(&mut self) -> bool {
        self.apply(Event::Started);
        let reports = self.platform.reports();
        self.report_places(reports);
        match self.apply(Event::Offer(Box::new(self.plan.clone()))) {
            Reply::Accepted => {
                self.log(format!("build {} is offered", self.plan.build));
                true
            }
            Reply::Obsolete(reason) | Reply::Rejected(reason) => {
                self.log(format!("the offer is refused: {reason}"));
                false
            }
        }
    }

    /// Returns the time of the next tick, vote, scripted event or transition of the platform.
    fn next_event_time(&self) -> Option<Micros> {
        let next_vote = self.voters.iter().filter_map(|schedule| schedule.next_vote).min();
        let next_scripted = self.scripted_events.front().map(|scheduled| scheduled.at);
        let next_transition = self.platform.next_transition();
        [self.next_tick, next_vote, next_scripted, next_transition].into_iter().flatten().min()
    }

    /// Processes everything that is due now, with a tick of the release after the other events.
    fn process_due_events(&mut self) {
        let reports = self.platform.advance(self.elapsed);
        self.report_places(reports);
        while let Some(event) = self.take_scripted_event() {
            self.apply_scripted_event(event);
        }
        self.cast_votes();
        let announcement = self.release.announcement();
        self.apply(Event::Tick);
        if self.release.announcement() != announcement {
            self.bring_votes_forward();
        }
        self.reconcile_platform();
        self.next_tick = self.release.next_due().map(|span| self.elapsed + span.max(1));
    }

    /// Whether the release of the plan's build has ended and the platform has completed its transitions.
    fn is_over(&self) -> bool {
        let is_plan_build = self.release.announcement().build == self.plan.build;
        is_plan_build && self.release.is_settled() && self.platform.next_transition().is_none()
    }

    fn now(&self) -> Now {
        let true_time = self.script.start + self.elapsed;
        Now { wall: true_time.saturating_add_signed(self.wall_clock_offset), steady: self.elapsed }
    }

    fn log(&mut self, text: impl Into<String>) {
        self.run.timeline.push(TimelineEntry { at: self.elapsed, text: text.into() });
    }

    /// Applies an event to the release, and records the result.
    fn apply(&mut self, event: Event) -> Reply {
        let now = self.now();
        let before = self.release.announcement();
        let EventOutcome { reply, changed: must_persist } = self.release.on_event(now, &event);
        if must_persist {
            self.persisted_release.on_event(now, &event);
        }
        let after = self.release.announcement();
        self.record_announcement(before, after);
        let desired_builds = self.release.desired_builds();
        let step = Step { now, event, reply, must_persist, before, after, desired_builds };
        (self.observer)(&step);
        step.reply
    }

    fn record_announcement(&mut self, before: Announcement, after: Announcement) {
        if before == after {
            return;
        }
        self.run.announcements.push(Sample { at: self.elapsed, value: after });
        let is_only_cap_changed =
            (before.build, before.stage, before.phase) == (after.build, after.stage, after.phase);
        if !is_only_cap_changed {
            self.log(self.release.describe());
        }
    }

    /// Reports the state of places to the release, and records how many places run the new build.
    fn report_places(&mut self, reports: Vec<PlaceReport>) {
        for PlaceReport { place, build, state } in reports {
            self.apply(Event::Place { place, build, state });
        }
        let is_running_new_build =
            |report: &&PlaceReport| report.build == self.plan.build && report.state == PlaceState::Running;
        let running = self.platform.reports().iter().filter(is_running_new_build).count();
        if self.run.running_places.last().map(|sample| sample.value) != Some(running) {
            self.run.running_places.push(Sample { at: self.elapsed, value: running });
        }
    }

    /// Has the platform start and drain builds as the release desires, and reports the changes to the
    /// release.
    fn reconcile_platform(&mut self) {
        let desired = self.release.desired_builds();
        if !desired.is_empty() {
            let reports = self.platform.reconcile(self.elapsed, &desired);
            self.report_places(reports);
        }
    }
}
