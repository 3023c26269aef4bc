//! Sums over a sliding time window, and exponential smoothing.

use crate::interface::Micros;
use std::collections::VecDeque;

/// A window is divided into this many slots. Amounts of the same slot share one entry.
const SLOTS_PER_WINDOW: Micros = 128;

/// Moves a smoothed value towards the newest value by `weight` of the difference.
pub fn smooth(value: &mut f64, newest: f64, weight: f64) {
    *value += (newest - *value) * weight;
}

/// The total of the amounts that were added within one slot of the window.
#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
struct Entry {
    /// The end of the slot.
    at: Micros,
    amount: f64,
}

/// A sum over a sliding time window, in microseconds. All calls on one sum must pass the same window.
///
/// An amount leaves the sum up to one slot after the window, never earlier. Old amounts are dropped whenever
/// one is added, so the memory is bounded by the number of slots even if the sum is never read.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct SlidingSum {
    /// The entries in the order of time, one for each slot with an amount.
    entries: VecDeque<Entry>,
    total: f64,
}

impl SlidingSum {
    /// Adds an amount, and drops those that are older than `window`.
    pub fn add(&mut self, now: Micros, amount: f64, window: Micros) {
        self.drop_expired(now, window);
        let at = end_of_slot(now, window);
        match self.entries.back_mut().filter(|entry| entry.at == at) {
            Some(entry) => entry.amount += amount,
            None => self.entries.push_back(Entry { at, amount }),
        }
        self.total += amount;
    }

    /// Removes an amount that was added at `added_at`, if it has not been dropped yet.
    pub fn remove(&mut self, added_at: Micros, amount: f64, window: Micros) {
        let at = end_of_slot(added_at, window);
        let Some(index) = self.entries.iter().rposition(|entry| entry.at == at) else { return };
        let entry = &mut self.entries[index];
        entry.amount -= amount;
        if entry.amount <= 0.0 {
            self.entries.remove(index);
        }
        self.subtract(amount);
    }

    /// Returns the sum of the amounts added within the last `window`, and drops the older ones.
    pub fn sum(&mut self, now: Micros, window: Micros) -> f64 {
        self.drop_expired(now, window);
        self.total
    }

    fn drop_expired(&mut self, now: Micros, window: Micros) {
        while let Some(&Entry { at, amount }) = self.entries.front() {
            if at + window >= now {
                break;
            }
            self.entries.pop_front();
            self.subtract(amount);
        }
    }

    /// Subtracts an amount. The total of an empty sum is set to exactly 0, to remove rounding errors.
    fn subtract(&mut self, amount: f64) {
        self.total = if self.entries.is_empty() { 0.0 } else { self.total - amount };
    }
}

/// The end of the slot that a time belongs to.
fn end_of_slot(at: Micros, window: Micros) -> Micros {
    at.next_multiple_of((window / SLOTS_PER_WINDOW).max(1))
}
