//! Exponential backoff with jitter and an upper bound, for calls that failed.

use crate::Micros;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// The upper bound of the delay after the first failure, in microseconds.
pub const INITIAL_BACKOFF: Micros = 200_000;
/// The upper bound of every delay, in microseconds.
pub const MAX_BACKOFF: Micros = 5_000_000;
/// The upper bound of a delay is doubled at most this many times, so that the shift cannot overflow.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;

/// Exponential backoff. Each delay is drawn uniformly from the upper half of a span that doubles with every
/// consecutive failure.
#[derive(Debug)]
pub struct Backoff {
    rng: Pcg32,
    consecutive_failures: u32,
}

impl Backoff {
    /// Creates a backoff whose jitter is determined by `seed`. Each subscriber needs its own seed, so that
    /// the subscribers of a fleet do not retry at the same time.
    pub fn new(seed: u64) -> Backoff {
        Backoff { rng: Pcg32::seed_from_u64(seed), consecutive_failures: 0 }
    }

    /// Records a failure and returns the delay until the next call, in microseconds, at most [`MAX_BACKOFF`].
    pub fn next_delay(&mut self) -> Micros {
        let span = (INITIAL_BACKOFF << self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS)).min(MAX_BACKOFF);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.jittered(span)
    }

    /// Returns a delay drawn uniformly from the upper half of `span`. The number of consecutive failures does
    /// not affect it.
    pub fn jittered(&mut self, span: Micros) -> Micros {
        self.rng.random_range(span / 2..=span)
    }

    /// Records a success: the next failure counts as the first one.
    pub fn reset(&mut self) {
        self.consecutive_failures = 0;
    }
}
