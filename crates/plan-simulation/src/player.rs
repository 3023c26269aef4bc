//! Plays a script against the controller's decisions.

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

/// The most turns of a simulation, so that every one ends.
const MAX_TURNS: usize = 2_000_000;
/// How long a simulation goes on past the plan's longest, so that a rollback is seen to its end: an hour, in
/// microseconds.
const ROLLBACK_MARGIN: Micros = 3_600_000_000;

/// Plays a script; `observer` is called with every event and the decisions on it.
pub fn simulate(plan: &Plan, script: &Script, observer: &mut dyn FnMut(&Step)) -> SimulationRun {
    let mut player = Player::new(plan, script, observer);
    player.play();
    player.run.final_status = player.release.describe();
    player.run
}

struct Player<'a> {
    plan: &'a Plan,
    script: &'a Script,
    release: Release,
    /// A copy that gets the persisted events alone: what a controller that was down resumes with.
    persisted_release: Release,
    platform: Platform,
    vote_rate_limit: VoteRateLimit,
    voters: Vec<VoterSchedule<'a>>,
    /// The scripted events to come, in order.
    scripted_events: VecDeque<ScheduledEvent<'a>>,
    /// Microseconds from the offer.
    elapsed: Micros,
    /// How far the controller's wall clock is ahead of the true one, in microseconds.
    wall_clock_offset: i64,
    /// When the release is to be told the time next; none: no need.
    next_tick: Option<Micros>,
    run: SimulationRun,
    observer: &'a mut dyn FnMut(&Step),
}

impl<'a> Player<'a> {
    fn new(plan: &'a Plan, script: &'a Script, observer: &'a mut dyn FnMut(&Step)) -> Self {
        let Script { initial_build, start_duration, drain_duration, .. } = *script;
        Player {
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

    fn play(&mut self) {
        if !self.offer_build() {
            return;
        }
        let end = self.script.end.unwrap_or(self.plan.longest + ROLLBACK_MARGIN);
        for _ in 0..MAX_TURNS {
            let Some(next) = self.next_event().filter(|next| *next <= end) else { break };
            self.elapsed = self.elapsed.max(next);
            self.play_turn();
            if self.is_over() {
                break;
            }
        }
    }

    /// Starts the controller and offers the build; false if the offer is rejected.
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

    /// When something happens next.
    fn next_event(&self) -> Option<Micros> {
        let next_vote = self.voters.iter().filter_map(|schedule| schedule.next_vote).min();
        let next_scripted = self.scripted_events.front().map(|scheduled| scheduled.at);
        let next_transition = self.platform.next_transition();
        [self.next_tick, next_vote, next_scripted, next_transition].into_iter().flatten().min()
    }

    /// All that happens at one moment.
    fn play_turn(&mut self) {
        let reports = self.platform.advance(self.elapsed);
        self.report_places(reports);
        while let Some(event) = self.take_scripted_event() {
            self.play_scripted_event(event);
        }
        self.cast_votes();
        let announcement = self.release.announcement();
        self.apply(Event::Tick);
        if self.release.announcement() != announcement {
            self.hasten_votes();
        }
        self.reconcile_platform();
        self.next_tick = self.release.next_due().map(|span| self.elapsed + span.max(1));
    }

    fn is_over(&self) -> bool {
        let is_of_plan = self.release.announcement().build == self.plan.build;
        is_of_plan && self.release.is_settled() && self.platform.next_transition().is_none()
    }

    fn now(&self) -> Now {
        let true_time = self.script.start + self.elapsed;
        Now { wall: true_time.saturating_add_signed(self.wall_clock_offset), steady: self.elapsed }
    }

    fn log(&mut self, text: impl Into<String>) {
        self.run.timeline.push(TimelineEntry { at: self.elapsed, text: text.into() });
    }

    /// Gives the release an event, and records what comes of it.
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

    /// The platform starts and drains what the release desires, and reports it.
    fn reconcile_platform(&mut self) {
        let desired = self.release.desired_builds();
        if !desired.is_empty() {
            let reports = self.platform.reconcile(self.elapsed, &desired);
            self.report_places(reports);
        }
    }
}
