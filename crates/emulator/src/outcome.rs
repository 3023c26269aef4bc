//! The results of a simulated scenario.

use hdrhistogram::{CreationError, Histogram};
use violetseam_invariants::{CheckReport, Rule};

/// The longest response time in the histogram, in microseconds. Longer ones count as this long.
const MAX_RESPONSE_TIME: u64 = 60_000_000;
/// The number of significant decimal digits of response times in the histogram.
const RESPONSE_TIME_DIGITS: u8 = 3;

/// The result of a build's release. Times are in microseconds since the start of the scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BuildOutcome {
    /// The number of the build.
    pub build: u16,
    /// Whether the build has a defect.
    pub defective: bool,
    /// When the first stage began.
    pub began_at: u64,
    /// When the build was released, if it was.
    pub released_at: Option<u64>,
    /// When the rollback began, if there was one.
    pub rolled_back_at: Option<u64>,
}

/// Counts of clients' tries by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TryCounts {
    /// Tries that a server served.
    pub served: u64,
    /// Tries that a proxy rejected.
    pub rejected: u64,
    /// Tries that failed.
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

/// The results of a simulated scenario.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// The number of clients' requests.
    pub requests: u64,
    /// The number of requests that were served within their latency objective.
    pub served_in_time: u64,
    /// The weight earned by served requests as a share of the weight of all requests, 0 to 1.
    pub served_weight_share: f64,
    /// Counts of clients' tries.
    pub tries: TryCounts,
    /// Response times of served tries.
    pub latency: LatencyPercentiles,
    /// The result of each build, in the order of their releases.
    pub builds: Vec<BuildOutcome>,
    /// The number of violations of each rule, by [`Rule::index`].
    pub violations: [u64; Rule::COUNT],
    /// The number of items that each rule's check examined, by [`Rule::index`].
    pub examined: [u64; Rule::COUNT],
    /// The number of simulated events.
    pub events: u64,
}

/// Collects the outcome during a simulation.
pub struct OutcomeCollector {
    /// The outcome so far.
    pub outcome: Outcome,
    response_times: Histogram<u64>,
    served_weight: f64,
    requested_weight: f64,
}

impl OutcomeCollector {
    /// Returns a collector with an empty outcome.
    ///
    /// # Errors
    /// Returns an error if the bounds of the histogram are not valid.
    pub fn new() -> Result<Self, CreationError> {
        Ok(OutcomeCollector {
            outcome: Outcome::default(),
            response_times: Histogram::new_with_bounds(1, MAX_RESPONSE_TIME, RESPONSE_TIME_DIGITS)?,
            served_weight: 0.0,
            requested_weight: 0.0,
        })
    }

    /// Counts a request with its priority weight.
    pub fn add_request(&mut self, priority_weight: f64) {
        self.outcome.requests += 1;
        self.requested_weight += priority_weight;
    }

    /// Adds the weight that a served request earned.
    pub fn add_served_weight(&mut self, weight: f64) {
        self.served_weight += weight;
    }

    /// Records the response time of a served try, in microseconds.
    pub fn add_response_time(&mut self, micros: u64) {
        self.response_times.saturating_record(micros.max(1));
    }

    /// Returns the outcome, completed with the checker's report.
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
