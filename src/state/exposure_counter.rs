//! Counts attempts at a build on trial against the allowance that requests have earned for it.

use crate::interface::Micros;
use std::collections::VecDeque;

/// The level of the counter just before an attempt.
#[derive(Clone, Copy, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
struct Low {
    at: Micros,
    level: f64,
}

/// The number of attempts minus the earned allowance, with the history that is needed to find the lowest
/// level before any recent attempt.
///
/// Over all spans that end now and begin within some window, the largest count of attempts minus allowance is
/// the current level minus the lowest level in that window.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ExposureCounter {
    level: f64,
    /// Levels before attempts, in order of time. Only those lower than all later ones are kept, so the levels
    /// rise and the first is the lowest.
    lows: VecDeque<Low>,
}

impl ExposureCounter {
    /// Adds the allowance that a request earns, in attempts.
    pub fn add_allowance(&mut self, allowance: f64) {
        self.level -= allowance;
    }

    /// Records an attempt. Levels from before the last `span` are dropped.
    pub fn record_attempt(&mut self, now: Micros, span: Micros) {
        while self.lows.front().is_some_and(|low| low.at + span < now) {
            self.lows.pop_front();
        }
        while self.lows.back().is_some_and(|low| low.level >= self.level) {
            self.lows.pop_back();
        }
        self.lows.push_back(Low { at: now, level: self.level });
        self.level += 1.0;
    }

    /// Removes the attempt that was recorded at `at`, because it was never made. All levels after it fall by
    /// one.
    pub fn remove_attempt(&mut self, at: Micros) {
        self.level -= 1.0;
        let first = self.lows.partition_point(|low| low.at <= at);
        for low in self.lows.range_mut(first..) {
            low.level -= 1.0;
        }
        // An earlier level that is no longer below a later one cannot be the lowest of any span, so it is
        // dropped.
        if let Some(&Low { level: later, .. }) = self.lows.get(first) {
            let kept = self.lows.iter().take(first).take_while(|low| low.level < later).count();
            self.lows.drain(kept..first);
        }
    }

    /// Returns the largest count of attempts minus allowance, after one more attempt, over all spans of at
    /// most `span` that end now.
    pub fn max_excess_after_attempt(&self, now: Micros, span: Micros) -> f64 {
        let first_in_span = self.lows.iter().find(|low| low.at + span >= now);
        let lowest = first_in_span.map_or(self.level, |low| low.level.min(self.level));
        self.level + 1.0 - lowest
    }
}
