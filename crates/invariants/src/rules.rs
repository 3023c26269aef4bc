//! The limits of the rules for one run, and what each class of requests allows.

use serde::{Deserialize, Serialize};
use std::fmt;

/// One of the five rules that the checker holds a run to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Rule {
    /// Every request gets one final response in time.
    FinalResponse,
    /// No effect happens twice.
    DuplicateEffect,
    /// No attempt is sent to a server that drains.
    Draining,
    /// No server is overloaded within its slow start.
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

    /// The rule's place in arrays of figures by rule.
    pub fn index(self) -> usize {
        usize::from(self.number()) - 1
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.number())
    }
}

/// What a repeat of a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// Safe to repeat.
    Idempotent,
    /// The servers of one group drop repeats of a key.
    Keyed(DedupGroup),
    /// Must never run twice.
    NonIdempotent,
}

/// Which servers drop repeats of a key together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DedupGroup {
    /// All servers.
    All,
    /// Those of a zone.
    Zone,
    /// Those of a cell.
    Cell,
}

/// A class of requests, as far as the rules go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestClass {
    /// What a repeat does.
    pub idempotency: Idempotency,
    /// How long repeats are dropped, in microseconds.
    pub dedup_window: u64,
    /// Responses are passed on as they arrive and may break off.
    pub streaming: bool,
}

/// The limits of the rules for one run. Spans are in microseconds.
///
/// The record file holds the fields by position: their order and types are its format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// Classes by index.
    pub classes: Vec<RequestClass>,
    /// A response this long after the deadline still counts as in time.
    pub deadline_grace: u64,
    /// Two attempts of one request may be in flight together.
    pub hedging: bool,
    /// How long attempts may still reach a draining server, and how long a lowered cap does not bind yet.
    pub drain_grace: u64,
    /// A proxy without a watch must fetch the endpoint list this often.
    pub poll_interval_max: u64,
    /// A server within its slow start may be sent this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... over any span of this length.
    pub overload_span: u64,
    /// Exposure counts over any span of this length.
    pub exposure_window: u64,
    /// Attempts that exposure allows beyond the cap's share.
    pub exposure_slack: f64,
    /// Exposure counts each class by itself.
    pub exposure_per_class: bool,
    /// The cap of the first stage: for builds that are not announced yet.
    pub first_stage_cap: f64,
    /// Stages below this admit only idempotent classes.
    pub idempotent_only_stages: u8,
    /// A key that the new build has answered goes to no earlier build.
    pub sticky_to_new_build: bool,
    /// How far an outside observation may be off; always given in the proxy's favour.
    pub observation_slack: u64,
    /// By class: the attempts beyond each request's first that the whole fleet may make, in thousandths a
    /// second. 0, or past the end: no limit.
    pub fleet_retry_rates: Vec<u64>,
    /// A span of this length may be saved up of these.
    pub fleet_retry_burst: u64,
}
