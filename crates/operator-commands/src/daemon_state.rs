//! A snapshot of a daemon's state, taken in one turn of its event loop so that its parts fit together. Every
//! tool that shows state reads this type.

use serde::{Deserialize, Serialize};

/// A daemon's state at one moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DaemonState {
    /// The daemon's name: fleet and position.
    pub name: String,
    /// Its boot number: one more at each start.
    pub boot: u64,
    /// Microseconds since this start.
    #[serde(rename = "up_us")]
    pub uptime_us: u64,
    /// It accepts no new requests.
    pub draining: bool,
    /// The release as last announced by the release service; none before the first announcement.
    pub release: Option<ReleaseState>,
    /// Attempts by build in the last window.
    pub attempts: Vec<BuildAttempts>,
    /// The vote in force, in the release service's words, with build and stage.
    pub vote: Option<String>,
    /// The latest result of the canary analysis, for people.
    pub finding: Option<String>,
    /// The pause in force.
    #[serde(rename = "paused")]
    pub pause: Option<PauseState>,
    /// Requests and attempts since the start.
    pub counts: RequestCounts,
    /// Open connections.
    pub connections: ConnectionCounts,
    /// Requests that wait for their final response.
    #[serde(rename = "owed")]
    pub pending_responses: u64,
    /// Peers heard from in the last 10 s.
    pub peers: u64,
    /// Microseconds since the endpoint list was last updated or confirmed; none before the first list.
    #[serde(rename = "list_age_us")]
    pub endpoint_list_age_us: Option<u64>,
    /// Servers on the endpoint list.
    pub servers: u64,
    /// The daemon's part in the fleet's retry budgets, by class; empty where no class has a budget.
    #[serde(default, rename = "rights")]
    pub quotas: Vec<QuotaState>,
    /// The distributed configuration; none where the settings name no publisher.
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "distributed")]
    pub configuration: Option<ConfigurationState>,
}

/// The newest build's release.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReleaseState {
    /// The build's number.
    pub build: u16,
    /// Its stage, from 0.
    pub stage: u8,
    /// `trial`, `rolling_back`, `released` or `withdrawn`.
    pub phase: String,
    /// Its exposure cap, 0 to 1.
    #[serde(rename = "cap")]
    pub exposure_cap: f64,
}

/// Attempts on one build's servers. Serialized as the pair `[build, attempts]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u16, u64)", into = "(u16, u64)")]
pub struct BuildAttempts {
    /// The build's number.
    pub build: u16,
    /// Attempts started.
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

/// A pause in force. Serialized as the pair `[until_us, issuer]`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, String)", into = "(u64, String)")]
pub struct PauseState {
    /// When it ends, in microseconds since 1970.
    pub until_us: u64,
    /// Who asked for it.
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

/// Open connections. Serialized as the pair `[clients, servers]`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct ConnectionCounts {
    /// Connections from clients.
    pub clients: u64,
    /// Connections to servers.
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

/// Requests and attempts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Requests accepted.
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Requests answered by a server.
    pub served: u64,
    /// Requests rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Requests failed.
    pub failed: u64,
    /// Requests whose client closed the connection before the response.
    #[serde(rename = "gone")]
    pub abandoned: u64,
    /// Attempts started.
    pub attempts: u64,
}

/// A daemon's part in the fleet's retry budget of one class. Rates are in thousandths a second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaState {
    /// The class's name.
    pub class: String,
    /// The fleet's budget, as this daemon's settings have it.
    pub budget: u64,
    /// The daemon's own quota, which is never lent.
    #[serde(rename = "floor")]
    pub guaranteed: u64,
    /// Its own quota beyond that, which it may lend.
    #[serde(rename = "lot")]
    pub lendable: u64,
    /// The part of the lendable quota that is lent, or may have been by an earlier incarnation.
    pub lent: u64,
    /// The quota that it has borrowed.
    pub borrowed: u64,
    /// The rate that it may spend.
    pub rate: u64,
    /// Attempts spent since the start.
    pub spent: u64,
    /// Attempts denied since the start.
    pub denied: u64,
}

/// A daemon's state with respect to the configuration that a publisher distributes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationState {
    /// The version in force; none: no version has arrived yet, the routes of the settings apply.
    #[serde(default)]
    pub version: Option<ConfigurationVersion>,
    /// The number of its routes.
    #[serde(default)]
    pub routes: u64,
    /// Microseconds since the publisher last confirmed that this is its newest version; none: not since the
    /// start.
    #[serde(default)]
    pub age_us: Option<u64>,
    /// A watch of the publisher is open.
    #[serde(default)]
    pub watching: bool,
    /// The newest version that was rejected, until it or a later one is in force.
    #[serde(default, rename = "refused")]
    pub rejected: Option<RejectedVersion>,
}

/// A version of the distributed configuration, ordered by term, then by number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ConfigurationVersion {
    /// The publisher's term.
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
    /// The version.
    pub version: ConfigurationVersion,
    /// Why, for people.
    pub reason: String,
}
