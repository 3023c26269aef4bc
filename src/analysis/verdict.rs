//! Evaluates a window that is full or old enough: what its evidence says about the new build.

use super::comparison::{LatencyComparison, Significance, Violation};
use super::windows::{MAX_LATENCY_RATIO, MAX_WINDOW_ATTEMPTS, MAX_WINDOW_SPAN};
use crate::balancer::Balancer;
use crate::evidence::{Arm, Evidence, OutcomeCounts, SliceCounts, SliceMetric, StageEvidence, hit_share};
use crate::interface::{GateMode, Idempotency, Micros, ReleaseStatus, RequestClass};
use std::fmt;

/// A window with fewer attempts than this is too small for a comparison.
pub(super) const MIN_WINDOW_ATTEMPTS: f64 = 20.0;
/// The number of attempts that a class needs before it is compared by itself. Half as many are enough to
/// clear it.
pub(super) const MIN_CLASS_ATTEMPTS: f64 = 8.0;
/// A window with too little evidence may lead to a vote once it is this old, because counting the votes adds
/// up the evidence of the balancers.
const SPARSE_SPAN: Micros = 2 * MAX_WINDOW_SPAN;
/// A sparse window is not clean if its share of slow attempts reaches this value.
const MAX_SPARSE_SLOW_SHARE: f64 = 0.5;
/// Evidence with more than this multiple of the balancer's own attempts counts as pooled, and is tested at
/// the confidence of a single test.
const POOLED_RATIO: f64 = 2.0;
/// The better half of the servers must show more than this share of the excess that all servers show over
/// the earlier build. Otherwise the violation is attributed to a few servers.
const MIN_BETTER_HALF_EXCESS: f64 = 0.25;
/// The number of slices of the new build's servers that is needed to clear the build of a violation caused by
/// a few servers.
const MIN_CLEARING_SLICES: usize = 4;
/// An inconclusive result keeps the window open for up to this many times [`MAX_WINDOW_SPAN`].
const MAX_INCONCLUSIVE_WINDOWS: Micros = 3;

/// The result of evaluating a window.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum WindowResult {
    /// There is too little evidence for a result.
    Insufficient,
    /// There is nothing against the build.
    Clean,
    /// There is something against the build.
    Violation {
        /// What was observed.
        reason: String,
        /// How much the violation counts, from 0 to 1.
        weight: f64,
    },
}

impl WindowResult {
    /// How much a violation counts; 0 for other results.
    pub(super) fn weight(&self) -> f64 {
        match self {
            WindowResult::Violation { weight, .. } => *weight,
            WindowResult::Insufficient | WindowResult::Clean => 0.0,
        }
    }
}

impl fmt::Display for WindowResult {
    /// Writes the words that the log and the status text use.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WindowResult::Insufficient => f.write_str("Thin"),
            WindowResult::Clean => f.write_str("Clean"),
            WindowResult::Violation { reason, weight } => write!(f, "Breach({reason:?}, {weight:?})"),
        }
    }
}

/// A violation, and whether only a part of the servers causes it.
struct AttributedViolation {
    violation: Violation,
    caused_by_few_servers: bool,
}

impl Balancer {
    /// Compares the new build with the earlier one over the open window, and then the failures over the whole
    /// stage: a small but steady failure share stays within the limits of each window, but not of the stage.
    pub(super) fn evaluate_window(
        &mut self,
        now: Micros,
        release: ReleaseStatus,
        evidence: &StageEvidence,
    ) -> WindowResult {
        let age = now.saturating_sub(self.state.analysis.window_start);
        let window = &evidence.window;
        if window.attempts(Arm::New) < MIN_WINDOW_ATTEMPTS {
            return self.evaluate_sparse_window(age, window);
        }
        let no_baseline = window.attempts(Arm::Earlier) < MIN_WINDOW_ATTEMPTS;
        self.state.analysis.compared_with_earlier |= !no_baseline;
        let significance = self.significance(window);
        let over_window = self.compare_arms(window, no_baseline, MAX_LATENCY_RATIO, significance);
        let over_stage = over_window.and_then(|latency| {
            self.compare_arms(&evidence.stage, no_baseline, f64::INFINITY, significance).map(|_| latency)
        });
        let many_servers = window.slices(Arm::New, SliceMetric::Failed).len() >= MIN_CLEARING_SLICES;
        let latency = match over_stage {
            Ok(latency) => latency,
            Err(attributed) => match weigh_violation(attributed, age, many_servers) {
                Some(result) => return result,
                // The other servers clear the build, so the latency counts as compared.
                None => LatencyComparison::Done,
            },
        };
        if self.is_inconclusive(release, window, latency) && age < MAX_INCONCLUSIVE_WINDOWS * MAX_WINDOW_SPAN
        {
            return WindowResult::Insufficient;
        }
        WindowResult::Clean
    }

    /// Evaluates a window with too few attempts for a comparison, as with little traffic and without gossip.
    ///
    /// With a share gate, counting the votes adds up what the balancers have seen. A sparse window that is
    /// old enough is then clean if it shows no failure and few slow attempts, and if as many balancers as the
    /// gate requires, with as many attempts each, would together have a full window.
    fn evaluate_sparse_window(&self, age: Micros, window: &Evidence) -> WindowResult {
        let rollout = &self.settings.rollout;
        let combined_attempts = window.attempts(Arm::New) * rollout.votes_to_promote;
        let votes_are_counted = rollout.gate == GateMode::Share && age >= SPARSE_SPAN;
        let no_failure = window.counts(Arm::New).iter().all(|counts| counts.failed == 0.0);
        let slow_share = hit_share(&window.slices(Arm::New, SliceMetric::Slow));
        let nothing_against_build = no_failure && slow_share < MAX_SPARSE_SLOW_SHARE;
        if votes_are_counted && nothing_against_build && combined_attempts >= MAX_WINDOW_ATTEMPTS as f64 {
            WindowResult::Clean
        } else {
            WindowResult::Insufficient
        }
    }

    /// The confidence that a violation requires. It is higher for a balancer that judges its own evidence
    /// alone, because any one of many balancers may find a violation by chance, and a few votes decide.
    fn significance(&self, window: &Evidence) -> Significance {
        let own_attempts = self.state.analysis.window_attempts as f64;
        let pooled = window.attempts(Arm::New) > POOLED_RATIO * own_attempts;
        if pooled {
            return Significance::for_independent_tests(1.0);
        }
        let votes = self.settings.rollout.votes_to_roll_back;
        Significance::for_independent_tests(self.settings.fleet_size as f64 / votes)
    }

    /// Compares the arms. `no_baseline` means that the earlier arm has too few attempts to compare with.
    /// Time-outs and resets may then come from the load or the servers, so only errors and wrong responses
    /// count as failures.
    fn compare_arms(
        &self,
        evidence: &Evidence,
        no_baseline: bool,
        max_latency_ratio: f64,
        significance: Significance,
    ) -> Result<LatencyComparison, AttributedViolation> {
        let mut new = evidence.counts(Arm::New);
        let mut earlier = evidence.counts(Arm::Earlier);
        if no_baseline {
            for counts in &mut new {
                counts.failed = counts.errors + counts.flagged;
            }
            earlier.fill(OutcomeCounts::default());
        }
        let compared = self.compare(&new, &earlier, max_latency_ratio, significance);
        compared.map_err(|violation| AttributedViolation {
            caused_by_few_servers: is_caused_by_few_servers(evidence, violation.metric),
            violation,
        })
    }

    /// Whether the evidence is too little to call the window clean. That is so if a class that the stage
    /// admits has too few attempts, for example because it was admitted late, or if the latency was not
    /// compared, which is required to clear an earlier violation.
    fn is_inconclusive(&self, release: ReleaseStatus, window: &Evidence, latency: LatencyComparison) -> bool {
        let idempotent_only = release.stage < self.settings.rollout.idempotent_only_stages;
        let admitted =
            |class: &RequestClass| !idempotent_only || class.idempotency == Idempotency::Idempotent;
        let counts = window.counts(Arm::New);
        let mut classes = self.settings.classes.iter().zip(&counts);
        let class_lacks_attempts =
            classes.any(|(class, counts)| admitted(class) && counts.attempts < MIN_CLASS_ATTEMPTS / 2.0);
        let latency_uncompared = self.state.analysis.violations > 0.0 && latency == LatencyComparison::TooFew;
        class_lacks_attempts || latency_uncompared
    }
}

/// The result that a violation leads to; `None` if the build is cleared of it.
///
/// A queue that builds up and drains raises the median and the tail for a while, so a mild violation counts
/// only over the full span of a window. Until then the balancer does not vote to promote. When a few of many
/// servers cause a violation over a full span, the other servers clear the build.
fn weigh_violation(attributed: AttributedViolation, age: Micros, many_servers: bool) -> Option<WindowResult> {
    let AttributedViolation { violation, caused_by_few_servers } = attributed;
    let full_span = age >= MAX_WINDOW_SPAN;
    if violation.mild && !full_span {
        return Some(WindowResult::Violation { reason: violation.reason, weight: 0.0 });
    }
    if caused_by_few_servers && full_span && many_servers {
        return None;
    }
    let weight = if caused_by_few_servers { 0.0 } else { 1.0 };
    Some(WindowResult::Violation { reason: violation.reason, weight })
}

/// Whether only a part of the servers causes a violation over all servers. That is so if the better half of
/// the new build's slices is hardly worse than the better half of the earlier build's. A single slice must be
/// worse than the worst earlier slice to count against the build.
fn is_caused_by_few_servers(evidence: &Evidence, metric: SliceMetric) -> bool {
    let new = evidence.slices(Arm::New, metric);
    let earlier = evidence.slices(Arm::Earlier, metric);
    if let ([only_slice], Some(worst_earlier)) = (&new[..], earlier.last()) {
        return hit_share(&[*only_slice]) <= hit_share(&[*worst_earlier]);
    }
    let better_half = |slices: &[SliceCounts]| hit_share(&slices[..slices.len().div_ceil(2)]);
    let excess_of_better = better_half(&new) - better_half(&earlier);
    excess_of_better <= MIN_BETTER_HALF_EXCESS * (hit_share(&new) - hit_share(&earlier))
}
