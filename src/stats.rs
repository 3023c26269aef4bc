//! Pure arithmetic for the judge: interval bounds and quantiles. Confidence is passed in as `z`.

/// Lower end of the Wilson score interval for `hits` of `n` trials at normal quantile `z`.
pub fn wilson_lower(hits: f64, n: f64, z: f64) -> f64 {
    wilson(hits, n, z).0
}

/// Upper end of the Wilson score interval.
pub fn wilson_upper(hits: f64, n: f64, z: f64) -> f64 {
    wilson(hits, n, z).1
}

fn wilson(hits: f64, n: f64, z: f64) -> (f64, f64) {
    if n <= 0.0 {
        return (0.0, 1.0);
    }
    let p = (hits / n).clamp(0.0, 1.0);
    let z2 = z * z;
    let mid = p + z2 / (2.0 * n);
    let half = z * (p * (1.0 - p) / n + z2 / (4.0 * n * n)).sqrt();
    let scale = 1.0 + z2 / n;
    (((mid - half) / scale).max(0.0), ((mid + half) / scale).min(1.0))
}

/// Lower bound on `p1 - p2` by Newcombe's hybrid score method: (hits, trials) of each side.
pub fn difference_lower(one: (f64, f64), two: (f64, f64), z: f64) -> f64 {
    let share = |(hits, n): (f64, f64)| if n > 0.0 { hits / n } else { 0.0 };
    let (p1, p2) = (share(one), share(two));
    let down = p1 - wilson_lower(one.0, one.1, z);
    let up = wilson_upper(two.0, two.1, z) - p2;
    p1 - p2 - (down * down + up * up).sqrt()
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
