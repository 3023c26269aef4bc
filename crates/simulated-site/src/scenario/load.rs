//! How requests arrive and how clients behave.

use serde::{Deserialize, Serialize};

/// How requests arrive.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Traffic {
    /// First attempts per second, on average.
    pub rate: f64,
    /// The rate over time: points of share of the scenario's length and factor, with linear interpolation.
    pub shape: Vec<(f64, f64)>,
    /// Number of distinct keys; 0: only requests of keyed classes carry a key, each its own.
    pub keys: u64,
    /// Skew of the keys' popularity (Zipf exponent).
    pub key_skew: f64,
    /// Whether requests carry a rough estimate of their work.
    pub hints: bool,
}

/// How clients behave.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Clients {
    /// Attempts after the first.
    pub retries: u32,
    /// Time limit of one attempt, as a share of the deadline.
    #[serde(rename = "try_share")]
    pub attempt_timeout_share: f64,
    /// Wait before a retry.
    pub backoff: u64,
    /// Share of rejections after which the client waits as long as `retry-after` says.
    #[serde(rename = "honour")]
    pub retry_after_compliance: f64,
    /// Share of requests whose client disconnects early.
    #[serde(rename = "impatient")]
    pub disconnect_share: f64,
    /// How long clients go on connecting to a dead proxy.
    #[serde(rename = "notice")]
    pub dead_proxy_detection: u64,
    /// Whether clients prefer proxies by weight; otherwise they spread evenly.
    pub own_proxy: bool,
}
