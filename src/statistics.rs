//! Interval bounds and quantiles. Confidence is passed in as the normal quantile `z`.

/// Hits among trials.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Proportion {
    /// Hits; need not be whole.
    pub hits: f64,
    /// Trials.
    pub trials: f64,
}

impl Proportion {
    fn share(self) -> f64 {
        if self.trials > 0.0 { self.hits / self.trials } else { 0.0 }
    }
}

/// An interval of shares.
struct Interval {
    lower: f64,
    upper: f64,
}

/// Lower end of the Wilson score interval for `hits` of `trials` at normal quantile `z`.
pub fn wilson_lower(hits: f64, trials: f64, z: f64) -> f64 {
    wilson(hits, trials, z).lower
}

/// Upper end of the Wilson score interval.
pub fn wilson_upper(hits: f64, trials: f64, z: f64) -> f64 {
    wilson(hits, trials, z).upper
}

fn wilson(hits: f64, trials: f64, z: f64) -> Interval {
    if trials <= 0.0 {
        return Interval { lower: 0.0, upper: 1.0 };
    }
    let share = (hits / trials).clamp(0.0, 1.0);
    let z_squared = z * z;
    let middle = share + z_squared / (2.0 * trials);
    let half = z * (share * (1.0 - share) / trials + z_squared / (4.0 * trials * trials)).sqrt();
    let scale = 1.0 + z_squared / trials;
    Interval { lower: ((middle - half) / scale).max(0.0), upper: ((middle + half) / scale).min(1.0) }
}

/// Lower bound on the difference of two shares, `one - two`, by Newcombe's hybrid score method.
pub fn difference_lower(one: Proportion, two: Proportion, z: f64) -> f64 {
    let down = one.share() - wilson_lower(one.hits, one.trials, z);
    let up = wilson_upper(two.hits, two.trials, z) - two.share();
    one.share() - two.share() - (down * down + up * up).sqrt()
}

/// The `q` quantile of the values, by nearest rank; `None` when there are none. Reorders them.
pub fn quantile(values: &mut [f64], q: f64) -> Option<f64> {
    if values.is_empty() {
        return None;
    }
    let rank = (q.clamp(0.0, 1.0) * values.len() as f64).ceil().max(1.0) as usize - 1;
    let (_, value, _) = values.select_nth_unstable_by(rank.min(values.len() - 1), f64::total_cmp);
    Some(*value)
}
