//! The statistical comparison of the new build with the earlier one.

use super::verdict::{MIN_CLASS_ATTEMPTS, MIN_WINDOW_ATTEMPTS};
use crate::balancer::Balancer;
use crate::evidence::{HitKind, OutcomeCounts};
use crate::statistics::{Proportion, difference_lower, wilson_lower};

/// Normal quantile of 95% confidence.
const Z95: f64 = 1.96;
/// Allowed above the earlier build's failure share.
const FAILURE_MARGIN: f64 = 0.02;
/// Flagged answers below which nothing is concluded from them.
const MIN_FLAGGED: f64 = 2.0;

/// The confidence that a violation needs, as a normal quantile.
#[derive(Clone, Copy, Debug)]
pub(super) struct Significance(f64);

impl Significance {
    /// 95% for one judge, and more for each of many that judge independently.
    pub(super) fn for_judges(judges: f64) -> Self {
        Significance((Z95 * Z95 + 2.0 * judges.max(1.0).ln()).sqrt())
    }
}

/// Whether there was enough to compare latency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LatencyComparison {
    /// It was compared.
    Done,
    /// There were too few answers.
    TooFew,
}

/// Something in which the new build is worse.
#[derive(Clone, Debug)]
pub(super) struct Violation {
    /// What was seen.
    pub(super) reason: String,
    /// What it shows in.
    pub(super) shows_in: HitKind,
    /// It must last the whole span to count.
    pub(super) mild: bool,
}

impl Violation {
    fn of_failures(reason: String) -> Self {
        Violation { reason, shows_in: HitKind::Failed, mild: false }
    }
}

/// The arms over all classes.
struct ArmTotals {
    new: OutcomeCounts,
    /// What the earlier build would have done with the new one's mix of classes.
    baseline: OutcomeCounts,
    /// Attempts at the earlier build.
    earlier_attempts: f64,
}

impl ArmTotals {
    fn failure_share(&self) -> f64 {
        self.baseline.failed / self.new.attempts.max(1.0)
    }
}

impl Balancer {
    /// Compares the arms class by class on the same footing, then over all classes.
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

    /// Only a share of wrong answers is reported, so that the margin is scaled down by it.
    fn compare_flagged(&self, totals: &ArmTotals, Significance(z): Significance) -> Result<(), Violation> {
        let attempts = totals.new.attempts;
        let flagged = totals.new.flagged;
        let margin = FAILURE_MARGIN * self.settings.rollout.flag_share;
        let allowed = totals.baseline.flagged / attempts.max(1.0) + margin;
        if flagged >= MIN_FLAGGED && wilson_lower(flagged, attempts, z) > allowed {
            let reason = format!("wrong answers {flagged}/{attempts} against {allowed:.3}");
            return Err(Violation::of_failures(reason));
        }
        Ok(())
    }
}

/// Compares failures in each class, and adds the classes up.
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
    for (class, (ours, theirs)) in new.iter().zip(earlier).enumerate() {
        let share = theirs.failed / theirs.attempts.max(1.0);
        let enough = ours.attempts >= MIN_CLASS_ATTEMPTS;
        if enough && wilson_lower(ours.failed, ours.attempts, z) > share + FAILURE_MARGIN {
            let (failed, attempts) = (ours.failed, ours.attempts);
            let reason = format!("class {class} fails {failed}/{attempts} against {share:.3}");
            return Err(Violation::of_failures(reason));
        }
        let median = theirs.paces.quantile(0.5).filter(|_| theirs.attempts >= MIN_CLASS_ATTEMPTS);
        totals.new.merge(ours, 1.0, median);
        totals.baseline.merge(theirs, ours.attempts / theirs.attempts.max(1.0), median);
        totals.earlier_attempts += theirs.attempts;
    }
    Ok(totals)
}

fn compare_failures(totals: &ArmTotals, Significance(z): Significance) -> Result<(), Violation> {
    let attempts = totals.new.attempts;
    let share = totals.failure_share();
    let errors = totals.new.errors;
    if wilson_lower(errors, attempts, z) > share + FAILURE_MARGIN {
        return Err(Violation::of_failures(format!("errors {errors}/{attempts} against {share:.3}")));
    }
    let failed = totals.new.failed;
    let earlier_attempts = totals.earlier_attempts;
    let ours = Proportion { hits: failed, trials: attempts };
    let theirs = Proportion { hits: share * earlier_attempts, trials: earlier_attempts };
    if difference_lower(ours, theirs, z) > FAILURE_MARGIN {
        let reason = format!("failures {failed}/{attempts} against {share:.3} of {earlier_attempts}");
        return Err(Violation::of_failures(reason));
    }
    Ok(())
}

/// Median and tail must both be slower.
fn compare_latency(totals: &ArmTotals, max_ratio: f64) -> Result<LatencyComparison, Violation> {
    let new = &totals.new.paces;
    let baseline = &totals.baseline.paces;
    if new.total().min(baseline.total()) < MIN_WINDOW_ATTEMPTS {
        return Ok(LatencyComparison::TooFew);
    }
    let ratio = |q| new.quantile(q).zip(baseline.quantile(q)).map_or(1.0, |(ours, theirs)| ours / theirs);
    let median = ratio(0.5);
    let tail = ratio(0.95);
    if median <= max_ratio || tail <= max_ratio {
        return Ok(LatencyComparison::Done);
    }
    let attempts = totals.new.attempts;
    Err(Violation {
        reason: format!("slower: median x{median:.2}, p95 x{tail:.2} over {attempts}"),
        shows_in: HitKind::Slow,
        mild: median < max_ratio * max_ratio,
    })
}
