//! A server as this balancer sees it.

use super::sliding_sum::SlidingSum;
use crate::interface::{Micros, ServerEntry, ServerId, ServiceRules};

/// The least size that a server counts with.
const MIN_SIZE: f64 = 0.01;

/// A server: its entry in the list and the balancer's own observations.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ServerRecord {
    /// The list's entry.
    pub entry: ServerEntry,
    /// Own attempts in flight.
    pub in_flight: u32,
    /// Cost of own attempts, over a short window.
    pub sent_cost: SlidingSum,
    /// Smoothed share of failed attempts, 0 to 1.
    pub failure_share: f64,
    /// Smoothed latency as a multiple of the typical one.
    pub slowness: f64,
    /// Smoothed latency for each own attempt in flight, in microseconds.
    pub latency_per_attempt: f64,
    /// Since when attempts have been in flight without an answer.
    pub waiting_since: Micros,
}

impl ServerRecord {
    /// A server just listed.
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

    /// The share of its capacity that it surely has, 0 to 1: in slow start it rises evenly over the span that
    /// the rules state.
    pub fn warm_fraction(&self, now: Micros, rules: &ServiceRules) -> f64 {
        let age = now.saturating_sub(self.entry.started_at);
        if self.entry.started_at == 0 || age >= rules.slow_start_span {
            return 1.0;
        }
        let floor = rules.slow_start_floor;
        floor + (1.0 - floor) * age as f64 / rules.slow_start_span as f64
    }

    /// Its size against the others; 1 where sizes are not known.
    pub fn size(&self, known: bool) -> f64 {
        if known { self.entry.size.max(MIN_SIZE) } else { 1.0 }
    }

    /// Lets the record fade by a share towards that of a healthy server.
    pub fn fade(&mut self, share: f64) {
        self.failure_share *= 1.0 - share;
        self.slowness += (1.0 - self.slowness) * share;
        self.latency_per_attempt *= 1.0 - share;
    }
}

/// A server that may take a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The server.
    pub id: ServerId,
    /// Its weight in its pool.
    pub weight: f64,
    /// Own attempts in flight there.
    pub in_flight: f64,
    /// The weight before the limit on servers in slow start.
    pub unlimited_weight: f64,
    /// How far it has warmed up; 1: it is warm.
    pub warm_fraction: f64,
}

impl Candidate {
    /// Attempts for each unit of weight after one more. Idle servers tie at 0: the draw has weighed them, and
    /// comparing again would starve those in slow start.
    pub fn load(&self) -> f64 {
        if self.in_flight > 0.0 { (self.in_flight + 1.0) / self.weight } else { 0.0 }
    }
}
