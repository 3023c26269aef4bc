//! The count of attempts at a build on trial against what requests have earned it.

use crate::interface::Micros;
use std::collections::VecDeque;

/// The level before an attempt.
#[derive(Clone, Copy, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
struct Low {
    at: Micros,
    level: f64,
}

/// Attempts less earned allowance, with the lowest level before any attempt of the last span.
///
/// The count over every span that ends now, whenever it began, is `level - lowest level within it`.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ExposureCounter {
    level: f64,
    /// Rising levels in the order of time.
    lows: VecDeque<Low>,
}

impl ExposureCounter {
    /// A request was taken: it earns `cap` of an attempt.
    pub fn earn(&mut self, cap: f64) {
        self.level -= cap;
    }

    /// An attempt is made; lows from before the last `span` are forgotten.
    pub fn spend(&mut self, now: Micros, span: Micros) {
        while self.lows.front().is_some_and(|low| low.at + span < now) {
            self.lows.pop_front();
        }
        while self.lows.back().is_some_and(|low| low.level >= self.level) {
            self.lows.pop_back();
        }
        self.lows.push_back(Low { at: now, level: self.level });
        self.level += 1.0;
    }

    /// An attempt made at `at` was none: all levels since then are lower by one.
    pub fn give_back(&mut self, at: Micros) {
        self.level -= 1.0;
        let first = self.lows.partition_point(|low| low.at <= at);
        for low in self.lows.range_mut(first..) {
            low.level -= 1.0;
        }
        // A low that a later one has reached bounds no span any more.
        if let Some(&Low { level: later, .. }) = self.lows.get(first) {
            let kept = self.lows.iter().take(first).take_while(|low| low.level < later).count();
            self.lows.drain(kept..first);
        }
    }

    /// What the worst span of length `span` that ends now would hold after one more attempt.
    pub fn after_one_more(&self, now: Micros, span: Micros) -> f64 {
        let first_in_span = self.lows.iter().find(|low| low.at + span >= now);
        let lowest = first_in_span.map_or(self.level, |low| low.level.min(self.level));
        self.level + 1.0 - lowest
    }
}
