//! Proxies, servers, request classes and the limits that they promise to keep.

use crate::model::server::OverloadLimit;
use serde::{Deserialize, Serialize};

/// Retry quotas of the whole fleet, and how its proxies share them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RetryQuotas {
    /// By class: attempts per second beyond the first of each request; 0: unlimited.
    #[serde(rename = "further")]
    pub retries_per_second: Vec<f64>,
    /// The part of a quota that is never lent, in percent.
    #[serde(rename = "floor_percent")]
    pub guaranteed_percent: u64,
    /// How long quota is lent for.
    pub lease: u64,
    /// Unused quota of so long a span may accumulate.
    pub burst: u64,
}

/// A proxy.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ProxySpec {
    /// Its zone.
    pub zone: u16,
    /// Its share of the clients, relative to the other proxies.
    pub weight: f64,
}

/// A server.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServerSpec {
    /// Its zone.
    pub zone: u16,
    /// Its cell.
    pub cell: u16,
    /// Its cores.
    pub cores: f64,
    /// Their speed; 1 is a standard core.
    pub speed: f64,
    /// Requests that are processed at once.
    pub slots: usize,
    /// Requests that may wait.
    pub queue: usize,
    /// Connections that are accepted; more wait in the kernel's backlog.
    pub connections: usize,
    /// Capacity right after a start, as a share.
    #[serde(rename = "cold_from")]
    pub slow_start_floor: f64,
    /// Time from a start to full capacity.
    #[serde(rename = "cold_span")]
    pub slow_start_span: u64,
    /// Share of requests that fail at random.
    pub error_rate: f64,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Idempotency {
    /// It may.
    #[serde(rename = "safe")]
    Idempotent,
    /// All servers together drop a repeat by its key.
    KeyedAll,
    /// The servers of a zone drop a repeat by its key.
    KeyedZone,
    /// The servers of a cell drop a repeat by its key.
    KeyedCell,
    /// It may not: a repeat has a second effect.
    #[serde(rename = "unsafe")]
    NonIdempotent,
}

impl Idempotency {
    /// Whether servers drop repeats by key.
    pub fn is_keyed(self) -> bool {
        matches!(self, Idempotency::KeyedAll | Idempotency::KeyedZone | Idempotency::KeyedCell)
    }
}

/// A class of requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClassSpec {
    /// Its name.
    pub name: String,
    /// Its share of the requests, relative to the other classes.
    pub share: f64,
    /// Mean work of a request.
    pub work: f64,
    /// Coefficient of variation of the work, which is lognormal.
    pub cv: f64,
    /// A response within this span earns its full weight.
    #[serde(rename = "aim")]
    pub latency_objective: u64,
    /// How long clients wait, over all attempts.
    pub deadline: u64,
    /// Weight of a request.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Share of the weight that a late response earns.
    #[serde(rename = "late_worth")]
    pub late_weight: f64,
    /// Whether it may be repeated.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// How long servers remember keys.
    #[serde(rename = "window")]
    pub dedup_window: u64,
}

/// How late discovery lists changes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DiscoveryDelays {
    /// After a server has started.
    #[serde(rename = "add")]
    pub startup_delay: u64,
    /// After a server begins to drain, or ends in order.
    #[serde(rename = "notice")]
    pub drain_delay: u64,
    /// After a server has crashed.
    #[serde(rename = "silent_notice")]
    pub crash_delay: u64,
}

/// Limits that the checker of the invariants holds the proxies to.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServiceRules {
    /// How long past its deadline a request may still be answered.
    #[serde(rename = "answer_grace")]
    pub deadline_grace: u64,
    /// The longest time between two queries of the endpoint list.
    #[serde(rename = "ask_within")]
    pub poll_interval_max: u64,
    /// The least share of its capacity that a server starts with.
    #[serde(rename = "cold_from")]
    pub slow_start_floor: f64,
    /// The longest time from a start to full capacity.
    #[serde(rename = "cold_span")]
    pub slow_start_span: u64,
    /// How long after a drain is listed attempts may still start.
    pub drain_grace: u64,
    /// A server that is warming up is overloaded by more than this multiple of its capacity ...
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// ... over this span.
    #[serde(rename = "fall_span")]
    pub overload_span: u64,
    /// The most attempts for one request.
    pub max_attempts: usize,
    /// Two of them may be in flight at once.
    #[serde(rename = "second_copies")]
    pub hedging: bool,
}

impl ServiceRules {
    /// How much a server that is warming up can bear.
    pub fn overload_limit(&self) -> OverloadLimit {
        OverloadLimit { multiple: self.overload_multiple, span: self.overload_span }
    }
}
