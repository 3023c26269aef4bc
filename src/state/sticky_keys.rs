//! Idempotency keys that are sticky to the newest build, and how popular keys are.

use crate::interface::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Keys remembered; past that only known keys go to the new build.
pub const MAX_STICKY_KEYS: usize = 200_000;

/// How often keys came, within bounded memory.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct KeyPopularity {
    counts: BTreeMap<u64, f64>,
    total: f64,
}

impl KeyPopularity {
    /// Counts a key; forgets all once `capacity` keys are held.
    pub fn count(&mut self, key: u64, capacity: usize) {
        if self.counts.len() >= capacity {
            *self = KeyPopularity::default();
        }
        *self.counts.entry(key).or_default() += 1.0;
        self.total += 1.0;
    }

    /// How often a key came as a multiple of the mean of all keys; 0 where it has not been counted.
    pub fn of(&self, key: u64) -> f64 {
        let count = self.counts.get(&key).copied().unwrap_or(0.0);
        count * self.counts.len() as f64 / self.total.max(1.0)
    }
}

/// Keys that the newest build has answered or may have answered.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct StickyKeys {
    /// How often keys come.
    pub popularity: KeyPopularity,
    bound: BTreeSet<u64>,
    /// When each attempt was sent that is in flight, or whose good answer may have been lost.
    in_flight: BTreeMap<u64, Vec<Micros>>,
    /// More keys were sent to the newest build than are remembered: any may be one of them.
    pub overflowed: bool,
}

impl StickyKeys {
    /// Whether a key is remembered, or may be.
    pub fn has_room_for(&self, key: u64) -> bool {
        let known = self.bound.contains(&key) || self.in_flight.contains_key(&key);
        self.bound.len() + self.in_flight.len() < MAX_STICKY_KEYS || known
    }

    /// Whether the newest build has answered a key.
    pub fn is_bound(&self, key: u64) -> bool {
        self.bound.contains(&key)
    }

    /// When the first attempt with this key was sent that is in flight, or whose answer may have been lost.
    pub fn first_in_flight(&self, key: u64) -> Option<Micros> {
        self.in_flight.get(&key)?.first().copied()
    }

    /// The newest build has answered a key.
    pub fn bind(&mut self, key: u64) {
        self.bound.insert(key);
    }

    /// A key was sent to the newest build; past `capacity` attempts it counts as answered there.
    pub fn sent(&mut self, key: u64, now: Micros, capacity: usize) {
        let sent = self.in_flight.entry(key).or_default();
        if sent.len() < capacity {
            sent.push(now);
        } else {
            self.bound.insert(key);
        }
    }

    /// An attempt with this key was answered and read, or proven not to have been: others with it may still be.
    pub fn settled(&mut self, key: u64, sent_at: Micros) {
        let Some(sent) = self.in_flight.get_mut(&key) else { return };
        if let Some(index) = sent.iter().position(|&at| at == sent_at) {
            sent.remove(index);
        }
        if sent.is_empty() {
            self.in_flight.remove(&key);
        }
    }

    /// Forgets which keys the newest build has: none does, or (`overflowed`) any may be one of them.
    pub fn clear(&mut self, overflowed: bool) {
        self.bound.clear();
        self.in_flight.clear();
        self.overflowed = overflowed;
    }
}
