//! The outcomes of a member's attempts on a server.

use crate::types::Micros;

/// The number of consecutive failures that make a server bad although attempts in the same window succeeded
/// before them.
const FAILURE_STREAK: u16 = 3;

/// What the end of an attempt shows about the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server has served the request, or has rejected it with a valid response.
    Success,
    /// The server has failed the request or has not responded in time.
    Failure,
    /// No connection to the server could be established.
    Unreachable,
}

/// The number of successes, and the numbers of failures since the last success. A count that has reached its
/// maximum stays there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct AttemptCounts {
    pub successes: u8,
    pub failures: u8,
    pub unreachable: u8,
}

/// The counts of attempts on a server, and when the latest attempt ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Observation {
    pub observed_at: Micros,
    pub counts: AttemptCounts,
}

impl AttemptCounts {
    /// Counts an attempt. A success resets the counts of failures.
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

    /// Whether the server is bad: attempts have failed since the last success, and either none has succeeded
    /// or at least [`FAILURE_STREAK`] have failed in a row.
    pub fn is_bad(self) -> bool {
        let failed = u16::from(self.failures) + u16::from(self.unreachable);
        failed > 0 && (self.successes == 0 || failed >= FAILURE_STREAK)
    }
}
