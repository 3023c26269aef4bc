//! A deterministic random source.

/// The largest number of a mantissa plus one: 53 random bits give a number in `[0, 1)`.
const MANTISSA_RANGE: f64 = (1u64 << 53) as f64;

/// A small deterministic random source (SplitMix64); the number is its state.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct RandomSource(pub u64);

impl RandomSource {
    /// The next value in `[0, 1)`.
    pub fn unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / MANTISSA_RANGE
    }

    /// An index drawn by weight; `total` is the weights' sum. 0 where there are none.
    pub fn weighted(&mut self, total: f64, weights: impl Iterator<Item = f64>) -> usize {
        let mut left = self.unit() * total;
        let mut drawn = 0;
        for (index, weight) in weights.enumerate() {
            drawn = index;
            left -= weight;
            if left <= 0.0 {
                break;
            }
        }
        drawn
    }
}
