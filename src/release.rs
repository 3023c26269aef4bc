//! The status of the newest build's release: a new build or a new stage restarts the analysis.

use crate::balancer::Balancer;
use crate::interface::{Micros, Phase, ReleaseStatus, Verdict};
use crate::state::PreviousCap;

impl Balancer {
    /// Handles the release status of the newest build, whether it was pushed or came with the reply to a
    /// vote.
    pub(crate) fn on_release_status(&mut self, now: Micros, release: ReleaseStatus) {
        let previous = self.state.release.replace(release);
        if let Some(previous) = previous
            && previous.build == release.build
            && previous.cap > release.cap
        {
            self.state.previous_cap = PreviousCap { cap: previous.cap, lowered_at: now };
        }
        let stage_identity = |release: ReleaseStatus| (release.build, release.stage, release.phase);
        if previous.map(stage_identity) == Some(stage_identity(release)) {
            return;
        }
        let new_build = previous.is_none_or(|previous| previous.build != release.build);
        if new_build || matches!(release.phase, Phase::RollingBack | Phase::Withdrawn) {
            self.state.sticky_keys.clear(false);
        }
        if new_build {
            self.begin_new_build(release);
        }
        self.restart_analysis(now);
        if new_build {
            self.state.analysis.compared_with_earlier = false;
        }
    }

    fn begin_new_build(&mut self, release: ReleaseStatus) {
        self.state.trial_credit = self.state.random.unit();
        self.state.previous_cap = PreviousCap::default();
        self.state.exposures.retain(|&build, _| build >= release.build);
        self.bind_relisted_keys();
    }

    /// Restarts the window, the verdict and the vote, so that no vote is based on evidence of another stage
    /// or build.
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
