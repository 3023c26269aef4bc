//! What came of a scenario.

use hdrhistogram::{CreationError, Histogram};
use violetseam_invariants::{CheckReport, Rule};

/// The longest response time that the percentiles distinguish, in microseconds.
const MAX_RESPONSE_TIME: u64 = 60_000_000;
/// Significant decimal digits of response times.
const RESPONSE_TIME_DIGITS: u8 = 3;

/// What became of a build. Times are microseconds of the scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BuildOutcome {
    /// The build.
    pub build: u16,
    /// Whether it has a defect.
    pub defective: bool,
    /// When its first stage began.
    pub began_at: u64,
    /// When it was released.
    pub released_at: Option<u64>,
    /// When its rollback began.
    pub rolled_back_at: Option<u64>,
}

/// Clients' tries by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TryCounts {
    /// Served by a server.
    pub served: u64,
    /// Rejected by a proxy.
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
}

/// Response times of served tries, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LatencyPercentiles {
    /// The 50th percentile.
    pub p50: u64,
    /// The 95th percentile.
    pub p95: u64,
    /// The 99th percentile.
    pub p99: u64,
}

/// What came of a scenario.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Clients' requests.
    pub requests: u64,
    /// Requests that were served within their latency objective.
    pub served_in_time: u64,
    /// The weight of what was served over the weight of all requests, 0 to 1.
    pub served_weight_share: f64,
    /// Clients' tries.
    pub tries: TryCounts,
    /// Response times of served tries.
    pub latency: LatencyPercentiles,
    /// What became of the builds, in the order in which they came.
    pub builds: Vec<BuildOutcome>,
    /// Violations, by [`Rule::index`].
    pub violations: [u64; Rule::COUNT],
    /// How much each rule examined, by [`Rule::index`].
    pub examined: [u64; Rule::COUNT],
    /// Events of the simulation.
    pub events: u64,
}

/// Collects the outcome while a scenario runs.
pub struct OutcomeCollector {
    /// What is known so far.
    pub outcome: Outcome,
    response_times: Histogram<u64>,
    served_weight: f64,
    requested_weight: f64,
}

impl OutcomeCollector {
    /// Starts with nothing.
    ///
    /// # Errors
    /// If the histogram's bounds are not valid.
    pub fn new() -> Result<Self, CreationError> {
        Ok(OutcomeCollector {
            outcome: Outcome::default(),
            response_times: Histogram::new_with_bounds(1, MAX_RESPONSE_TIME, RESPONSE_TIME_DIGITS)?,
            served_weight: 0.0,
            requested_weight: 0.0,
        })
    }

    /// Counts a request of a priority weight.
    pub fn add_request(&mut self, priority_weight: f64) {
        self.outcome.requests += 1;
        self.requested_weight += priority_weight;
    }

    /// Counts the weight that a served request earned.
    pub fn add_served_weight(&mut self, weight: f64) {
        self.served_weight += weight;
    }

    /// Counts a served try's response time, in microseconds.
    pub fn add_response_time(&mut self, micros: u64) {
        self.response_times.saturating_record(micros.max(1));
    }

    /// The outcome, with what the checker found.
    pub fn finish(self, report: &CheckReport) -> Outcome {
        let percentile = |quantile| self.response_times.value_at_quantile(quantile);
        let latency =
            LatencyPercentiles { p50: percentile(0.5), p95: percentile(0.95), p99: percentile(0.99) };
        Outcome {
            violations: report.violation_counts,
            examined: report.examined,
            served_weight_share: self.served_weight / self.requested_weight.max(1e-9),
            latency,
            ..self.outcome
        }
    }
}
