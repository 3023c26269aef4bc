//! How requests arrive and how clients behave.

use serde::{Deserialize, Serialize};

/// How requests arrive.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Traffic {
    /// First attempts per second, on average.
    pub rate: f64,
    /// The rate over time. Each point is a share of the scenario's length and the factor on the average rate
    /// at that time; the factor is interpolated linearly between points.
    pub shape: Vec<(f64, f64)>,
    /// Number of distinct keys. With 0, only requests of keyed classes carry a key, and each key is unique.
    pub keys: u64,
    /// Skew of the keys' popularity (Zipf exponent).
    pub key_skew: f64,
    /// Whether requests carry a rough estimate of their work.
    pub hints: bool,
}

/// How clients behave.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Clients {
    /// Number of attempts after the first.
    pub retries: u32,
    /// Time limit of one attempt, as a share of the deadline.
    #[serde(rename = "try_share")]
    pub attempt_timeout_share: f64,
    /// How long a client waits before a retry.
    pub backoff: u64,
    /// Share of rejections after which the client waits as long as `retry-after` says.
    #[serde(rename = "honour")]
    pub retry_after_compliance: f64,
    /// Share of requests whose client disconnects early.
    #[serde(rename = "impatient")]
    pub disconnect_share: f64,
    /// How long clients keep connecting to a proxy that is down before they notice.
    #[serde(rename = "notice")]
    pub dead_proxy_detection: u64,
    /// Whether clients choose proxies by weight. Otherwise they spread evenly over all proxies.
    pub own_proxy: bool,
}
