//! A token bucket whose refill rate and capacity change while it is in use.

use crate::types::{Micros, Rate};

/// One token in the unit of a bucket's level: thousandths of a token per second, times microseconds.
pub(crate) const TOKEN: u64 = 1_000_000_000;

/// A token bucket. The caller passes the rate and the capacity in at each use, as both follow from the leases of the
/// moment.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct TokenBucket {
    /// What is saved up, in units of which [`TOKEN`] make one token.
    level: u64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// An empty bucket.
    pub(crate) fn new(now: Micros) -> TokenBucket {
        TokenBucket { level: 0, refilled_at: now }
    }

    /// When the bucket was refilled last.
    pub(crate) fn refilled_at(&self) -> Micros {
        self.refilled_at
    }

    /// Adds what `rate` yields since the last refill, but for no longer than `max_elapsed`.
    pub(crate) fn refill(&mut self, now: Micros, rate: Rate, max_elapsed: Micros) {
        let elapsed = now.saturating_sub(self.refilled_at).min(max_elapsed);
        self.refilled_at = self.refilled_at.max(now);
        self.level += rate * elapsed;
    }

    /// Drops what is saved beyond what `rate` yields during `burst`.
    pub(crate) fn limit(&mut self, rate: Rate, burst: Micros) {
        self.level = self.level.min(rate * burst);
    }

    /// Takes one token if there is one; whether there was.
    pub(crate) fn try_take(&mut self) -> bool {
        if self.level < TOKEN {
            return false;
        }
        self.level -= TOKEN;
        true
    }
}
