//! Back-off between calls that failed: drawn, growing, bounded.

use crate::Micros;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// The first wait's upper bound, in microseconds.
pub const RETRY_FIRST: Micros = 200_000;
/// The longest wait, in microseconds.
pub const RETRY_MOST: Micros = 5_000_000;
/// Doublings after which the upper bound no longer grows.
const DOUBLINGS_MOST: u32 = 16;

/// A back-off: the n-th wait in a row is drawn evenly from the upper half of a span that doubles.
#[derive(Debug)]
pub struct Backoff {
    draws: Pcg32,
    failures: u32,
}

impl Backoff {
    /// A back-off whose draws follow from the seed; each subscriber has a seed of its own.
    pub fn new(seed: u64) -> Backoff {
        Backoff { draws: Pcg32::seed_from_u64(seed), failures: 0 }
    }

    /// The next wait after a failure, in microseconds: at most [`RETRY_MOST`].
    pub fn next_wait(&mut self) -> Micros {
        let span = (RETRY_FIRST << self.failures.min(DOUBLINGS_MOST)).min(RETRY_MOST);
        self.failures = self.failures.saturating_add(1);
        self.draws.random_range(span / 2..=span)
    }

    /// A wait drawn evenly from the upper half of `span`, apart from the failures in a row.
    pub fn draw(&mut self, span: Micros) -> Micros {
        self.draws.random_range(span / 2..=span)
    }

    /// A call has led on: the next failure is the first again.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }
}
