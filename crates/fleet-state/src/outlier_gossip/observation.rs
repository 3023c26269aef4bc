//! What a member has observed of a server in its own attempts.

use crate::types::Micros;

/// Consecutive failures that outweigh the successes before them in the same window.
const FAILURE_STREAK: u16 = 3;

/// How an attempt ended, as far as the server is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server answered well, or rejected the request in an orderly way.
    Success,
    /// It failed the request, or did not answer in time.
    Failure,
    /// No connection to it could be established.
    Unreachable,
}

/// Successes within a window, and the failures since the last of them. Each count stays at its maximum.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct AttemptCounts {
    pub successes: u8,
    pub failures: u8,
    pub unreachable: u8,
}

/// Counts and the moment at which the latest of the attempts ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Observation {
    pub observed_at: Micros,
    pub counts: AttemptCounts,
}

impl AttemptCounts {
    /// Counts an attempt. A success ends a series of failures.
    pub fn record(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Success => {
                self.successes = self.successes.saturating_add(1);
                self.failures = 0;
                self.unreachable = 0;
            }
            Outcome::Failure => self.failures = self.failures.saturating_add(1),
            Outcome::Unreachable => self.unreachable = self.unreachable.saturating_add(1),
        }
    }

    /// Whether no attempt has failed since the last success.
    pub fn last_succeeded(self) -> bool {
        self.failures == 0 && self.unreachable == 0
    }

    /// Whether the server looks like an outlier: failures only, or a long enough series of them.
    pub fn is_bad(self) -> bool {
        let failed = u16::from(self.failures) + u16::from(self.unreachable);
        failed > 0 && (self.successes == 0 || failed >= FAILURE_STREAK)
    }
}
