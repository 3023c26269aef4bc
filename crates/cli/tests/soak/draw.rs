//! Random choices of the soak test. The same seed gives the same schedule, apart from timing differences of
//! the machine.

use std::time::Duration;

/// A small deterministic generator (SplitMix64).
pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64, stream: u64) -> Rng {
        Rng(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ (stream << 32))
    }

    pub fn below(&mut self, most: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (z ^ (z >> 31)) % most
    }

    /// True in one of `many` cases on average.
    pub fn one_in(&mut self, many: u64) -> bool {
        self.below(many) == 0
    }

    pub fn ms(&mut self, from: u64, until: u64) -> Duration {
        Duration::from_millis(from + self.below(until - from))
    }

    pub fn pick<'a, T>(&mut self, items: &'a [T]) -> &'a T {
        &items[self.below(items.len() as u64) as usize]
    }
}
