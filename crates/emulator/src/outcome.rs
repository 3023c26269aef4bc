//! The results of a simulated scenario.

use hdrhistogram::{CreationError, Histogram};
use std::collections::BTreeMap;
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

/// The requests of one class and one tenant. Times are in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GroupOutcome {
    /// Index of the request class.
    pub class: usize,
    /// Index of the tenant.
    pub tenant: usize,
    /// The number of clients' requests.
    pub requests: u64,
    /// Requests that were served before their client's deadline, counted from the first try.
    pub answered_in_time: u64,
    /// Requests that were served after that.
    pub answered_late: u64,
    /// Requests whose last try was rejected.
    pub refused: u64,
    /// Requests whose last try failed.
    pub failed: u64,
    /// Time from the first try to the response, of requests that were served.
    pub answer_wait: LatencyPercentiles,
    /// Time from a try to its rejection, of all tries that were rejected.
    pub refusal_wait: LatencyPercentiles,
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
    /// The requests of each class and tenant, in ascending order of both.
    pub groups: Vec<GroupOutcome>,
    /// The result of each build, in the order of their releases.
    pub builds: Vec<BuildOutcome>,
    /// The number of violations of each rule, by [`Rule::index`].
    pub violations: [u64; Rule::COUNT],
    /// The number of items that each rule's check examined, by [`Rule::index`].
    pub examined: [u64; Rule::COUNT],
    /// The number of simulated events.
    pub events: u64,
}

/// Creates an empty histogram of response times.
fn response_time_histogram() -> Result<Histogram<u64>, CreationError> {
    Histogram::new_with_bounds(1, MAX_RESPONSE_TIME, RESPONSE_TIME_DIGITS)
}

fn percentiles(response_times: &Histogram<u64>) -> LatencyPercentiles {
    let percentile = |quantile| response_times.value_at_quantile(quantile);
    LatencyPercentiles { p50: percentile(0.5), p95: percentile(0.95), p99: percentile(0.99) }
}

/// How a client's request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// It was served before its client's deadline.
    AnsweredInTime,
    /// It was served after that.
    AnsweredLate,
    /// Its last try was rejected.
    Refused,
    /// Its last try failed.
    Failed,
}

/// Collects the outcome of one class and tenant.
struct GroupCollector {
    outcome: GroupOutcome,
    answer_waits: Histogram<u64>,
    refusal_waits: Histogram<u64>,
}

impl GroupCollector {
    fn new(class: usize, tenant: usize) -> Result<Self, CreationError> {
        Ok(GroupCollector {
            outcome: GroupOutcome { class, tenant, ..GroupOutcome::default() },
            answer_waits: response_time_histogram()?,
            refusal_waits: response_time_histogram()?,
        })
    }

    fn finish(self) -> GroupOutcome {
        GroupOutcome {
            answer_wait: percentiles(&self.answer_waits),
            refusal_wait: percentiles(&self.refusal_waits),
            ..self.outcome
        }
    }
}

/// Collects the outcome during a simulation.
pub struct OutcomeCollector {
    /// The outcome so far.
    pub outcome: Outcome,
    /// By class and tenant.
    groups: BTreeMap<(usize, usize), GroupCollector>,
    response_times: Histogram<u64>,
    served_weight: f64,
    requested_weight: f64,
}

impl OutcomeCollector {
    /// Returns a collector with an empty outcome for the given numbers of classes and tenants.
    ///
    /// # Errors
    /// Returns an error if the bounds of the histogram are not valid.
    pub fn new(classes: usize, tenants: usize) -> Result<Self, CreationError> {
        let mut groups = BTreeMap::new();
        for class in 0..classes {
            for tenant in 0..tenants.max(1) {
                groups.insert((class, tenant), GroupCollector::new(class, tenant)?);
            }
        }
        Ok(OutcomeCollector {
            outcome: Outcome::default(),
            groups,
            response_times: response_time_histogram()?,
            served_weight: 0.0,
            requested_weight: 0.0,
        })
    }

    /// Counts a request of a class and tenant with its priority weight.
    pub fn add_request(&mut self, class: usize, tenant: usize, priority_weight: f64) {
        self.outcome.requests += 1;
        self.requested_weight += priority_weight;
        if let Some(group) = self.groups.get_mut(&(class, tenant)) {
            group.outcome.requests += 1;
        }
    }

    /// Counts the end of a request of a class and tenant. `wait` is the time from its first try, in
    /// microseconds.
    pub fn end_request(&mut self, class: usize, tenant: usize, end: RequestEnd, wait: u64) {
        let Some(group) = self.groups.get_mut(&(class, tenant)) else { return };
        let outcome = &mut group.outcome;
        match end {
            RequestEnd::AnsweredInTime => outcome.answered_in_time += 1,
            RequestEnd::AnsweredLate => outcome.answered_late += 1,
            RequestEnd::Refused => outcome.refused += 1,
            RequestEnd::Failed => outcome.failed += 1,
        }
        if matches!(end, RequestEnd::AnsweredInTime | RequestEnd::AnsweredLate) {
            group.answer_waits.saturating_record(wait.max(1));
        }
    }

    /// Records the time from a try to its rejection, in microseconds.
    pub fn add_refusal_wait(&mut self, class: usize, tenant: usize, wait: u64) {
        if let Some(group) = self.groups.get_mut(&(class, tenant)) {
            group.refusal_waits.saturating_record(wait.max(1));
        }
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
        Outcome {
            groups: self.groups.into_values().map(GroupCollector::finish).collect(),
            violations: report.violation_counts,
            examined: report.examined,
            served_weight_share: self.served_weight / self.requested_weight.max(1e-9),
            latency: percentiles(&self.response_times),
            ..self.outcome
        }
    }
}
