//! Proxies, servers and request classes of a scenario, and the limits that proxies must keep.

use crate::model::server::OverloadLimit;
use serde::{Deserialize, Serialize};

/// Retry quotas of the whole fleet, and how the proxies share them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RetryQuotas {
    /// For each class, the attempts per second beyond the first of each request; 0 means unlimited.
    #[serde(rename = "further")]
    pub retries_per_second: Vec<f64>,
    /// The part of a quota that is never lent, in percent.
    #[serde(rename = "floor_percent")]
    pub guaranteed_percent: u64,
    /// Duration of a quota lease.
    pub lease: u64,
    /// The longest span over which unused quota accumulates.
    pub burst: u64,
}

/// A proxy of a scenario.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ProxySpec {
    /// Zone of the proxy.
    pub zone: u16,
    /// The proxy's share of the clients, relative to the other proxies.
    pub weight: f64,
}

/// A server of a scenario.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServerSpec {
    /// Zone of the server.
    pub zone: u16,
    /// Cell of the server.
    pub cell: u16,
    /// Number of the server's cores.
    pub cores: f64,
    /// Speed of the cores, where 1 is a standard core.
    pub speed: f64,
    /// The most requests that are processed at once.
    pub slots: usize,
    /// The most requests that may wait in the queue.
    pub queue: usize,
    /// The most connections that the server accepts. Further ones wait in the kernel's backlog.
    pub connections: usize,
    /// Capacity right after a start, as a share of the full capacity.
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
    /// The request may be repeated without harm.
    #[serde(rename = "safe")]
    Idempotent,
    /// Any server recognizes a repeat by its key and drops it.
    KeyedAll,
    /// Servers recognize a repeat by its key and drop it if a server of their zone has executed the request.
    KeyedZone,
    /// Servers recognize a repeat by its key and drop it if a server of their cell has executed the request.
    KeyedCell,
    /// The request must not be repeated, because a repeat has a second effect.
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
    /// Name of the class.
    pub name: String,
    /// The class's share of the requests, relative to the other classes.
    pub share: f64,
    /// Mean work of a request of the class.
    pub work: f64,
    /// Coefficient of variation of the work, which is lognormal.
    pub cv: f64,
    /// A response within this span counts with the full weight of its request.
    #[serde(rename = "aim")]
    pub latency_objective: u64,
    /// How long clients wait for a response, over all attempts.
    pub deadline: u64,
    /// Weight of a request of the class.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Share of the weight with which a late response counts.
    #[serde(rename = "late_worth")]
    pub late_weight: f64,
    /// Whether requests of the class may be repeated.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// How long servers remember the keys of requests.
    #[serde(rename = "window")]
    pub dedup_window: u64,
}

/// Delays after which discovery lists changes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DiscoveryDelays {
    /// Delay after a server has started.
    #[serde(rename = "add")]
    pub startup_delay: u64,
    /// Delay after a server begins to drain, or stops in order.
    #[serde(rename = "notice")]
    pub drain_delay: u64,
    /// Delay after a server has crashed.
    #[serde(rename = "silent_notice")]
    pub crash_delay: u64,
}

/// Limits that proxies must keep. The checker of the invariants tests them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServiceRules {
    /// How long after its deadline a request may still be answered.
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
    /// How long attempts may still start at a server after discovery has listed that it drains.
    pub drain_grace: u64,
    /// A server that is warming up is overloaded by more work than this multiple of its current capacity.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// Span over which the work that arrives at a server that is warming up is summed up.
    #[serde(rename = "fall_span")]
    pub overload_span: u64,
    /// The most attempts for one request.
    pub max_attempts: usize,
    /// Whether two attempts of a request may be in flight at once.
    #[serde(rename = "second_copies")]
    pub hedging: bool,
}

impl ServiceRules {
    /// The most work that a server that is warming up can take without collapsing.
    pub fn overload_limit(&self) -> OverloadLimit {
        OverloadLimit { multiple: self.overload_multiple, span: self.overload_span }
    }
}
