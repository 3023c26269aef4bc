//! The latency of a class of requests, estimated from its latest answers.

use crate::statistics::quantile;
use std::collections::VecDeque;

/// Answers needed for a 95th percentile.
const MIN_ANSWERS: usize = 20;

/// What this balancer knows of a class's latency, in microseconds.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct LatencyEstimate {
    /// The latest latencies.
    pub recent: VecDeque<f64>,
    /// Their median.
    pub median: f64,
    /// Their 95th percentile.
    pub tail: f64,
}

impl LatencyEstimate {
    /// A first guess, before any answer.
    pub fn new(median: f64, tail: f64) -> Self {
        LatencyEstimate { recent: VecDeque::new(), median, tail }
    }

    /// Adds a latency; the latest `capacity` are kept.
    pub fn add(&mut self, latency: f64, capacity: usize) {
        self.recent.push_back(latency);
        if self.recent.len() > capacity {
            self.recent.pop_front();
        }
    }

    /// Brings median and tail up to date, once there are answers enough.
    pub fn refresh(&mut self) {
        if self.recent.len() < MIN_ANSWERS {
            return;
        }
        let mut recent: Vec<f64> = self.recent.iter().copied().collect();
        self.median = quantile(&mut recent, 0.5).unwrap_or(self.median);
        self.tail = quantile(&mut recent, 0.95).unwrap_or(self.tail);
    }
}
