//! The votes of the proxies, and the limit on their rate.

use std::collections::BTreeMap;
use violetseam_site_protocol::release_service::{ReleaseUpdate, VerdictName, Vote};

/// Capacity of the token bucket, in seconds of refill at the rate limit.
const BURST_SECONDS: f64 = 2.0;

/// A token bucket that limits the rate of votes.
#[derive(Debug)]
pub(super) struct VoteRateLimit {
    votes_per_second: f64,
    tokens: f64,
    refilled_at: u64,
}

impl VoteRateLimit {
    pub(super) fn new(votes_per_second: f64) -> Self {
        VoteRateLimit { votes_per_second, tokens: votes_per_second * BURST_SECONDS, refilled_at: 0 }
    }

    /// Takes a token, and returns whether there was one.
    pub(super) fn try_take(&mut self, now: u64) -> bool {
        let elapsed_seconds = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.tokens += elapsed_seconds * self.votes_per_second;
        self.tokens = self.tokens.min(BURST_SECONDS * self.votes_per_second);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// A vote that counts until it expires.
#[derive(Clone, Copy, Debug)]
struct UnexpiredVote {
    vote: Vote,
    expires_at: u64,
}

/// The latest vote of each proxy that has not expired or been withdrawn.
#[derive(Debug, Default)]
pub(super) struct Votes {
    by_proxy: BTreeMap<usize, UnexpiredVote>,
}

/// Whether a verdict applies to the build in any of its stages.
pub(super) fn is_for_any_stage(verdict: VerdictName) -> bool {
    matches!(verdict, VerdictName::Back | VerdictName::Withdraw)
}

/// Whether a vote applies to the build and the stage of a release status.
pub(super) fn matches_status(vote: &Vote, status: &ReleaseUpdate) -> bool {
    vote.build == status.build && (vote.stage == status.stage || is_for_any_stage(vote.verdict))
}

impl Votes {
    pub(super) fn insert(&mut self, vote: Vote, expires_at: u64) {
        self.by_proxy.insert(vote.proxy, UnexpiredVote { vote, expires_at });
    }

    pub(super) fn remove(&mut self, proxy: usize) {
        self.by_proxy.remove(&proxy);
    }

    pub(super) fn clear(&mut self) {
        self.by_proxy.clear();
    }

    pub(super) fn remove_expired(&mut self, now: u64) {
        self.by_proxy.retain(|_, entry| entry.expires_at > now);
    }

    /// Counts the votes with a verdict that apply to the build and the stage of a release status.
    pub(super) fn count(&self, verdict: VerdictName, status: &ReleaseUpdate) -> usize {
        let counts = |vote: &Vote| vote.verdict == verdict && matches_status(vote, status);
        self.by_proxy.values().filter(|entry| counts(&entry.vote)).count()
    }
}
