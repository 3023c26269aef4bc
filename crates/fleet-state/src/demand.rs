//! A moving average of how many tokens a member asks for.

use crate::token_bucket::TOKEN;
use crate::types::{Micros, Rate};

/// Tokens asked for, granted or not, as a rate. Each window counts as much as all windows before it together.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct DemandEstimate {
    rate: Rate,
    /// Tokens asked for in the present window.
    requested: u64,
    window_start: Micros,
}

impl DemandEstimate {
    /// No demand so far.
    pub(crate) fn new(now: Micros) -> DemandEstimate {
        DemandEstimate { rate: 0, requested: 0, window_start: now }
    }

    /// The average up to the end of the last window.
    pub(crate) fn rate(&self) -> Rate {
        self.rate
    }

    /// Counts one token asked for.
    pub(crate) fn record(&mut self) {
        self.requested += 1;
    }

    /// Ends the window if it has lasted at least `min_window`.
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
