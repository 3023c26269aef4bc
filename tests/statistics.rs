//! Checks the confidence bounds against published values, and the quantiles.

use violetseam::statistics::{Proportion, difference_lower, quantile, wilson_lower, wilson_upper};

fn assert_close(actual: f64, expected: f64) {
    assert!((actual - expected).abs() < 5e-4, "{actual} instead of {expected}");
}

/// Newcombe, "Two-sided confidence intervals for the single proportion", Statistics in Medicine 17 (1998),
/// table I, score method without continuity correction.
#[test]
fn wilson_matches_newcombe_1998_table_1() {
    for (hits, trials, lower, upper) in [
        (81.0, 263.0, 0.2553, 0.3662),
        (15.0, 148.0, 0.0624, 0.1605),
        (0.0, 20.0, 0.0, 0.1611),
        (1.0, 29.0, 0.0061, 0.1718),
    ] {
        assert_close(wilson_lower(hits, trials, 1.959_964), lower);
        assert_close(wilson_upper(hits, trials, 1.959_964), upper);
    }
}

/// Newcombe, "Interval estimation for the difference between independent proportions", Statistics in
/// Medicine 17 (1998), table II, method 10: 56/70 against 48/80 gives 0.0524 to 0.3339.
#[test]
fn difference_matches_newcombe_1998_method_10() {
    let first = Proportion { hits: 56.0, trials: 70.0 };
    let second = Proportion { hits: 48.0, trials: 80.0 };
    assert_close(difference_lower(first, second, 1.959_964), 0.0524);
    assert_close(-difference_lower(second, first, 1.959_964), 0.3339);
}

#[test]
fn without_trials_the_bounds_are_0_and_1() {
    assert_eq!((wilson_lower(0.0, 0.0, 1.96), wilson_upper(0.0, 0.0, 1.96)), (0.0, 1.0));
    assert_eq!(quantile(&mut [], 0.5), None);
}

#[test]
fn quantiles_are_nearest_rank() {
    let mut values: Vec<f64> = (1..=100).rev().map(f64::from).collect();
    assert_eq!(quantile(&mut values, 0.5), Some(50.0));
    assert_eq!(quantile(&mut values, 0.95), Some(95.0));
    assert_eq!(quantile(&mut values, 0.0), Some(1.0));
    assert_eq!(quantile(&mut values, 1.0), Some(100.0));
}
