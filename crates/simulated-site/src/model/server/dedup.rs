//! The servers' caches of idempotency keys, by which they recognize duplicate requests.

use crate::scenario::{ClassSpec, Idempotency, ServerSpec};
use std::collections::{BTreeMap, VecDeque};

/// The index of a request class, and a key of a request of that class.
type ClassKey = (usize, u64);

/// Keys of the requests that a group of servers has executed. Each key expires.
#[derive(Debug, Default)]
struct DedupCache {
    expiry_by_key: BTreeMap<ClassKey, u64>,
    /// Expiry and key, in the order of arrival.
    arrivals: VecDeque<(u64, ClassKey)>,
}

impl DedupCache {
    /// Returns whether the cache holds a key. If it does not, inserts the key for the span `window`.
    fn check_and_insert(&mut self, now: u64, key: ClassKey, window: u64) -> bool {
        self.remove_expired(now);
        if self.expiry_by_key.contains_key(&key) {
            return true;
        }
        self.expiry_by_key.insert(key, now + window);
        self.arrivals.push_back((now + window, key));
        false
    }

    fn remove_expired(&mut self, now: u64) {
        while let Some((expiry, key)) = self.arrivals.front().copied().filter(|arrival| arrival.0 < now) {
            self.arrivals.pop_front();
            if self.expiry_by_key.get(&key) == Some(&expiry) {
                self.expiry_by_key.remove(&key);
            }
        }
    }
}

/// A group of servers that share one cache of keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum DedupGroup {
    All,
    Zone(u16),
    Cell(u16),
}

/// The key caches of all groups of servers.
#[derive(Debug, Default)]
pub struct DedupCaches {
    by_group: BTreeMap<DedupGroup, DedupCache>,
}

impl DedupCaches {
    /// Returns whether a request that arrives at a server duplicates one that the server's group has
    /// executed, and remembers its key if it does not. `class` is the index of the request's class; `key` is
    /// 0 for a request without a key.
    pub fn is_duplicate(
        &mut self,
        now: u64,
        class_spec: &ClassSpec,
        class: usize,
        key: u64,
        server: &ServerSpec,
    ) -> bool {
        let group = match class_spec.idempotency {
            Idempotency::KeyedAll => DedupGroup::All,
            Idempotency::KeyedZone => DedupGroup::Zone(server.zone),
            Idempotency::KeyedCell => DedupGroup::Cell(server.cell),
            Idempotency::Idempotent | Idempotency::NonIdempotent => return false,
        };
        if key == 0 {
            return false;
        }
        let cache = self.by_group.entry(group).or_default();
        cache.check_and_insert(now, (class, key), class_spec.dedup_window)
    }
}
