//! Back-off between failed calls: exponential, with jitter, bounded.

use crate::Micros;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// The upper bound of the first delay, in microseconds.
pub const INITIAL_BACKOFF: Micros = 200_000;
/// The longest delay, in microseconds.
pub const MAX_BACKOFF: Micros = 5_000_000;
/// Doublings after which the upper bound no longer grows.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;

/// Exponential back-off: the n-th delay in a row is drawn evenly from the upper half of a span that doubles.
#[derive(Debug)]
pub struct Backoff {
    random: Pcg32,
    failures: u32,
}

impl Backoff {
    /// A back-off whose jitter follows from the seed; each subscriber has a seed of its own.
    pub fn new(seed: u64) -> Backoff {
        Backoff { random: Pcg32::seed_from_u64(seed), failures: 0 }
    }

    /// The delay after another failure, in microseconds: at most [`MAX_BACKOFF`].
    pub fn next_delay(&mut self) -> Micros {
        let span = (INITIAL_BACKOFF << self.failures.min(MAX_BACKOFF_DOUBLINGS)).min(MAX_BACKOFF);
        self.failures = self.failures.saturating_add(1);
        self.jittered(span)
    }

    /// A delay drawn evenly from the upper half of `span`, independent of the failures in a row.
    pub fn jittered(&mut self, span: Micros) -> Micros {
        self.random.random_range(span / 2..=span)
    }

    /// A call has succeeded: the next failure counts as the first.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
