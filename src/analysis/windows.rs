//! Windows of evidence: collects the ends of attempts, and turns a window that is full or old enough into a
//! verdict.

use super::verdict::WindowResult;
use crate::balancer::Balancer;
use crate::evidence::{Arm, Sample};
use crate::interface::{
    Action, AttemptEnd, GateMode, Micros, Outcome, Phase, ReleaseStatus, ServerId, Verdict,
};
use crate::state::Attempt;
use crate::time::SECOND;

/// A window closes after this many attempts at the new build ...
pub(super) const MAX_WINDOW_ATTEMPTS: usize = 100;
/// ... or after this span.
pub(super) const MAX_WINDOW_SPAN: Micros = 3 * SECOND;
/// Even a full window stays open for this long. Otherwise a single pause of a server would spoil two windows.
const MIN_WINDOW_SPAN: Micros = SECOND;
/// Latency is a violation only if both the median and the 95th percentile exceed this multiple of the earlier
/// build's.
pub(super) const MAX_LATENCY_RATIO: f64 = 1.3;
/// A build is rolled back once the weights of the violations in consecutive windows add up to this value.
const VIOLATIONS_TO_ROLL_BACK: f64 = 2.0;
/// The most lines that a balancer writes to the log during its life.
const MAX_LOG_LINES: u32 = 100;

/// The work of a request without a cost hint. All balancers use the same value, because their counters are
/// added up; the bins for times per unit of work then cover one millisecond to four seconds.
pub(crate) const UNHINTED_WORK: Micros = 1 << 17;

/// What is needed to judge the end of an attempt.
pub(crate) struct AttemptContext<'a> {
    /// The attempt that has ended.
    pub attempt: &'a Attempt,
    /// The class of its request.
    pub class: usize,
    /// The expected work of the request: its cost hint, or [`UNHINTED_WORK`].
    pub work: f64,
}

impl Balancer {
    /// Counts the end of an attempt as evidence about its build.
    ///
    /// Rejections, failed connects and attempts that were never sent are not evidence about the build. An
    /// attempt that was cut short would have taken at least its elapsed time. That is evidence only if the
    /// elapsed time reaches the typical latency. It is a failure if the attempt timed out at a warm server
    /// and had as long as 95% of the responses of its class take: its client would have waited long enough
    /// for a sound build.
    pub(crate) fn record_build_outcome(&mut self, context: &AttemptContext, end: AttemptEnd) {
        let &AttemptContext { attempt, class, work } = context;
        let elapsed = end.elapsed as f64;
        let typical_latency = self.state.latencies[class].known_median();
        let error = end.outcome == Outcome::Error;
        let had_enough_time = self.state.latencies[class].known_tail().is_some_and(|tail| elapsed >= tail);
        let timeout = end.outcome == Outcome::Timeout && had_enough_time && !attempt.warming_up;
        let cut_short = matches!(end.outcome, Outcome::Cancelled | Outcome::Timeout);
        let is_early = typical_latency.is_none_or(|typical| elapsed < typical);
        let cut_short_early = cut_short && is_early && !timeout;
        let Some(release) = self.state.release else { return };
        let build = attempt.to.build;
        if build > release.build || cut_short_early || !end.outcome.may_have_run() {
            return;
        }
        let sample = Sample {
            class,
            server: attempt.to.id,
            error,
            failed: error || timeout || end.outcome == Outcome::Reset,
            slow: typical_latency.is_some_and(|typical| elapsed > typical * MAX_LATENCY_RATIO),
            pace: (!attempt.warming_up && !error).then_some(elapsed / work),
        };
        self.state.analysis.evidence.own.add(arm_of(build, release), &sample);
        if build == release.build {
            self.state.analysis.window_attempts += 1;
        }
    }

    /// Counts a response that a client reported as wrong. Such reports arrive late, so they count in the
    /// window that is open now.
    pub(crate) fn on_answer_flagged(&mut self, now: Micros, server: ServerId, class: usize, since: Micros) {
        let Some(server) = self.state.servers.get(&server).map(|server| server.entry) else { return };
        let Some(release) = self.state.release else { return };
        let counted_from = self.state.analysis.stage_since.max(server.started_at);
        let sent_in_stage = now.saturating_sub(since) >= counted_from;
        if sent_in_stage && server.build <= release.build {
            self.state.analysis.evidence.own.flag(arm_of(server.build, release), server.id, class);
        }
    }

    /// Starts a new window.
    pub(crate) fn start_window(&mut self, now: Micros) {
        self.state.analysis.window_start = now;
        self.state.analysis.window_attempts = 0;
        self.state.analysis.evidence.start_window(self.settings.position);
    }

    /// The release that can be voted on: a build on trial, or a released build if this balancer has compared
    /// it with an earlier one.
    pub(super) fn release_under_analysis(&self) -> Option<ReleaseStatus> {
        self.state.release.filter(|release| {
            let released_after_comparison =
                release.phase == Phase::Released && self.state.analysis.compared_with_earlier;
            release.phase == Phase::Trial || released_after_comparison
        })
    }

    /// Closes the window when it is full or old enough, and turns its result into a verdict. A window with
    /// too little evidence stays open and collects more until there is enough.
    pub(crate) fn close_window(&mut self, now: Micros, out: &mut Vec<Action>) {
        let Some(release) = self.release_under_analysis() else { return };
        let age = now.saturating_sub(self.state.analysis.window_start);
        if age < MIN_WINDOW_SPAN {
            return;
        }
        let result = self.window_result(now, release, age);
        if result == WindowResult::Insufficient {
            return;
        }
        let violated = matches!(result, WindowResult::Violation { .. });
        let weight = result.weight();
        let violations = if violated { self.state.analysis.violations + weight } else { 0.0 };
        self.state.analysis.violations = violations;
        let verdict = self.verdict_after(release.phase, violated);
        if verdict != self.state.analysis.verdict || weight > 0.0 {
            self.log_verdict(release, verdict, &result, out);
        }
        self.state.analysis.verdict = verdict;
        if weight > 0.0 || !violated || age >= MAX_WINDOW_SPAN {
            self.start_window(now);
        }
    }

    fn window_result(&mut self, now: Micros, release: ReleaseStatus, age: Micros) -> WindowResult {
        let evidence =
            self.state.analysis.evidence.best_available(self.settings.position, MAX_WINDOW_ATTEMPTS as f64);
        let not_full = (evidence.window.attempts(Arm::New) as usize) < MAX_WINDOW_ATTEMPTS;
        if age < MAX_WINDOW_SPAN && not_full {
            return WindowResult::Insufficient;
        }
        self.evaluate_window(now, release, &evidence)
    }

    /// The verdict after a window. A verdict to roll back stays in force until the release status changes:
    /// the release service may be unreachable for a while and must still receive it afterwards.
    fn verdict_after(&self, phase: Phase, violated: bool) -> Verdict {
        let analysis = &self.state.analysis;
        let promoted_by_clock = self.settings.rollout.gate == GateMode::Timer;
        if analysis.verdict == Verdict::RollBack || analysis.violations >= VIOLATIONS_TO_ROLL_BACK {
            return Verdict::RollBack;
        }
        match phase {
            Phase::Trial if violated && promoted_by_clock => Verdict::Hold,
            Phase::Trial if !violated && !promoted_by_clock => Verdict::Promote,
            _ => Verdict::Withdraw,
        }
    }

    fn log_verdict(
        &mut self,
        release: ReleaseStatus,
        verdict: Verdict,
        result: &WindowResult,
        out: &mut Vec<Action>,
    ) {
        if self.state.may_log(MAX_LOG_LINES) {
            let ReleaseStatus { build, stage, .. } = release;
            out.push(Action::Log(format!("build {build} stage {stage}: {verdict} {result}")));
        }
    }
}

/// The arm that an attempt at this build counts for. The build is the newest one or an earlier one.
fn arm_of(build: u16, release: ReleaseStatus) -> Arm {
    if build < release.build { Arm::Earlier } else { Arm::New }
}
