//! A histogram of times with logarithmic bins.

/// Bins of a histogram: two to an octave.
pub const BINS: usize = 24;
/// Half octaves below 1 at which the bins begin.
const LOWEST_BIN: f64 = -14.0;
/// The least value that has a logarithm here.
const MIN_VALUE: f64 = 1e-9;

/// Counts of times by logarithmic bins.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Histogram(pub [f64; BINS]);

impl Histogram {
    fn position(value: f64) -> f64 {
        2.0 * value.max(MIN_VALUE).log2() - LOWEST_BIN
    }

    /// Counts a value.
    pub fn add(&mut self, value: f64) {
        self.0[(Self::position(value).max(0.0) as usize).min(BINS - 1)] += 1.0;
    }

    /// How many values it holds.
    pub fn total(&self) -> f64 {
        self.0.iter().sum()
    }

    /// Adds another histogram, its counts scaled and its values divided by `unit`.
    pub fn merge(&mut self, other: &Histogram, scale: f64, unit: f64) {
        let shift = 2.0 * unit.max(MIN_VALUE).log2();
        for (bin, count) in other.0.iter().enumerate().filter(|(_, count)| **count > 0.0) {
            let to = (bin as f64 - shift).clamp(0.0, (BINS - 2) as f64);
            let upper_share = to.fract();
            self.0[to as usize] += count * scale * (1.0 - upper_share);
            self.0[to as usize + 1] += count * scale * upper_share;
        }
    }

    /// The `q` quantile, set evenly within its bin; `None` where it is empty.
    pub fn quantile(&self, q: f64) -> Option<f64> {
        let mut left = self.total() * q.clamp(0.0, 1.0);
        for (bin, &count) in self.0.iter().enumerate().filter(|(_, count)| **count > 0.0) {
            if left <= count {
                return Some(((bin as f64 + left / count + LOWEST_BIN) / 2.0).exp2());
            }
            left -= count;
        }
        let last = self.0.iter().rposition(|&count| count > 0.0);
        last.map(|bin| ((bin as f64 + 1.0 + LOWEST_BIN) / 2.0).exp2())
    }
}
