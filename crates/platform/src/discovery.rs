//! The server list as discovery tells it, and as this proxy holds it.

use crate::{Malformed, malformed};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use violetseam::interface::{ListKind, Micros, ServerEntry, ServerId, ServerStatus};

/// The longest answer that is taken, in bytes.
pub const ANSWER_MOST: usize = 1 << 20;
/// The most servers that are taken.
const SERVERS_MOST: usize = 4096;
/// Ids of servers that have left stay known until there are so many.
const LEFT_MOST: usize = 256;

/// A server's state as written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Takes work.
    Up,
    /// Finishes what it has.
    Draining,
    /// Has left; among changes only.
    Removed,
}

/// One server as written.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Member {
    /// Its id, the same at every proxy.
    pub id: String,
    /// Where this proxy reaches it.
    pub host_port: SocketAddr,
    /// Its zone's name.
    #[serde(default)]
    pub locality: String,
    /// Its cell.
    #[serde(default)]
    pub cell: u16,
    /// Its state.
    pub phase: Phase,
    /// Its size against the others.
    #[serde(default = "one")]
    pub size: f64,
    /// Its last start, as Unix time in milliseconds; 0: long ago.
    #[serde(default)]
    pub up_since_ms: u64,
    /// The build it runs.
    #[serde(default)]
    pub version_no: u16,
}

fn one() -> f64 {
    1.0
}

/// The whole list, or its changes.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct List {
    /// Its version.
    pub revision: u64,
    /// The whole list.
    pub complete: bool,
    /// The servers.
    pub members: Vec<Member>,
}

impl List {
    /// Reads an answer's body.
    pub fn parse(body: &[u8]) -> Result<List, Malformed> {
        let list: List = serde_json::from_slice(body).map_err(|e| Malformed(format!("discovery: {e}")))?;
        list.check()?;
        Ok(list)
    }

    pub(crate) fn check(&self) -> Result<(), Malformed> {
        if self.members.len() > SERVERS_MOST {
            return malformed("discovery: too many servers");
        }
        let usable = |m: &Member| m.size.is_finite() && m.size > 0.0 && m.size < 1e9 && m.id.len() <= 256;
        match self.members.iter().find(|m| !usable(m)) {
            Some(_) => malformed("discovery: a server without a usable size or id"),
            None => Ok(()),
        }
    }
}

/// The path of a call for the whole list.
pub const WHOLE_PATH: &str = "/discovery/hosts";

/// The path of a watch for what is newer than `version`, for so long.
pub fn watch_path(version: u64, wait: Micros) -> String {
    format!("{WHOLE_PATH}?index={version}&wait={}", wait / 1000)
}

/// A server as this proxy knows it.
#[derive(Clone, Debug)]
pub struct Known {
    /// Its number towards the decisions.
    pub number: ServerId,
    /// Where it listens.
    pub address: SocketAddr,
    build: u16,
    up_since_ms: u64,
    left: bool,
}

/// What a list changes.
#[derive(Clone, Debug)]
pub struct Applied {
    /// Whole or changes.
    pub kind: ListKind,
    /// The lines, for the decisions.
    pub entries: Vec<ServerEntry>,
    /// Servers whose address, build or start is another now, or that left: connections that were opened to
    /// what stood there before carry nothing new.
    pub changed: Vec<ServerId>,
}

/// The list as held. Ids are words on the wire and numbers for the decisions.
#[derive(Debug, Default)]
pub struct Roster {
    version: Option<u64>,
    by_id: BTreeMap<String, Known>,
    addresses: BTreeMap<ServerId, SocketAddr>,
    next: ServerId,
    zones: Vec<String>,
}

impl Roster {
    /// Zones are numbered by their place among these names.
    pub fn new(zones: Vec<String>) -> Self {
        Roster { zones, ..Roster::default() }
    }

    /// The version held.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Where a server listens.
    pub fn address(&self, number: ServerId) -> Option<SocketAddr> {
        self.addresses.get(&number).copied()
    }

    /// A server's number.
    pub fn number(&self, id: &str) -> Option<ServerId> {
        self.by_id.get(id).map(|known| known.number)
    }

    /// Whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.by_id.values().all(|known| known.left)
    }

    /// Takes a list: what the decisions are told. Changes count on top of a list only. One that is older than
    /// the list held was overtaken on its way, and would bring back servers that have drained since: it says
    /// no more than that discovery is there.
    pub fn apply(&mut self, list: &List) -> Result<Applied, Malformed> {
        let Some(held) = self.version.or(list.complete.then_some(0)) else {
            return malformed("discovery: changes to no list");
        };
        if list.revision < held {
            return Ok(Applied { kind: ListKind::Delta, entries: Vec::new(), changed: Vec::new() });
        }
        let mut changed = Vec::new();
        if list.complete {
            for known in self.by_id.values_mut() {
                known.left = true;
            }
        }
        let entries = list.members.iter().map(|member| self.take(member, &mut changed)).collect();
        let left = self.by_id.values().filter(|known| known.left);
        changed.extend(left.map(|known| known.number));
        self.version = Some(list.revision);
        self.forget_some();
        let kind = if list.complete { ListKind::Full } else { ListKind::Delta };
        Ok(Applied { kind, entries, changed })
    }

    /// The next list asked for must be the whole one.
    pub fn forget_version(&mut self) {
        self.version = None;
    }

    fn take(&mut self, member: &Member, changed: &mut Vec<ServerId>) -> ServerEntry {
        let next = &mut self.next;
        let known = self.by_id.entry(member.id.clone()).or_insert_with(|| {
            *next += 1;
            Known { number: *next, address: member.host_port, build: 0, up_since_ms: 0, left: false }
        });
        let before = (known.address, known.build, known.up_since_ms);
        known.address = member.host_port;
        (known.build, known.up_since_ms) = (member.version_no, member.up_since_ms);
        known.left = member.phase == Phase::Removed;
        if before != (known.address, known.build, known.up_since_ms) {
            changed.push(known.number);
        }
        self.addresses.insert(known.number, known.address);
        let zone = self.zones.iter().position(|z| *z == member.locality).unwrap_or(self.zones.len());
        ServerEntry {
            id: known.number,
            zone: zone as u16,
            build: member.version_no,
            cell: member.cell,
            status: match member.phase {
                Phase::Up => ServerStatus::Ready,
                Phase::Draining => ServerStatus::Draining,
                Phase::Removed => ServerStatus::Removed,
            },
            size: member.size,
            started_at: member.up_since_ms.saturating_mul(1000),
        }
    }

    /// Numbers of servers that left are forgotten once there are many, the oldest first.
    fn forget_some(&mut self) {
        let mut left: Vec<(ServerId, String)> =
            self.by_id.iter().filter(|(_, k)| k.left).map(|(id, k)| (k.number, id.clone())).collect();
        if left.len() <= LEFT_MOST {
            return;
        }
        left.sort();
        for (number, id) in left.drain(..LEFT_MOST / 2) {
            self.by_id.remove(&id);
            self.addresses.remove(&number);
        }
    }
}
