//! Faults that are injected while a scenario runs.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// An injected fault.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Fault {
    /// What fails.
    pub kind: FaultKind,
    /// When it begins.
    pub at: u64,
    /// How long it lasts.
    #[serde(rename = "len")]
    pub duration: u64,
    /// How strong it is; see [`FaultKind`].
    #[serde(default, rename = "size")]
    pub magnitude: f64,
    /// A second figure; see [`FaultKind`].
    #[serde(default, rename = "extra")]
    pub parameter: f64,
    /// Which servers or proxies, by index. Later servers of a place have its index plus a multiple of the
    /// number of places.
    #[serde(default, rename = "on")]
    pub targets: Vec<usize>,
    /// Which zone, class or direction; see [`FaultKind`].
    #[serde(default, rename = "which")]
    pub selector: usize,
}

impl Fault {
    /// Whether it is in progress at a time.
    pub fn is_active(&self, now: u64) -> bool {
        self.at <= now && now < self.end()
    }

    /// When it ends.
    pub fn end(&self) -> u64 {
        self.at + self.duration
    }

    /// [`Self::magnitude`] as a span in seconds, in microseconds.
    pub fn magnitude_seconds(&self) -> u64 {
        (self.magnitude * 1e6) as u64
    }
}

/// Kinds of faults, each with the meaning of the fault's figures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Servers crash, and start again without warm caches.
    #[serde(rename = "crash")]
    ServerCrash,
    /// Servers are `magnitude` times slower.
    #[serde(rename = "slow")]
    SlowServer,
    /// Servers fail the share `magnitude` of their requests at once.
    FastErrors,
    /// Servers pause for `magnitude` ms every `parameter` seconds.
    #[serde(rename = "pauses")]
    ServerPauses,
    /// Another program takes the share `magnitude` of the machine, on and off every `parameter` seconds.
    #[serde(rename = "neighbour")]
    NoisyNeighbor,
    /// All servers are `magnitude` times slower.
    #[serde(rename = "shared_slow")]
    SlowFleet,
    /// The class `selector` is `magnitude` times slower everywhere.
    SlowClass,
    /// The zone `selector` fails: unreachable if `parameter` is over 0.5, otherwise its servers crash; its
    /// proxies crash too if `magnitude` is over 0.5.
    #[serde(rename = "zone_loss")]
    ZoneOutage,
    /// Proxies are killed, and started again at the end.
    ProxyCrash,
    /// Proxies are killed and started again one after another, `magnitude` of them at a time.
    #[serde(rename = "proxy_roll")]
    ProxyRollingRestart,
    /// Proxies are paused for `magnitude` ms every `parameter` seconds; once, if that is 0.
    #[serde(rename = "proxy_stall")]
    ProxyPause,
    /// A second process starts under the identity of each of these proxies. It must exit and say why.
    #[serde(rename = "proxy_twin")]
    DuplicateProxy,
    /// Datagrams between the targets and other proxies are lost: all (`selector` 0), those sent by targets
    /// (1), those sent to targets (2). If `parameter` is over 0.5, also those among the targets.
    #[serde(rename = "peers_cut")]
    GossipPartition,
    /// The share `magnitude` of the datagrams from and to the targets is lost; of all, if there are no
    /// targets.
    #[serde(rename = "peers_loss")]
    GossipLoss,
    /// Datagrams from and to the targets (of all, if there are none) are delayed by up to `magnitude`
    /// seconds, and so arrive in any order.
    #[serde(rename = "peers_slow")]
    GossipDelay,
    /// Discovery answers none of the target proxies.
    #[serde(rename = "roster_cut")]
    DiscoveryPartition,
    /// Target proxies and the release service cannot reach each other: no status, no replies, no votes.
    #[serde(rename = "desk_cut")]
    ReleaseServicePartition,
    /// Target proxies and the servers of zone `selector` cannot reach each other.
    #[serde(rename = "servers_cut")]
    ServerPartition,
    /// Proxies are replaced by a new process that takes over, `magnitude` times.
    ProxyTakeover,
    /// The release controller is killed `magnitude` times, and each time started again after `parameter`
    /// seconds.
    ControllerCrash,
    /// Votes get no reply, half of them count, and no release status is sent.
    #[serde(rename = "desk_silent")]
    ReleaseServiceUnresponsive,
    /// Votes end in errors.
    #[serde(rename = "desk_errors")]
    ReleaseServiceErrors,
    /// The release status is sent `magnitude` seconds later.
    #[serde(rename = "desk_late")]
    ReleaseServiceDelay,
    /// Discovery answers nobody.
    #[serde(rename = "roster_lost")]
    DiscoveryOutage,
    /// Discovery lists changes `magnitude` seconds later.
    #[serde(rename = "roster_late")]
    DiscoveryDelay,
    /// Discovery sends a version that is lower than the last.
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
    /// Its name in the log of a run: the stored name in camel case. Readers of the log depend on it.
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
