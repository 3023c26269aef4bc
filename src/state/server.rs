//! The state of a server as this balancer sees it.

use super::sliding_sum::SlidingSum;
use crate::interface::{Micros, ServerEntry, ServerId, ServiceRules};

/// Smallest size that is assumed for a server. The list may state a smaller one.
const MIN_SIZE: f64 = 0.01;

/// A server's entry in the server list, with the balancer's own observations of the server.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ServerRecord {
    /// Entry of the server in the server list.
    pub entry: ServerEntry,
    /// Number of own attempts in flight at the server.
    pub in_flight: u32,
    /// Cost of the attempts that this balancer sent to the server within a short window.
    pub sent_cost: SlidingSum,
    /// Smoothed share of failed attempts, 0 to 1.
    pub failure_share: f64,
    /// Smoothed latency as a multiple of the typical latency.
    pub slowness: f64,
    /// Smoothed latency divided by the number of own attempts in flight, in microseconds.
    pub latency_per_attempt: f64,
    /// Time since which attempts have been in flight without any response from the server.
    pub waiting_since: Micros,
}

impl ServerRecord {
    /// Creates the record of a server that is new in the list.
    pub fn new(entry: ServerEntry) -> Self {
        ServerRecord {
            entry,
            in_flight: 0,
            sent_cost: SlidingSum::default(),
            failure_share: 0.0,
            slowness: 1.0,
            latency_per_attempt: 0.0,
            waiting_since: 0,
        }
    }

    /// Returns the share of its capacity, 0 to 1, that the server is guaranteed to have. During slow start
    /// the share rises linearly over the span that the service rules set.
    pub fn warm_fraction(&self, now: Micros, rules: &ServiceRules) -> f64 {
        let age = now.saturating_sub(self.entry.started_at);
        if self.entry.started_at == 0 || age >= rules.slow_start_span {
            return 1.0;
        }
        let floor = rules.slow_start_floor;
        floor + (1.0 - floor) * age as f64 / rules.slow_start_span as f64
    }

    /// Returns the size of the server relative to the others, or 1 if sizes are not known.
    pub fn size(&self, known: bool) -> f64 {
        if known { self.entry.size.max(MIN_SIZE) } else { 1.0 }
    }

    /// Moves the observations by `share` of the difference towards those of a healthy server.
    pub fn decay(&mut self, share: f64) {
        self.failure_share *= 1.0 - share;
        self.slowness += (1.0 - self.slowness) * share;
        self.latency_per_attempt *= 1.0 - share;
    }
}

/// A server that may be chosen for a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Identifier of the server.
    pub id: ServerId,
    /// Weight of the server in its pool.
    pub weight: f64,
    /// Number of own attempts in flight at the server.
    pub in_flight: f64,
    /// Weight of the server before the limit for servers in slow start is applied.
    pub unlimited_weight: f64,
    /// Share of its capacity that the server has reached in slow start. 1 means that it is warm.
    pub warm_fraction: f64,
}

impl Candidate {
    /// Returns the number of attempts per unit of weight after one more attempt. The load of all idle servers
    /// is 0: the random draw has already taken their weights into account, and weighing them a second time
    /// would starve servers in slow start.
    pub fn load(&self) -> f64 {
        if self.in_flight > 0.0 { (self.in_flight + 1.0) / self.weight } else { 0.0 }
    }
}
