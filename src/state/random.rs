//! A deterministic pseudo-random number generator.

/// Number of values of a 53-bit mantissa. 53 random bits divided by it give a number in `[0, 1)`.
const MANTISSA_RANGE: f64 = (1u64 << 53) as f64;

/// A small deterministic random number generator (SplitMix64). The field is its state.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct RandomSource(pub u64);

impl RandomSource {
    /// Returns the next value in `[0, 1)`.
    pub fn unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / MANTISSA_RANGE
    }

    /// Returns the index of a randomly drawn weight, with probability proportional to the weight, or 0 if
    /// there are no weights. `total` is the sum of the weights.
    pub fn weighted(&mut self, total: f64, weights: impl Iterator<Item = f64>) -> usize {
        let mut remaining = self.unit() * total;
        let mut drawn = 0;
        for (index, weight) in weights.enumerate() {
            drawn = index;
            remaining -= weight;
            if remaining <= 0.0 {
                break;
            }
        }
        drawn
    }
}
