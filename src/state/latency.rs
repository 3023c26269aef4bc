//! An estimate of the latency of a request class from its most recent responses.

use crate::statistics::quantile;
use std::collections::VecDeque;

/// Minimum number of responses for an estimate of the 95th percentile.
const MIN_RESPONSES: usize = 20;

/// The latency of a request class as this balancer has seen it, in microseconds.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct LatencyEstimate {
    /// Most recent latencies.
    pub recent: VecDeque<f64>,
    /// Median of the recent latencies; 0 before the first response.
    pub median: f64,
    /// 95th percentile of the recent latencies; 0 before there are enough responses for it.
    pub tail: f64,
}

impl LatencyEstimate {
    /// Returns the median, or `None` before the first response.
    pub fn known_median(&self) -> Option<f64> {
        Some(self.median).filter(|median| *median > 0.0)
    }

    /// Returns the 95th percentile, or `None` before there are enough responses for it.
    pub fn known_tail(&self) -> Option<f64> {
        Some(self.tail).filter(|tail| *tail > 0.0)
    }

    /// Adds a latency. Only the latest `capacity` latencies are kept.
    pub fn add(&mut self, latency: f64, capacity: usize) {
        self.recent.push_back(latency);
        if self.recent.len() > capacity {
            self.recent.pop_front();
        }
    }

    /// Returns the share of the recent latencies above a value, 0 if there are none.
    pub fn share_above(&self, latency: f64) -> f64 {
        let above = self.recent.iter().filter(|recent| **recent > latency).count();
        above as f64 / self.recent.len().max(1) as f64
    }

    /// Recalculates the median, and the tail if there are enough responses.
    pub fn refresh(&mut self) {
        let mut recent: Vec<f64> = self.recent.iter().copied().collect();
        self.median = quantile(&mut recent, 0.5).unwrap_or(self.median);
        if recent.len() >= MIN_RESPONSES {
            self.tail = quantile(&mut recent, 0.95).unwrap_or(self.tail);
        }
    }
}
