//! A token bucket whose refill rate and capacity change while it is in use.

use crate::types::{Micros, Rate};

/// One token in the unit of a bucket's level, which is a thousandth of a token per second times a
/// microsecond.
pub(crate) const TOKEN: u64 = 1_000_000_000;

/// A token bucket. The caller passes the current rate and burst to each call, because both depend on the
/// leases that are valid at that moment.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct TokenBucket {
    /// The saved amount. One token is [`TOKEN`] units.
    level: u64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// Creates an empty bucket.
    pub(crate) fn new(now: Micros) -> TokenBucket {
        TokenBucket { level: 0, refilled_at: now }
    }

    /// Returns when the bucket was last refilled.
    pub(crate) fn refilled_at(&self) -> Micros {
        self.refilled_at
    }

    /// Adds the amount that `rate` yields in the time since the last refill, of which at most `max_elapsed`
    /// counts.
    pub(crate) fn refill(&mut self, now: Micros, rate: Rate, max_elapsed: Micros) {
        let elapsed = now.saturating_sub(self.refilled_at).min(max_elapsed);
        self.refilled_at = self.refilled_at.max(now);
        self.level += rate * elapsed;
    }

    /// Limits the saved amount to what `rate` yields during `burst`.
    pub(crate) fn limit(&mut self, rate: Rate, burst: Micros) {
        self.level = self.level.min(rate * burst);
    }

    /// Takes one token if there is one. Returns whether there was one.
    pub(crate) fn try_take(&mut self) -> bool {
        if self.level < TOKEN {
            return false;
        }
        self.level -= TOKEN;
        true
    }
}
