//! Estimates the rate at which a member requests tokens, as a moving average.

use crate::token_bucket::TOKEN;
use crate::types::{Micros, Rate};

/// The average rate of requested tokens, whether they were granted or denied. The latest window has the same
/// weight as all earlier windows together.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct DemandEstimate {
    rate: Rate,
    /// The number of tokens requested in the current window.
    requested: u64,
    window_start: Micros,
}

impl DemandEstimate {
    /// Creates an estimate of no demand, with a window that starts now.
    pub(crate) fn new(now: Micros) -> DemandEstimate {
        DemandEstimate { rate: 0, requested: 0, window_start: now }
    }

    /// Returns the average up to the end of the last complete window.
    pub(crate) fn rate(&self) -> Rate {
        self.rate
    }

    /// Counts one requested token.
    pub(crate) fn record(&mut self) {
        self.requested += 1;
    }

    /// Ends the current window and updates the average, if the window has lasted for at least `min_window`.
    pub(crate) fn update(&mut self, now: Micros, min_window: Micros) {
        let elapsed = now.saturating_sub(self.window_start);
        if elapsed == 0 || elapsed < min_window {
            return;
        }
        let window_rate = self.requested.saturating_mul(TOKEN) / elapsed;
        self.rate = (self.rate + window_rate) / 2;
        self.requested = 0;
        self.window_start = now;
    }
}
