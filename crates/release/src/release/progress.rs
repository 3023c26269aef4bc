//! The transitions of a release: the start of a wave, release and rollback.

use super::Release;
use crate::plan_run::RollbackReason;
use crate::trial::Trial;
use crate::{Announcement, Now, Phase, Verdict};
use std::collections::BTreeSet;
use violetseam_plan::{Gate, OnClose};

/// The number of rolled back builds that are remembered; the lowest build numbers are dropped first.
const MAX_ROLLED_BACK: usize = 1_000;

impl Release {
    /// Applies the transition that is due in the current state. Returns whether anything changed. A wave
    /// begins and a build is released only if `may_progress` is set.
    pub(super) fn decide(&mut self, now: Now, may_progress: bool) -> bool {
        match self.announcement.phase {
            Phase::Trial => self.decide_trial(now, may_progress),
            Phase::RollingBack => self.continue_rollback(),
            Phase::Released | Phase::Withdrawn => {
                let rolled_back = self.roll_back_after_release();
                rolled_back || (may_progress && self.begin_pending(now))
            }
        }
    }

    /// Begins the rollback of the newest build.
    pub(super) fn begin_rollback(&mut self, reason: &RollbackReason) {
        self.rolled_back.insert(self.announcement.build);
        while self.rolled_back.len() > MAX_ROLLED_BACK {
            self.rolled_back.pop_first();
        }
        self.announcement.phase = Phase::RollingBack;
        self.votes.clear();
        if let Some(trial) = &mut self.trial {
            trial.rollback_reason = Some(reason.to_string());
            trial.wave_elapsed = 0;
        }
    }

    /// Begins the rollback of a released build if enough proxies vote for it and the build before it is
    /// known.
    fn roll_back_after_release(&mut self) -> bool {
        let Some(trial) = &self.trial else { return false };
        let plan = &trial.run.plan;
        let needed = plan.waves.last().map_or(usize::MAX, |wave| plan.votes_to_roll_back(wave));
        let is_due = self.announcement.phase == Phase::Released
            && self.previous_build != self.announcement.build
            && self.count_votes(Verdict::Back) >= needed;
        if is_due {
            self.begin_rollback(&RollbackReason::VotesOnReleasedBuild);
        }
        is_due
    }

    /// Begins the first wave of the pending plan if it may begin, or drops the plan if it has expired.
    fn begin_pending(&mut self, now: Now) -> bool {
        let Some(pending) = &self.pending else { return false };
        if pending.expiry(0).is_some() {
            self.pending = None;
            return true;
        }
        let newest = self.announcement.build;
        let is_released = self.announcement.phase == Phase::Released;
        let replaced = if is_released { self.previous_build } else { newest };
        let current = if is_released { newest } else { self.previous_build };
        // No place may have three builds, so the wave waits until the replaced build is gone from all places.
        let is_drained = replaced == current || self.places.count_hosting(replaced) == 0;
        if !is_drained || !pending.may_begin(now, 0) {
            return false;
        }
        let Some(run) = self.pending.take() else { return false };
        self.previous_build = current;
        let cap = run.plan.waves[0].cap;
        self.announcement = Announcement { build: run.plan.build, stage: 0, phase: Phase::Trial, cap };
        self.votes.clear();
        self.trial = Some(Trial::new(run));
        true
    }

    /// Begins a rollback, or ends the current wave if it is complete. Returns whether anything changed.
    fn decide_trial(&mut self, now: Now, may_progress: bool) -> bool {
        if let Some(reason) = self.rollback_reason() {
            self.begin_rollback(&reason);
            return true;
        }
        let Some(trial) = &mut self.trial else { return false };
        let started_running = trial.update_running(&self.places, self.announcement.build);
        let wave_ended = may_progress && self.is_wave_complete() && self.finish_wave(now);
        wave_ended || started_running
    }

    /// Returns the reason for rolling the build on trial back, if there is one.
    fn rollback_reason(&self) -> Option<RollbackReason> {
        let trial = self.trial.as_ref()?;
        let wave = trial.current_wave();
        if self.count_votes(Verdict::Back) >= trial.run.plan.votes_to_roll_back(wave) {
            return Some(RollbackReason::Votes);
        }
        if let Some(reason) = trial.run.expiry(trial.wave + 1) {
            return Some(reason);
        }
        let must_end_at_close = !trial.run.window_open && wave.on_close == OnClose::Back;
        must_end_at_close.then(|| RollbackReason::WindowClosed { wave: wave.name.clone() })
    }

    /// Returns whether the current wave has settled, has soaked for its full time, has the votes that its
    /// gate needs and is not held by an operator.
    fn is_wave_complete(&self) -> bool {
        let Some(trial) = &self.trial else { return false };
        let wave = trial.current_wave();
        let needed = trial.run.plan.deciding_votes(wave);
        let has_votes = match wave.gate {
            Gate::Timer => self.count_votes(Verdict::Hold) < needed,
            Gate::Any | Gate::Share => self.count_votes(Verdict::On) >= needed,
        };
        let has_soaked = trial.soaked >= wave.soak;
        trial.is_settled() && has_votes && has_soaked && trial.run.operator_hold.is_none()
    }

    /// Begins the next wave, or releases the build after its last wave. Returns `false` if a hold, an
    /// approval or the calendar does not permit that yet.
    fn finish_wave(&mut self, now: Now) -> bool {
        let Some(trial) = &mut self.trial else { return false };
        let run = &trial.run;
        let next = trial.wave + 1;
        if let Some(next_wave) = run.plan.waves.get(next) {
            if !run.may_begin(now, next) {
                return false;
            }
            self.announcement.stage = next as u8;
            self.announcement.cap = next_wave.cap;
            trial.begin_wave(next);
        } else {
            if !run.window_open && trial.current_wave().on_close != OnClose::Finish {
                return false;
            }
            self.announcement.phase = Phase::Released;
            self.announcement.cap = 1.0;
        }
        self.votes.clear();
        true
    }

    /// Continues a rollback. The cap falls in proportion to the places in which the build is still present.
    /// Returns whether anything changed.
    fn continue_rollback(&mut self) -> bool {
        let Some(trial) = &self.trial else { return false };
        let fleet = &trial.run.plan.fleet;
        let all_places: BTreeSet<u32> = (0..fleet.places).collect();
        let remaining = self.places.count_hosting(self.announcement.build);
        let restored = self.places.count_running(&all_places, self.previous_build);
        // A place that does not start the earlier build delays the end of the rollback by at most the launch
        // limit.
        let is_restored = restored == all_places.len() || trial.wave_elapsed >= fleet.launch;
        if remaining == 0 && is_restored {
            self.announcement.phase = Phase::Withdrawn;
            self.announcement.cap = 0.0;
            return true;
        }
        let wave = trial.current_wave();
        let proportional_cap = wave.cap * remaining as f64 / wave.places.len().max(1) as f64;
        let old_cap = self.announcement.cap;
        self.announcement.cap = if remaining == 0 { 0.0 } else { old_cap.min(proportional_cap) };
        self.announcement.cap != old_cap
    }
}
