//! Faults that are injected while a scenario runs.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// An injected fault.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Fault {
    /// What fails.
    pub kind: FaultKind,
    /// When the fault begins.
    pub at: u64,
    /// How long the fault lasts.
    #[serde(rename = "len")]
    pub duration: u64,
    /// Strength of the fault. Its meaning depends on the [`FaultKind`].
    #[serde(default, rename = "size")]
    pub magnitude: f64,
    /// A second figure. Its meaning depends on the [`FaultKind`].
    #[serde(default, rename = "extra")]
    pub parameter: f64,
    /// Indices of the servers or proxies that the fault affects. Later servers of a place have the index of
    /// the place plus a multiple of the number of places.
    #[serde(default, rename = "on")]
    pub targets: Vec<usize>,
    /// Index of a zone or class, or a direction, depending on the [`FaultKind`].
    #[serde(default, rename = "which")]
    pub selector: usize,
}

impl Fault {
    /// Whether the fault is active at a time.
    pub fn is_active(&self, now: u64) -> bool {
        self.at <= now && now < self.end()
    }

    /// When the fault ends.
    pub fn end(&self) -> u64 {
        self.at + self.duration
    }

    /// Converts a [`Self::magnitude`] that is given in seconds to microseconds.
    pub fn magnitude_seconds(&self) -> u64 {
        (self.magnitude * 1e6) as u64
    }
}

/// Kinds of faults. Each kind says what the figures of a [`Fault`] mean for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Target servers crash, and start again without warm caches.
    #[serde(rename = "crash")]
    ServerCrash,
    /// Target servers are `magnitude` times slower.
    #[serde(rename = "slow")]
    SlowServer,
    /// Target servers fail the share `magnitude` of their requests at once.
    FastErrors,
    /// Target servers pause for `magnitude` ms every `parameter` seconds.
    #[serde(rename = "pauses")]
    ServerPauses,
    /// Another program takes the share `magnitude` of the target servers' machines. It switches on and off
    /// every `parameter` seconds.
    #[serde(rename = "neighbour")]
    NoisyNeighbor,
    /// All servers are `magnitude` times slower.
    #[serde(rename = "shared_slow")]
    SlowFleet,
    /// Requests of the class `selector` are `magnitude` times slower on all servers.
    SlowClass,
    /// The zone `selector` fails. Its servers are unreachable if `parameter` is over 0.5, and crash
    /// otherwise. Its proxies crash too if `magnitude` is over 0.5.
    #[serde(rename = "zone_loss")]
    ZoneOutage,
    /// Target proxies are killed, and started again when the fault ends.
    ProxyCrash,
    /// Proxies are killed and started again one after another, `magnitude` of them at a time.
    #[serde(rename = "proxy_roll")]
    ProxyRollingRestart,
    /// Target proxies are paused for `magnitude` ms every `parameter` seconds, or only once if `parameter` is
    /// 0.
    #[serde(rename = "proxy_stall")]
    ProxyPause,
    /// A second process starts under the identity of each target proxy. That process must exit and report
    /// why.
    #[serde(rename = "proxy_twin")]
    DuplicateProxy,
    /// Datagrams between the target proxies and other proxies are lost: all of them (`selector` 0), only
    /// those that targets send (1), or only those sent to targets (2). If `parameter` is over 0.5, datagrams
    /// among the targets are lost too.
    #[serde(rename = "peers_cut")]
    GossipPartition,
    /// The share `magnitude` of the datagrams from and to the target proxies is lost. Without targets, all
    /// proxies are affected.
    #[serde(rename = "peers_loss")]
    GossipLoss,
    /// Datagrams from and to the target proxies are delayed by up to `magnitude` seconds, and so arrive in
    /// any order. Without targets, all proxies are affected.
    #[serde(rename = "peers_slow")]
    GossipDelay,
    /// Discovery does not answer the target proxies.
    #[serde(rename = "roster_cut")]
    DiscoveryPartition,
    /// Target proxies and the release service cannot reach each other, so that neither the release status nor
    /// votes and their replies arrive.
    #[serde(rename = "desk_cut")]
    ReleaseServicePartition,
    /// Target proxies and the servers of zone `selector` cannot reach each other.
    #[serde(rename = "servers_cut")]
    ServerPartition,
    /// Each target proxy is replaced by a new process that takes over from it, `magnitude` times.
    ProxyTakeover,
    /// The release controller is killed `magnitude` times, and each time started again after `parameter`
    /// seconds.
    ControllerCrash,
    /// Votes get no reply although half of them count, and no release status is sent.
    #[serde(rename = "desk_silent")]
    ReleaseServiceUnresponsive,
    /// Votes are answered with errors.
    #[serde(rename = "desk_errors")]
    ReleaseServiceErrors,
    /// The release status is sent `magnitude` seconds later.
    #[serde(rename = "desk_late")]
    ReleaseServiceDelay,
    /// Discovery answers no proxy.
    #[serde(rename = "roster_lost")]
    DiscoveryOutage,
    /// Discovery lists changes `magnitude` seconds later.
    #[serde(rename = "roster_late")]
    DiscoveryDelay,
    /// Discovery sends a list with a lower version than the last one.
    #[serde(rename = "roster_back")]
    DiscoveryVersionRollback,
    /// Discovery sends malformed lists.
    #[serde(rename = "roster_garbage")]
    DiscoveryGarbage,
    /// All datagrams between proxies are lost.
    #[serde(rename = "peers_lost")]
    GossipOutage,
    /// Datagrams between proxies arrive twice, late and out of order.
    #[serde(rename = "peers_disordered")]
    GossipReordering,
    /// New connections to servers take `magnitude` ms longer.
    #[serde(rename = "handshake_slow")]
    SlowHandshake,
}

impl FaultKind {
    /// The name of the kind in the log of a run, which is its stored name in camel case. Readers of the log
    /// depend on that form.
    pub fn log_name(self) -> String {
        let Ok(Value::String(stored_name)) = serde_json::to_value(self) else { return String::new() };
        stored_name.split('_').map(capitalized).collect()
    }
}

fn capitalized(word: &str) -> String {
    let mut letters = word.chars();
    let first = letters.next().map(|letter| letter.to_ascii_uppercase());
    first.into_iter().chain(letters).collect()
}
