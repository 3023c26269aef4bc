//! The five rules, their limits for one run, and the properties of each request class.

use serde::{Deserialize, Serialize};
use std::fmt;

/// One of the five rules that the checker verifies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Rule {
    /// Every request gets one final response in time.
    FinalResponse,
    /// No request takes effect twice.
    DuplicateEffect,
    /// No attempt is sent to a server that is draining.
    Draining,
    /// No server is overloaded during its slow start.
    SlowStart,
    /// The exposure of a build on trial stays within its cap.
    Exposure,
}

impl Rule {
    /// How many rules there are.
    pub const COUNT: usize = 5;

    /// The rule's number in reports and in the documentation, from 1.
    pub fn number(self) -> u8 {
        match self {
            Rule::FinalResponse => 1,
            Rule::DuplicateEffect => 2,
            Rule::Draining => 3,
            Rule::SlowStart => 4,
            Rule::Exposure => 5,
        }
    }

    /// The rule's index in arrays that hold one value per rule.
    pub fn index(self) -> usize {
        usize::from(self.number()) - 1
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.number())
    }
}

/// The effect of repeating a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// Safe to repeat.
    Idempotent,
    /// The servers of one group discard repeats of a key.
    Keyed(DedupGroup),
    /// The request must never run twice.
    NonIdempotent,
}

/// The servers that discard repeats of a key together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DedupGroup {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// The properties of a request class that the rules depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestClass {
    /// The effect of repeating a request of the class.
    pub idempotency: Idempotency,
    /// How long servers discard repeats, in microseconds.
    pub dedup_window: u64,
    /// Whether responses are passed on as they arrive, and so may be cut short.
    pub streaming: bool,
}

/// The limits of the rules for one run. All durations are in microseconds.
///
/// The record file identifies the fields by their position, so their order and types are part of its format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// The request classes, by index.
    pub classes: Vec<RequestClass>,
    /// How long after its deadline a response still counts as in time.
    pub deadline_grace: u64,
    /// Whether two attempts of one request may be in flight at the same time.
    pub hedging: bool,
    /// How long attempts may still arrive at a draining server, and how long a lowered cap is not enforced.
    pub drain_grace: u64,
    /// The longest interval between two fetches of the endpoint list by a proxy without a watch.
    pub poll_interval_max: u64,
    /// The multiple of its current capacity that a server may be sent during its slow start.
    pub overload_multiple: f64,
    /// The length of the time spans over which that multiple is checked.
    pub overload_span: u64,
    /// The length of the time spans over which exposure is counted.
    pub exposure_window: u64,
    /// The number of attempts that are allowed in addition to the cap's share.
    pub exposure_slack: f64,
    /// Whether exposure is counted separately for each class.
    pub exposure_per_class: bool,
    /// The cap of the first stage, which also applies to builds that are not announced yet.
    pub first_stage_cap: f64,
    /// The number of first stages that admit only idempotent classes.
    pub idempotent_only_stages: u8,
    /// Whether a key that the new build has answered must not be sent to an earlier build.
    pub sticky_to_new_build: bool,
    /// The bound on the time between an action and its observation, always applied in the proxy's favour.
    pub observation_slack: u64,
    /// By class: the rate at which the whole fleet may make attempts beyond each request's first, in
    /// thousandths of an attempt per second. A class whose value is 0 or missing has no limit.
    pub fleet_retry_rates: Vec<u64>,
    /// The burst that these rates allow, as the time in which an unused rate accumulates it.
    pub fleet_retry_burst: u64,
}
