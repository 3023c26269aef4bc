//! The report of what the clients observed in a run, and counters of its progress.

use crate::scenario::ClassSpec;
use std::collections::BTreeMap;
use std::sync::atomic::AtomicU64;
use violetseam_invariants::EventRecord;

/// Counts the requests of one class by their results.
#[derive(Clone, Debug, Default)]
pub struct ClassCounts {
    /// Requests that clients made.
    pub requests: u64,
    /// Served correctly within the latency objective.
    pub in_time: u64,
    /// Served correctly, but after the latency objective.
    pub late: u64,
    /// Served with a wrong answer.
    pub wrong: u64,
    /// Never served.
    pub unserved: u64,
    /// The sum of the priority weights of all requests.
    pub requested_weight: f64,
    /// The sum of the priority weights of correctly served requests, reduced for late responses.
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

/// Counts the clients' attempts by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// The attempt was served.
    pub served: u64,
    /// The proxy rejected the attempt.
    pub rejected: u64,
    /// The proxy's response classifies the attempt as failed or does not classify it.
    pub failed: u64,
    /// The connection broke before the response was complete.
    pub broken: u64,
    /// The client could not send the attempt, because it had no connection to the proxy.
    pub unreachable: u64,
    /// The client disconnected before the response was complete.
    pub disconnected: u64,
}

/// Everything that the clients observed in a run.
#[derive(Debug, Default)]
pub struct ClientReport {
    /// The event records for the invariant checker.
    pub entries: Vec<EventRecord>,
    /// The counts of requests, by class index.
    pub classes: Vec<ClassCounts>,
    /// The counts of attempts of all classes together.
    pub attempts: AttemptCounts,
    /// The number of served responses, by the build that gave them.
    pub responses_by_build: BTreeMap<u16, u64>,
    /// The latency of each served attempt, in microseconds.
    pub latencies_us: Vec<u64>,
    /// The number of reports of wrong answers that a proxy accepted.
    pub accepted_reports: u64,
}

/// Counters that other threads may read while the clients run.
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
