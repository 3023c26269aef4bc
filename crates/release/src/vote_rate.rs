//! The rate limit for votes.

use violetseam_plan::Micros;

/// The capacity of the bucket, as seconds of votes at the configured rate.
const BURST_SECONDS: f64 = 2.0;

/// A token bucket that limits the rate of votes from all proxies together. It is not part of the durable
/// state, because a vote over the limit is answered with `full` and never becomes an event.
#[derive(Clone, Copy, Debug)]
pub struct VoteRateLimit {
    votes_per_s: f64,
    tokens: f64,
    refilled_at: Micros,
}

impl VoteRateLimit {
    /// Creates a full bucket. `steady` is the current time of the monotonic clock, as in [`crate::Now`].
    pub fn new(votes_per_s: f64, steady: Micros) -> Self {
        VoteRateLimit { votes_per_s, tokens: BURST_SECONDS * votes_per_s, refilled_at: steady }
    }

    /// Sets the rate, which each plan states for itself.
    pub fn set_rate(&mut self, votes_per_s: f64) {
        self.votes_per_s = votes_per_s;
    }

    /// Takes a token for one vote. Returns `false` if the rate limit is exceeded.
    pub fn try_take(&mut self, steady: Micros) -> bool {
        let elapsed_s = steady.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.refilled_at = self.refilled_at.max(steady);
        let refilled = self.tokens + elapsed_s * self.votes_per_s;
        self.tokens = refilled.min(BURST_SECONDS * self.votes_per_s);
        let is_granted = self.tokens >= 1.0;
        if is_granted {
            self.tokens -= 1.0;
        }
        is_granted
    }
}
