//! Remembers the ids of calls that were sent to a server and are no longer in flight. Every request gets a new
//! id, so a call with one of these ids would run what may have run already.

use std::collections::{HashSet, VecDeque};
use std::hash::{BuildHasher, RandomState};
use violetseam::interface::Micros;

/// How long an id is remembered, unless there are too many.
const MEMORY_SPAN: Micros = 60_000_000;
/// The estimated memory that one id needs, in bytes: its hash in the set and in the queue.
pub(super) const BYTES_PER_ID: usize = 48;

/// The ids of calls that may have run, as hashes.
pub(super) struct SentCalls {
    hashes: HashSet<u64>,
    /// The hashes with the times at which they were added, oldest first.
    oldest_first: VecDeque<(Micros, u64)>,
    /// The most ids that are remembered; older ones are forgotten first.
    capacity: usize,
    /// Keyed at random, so that no client can choose ids that collide.
    hasher: RandomState,
}

impl SentCalls {
    /// Creates an empty memory for this many ids.
    pub fn new(capacity: usize) -> Self {
        SentCalls {
            hashes: HashSet::new(),
            oldest_first: VecDeque::new(),
            capacity,
            hasher: RandomState::new(),
        }
    }

    /// Remembers the id of a call that was sent to a server.
    pub fn insert(&mut self, now: Micros, id: &[u8]) {
        let hash = self.hasher.hash_one(id);
        if self.hashes.insert(hash) {
            self.oldest_first.push_back((now, hash));
        }
        while self.oldest_first.len() > self.capacity {
            self.forget_oldest();
        }
        self.forget_expired(now);
    }

    /// Whether a call with this id was sent to a server not long ago.
    pub fn contains(&mut self, now: Micros, id: &[u8]) -> bool {
        self.forget_expired(now);
        self.hashes.contains(&self.hasher.hash_one(id))
    }

    fn forget_expired(&mut self, now: Micros) {
        while self.oldest_first.front().is_some_and(|(added_at, _)| now >= added_at + MEMORY_SPAN) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, hash)) = self.oldest_first.pop_front() {
            self.hashes.remove(&hash);
        }
    }
}
