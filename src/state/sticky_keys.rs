//! The idempotency keys that are sticky to the newest build, and the popularity of keys.

use crate::interface::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of keys that are remembered, unless a lower one is set. Once it is reached, only known keys
/// go to a build on trial.
pub const MAX_STICKY_KEYS: usize = 200_000;
/// The memory that one key may need in all tables together, in bytes.
const BYTES_PER_KEY: usize = 144;

/// Counts how often each key arrives, within bounded memory.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct KeyPopularity {
    counts: BTreeMap<u64, f64>,
    total: f64,
}

impl KeyPopularity {
    /// Counts a key. If `capacity` keys are held, all counts are dropped first.
    pub fn count(&mut self, key: u64, capacity: usize) {
        if self.counts.len() >= capacity {
            *self = KeyPopularity::default();
        }
        *self.counts.entry(key).or_default() += 1.0;
        self.total += 1.0;
    }

    /// Returns how often a key arrived as a multiple of the mean over all keys, or 0 if it has not been
    /// counted.
    pub fn relative_to_mean(&self, key: u64) -> f64 {
        let count = self.counts.get(&key).copied().unwrap_or(0.0);
        count * self.counts.len() as f64 / self.total.max(1.0)
    }
}

/// The keys that the newest build has answered or may have answered.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct StickyKeys {
    /// How often keys arrive.
    pub popularity: KeyPopularity,
    /// Keys that the newest build has answered.
    bound: BTreeSet<u64>,
    /// For each key, the send times of the attempts that are in flight or whose successful response may have
    /// been lost.
    in_flight: BTreeMap<u64, Vec<Micros>>,
    /// Whether more keys were sent to the newest build than can be remembered. Any key may then be one of
    /// them.
    pub overflowed: bool,
    /// A lower limit than [`MAX_STICKY_KEYS`], if one is set. It belongs to the process, so it is not handed
    /// over in a takeover.
    #[cfg_attr(feature = "serde", serde(skip))]
    max_keys: Option<usize>,
}

impl StickyKeys {
    /// Limits the number of keys so that they need no more than this much memory, in bytes.
    pub fn limit_memory(&mut self, bytes: usize) {
        self.max_keys = Some((bytes / BYTES_PER_KEY).min(MAX_STICKY_KEYS));
    }

    /// Returns the maximum number of keys that are remembered.
    fn max_keys(&self) -> usize {
        self.max_keys.unwrap_or(MAX_STICKY_KEYS)
    }

    /// Counts the arrival of a key.
    pub fn count_arrival(&mut self, key: u64) {
        let capacity = self.max_keys();
        self.popularity.count(key, capacity);
    }

    /// Returns whether a key is remembered already or can still be added.
    pub fn has_room_for(&self, key: u64) -> bool {
        let known = self.bound.contains(&key) || self.in_flight.contains_key(&key);
        self.bound.len() + self.in_flight.len() < self.max_keys() || known
    }

    /// Returns whether the newest build has answered a key.
    pub fn is_bound(&self, key: u64) -> bool {
        self.bound.contains(&key)
    }

    /// Returns when the first attempt with this key was sent, among those that are in flight or whose
    /// response may have been lost.
    pub fn first_in_flight(&self, key: u64) -> Option<Micros> {
        self.in_flight.get(&key)?.first().copied()
    }

    /// Records that the newest build has answered a key.
    pub fn bind(&mut self, key: u64) {
        self.bound.insert(key);
    }

    /// Records that a key was sent to the newest build. If it already has `capacity` attempts, the key counts
    /// as answered by that build.
    pub fn record_sent(&mut self, key: u64, now: Micros, capacity: usize) {
        let send_times = self.in_flight.entry(key).or_default();
        if send_times.len() < capacity {
            send_times.push(now);
        } else {
            self.bound.insert(key);
        }
    }

    /// Removes an attempt with this key, because its response was read or because it is certain that the
    /// build did not answer it. Other attempts with the key may still be in flight.
    pub fn remove_attempt(&mut self, key: u64, sent_at: Micros) {
        let Some(send_times) = self.in_flight.get_mut(&key) else { return };
        if let Some(index) = send_times.iter().position(|&at| at == sent_at) {
            send_times.remove(index);
        }
        if send_times.is_empty() {
            self.in_flight.remove(&key);
        }
    }

    /// Drops all keys. If `overflowed`, any key may be sticky from now on. Otherwise none is.
    pub fn clear(&mut self, overflowed: bool) {
        self.bound.clear();
        self.in_flight.clear();
        self.overflowed = overflowed;
    }
}
