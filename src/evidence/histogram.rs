//! A histogram of durations with logarithmic bins.

/// Number of bins of a histogram. Each octave (a factor of 2) is divided into two bins.
pub const BINS: usize = 24;
/// Lower end of the first bin, in half octaves relative to 1.
const LOWEST_BIN: f64 = -14.0;
/// Smallest value whose logarithm is taken. Smaller values count as this one.
const MIN_VALUE: f64 = 1e-9;

/// Counts of durations in logarithmic bins.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Histogram(pub [f64; BINS]);

impl Histogram {
    /// Returns the position of a value on the scale of bins, as a fractional bin number.
    fn position(value: f64) -> f64 {
        2.0 * value.max(MIN_VALUE).log2() - LOWEST_BIN
    }

    /// Counts a value.
    pub fn add(&mut self, value: f64) {
        self.0[(Self::position(value).max(0.0) as usize).min(BINS - 1)] += 1.0;
    }

    /// Returns the number of values in the histogram.
    pub fn total(&self) -> f64 {
        self.0.iter().sum()
    }

    /// Adds another histogram, with its counts multiplied by `scale` and its values divided by `unit`.
    pub fn merge(&mut self, other: &Histogram, scale: f64, unit: f64) {
        let shift = 2.0 * unit.max(MIN_VALUE).log2();
        for (bin, count) in other.0.iter().enumerate().filter(|(_, count)| **count > 0.0) {
            let position = (bin as f64 - shift).clamp(0.0, (BINS - 2) as f64);
            let upper_share = position.fract();
            self.0[position as usize] += count * scale * (1.0 - upper_share);
            self.0[position as usize + 1] += count * scale * upper_share;
        }
    }

    /// Returns the `q` quantile, or `None` if the histogram is empty. The values of a bin are taken as evenly
    /// spread over the bin.
    pub fn quantile(&self, q: f64) -> Option<f64> {
        let mut remaining = self.total() * q.clamp(0.0, 1.0);
        for (bin, &count) in self.0.iter().enumerate().filter(|(_, count)| **count > 0.0) {
            if remaining <= count {
                return Some(((bin as f64 + remaining / count + LOWEST_BIN) / 2.0).exp2());
            }
            remaining -= count;
        }
        let last = self.0.iter().rposition(|&count| count > 0.0);
        last.map(|bin| ((bin as f64 + 1.0 + LOWEST_BIN) / 2.0).exp2())
    }
}
