//! Time that passes between events and over restarts.

use super::Release;
use crate::{Now, Phase, Verdict};
use violetseam_plan::{Downtime, Gate, Micros};

/// Clocks that differ by more than this between two events have jumped.
const CLOCK_JUMP_THRESHOLD: Micros = 2_000_000;

impl Release {
    /// Lets the time between two events of one process pass; whether it changed anything by itself.
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

    /// Whether the wall clock was set: what the windows say of such a span is unknown, so that nothing soaks in
    /// it. The span is that since the last recorded event: a replay, which has only those, must come to the same.
    fn clock_jumped(&self, now: Now, last_event: Now) -> bool {
        let since = self.last_recorded.unwrap_or(last_event);
        let span = now.steady.saturating_sub(since.steady);
        now.wall.abs_diff(since.wall.saturating_add(span)) > CLOCK_JUMP_THRESHOLD
    }

    /// A controller starts: only the wall clock knows the time since the last event.
    pub(super) fn restart(&mut self, now: Now) -> bool {
        let Some(last_event) = self.last_event.replace(now) else { return true };
        let downtime = now.wall.saturating_sub(last_event.wall);
        if now.wall < last_event.wall {
            // The clock went back: the downtime is unknown, and votes may have expired long ago.
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

    /// Counts a span against limits and votes, and `soak_span` of it as soak where the wave may soak.
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

    /// Whether votes hold a wave that would move on with time alone.
    fn is_held_by_votes(&self) -> bool {
        let Some(trial) = &self.trial else { return false };
        let wave = trial.current_wave();
        self.announcement.phase == Phase::Trial
            && wave.gate == Gate::Timer
            && self.count_votes(Verdict::Hold) >= trial.run.plan.deciding_votes(wave)
    }

    /// Counts votes on the newest build in its stage.
    pub(super) fn count_votes(&self, verdict: Verdict) -> usize {
        self.votes.count(verdict, self.announcement.build, self.announcement.stage)
    }
}
