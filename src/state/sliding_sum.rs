//! Sums over a sliding time window, and exponential smoothing.

use crate::interface::Micros;
use std::collections::VecDeque;

/// Moves a smoothed value towards the newest value by `weight` of the difference.
pub fn smooth(value: &mut f64, newest: f64, weight: f64) {
    *value += (newest - *value) * weight;
}

/// An amount and the time at which it was added.
#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
struct Entry {
    at: Micros,
    amount: f64,
}

/// A sum over a sliding time window. It holds one entry for each amount within the window of the last call of
/// [`SlidingSum::sum`] and for each amount added since.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct SlidingSum {
    entries: VecDeque<Entry>,
    total: f64,
}

impl SlidingSum {
    /// Adds an amount.
    pub fn add(&mut self, now: Micros, amount: f64) {
        self.entries.push_back(Entry { at: now, amount });
        self.total += amount;
    }

    /// Removes an amount that was added at `at`, if it has not been dropped yet.
    pub fn remove(&mut self, at: Micros, amount: f64) {
        let added = Entry { at, amount };
        if let Some(index) = self.entries.iter().rposition(|entry| *entry == added) {
            self.entries.remove(index);
            self.subtract(amount);
        }
    }

    /// Returns the sum of the amounts added within the last `window`, and drops the older ones.
    pub fn sum(&mut self, now: Micros, window: Micros) -> f64 {
        while let Some(&Entry { at, amount }) = self.entries.front() {
            if at + window >= now {
                break;
            }
            self.entries.pop_front();
            self.subtract(amount);
        }
        self.total
    }

    /// Subtracts an amount. The total of an empty sum is set to exactly 0, to remove rounding errors.
    fn subtract(&mut self, amount: f64) {
        self.total = if self.entries.is_empty() { 0.0 } else { self.total - amount };
    }
}
