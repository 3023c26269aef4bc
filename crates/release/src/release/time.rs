//! Accounting of the time that passes between events and across restarts.

use super::Release;
use crate::{Now, Phase, Verdict};
use violetseam_plan::{Downtime, Gate, Micros};

/// If the two clocks differ by more than this over the same period, the wall clock was set.
const CLOCK_JUMP_THRESHOLD: Micros = 2_000_000;

impl Release {
    /// Counts the time since the last event of the same process. Returns whether the passing of time changed
    /// anything.
    pub(super) fn advance(&mut self, now: Now) -> bool {
        let Some(last_event) = self.last_event.replace(now) else { return true };
        let span = now.steady.saturating_sub(last_event.steady);
        let clock_jumped = self.clock_jumped(now, last_event);
        if clock_jumped && let Some(trial) = &mut self.trial {
            trial.soaked = trial.soaked.saturating_sub(trial.soaked_unrecorded);
        }
        let soak_span = if clock_jumped { 0 } else { span };
        self.count_span(now, span, soak_span) || clock_jumped
    }

    /// Returns whether the wall clock was set. It is then unknown whether the calendar was open during the
    /// span, so the span does not count as soak time. The clocks are compared since the last recorded event,
    /// because a replay has only the recorded events and must come to the same result.
    fn clock_jumped(&self, now: Now, last_event: Now) -> bool {
        let reference = self.last_recorded.unwrap_or(last_event);
        let span = now.steady.saturating_sub(reference.steady);
        now.wall.abs_diff(reference.wall.saturating_add(span)) > CLOCK_JUMP_THRESHOLD
    }

    /// Counts the time since the last event of an earlier process. Only the wall clock can measure it.
    pub(super) fn restart(&mut self, now: Now) -> bool {
        let Some(last_event) = self.last_event.replace(now) else { return true };
        let downtime = now.wall.saturating_sub(last_event.wall);
        if now.wall < last_event.wall {
            // The wall clock was set back, so the downtime is unknown, and votes may have expired long ago.
            self.votes.clear();
        }
        let soak_span = match self.trial.as_ref().map(|trial| &trial.run.plan) {
            Some(plan) if plan.downtime == Downtime::Counts => {
                plan.calendar.open_time(last_event.wall, now.wall)
            }
            _ => 0,
        };
        self.count_span(now, downtime, soak_span);
        true
    }

    /// Counts `span` against all limits and the lifetime of votes, and at most `soak_span` of it as soak
    /// time. Returns whether anything changed but elapsed times.
    fn count_span(&mut self, now: Now, span: Micros, soak_span: Micros) -> bool {
        self.unrecorded_span += span;
        let votes_before = self.votes.len();
        let held_by_votes = self.is_held_by_votes();
        let mut changed = false;
        if let Some(pending) = &mut self.pending {
            changed |= pending.advance(now, span);
        }
        if let Some(trial) = &mut self.trial {
            trial.wave_elapsed += span;
            if self.announcement.phase == Phase::Trial {
                changed |= trial.advance(now, span, soak_span, held_by_votes);
            }
        }
        self.votes.advance(span);
        changed || votes_before != self.votes.len()
    }

    /// Returns whether votes hold a wave that a timer would end.
    fn is_held_by_votes(&self) -> bool {
        let Some(trial) = &self.trial else { return false };
        let wave = trial.current_wave();
        self.announcement.phase == Phase::Trial
            && wave.gate == Gate::Timer
            && self.count_votes(Verdict::Hold) >= trial.run.plan.deciding_votes(wave)
    }

    /// Counts the votes in force on the newest build in its current stage.
    pub(super) fn count_votes(&self, verdict: Verdict) -> usize {
        self.votes.count(verdict, self.announcement.build, self.announcement.stage)
    }
}
