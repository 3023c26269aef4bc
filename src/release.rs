//! The release service's state of the newest build: a new build or stage starts the analysis anew.

use crate::balancer::Balancer;
use crate::interface::{Micros, Phase, ReleaseStatus, Verdict};
use crate::state::PreviousCap;

impl Balancer {
    /// Takes the state of the newest build, pushed or as the reply to a vote.
    pub(crate) fn on_release_status(&mut self, now: Micros, release: ReleaseStatus) {
        let before = self.state.release.replace(release);
        if let Some(before) = before
            && before.build == release.build
            && before.cap > release.cap
        {
            self.state.previous_cap = PreviousCap { cap: before.cap, lowered_at: now };
        }
        let stage = |release: ReleaseStatus| (release.build, release.stage, release.phase);
        if before.map(stage) == Some(stage(release)) {
            return;
        }
        let new_build = before.is_none_or(|before| before.build != release.build);
        if new_build || matches!(release.phase, Phase::RollingBack | Phase::Withdrawn) {
            self.state.sticky_keys.clear(false);
        }
        if new_build {
            self.start_build(release);
        }
        self.restart_analysis(now);
        if new_build {
            self.state.analysis.compared = false;
        }
    }

    fn start_build(&mut self, release: ReleaseStatus) {
        self.state.trial_credit = self.state.random.unit();
        self.state.previous_cap = PreviousCap::default();
        self.state.exposures.retain(|&build, _| build >= release.build);
        self.bind_relisted_keys();
    }

    /// Window, verdict and vote all start anew: no vote rests on evidence of another stage or build.
    fn restart_analysis(&mut self, now: Micros) {
        self.state.incarnation = self.state.incarnation.wrapping_add(1);
        let analysis = &mut self.state.analysis;
        analysis.evidence.restart(self.settings.classes.len());
        analysis.window_start = now;
        analysis.window_attempts = 0;
        analysis.stage_since = now;
        analysis.violations = 0.0;
        analysis.verdict = Verdict::Withdraw;
        analysis.standing_vote = None;
    }
}
