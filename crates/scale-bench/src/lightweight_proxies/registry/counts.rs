//! What crosses the registry's sockets.

use std::sync::atomic::{AtomicU64, Ordering};

/// What has crossed the registry's sockets since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCounts {
    /// Calls, of which each is a connection.
    pub calls: u64,
    /// Complete lists sent.
    pub full_lists: u64,
    /// Deltas sent, empty ones and those of open watches included.
    pub deltas: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Bytes that wait to be sent now.
    pub unsent_bytes: u64,
    /// Watches that are open now.
    pub open_watches: u64,
}

impl TrafficCounts {
    /// What was added since an earlier snapshot; what is open or unsent is as it is now.
    pub fn since(&self, earlier: &TrafficCounts) -> TrafficCounts {
        TrafficCounts {
            calls: self.calls - earlier.calls,
            full_lists: self.full_lists - earlier.full_lists,
            deltas: self.deltas - earlier.deltas,
            received_bytes: self.received_bytes - earlier.received_bytes,
            sent_bytes: self.sent_bytes - earlier.sent_bytes,
            ..*self
        }
    }
}

/// A number that the registry's thread writes and others read.
#[derive(Debug, Default)]
pub(super) struct Counter(AtomicU64);

impl Counter {
    pub(super) fn add(&self, amount: u64) {
        self.0.fetch_add(amount, Ordering::Relaxed);
    }

    pub(super) fn set(&self, value: u64) {
        self.0.store(value, Ordering::Relaxed);
    }

    fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// The fields of [`TrafficCounts`], shared between threads.
#[derive(Debug, Default)]
pub(super) struct Counters {
    pub(super) calls: Counter,
    pub(super) full_lists: Counter,
    pub(super) deltas: Counter,
    pub(super) received_bytes: Counter,
    pub(super) sent_bytes: Counter,
    pub(super) unsent_bytes: Counter,
    pub(super) open_watches: Counter,
}

impl Counters {
    pub(super) fn snapshot(&self) -> TrafficCounts {
        TrafficCounts {
            calls: self.calls.get(),
            full_lists: self.full_lists.get(),
            deltas: self.deltas.get(),
            received_bytes: self.received_bytes.get(),
            sent_bytes: self.sent_bytes.get(),
            unsent_bytes: self.unsent_bytes.get(),
            open_watches: self.open_watches.get(),
        }
    }
}
