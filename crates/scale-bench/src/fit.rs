//! Least squares over measured points: a line, and a power law as a line through logarithms.

use thiserror::Error;

/// One measured point.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// The size it was measured at.
    pub size: f64,
    /// The value, in the unit of its quantity.
    pub value: f64,
}

/// The curve that was fitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Curve {
    /// `intercept + slope * size`.
    Line {
        /// Value at size zero.
        intercept: f64,
        /// Value added by one more of the size.
        slope: f64,
    },
    /// `factor * size ^ exponent`.
    Power {
        /// Value at size one.
        factor: f64,
        /// 0: constant; 1: proportional to the size; 2: to its square.
        exponent: f64,
    },
}

/// A fitted curve and its spread.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// The curve.
    pub curve: Curve,
    /// Standard error of the slope, or of the exponent; 0 with two points, which leave none.
    pub standard_error: f64,
    /// The largest `|measured - fitted| / fitted` over the points.
    pub largest_residual: f64,
    /// The largest size that was measured.
    pub largest_size: f64,
    /// How many points were fitted.
    pub points: usize,
}

/// Why there is no fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FitError {
    /// Fewer than two different sizes.
    #[error("fewer than two different sizes")]
    TooFewSizes,
    /// A value is not finite, or not positive where its logarithm is taken.
    #[error("a value that cannot be fitted")]
    UnusableValue,
}

impl Curve {
    /// The curve's value at a size.
    pub fn at(&self, size: f64) -> f64 {
        match *self {
            Curve::Line { intercept, slope } => intercept + slope * size,
            Curve::Power { factor, exponent } => factor * size.powf(exponent),
        }
    }
}

impl Fit {
    /// The fitted value at a size, which may lie beyond the measured ones.
    pub fn at(&self, size: f64) -> f64 {
        self.curve.at(size)
    }

    /// By what factor a size lies beyond the largest measured one.
    pub fn extrapolation(&self, size: f64) -> f64 {
        size / self.largest_size
    }
}

/// Fits a line by ordinary least squares.
///
/// # Errors
/// [`FitError`] if there are too few points or all are of one size.
pub fn line(points: &[Point]) -> Result<Fit, FitError> {
    if points.iter().any(|p| !p.size.is_finite() || !p.value.is_finite()) {
        return Err(FitError::UnusableValue);
    }
    let regression = least_squares(points)?;
    let curve = Curve::Line { intercept: regression.intercept, slope: regression.slope };
    Ok(with_spread(curve, regression.standard_error, points))
}

/// Fits a power law by ordinary least squares over logarithms; sizes and values must be above zero.
///
/// # Errors
/// [`FitError`] if there are too few points, all are of one size, or one is not above zero.
pub fn power(points: &[Point]) -> Result<Fit, FitError> {
    if points.iter().any(|p| !(p.size > 0.0 && p.value > 0.0 && p.value.is_finite())) {
        return Err(FitError::UnusableValue);
    }
    let logarithms: Vec<Point> =
        points.iter().map(|p| Point { size: p.size.ln(), value: p.value.ln() }).collect();
    let regression = least_squares(&logarithms)?;
    let curve = Curve::Power { factor: regression.intercept.exp(), exponent: regression.slope };
    Ok(with_spread(curve, regression.standard_error, points))
}

/// The line of least squares.
struct Regression {
    intercept: f64,
    slope: f64,
    standard_error: f64,
}

fn least_squares(points: &[Point]) -> Result<Regression, FitError> {
    let count = points.len() as f64;
    let mean_size = points.iter().map(|p| p.size).sum::<f64>() / count;
    let mean_value = points.iter().map(|p| p.value).sum::<f64>() / count;
    let size_variation: f64 = points.iter().map(|p| (p.size - mean_size).powi(2)).sum();
    if points.len() < 2 || size_variation <= 0.0 {
        return Err(FitError::TooFewSizes);
    }
    let covariation: f64 = points.iter().map(|p| (p.size - mean_size) * (p.value - mean_value)).sum();
    let slope = covariation / size_variation;
    let intercept = mean_value - slope * mean_size;
    let residuals: f64 = points.iter().map(|p| (p.value - intercept - slope * p.size).powi(2)).sum();
    let standard_error = match points.len() {
        2 => 0.0,
        _ => (residuals / (count - 2.0) / size_variation).sqrt(),
    };
    Ok(Regression { intercept, slope, standard_error })
}

fn with_spread(curve: Curve, standard_error: f64, points: &[Point]) -> Fit {
    let residual = |p: &Point| {
        let fitted = curve.at(p.size);
        if p.value == fitted { 0.0 } else { ((p.value - fitted) / fitted).abs() }
    };
    Fit {
        curve,
        standard_error,
        largest_residual: points.iter().map(residual).fold(0.0, f64::max),
        largest_size: points.iter().map(|p| p.size).fold(0.0, f64::max),
        points: points.len(),
    }
}
