//! What the clients observed in a run.

use crate::scenario::ClassSpec;
use std::collections::BTreeMap;
use std::sync::atomic::AtomicU64;
use violetseam_invariants::EventRecord;

/// Requests of one class by what became of them.
#[derive(Clone, Debug, Default)]
pub struct ClassCounts {
    /// Requests that clients made.
    pub requests: u64,
    /// Served correctly within the latency objective.
    pub in_time: u64,
    /// Served correctly, but later.
    pub late: u64,
    /// Served with a wrong answer.
    pub wrong: u64,
    /// Never served.
    pub unserved: u64,
    /// Priority weight of all requests.
    pub requested_weight: f64,
    /// Priority weight earned by responses.
    pub served_weight: f64,
}

impl ClassCounts {
    pub(super) fn add_request(&mut self, class: &ClassSpec) {
        self.requests += 1;
        self.requested_weight += class.priority_weight;
    }

    pub(super) fn add_in_time(&mut self, class: &ClassSpec) {
        self.in_time += 1;
        self.served_weight += class.priority_weight;
    }

    pub(super) fn add_late(&mut self, class: &ClassSpec) {
        self.late += 1;
        self.served_weight += class.priority_weight * class.late_weight;
    }
}

/// Clients' attempts by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Served.
    pub served: u64,
    /// Rejected by the proxy.
    pub rejected: u64,
    /// Failed, as the proxy's response says.
    pub failed: u64,
    /// The connection broke before the response was complete.
    pub broken: u64,
    /// No connection to a proxy.
    pub unreachable: u64,
    /// The client disconnected before a response.
    pub disconnected: u64,
}

/// What the clients observed.
#[derive(Debug, Default)]
pub struct ClientReport {
    /// Records for the checker of the invariants.
    pub entries: Vec<EventRecord>,
    /// By class.
    pub classes: Vec<ClassCounts>,
    /// Attempts of all classes.
    pub attempts: AttemptCounts,
    /// Served responses by build.
    pub responses_by_build: BTreeMap<u16, u64>,
    /// Latencies of served attempts, in microseconds.
    pub latencies_us: Vec<u64>,
    /// Reports of wrong answers that a proxy accepted.
    pub accepted_reports: u64,
}

/// Counters that may be read while the clients run.
#[derive(Debug, Default)]
pub struct Progress {
    /// Requests that clients made.
    pub requests: AtomicU64,
    /// Requests served within the latency objective.
    pub in_time: AtomicU64,
    /// Rejected attempts.
    pub rejected: AtomicU64,
    /// Failed attempts.
    pub failed: AtomicU64,
}
