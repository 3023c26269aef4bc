//! The trial of a build: its current wave and the soak time in that wave.

use crate::Now;
use crate::places::Places;
use crate::plan_run::PlanRun;
use serde::{Deserialize, Serialize};
use violetseam_plan::{Micros, OnClose, Wave};

/// The trial of a build, from its first wave on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Trial {
    #[serde(rename = "course")]
    pub run: PlanRun,
    /// The index of the current wave in the plan.
    pub wave: usize,
    /// The time since the current wave or the rollback began.
    #[serde(rename = "in_wave")]
    pub wave_elapsed: Micros,
    /// How long the places of the current wave have been running the build; `None` until they do.
    #[serde(rename = "settled")]
    pub running_for: Option<Micros>,
    /// The soak time that has been counted in the current wave.
    pub soaked: Micros,
    /// The part of `soaked` that was counted since the last recorded event.
    #[serde(rename = "soaked_unkept")]
    pub soaked_unrecorded: Micros,
    /// Why the build is being rolled back or was; `None` if it is not.
    #[serde(rename = "why")]
    pub rollback_reason: Option<String>,
}

impl Trial {
    /// Begins the first wave of a plan.
    pub fn new(run: PlanRun) -> Self {
        let mut trial = Trial {
            run,
            wave: 0,
            wave_elapsed: 0,
            running_for: None,
            soaked: 0,
            soaked_unrecorded: 0,
            rollback_reason: None,
        };
        trial.begin_wave(0);
        trial
    }

    /// Begins a wave, and the hold that the plan defines before the next one.
    pub fn begin_wave(&mut self, wave: usize) {
        self.run.begin_hold_before(wave + 1);
        self.wave = wave;
        self.wave_elapsed = 0;
        self.running_for = None;
        self.soaked = 0;
        self.soaked_unrecorded = 0;
    }

    pub fn current_wave(&self) -> &Wave {
        &self.run.plan.waves[self.wave]
    }

    /// Counts `span` as time in the current wave, and at most `soak_span` of it as soak time. Nothing counts
    /// as soak time while an operator or the proxies' votes hold the wave, or while the calendar is closed
    /// (unless the wave may finish then). Returns whether an operator's hold has expired or the calendar has
    /// opened or closed.
    pub fn advance(&mut self, now: Now, span: Micros, soak_span: Micros, held_by_votes: bool) -> bool {
        let may_soak_now = self.run.window_open || self.current_wave().on_close == OnClose::Finish;
        if self.run.operator_hold.is_none() && !held_by_votes && may_soak_now {
            let soaked_span = soak_span.min(self.settled_part(span));
            self.soaked += soaked_span;
            self.soaked_unrecorded += soaked_span;
        }
        if let Some(running_for) = &mut self.running_for {
            *running_for += span;
        }
        self.run.advance(now, span)
    }

    /// Returns the part of a span that lies after the settle time of the places. The parts add up to the same
    /// soak time however events divide a span, so that a replay, which has only the recorded events, counts
    /// the same.
    fn settled_part(&self, span: Micros) -> Micros {
        let settle = self.run.plan.fleet.settle;
        self.running_for.map_or(0, |running_for| span.saturating_sub(settle.saturating_sub(running_for)))
    }

    /// Starts to measure how long the wave's places have been running the build: when all of them run it, or
    /// when some of them do and the launch limit has passed. Returns whether the measurement started now.
    pub fn update_running(&mut self, places: &Places, build: u16) -> bool {
        let wave_places = &self.current_wave().places;
        let running = places.count_running(wave_places, build);
        let launch_limit_passed = self.wave_elapsed >= self.run.plan.fleet.launch;
        let is_running = running == wave_places.len() || (running > 0 && launch_limit_passed);
        let is_new = self.running_for.is_none() && is_running;
        if is_new {
            self.running_for = Some(0);
        }
        is_new
    }

    /// Returns whether the places have been running the build for the settle time.
    pub fn is_settled(&self) -> bool {
        self.running_for.is_some_and(|running_for| running_for >= self.run.plan.fleet.settle)
    }

    /// Returns the times from now until each limit, hold or calendar change that may cause a decision in this
    /// wave without another event.
    pub fn due_spans(&self, now: Now) -> Vec<Micros> {
        let fleet = &self.run.plan.fleet;
        let mut spans = self.run.due_spans(now, self.wave + 1);
        spans.push(self.current_wave().soak.saturating_sub(self.soaked));
        spans.push(match self.running_for {
            Some(running_for) => fleet.settle.saturating_sub(running_for),
            None => fleet.launch.saturating_sub(self.wave_elapsed),
        });
        spans
    }
}
