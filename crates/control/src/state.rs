//! The one reading of a daemon's state: taken in one turn of its loop, so that its parts fit together. Every
//! way of showing state (the fleet tool, later SNMP) shows this type.

use serde::{Deserialize, Serialize};

/// A daemon's state at one moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Reading {
    /// Its name: fleet and position.
    pub name: String,
    /// Its boot number: one more at each start.
    pub boot: u64,
    /// Microseconds since this start.
    pub up_us: u64,
    /// It drains: takes nothing new.
    pub draining: bool,
    /// The newest build, its stage, phase and cap, as last told by the desk; none before the first news.
    pub release: Option<Release>,
    /// Attempts by build in the last window.
    pub attempts: Vec<(u16, u64)>,
    /// The vote that stands, in the desk's words, with build and stage.
    pub vote: Option<String>,
    /// The module's latest finding, in its words.
    pub finding: Option<String>,
    /// A pause that is in force: until when (microseconds since 1970) and who asked for it.
    pub paused: Option<(u64, String)>,
    /// Requests taken, and what became of them.
    pub counts: Counts,
    /// Open client and server connections.
    pub connections: (u64, u64),
    /// Requests whose final answer is owed.
    pub owed: u64,
    /// Peers heard from in the last 10 s.
    pub peers: u64,
    /// Microseconds since the server list was last heard of; none before the first.
    pub list_age_us: Option<u64>,
    /// Servers on the list.
    pub servers: u64,
    /// What is held of the fleet's budgets of further attempts, by class; empty where none has one.
    #[serde(default)]
    pub rights: Vec<Rights>,
    /// The distributed configuration; none where the settings name no publisher.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub distributed: Option<Distributed>,
}

/// How a daemon stands with the configuration that a publisher distributes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Distributed {
    /// The version in force; none: nothing came yet, the routes of the settings count.
    #[serde(default)]
    pub version: Option<ConfigurationVersion>,
    /// Its routes.
    #[serde(default)]
    pub routes: u64,
    /// Microseconds since the publisher last confirmed that this is its newest version; none: not since the
    /// start.
    #[serde(default)]
    pub age_us: Option<u64>,
    /// A watch of the publisher is open.
    #[serde(default)]
    pub watching: bool,
    /// The newest version that was refused, until it or a later one is in force.
    #[serde(default)]
    pub refused: Option<RefusedVersion>,
}

/// A version of the distributed configuration, ordered by term, then by number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ConfigurationVersion {
    /// The publisher's term.
    pub term: u64,
    /// The number of changes published before and with it in this term.
    pub number: u64,
}

impl std::fmt::Display for ConfigurationVersion {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.term, self.number)
    }
}

/// A version that was not taken.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedVersion {
    /// Which.
    pub version: ConfigurationVersion,
    /// Why, for people.
    pub reason: String,
}

/// What a daemon holds of one budget of the fleet. Rates are in thousandths a second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rights {
    /// The class's name.
    pub class: String,
    /// What the fleet has, as this daemon's settings say.
    pub budget: u64,
    /// The daemon's own under all circumstances.
    pub floor: u64,
    /// Its own beyond that, which it may lend.
    pub lot: u64,
    /// What of that is lent, or may have been by an earlier life.
    pub lent: u64,
    /// What it has borrowed.
    pub borrowed: u64,
    /// What it may spend.
    pub rate: u64,
    /// Spent since the start.
    pub spent: u64,
    /// Wanted in vain since the start.
    pub denied: u64,
}

/// Where the newest build stands.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Release {
    /// Its number.
    pub build: u16,
    /// Its stage, from 0.
    pub stage: u8,
    /// `trial`, `rolling_back`, `released` or `withdrawn`.
    pub phase: String,
    /// Its exposure cap, 0 to 1.
    pub cap: f64,
}

/// Requests and attempts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests taken.
    pub taken: u64,
    /// Answered by a server.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Whose client left.
    pub gone: u64,
    /// Attempts started.
    pub attempts: u64,
}
