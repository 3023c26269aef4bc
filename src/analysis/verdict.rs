//! What a closed window says about the build on trial.

use super::comparison::{LatencyComparison, Significance, Violation};
use super::windows::{MAX_LATENCY_RATIO, MAX_WINDOW_ATTEMPTS, MAX_WINDOW_SPAN};
use crate::balancer::Balancer;
use crate::evidence::{Arm, Evidence, HitKind, OutcomeCounts, SliceCounts, StageEvidence, hit_share};
use crate::interface::{GateMode, Idempotency, Micros, ReleaseStatus, RequestClass};
use std::fmt;

/// Under this many attempts a window says nothing.
pub(super) const MIN_WINDOW_ATTEMPTS: f64 = 20.0;
/// Attempts that a class needs before it counts by itself or is cleared.
pub(super) const MIN_CLASS_ATTEMPTS: f64 = 8.0;
/// After a window of this length with too little evidence, votes alone add the evidence up.
const SPARSE_SPAN: Micros = 2 * MAX_WINDOW_SPAN;
/// Share of slow answers from which on a sparse window speaks against the build.
const MAX_SPARSE_SLOW_SHARE: f64 = 0.5;
/// Multiple of the own evidence from which it counts as pooled, with the bound of a single judge.
const POOLED_RATIO: f64 = 2.0;
/// Share of a violation that must be left on the better half of the servers.
const MIN_SPREAD: f64 = 0.25;
/// Slices of the new build's servers that can clear it of the violation of a few.
const MIN_CLEARING_SLICES: usize = 4;
/// Windows' spans for which an unclear result keeps the window open.
const MAX_UNCLEAR_WINDOWS: Micros = 3;

/// What a closed window says.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum WindowResult {
    /// Too little to say anything.
    Insufficient,
    /// Nothing against the build.
    Clean,
    /// Something against the build.
    Violation {
        /// What was seen.
        reason: String,
        /// How much it counts, 0 to 1.
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
    /// The words of the log and of the status text.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WindowResult::Insufficient => f.write_str("Thin"),
            WindowResult::Clean => f.write_str("Clean"),
            WindowResult::Violation { reason, weight } => write!(f, "Breach({reason:?}, {weight:?})"),
        }
    }
}

/// A violation, and whether a part of the servers causes it.
struct ArmViolation {
    violation: Violation,
    by_few_servers: bool,
}

impl Balancer {
    /// Compares the new build with the earlier one over the open window, then failures over the stage: a
    /// small steady share passes each window's bounds, but not the whole stage's.
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
        let alone = window.attempts(Arm::Earlier) < MIN_WINDOW_ATTEMPTS;
        self.state.analysis.compared |= !alone;
        let significance = self.significance(window);
        let over_window = self.compare_arms(window, alone, MAX_LATENCY_RATIO, significance);
        let over_stage = over_window.and_then(|latency| {
            self.compare_arms(&evidence.stage, alone, f64::INFINITY, significance).map(|_| latency)
        });
        let many_servers = window.slices(Arm::New, HitKind::Failed).len() >= MIN_CLEARING_SLICES;
        let latency = match over_stage {
            Ok(latency) => latency,
            Err(found) => match weigh_violation(found, age, many_servers) {
                Some(result) => return result,
                // Cleared by the other servers: latency counts as compared.
                None => LatencyComparison::Done,
            },
        };
        if self.is_unclear(release, window, latency) && age < MAX_UNCLEAR_WINDOWS * MAX_WINDOW_SPAN {
            return WindowResult::Insufficient;
        }
        WindowResult::Clean
    }

    /// No gossip and little own traffic: where votes are counted, they add up what each balancer has seen.
    /// Votes that make up a full window together promote a stage; one failure suspends this balancer's.
    fn evaluate_sparse_window(&self, age: Micros, window: &Evidence) -> WindowResult {
        let rollout = &self.settings.rollout;
        let together = window.attempts(Arm::New) * rollout.votes_to_promote;
        let votes_are_counted = rollout.gate == GateMode::Share && age >= SPARSE_SPAN;
        let no_failure = window.counts(Arm::New).iter().all(|counts| counts.failed == 0.0);
        let slow_share = hit_share(&window.slices(Arm::New, HitKind::Slow));
        let fine = no_failure && slow_share < MAX_SPARSE_SLOW_SHARE;
        if votes_are_counted && fine && together >= MAX_WINDOW_ATTEMPTS as f64 {
            WindowResult::Clean
        } else {
            WindowResult::Insufficient
        }
    }

    /// Each of many balancers that judge on their own may be unlucky, and few votes decide.
    fn significance(&self, window: &Evidence) -> Significance {
        let own_attempts = self.state.analysis.window_attempts as f64;
        let pooled = window.attempts(Arm::New) > POOLED_RATIO * own_attempts;
        if pooled {
            return Significance::for_judges(1.0);
        }
        let votes = self.settings.rollout.votes_to_roll_back;
        Significance::for_judges(self.settings.fleet_size as f64 / votes)
    }

    /// Compares the arms. `alone`: there is no earlier arm to compare with, so that time-outs and resets
    /// may be the load's or the servers' and only errors and wrong answers count.
    fn compare_arms(
        &self,
        evidence: &Evidence,
        alone: bool,
        max_latency_ratio: f64,
        significance: Significance,
    ) -> Result<LatencyComparison, ArmViolation> {
        let mut new = evidence.counts(Arm::New);
        let mut earlier = evidence.counts(Arm::Earlier);
        if alone {
            for counts in &mut new {
                counts.failed = counts.errors + counts.flagged;
            }
            earlier.fill(OutcomeCounts::default());
        }
        let compared = self.compare(&new, &earlier, max_latency_ratio, significance);
        compared.map_err(|violation| ArmViolation {
            by_few_servers: is_by_few_servers(evidence, violation.shows_in),
            violation,
        })
    }

    /// A class admitted late needs evidence of its own, and what was not compared clears no violation.
    fn is_unclear(&self, release: ReleaseStatus, window: &Evidence, latency: LatencyComparison) -> bool {
        let idempotent_only = release.stage < self.settings.rollout.idempotent_only_stages;
        let admitted =
            |class: &RequestClass| !idempotent_only || class.idempotency == Idempotency::Idempotent;
        let counts = window.counts(Arm::New);
        let mut classes = self.settings.classes.iter().zip(&counts);
        let class_is_short =
            classes.any(|(class, counts)| admitted(class) && counts.attempts < MIN_CLASS_ATTEMPTS / 2.0);
        let uncompared = self.state.analysis.violations > 0.0 && latency == LatencyComparison::TooFew;
        class_is_short || uncompared
    }
}

/// The result that a violation leads to; `None`: it clears the build.
///
/// A queue that builds up and drains lifts median and tail for a while: a mild violation counts over the
/// full span only (until then no vote to promote is in force). A violation that a few of many servers cause
/// over a full span is cleared by the others.
fn weigh_violation(found: ArmViolation, age: Micros, many_servers: bool) -> Option<WindowResult> {
    let ArmViolation { violation, by_few_servers } = found;
    let full_span = age >= MAX_WINDOW_SPAN;
    if violation.mild && !full_span {
        return Some(WindowResult::Violation { reason: violation.reason, weight: 0.0 });
    }
    if by_few_servers && full_span && many_servers {
        return None;
    }
    let weight = if by_few_servers { 0.0 } else { 1.0 };
    Some(WindowResult::Violation { reason: violation.reason, weight })
}

/// Whether a violation over all servers is caused by a part of them: the better half of the slices is then
/// hardly worse than the better half of the earlier build's. A single slice must be worse than their worst.
fn is_by_few_servers(evidence: &Evidence, hits: HitKind) -> bool {
    let new = evidence.slices(Arm::New, hits);
    let earlier = evidence.slices(Arm::Earlier, hits);
    if let ([one], Some(worst)) = (&new[..], earlier.last()) {
        return hit_share(&[*one]) <= hit_share(&[*worst]);
    }
    let better_half = |slices: &[SliceCounts]| hit_share(&slices[..slices.len().div_ceil(2)]);
    let excess_of_better = better_half(&new) - better_half(&earlier);
    excess_of_better <= MIN_SPREAD * (hit_share(&new) - hit_share(&earlier))
}
