//! Confidence bounds for proportions, and quantiles. The confidence level is given as a normal quantile `z`.

/// A proportion: the number of hits in a number of trials.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Proportion {
    /// Number of hits. It need not be an integer.
    pub hits: f64,
    /// Number of trials.
    pub trials: f64,
}

impl Proportion {
    fn share(self) -> f64 {
        if self.trials > 0.0 { self.hits / self.trials } else { 0.0 }
    }
}

/// A confidence interval for a share.
struct Interval {
    lower: f64,
    upper: f64,
}

/// Returns the lower end of the Wilson score interval for `hits` of `trials` at the normal quantile `z`.
pub fn wilson_lower(hits: f64, trials: f64, z: f64) -> f64 {
    wilson(hits, trials, z).lower
}

/// Returns the upper end of the Wilson score interval for `hits` of `trials` at the normal quantile `z`.
pub fn wilson_upper(hits: f64, trials: f64, z: f64) -> f64 {
    wilson(hits, trials, z).upper
}

fn wilson(hits: f64, trials: f64, z: f64) -> Interval {
    if trials <= 0.0 {
        return Interval { lower: 0.0, upper: 1.0 };
    }
    let share = (hits / trials).clamp(0.0, 1.0);
    let z_squared = z * z;
    let center = share + z_squared / (2.0 * trials);
    let half_width = z * (share * (1.0 - share) / trials + z_squared / (4.0 * trials * trials)).sqrt();
    let denominator = 1.0 + z_squared / trials;
    Interval {
        lower: ((center - half_width) / denominator).max(0.0),
        upper: ((center + half_width) / denominator).min(1.0),
    }
}

/// Returns a lower bound on the difference of two shares, `first - second`, by Newcombe's hybrid score
/// method.
pub fn difference_lower(first: Proportion, second: Proportion, z: f64) -> f64 {
    let first_margin = first.share() - wilson_lower(first.hits, first.trials, z);
    let second_margin = wilson_upper(second.hits, second.trials, z) - second.share();
    first.share() - second.share() - (first_margin * first_margin + second_margin * second_margin).sqrt()
}

/// Returns the `q` quantile of the values by the nearest-rank method, or `None` if there are no values. The
/// values are reordered.
pub fn quantile(values: &mut [f64], q: f64) -> Option<f64> {
    if values.is_empty() {
        return None;
    }
    let rank = (q.clamp(0.0, 1.0) * values.len() as f64).ceil().max(1.0) as usize - 1;
    let (_, value, _) = values.select_nth_unstable_by(rank.min(values.len() - 1), f64::total_cmp);
    Some(*value)
}
