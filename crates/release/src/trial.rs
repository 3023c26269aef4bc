//! A build that runs in places: its wave and its soak.

use crate::Now;
use crate::places::Places;
use crate::plan_run::PlanRun;
use serde::{Deserialize, Serialize};
use violetseam_plan::{Micros, OnClose, Wave};

/// A build that runs in places.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Trial {
    #[serde(rename = "course")]
    pub run: PlanRun,
    pub wave: usize,
    /// Time in this wave, or in the rollback.
    #[serde(rename = "in_wave")]
    pub wave_elapsed: Micros,
    /// How long this wave's places have run the build; none if they do not yet.
    #[serde(rename = "settled")]
    pub running_for: Option<Micros>,
    /// Of this wave's soak.
    pub soaked: Micros,
    /// What of that came since the last recorded event.
    #[serde(rename = "soaked_unkept")]
    pub soaked_unrecorded: Micros,
    /// Why it is rolled back.
    #[serde(rename = "why")]
    pub rollback_reason: Option<String>,
}

impl Trial {
    /// The first wave of a plan.
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

    /// Begins a wave, and the plan's hold before the one after it.
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

    /// Lets a span pass in a wave, `soak_span` of it as soak where the wave may soak; whether a window or an
    /// operator's hold changed with it.
    pub fn advance(&mut self, now: Now, span: Micros, soak_span: Micros, held_by_votes: bool) -> bool {
        let is_in_window = self.run.window_open || self.current_wave().on_close == OnClose::Finish;
        if self.run.operator_hold.is_none() && !held_by_votes && is_in_window {
            let soaked = soak_span.min(self.settled_part(span));
            self.soaked += soaked;
            self.soaked_unrecorded += soaked;
        }
        if let Some(running_for) = &mut self.running_for {
            *running_for += span;
        }
        self.run.advance(now, span)
    }

    /// The part of a span after the places have settled. It is exact wherever events cut the span: a replay of
    /// the recorded events alone must come to the same soak.
    fn settled_part(&self, span: Micros) -> Micros {
        let settle = self.run.plan.fleet.settle;
        self.running_for.map_or(0, |running_for| span.saturating_sub(settle.saturating_sub(running_for)))
    }

    /// Notes that this wave's places run the build, or some of them once the launch limit is over; whether that
    /// is new.
    pub fn note_running(&mut self, places: &Places, build: u16) -> bool {
        let wave_places = &self.current_wave().places;
        let running = places.count_running(wave_places, build);
        let launch_over = self.wave_elapsed >= self.run.plan.fleet.launch;
        let is_running = running == wave_places.len() || (running > 0 && launch_over);
        let is_new = self.running_for.is_none() && is_running;
        if is_new {
            self.running_for = Some(0);
        }
        is_new
    }

    /// Whether the places have run the build for the settle time.
    pub fn is_settled(&self) -> bool {
        self.running_for.is_some_and(|running_for| running_for >= self.run.plan.fleet.settle)
    }

    /// Spans after which time alone may decide something in this wave.
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
