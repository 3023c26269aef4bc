//! The statistical comparison of the new build with the earlier one.

use super::verdict::{MIN_CLASS_ATTEMPTS, MIN_WINDOW_ATTEMPTS};
use crate::balancer::Balancer;
use crate::evidence::{OutcomeCounts, SliceMetric};
use crate::statistics::{Proportion, difference_lower, wilson_lower};

/// The normal quantile of a 95% confidence interval.
const Z95: f64 = 1.96;
/// How far the new build's failure share may exceed the earlier build's.
const FAILURE_MARGIN: f64 = 0.02;
/// Fewer flagged responses than this are not evidence of a violation.
const MIN_FLAGGED: f64 = 2.0;

/// The confidence that a violation requires, as a normal quantile.
#[derive(Clone, Copy, Debug)]
pub(super) struct Significance(f64);

impl Significance {
    /// The quantile for 95% confidence in a single test. It is higher when many balancers test independently,
    /// because any of them may find a violation by chance.
    pub(super) fn for_independent_tests(tests: f64) -> Self {
        Significance((Z95 * Z95 + 2.0 * tests.max(1.0).ln()).sqrt())
    }
}

/// Whether there was enough evidence to compare the latency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LatencyComparison {
    /// The latency was compared.
    Done,
    /// There were too few attempts to compare the latency.
    TooFew,
}

/// A respect in which the new build is worse than the earlier one.
#[derive(Clone, Debug)]
pub(super) struct Violation {
    /// What was observed.
    pub(super) reason: String,
    /// The metric in which the violation shows.
    pub(super) metric: SliceMetric,
    /// Whether the violation counts only if it lasts for the whole span of a window.
    pub(super) mild: bool,
}

impl Violation {
    fn in_failures(reason: String) -> Self {
        Violation { reason, metric: SliceMetric::Failed, mild: false }
    }
}

/// The counts of both arms, added up over all classes.
struct ArmTotals {
    new: OutcomeCounts,
    /// What the earlier build would have shown with the new build's mix of classes.
    baseline: OutcomeCounts,
    /// The number of attempts at the earlier build.
    earlier_attempts: f64,
}

impl ArmTotals {
    fn failure_share(&self) -> f64 {
        self.baseline.failed / self.new.attempts.max(1.0)
    }
}

impl Balancer {
    /// Compares the failures of each class, and then failures, flagged responses and latency over all
    /// classes. The earlier build's counts are scaled to the new build's mix of classes.
    pub(super) fn compare(
        &self,
        new: &[OutcomeCounts],
        earlier: &[OutcomeCounts],
        max_latency_ratio: f64,
        significance: Significance,
    ) -> Result<LatencyComparison, Violation> {
        let totals = compare_classes(new, earlier, significance)?;
        compare_failures(&totals, significance)?;
        self.compare_flagged(&totals, significance)?;
        compare_latency(&totals, max_latency_ratio)
    }

    /// Compares the shares of flagged responses. Clients report only a share of the wrong responses, so the
    /// margin is multiplied by that share.
    fn compare_flagged(&self, totals: &ArmTotals, Significance(z): Significance) -> Result<(), Violation> {
        let attempts = totals.new.attempts;
        let flagged = totals.new.flagged;
        let margin = FAILURE_MARGIN * self.settings.rollout.flag_share;
        let allowed = totals.baseline.flagged / attempts.max(1.0) + margin;
        if flagged >= MIN_FLAGGED && wilson_lower(flagged, attempts, z) > allowed {
            let reason = format!("wrong answers {flagged}/{attempts} against {allowed:.3}");
            return Err(Violation::in_failures(reason));
        }
        Ok(())
    }
}

/// Compares the failures of each class, and adds up the counts of all classes.
fn compare_classes(
    new: &[OutcomeCounts],
    earlier: &[OutcomeCounts],
    Significance(z): Significance,
) -> Result<ArmTotals, Violation> {
    let mut totals = ArmTotals {
        new: OutcomeCounts::default(),
        baseline: OutcomeCounts::default(),
        earlier_attempts: 0.0,
    };
    for (class, (new_counts, earlier_counts)) in new.iter().zip(earlier).enumerate() {
        let share = earlier_counts.failed / earlier_counts.attempts.max(1.0);
        let enough = new_counts.attempts >= MIN_CLASS_ATTEMPTS;
        if enough && wilson_lower(new_counts.failed, new_counts.attempts, z) > share + FAILURE_MARGIN {
            let (failed, attempts) = (new_counts.failed, new_counts.attempts);
            let reason = format!("class {class} fails {failed}/{attempts} against {share:.3}");
            return Err(Violation::in_failures(reason));
        }
        let median =
            earlier_counts.paces.quantile(0.5).filter(|_| earlier_counts.attempts >= MIN_CLASS_ATTEMPTS);
        totals.new.merge(new_counts, 1.0, median);
        totals.baseline.merge(earlier_counts, new_counts.attempts / earlier_counts.attempts.max(1.0), median);
        totals.earlier_attempts += earlier_counts.attempts;
    }
    Ok(totals)
}

fn compare_failures(totals: &ArmTotals, Significance(z): Significance) -> Result<(), Violation> {
    let attempts = totals.new.attempts;
    let share = totals.failure_share();
    let errors = totals.new.errors;
    if wilson_lower(errors, attempts, z) > share + FAILURE_MARGIN {
        return Err(Violation::in_failures(format!("errors {errors}/{attempts} against {share:.3}")));
    }
    let failed = totals.new.failed;
    let earlier_attempts = totals.earlier_attempts;
    let new_failures = Proportion { hits: failed, trials: attempts };
    let earlier_failures = Proportion { hits: share * earlier_attempts, trials: earlier_attempts };
    if difference_lower(new_failures, earlier_failures, z) > FAILURE_MARGIN {
        let reason = format!("failures {failed}/{attempts} against {share:.3} of {earlier_attempts}");
        return Err(Violation::in_failures(reason));
    }
    Ok(())
}

/// Compares the latency. It is a violation only if both the median and the 95th percentile are slower.
fn compare_latency(totals: &ArmTotals, max_ratio: f64) -> Result<LatencyComparison, Violation> {
    let new = &totals.new.paces;
    let baseline = &totals.baseline.paces;
    if new.total().min(baseline.total()) < MIN_WINDOW_ATTEMPTS {
        return Ok(LatencyComparison::TooFew);
    }
    let ratio = |q| new.quantile(q).zip(baseline.quantile(q)).map_or(1.0, |(new, earlier)| new / earlier);
    let median = ratio(0.5);
    let tail = ratio(0.95);
    if median <= max_ratio || tail <= max_ratio {
        return Ok(LatencyComparison::Done);
    }
    let attempts = totals.new.attempts;
    Err(Violation {
        reason: format!("slower: median x{median:.2}, p95 x{tail:.2} over {attempts}"),
        metric: SliceMetric::Slow,
        mild: median < max_ratio * max_ratio,
    })
}
