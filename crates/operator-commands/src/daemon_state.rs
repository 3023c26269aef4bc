//! A snapshot of a daemon's state. The daemon takes it within one iteration of its event loop, so that its
//! parts are consistent with each other. All tools that display state read this type.

use serde::{Deserialize, Serialize};

/// The state of a daemon at one moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DaemonState {
    /// The daemon's name: the name of its fleet and its position, joined by a hyphen.
    pub name: String,
    /// The daemon's boot number, which increases by one at each start.
    pub boot: u64,
    /// Microseconds since the daemon started.
    #[serde(rename = "up_us")]
    pub uptime_us: u64,
    /// Whether the daemon is draining: it accepts no new requests.
    pub draining: bool,
    /// The release that the release service announced last; none before its first announcement.
    pub release: Option<ReleaseState>,
    /// The attempts that were started recently, by build.
    pub attempts: Vec<BuildAttempts>,
    /// The latest vote with its build and stage, as text.
    pub vote: Option<String>,
    /// The latest result of the canary analysis, as text for the operator.
    pub finding: Option<String>,
    /// The pause that is in force, if any.
    #[serde(rename = "paused")]
    pub pause: Option<PauseState>,
    /// The requests and attempts since the daemon started.
    pub counts: RequestCounts,
    /// The numbers of open connections.
    pub connections: ConnectionCounts,
    /// The number of requests that wait for their final response.
    #[serde(rename = "owed")]
    pub pending_responses: u64,
    /// The number of peers from which a datagram arrived in the last 10 s.
    pub peers: u64,
    /// Microseconds since discovery last updated or confirmed the endpoint list; none before the first list.
    #[serde(rename = "list_age_us")]
    pub endpoint_list_age_us: Option<u64>,
    /// The number of servers on the endpoint list.
    pub servers: u64,
    /// The daemon's quotas of the fleet's retry budgets, by request class; empty where no class has a budget.
    #[serde(default, rename = "rights")]
    pub quotas: Vec<QuotaState>,
    /// The state of the distributed configuration; none where the settings name no publisher.
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "distributed")]
    pub configuration: Option<ConfigurationState>,
}

/// The release of the newest build.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReleaseState {
    /// The number of the build.
    pub build: u16,
    /// The number of the release's stage, from 0.
    pub stage: u8,
    /// The phase: `trial`, `rolling_back`, `released` or `withdrawn`.
    pub phase: String,
    /// The exposure cap, from 0 to 1.
    #[serde(rename = "cap")]
    pub exposure_cap: f64,
}

/// The number of attempts on the servers of one build. Serialized as the pair `[build, attempts]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u16, u64)", into = "(u16, u64)")]
pub struct BuildAttempts {
    /// The number of the build.
    pub build: u16,
    /// The number of attempts that were started.
    pub attempts: u64,
}

impl From<(u16, u64)> for BuildAttempts {
    fn from((build, attempts): (u16, u64)) -> Self {
        BuildAttempts { build, attempts }
    }
}

impl From<BuildAttempts> for (u16, u64) {
    fn from(of_build: BuildAttempts) -> Self {
        (of_build.build, of_build.attempts)
    }
}

/// A pause that is in force. Serialized as the pair `[until_us, issuer]`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, String)", into = "(u64, String)")]
pub struct PauseState {
    /// When the pause ends, in microseconds since 1970.
    pub until_us: u64,
    /// The operator who requested the pause.
    pub issuer: String,
}

impl From<(u64, String)> for PauseState {
    fn from((until_us, issuer): (u64, String)) -> Self {
        PauseState { until_us, issuer }
    }
}

impl From<PauseState> for (u64, String) {
    fn from(pause: PauseState) -> Self {
        (pause.until_us, pause.issuer)
    }
}

/// The numbers of open connections. Serialized as the pair `[clients, servers]`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct ConnectionCounts {
    /// The number of connections from clients.
    pub clients: u64,
    /// The number of connections to servers.
    pub servers: u64,
}

impl From<(u64, u64)> for ConnectionCounts {
    fn from((clients, servers): (u64, u64)) -> Self {
        ConnectionCounts { clients, servers }
    }
}

impl From<ConnectionCounts> for (u64, u64) {
    fn from(counts: ConnectionCounts) -> Self {
        (counts.clients, counts.servers)
    }
}

/// The numbers of requests and attempts since the daemon started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Requests that the daemon accepted.
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Requests that got a server's response.
    pub served: u64,
    /// Requests that the daemon rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests whose client closed the connection before the response.
    #[serde(rename = "gone")]
    pub abandoned: u64,
    /// Attempts that the daemon started.
    pub attempts: u64,
}

/// A daemon's quota of the fleet's retry budget for one request class. Budgets, quotas and rates are in
/// thousandths of an attempt per second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaState {
    /// The name of the request class.
    pub class: String,
    /// The budget of the whole fleet, according to this daemon's settings.
    pub budget: u64,
    /// The part of the daemon's own quota that is never lent.
    #[serde(rename = "floor")]
    pub guaranteed: u64,
    /// The rest of the daemon's own quota, which it may lend.
    #[serde(rename = "lot")]
    pub lendable: u64,
    /// The part of the lendable quota that is lent, or that an earlier incarnation of the daemon may have
    /// lent.
    pub lent: u64,
    /// The quota that the daemon has borrowed.
    pub borrowed: u64,
    /// The rate that the daemon may spend at present.
    pub rate: u64,
    /// Attempts that the quota allowed since the daemon started.
    pub spent: u64,
    /// Attempts that were denied for lack of quota since the daemon started.
    pub denied: u64,
}

/// Which version of the publisher's configuration a daemon has, and whether it gets updates.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationState {
    /// The version that is in force; none: no version has arrived yet, so the routes of the settings apply.
    #[serde(default)]
    pub version: Option<ConfigurationVersion>,
    /// The number of routes in that version.
    #[serde(default)]
    pub routes: u64,
    /// Microseconds since the publisher last confirmed that this is its newest version; none: the publisher
    /// has not confirmed it since the daemon started.
    #[serde(default)]
    pub age_us: Option<u64>,
    /// Whether a watch on the publisher is open.
    #[serde(default)]
    pub watching: bool,
    /// The newest version that the daemon rejected; none once that version or a later one is in force.
    #[serde(default, rename = "refused")]
    pub rejected: Option<RejectedVersion>,
}

/// A version of the distributed configuration, ordered by term, then by number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ConfigurationVersion {
    /// The publisher's term: one incarnation of its log. A publisher that lost its log starts a higher term.
    pub term: u64,
    /// The number of changes published in this term, up to and including this version.
    pub number: u64,
}

impl std::fmt::Display for ConfigurationVersion {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}.{}", self.term, self.number)
    }
}

/// A version of the distributed configuration that was rejected.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectedVersion {
    /// The version that was rejected.
    pub version: ConfigurationVersion,
    /// Why the daemon rejected it, as text for the operator.
    pub reason: String,
}
