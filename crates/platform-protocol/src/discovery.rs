//! The server list as discovery sends it, and as this proxy holds it.

use crate::ListError;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use violetseam::interface::{ListKind, Micros, ServerEntry, ServerId, ServerStatus};

/// The longest answer that is accepted, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// The most servers that are accepted.
const MAX_SERVERS: usize = 4096;
/// Ids of removed servers stay known until there are more than this.
const MAX_REMOVED_SERVERS: usize = 256;
/// Sizes must be below this.
const MAX_SIZE: f64 = 1e9;
/// The longest id that is accepted.
const MAX_ID_BYTES: usize = 256;

/// A server's state as written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberPhase {
    /// Takes requests.
    Up,
    /// Finishes its requests and takes no new ones.
    Draining,
    /// Has left the list; in deltas only.
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
    pub phase: MemberPhase,
    /// Its size against the others.
    #[serde(default = "default_size")]
    pub size: f64,
    /// Its last start, as Unix time in milliseconds; 0: long ago.
    #[serde(default)]
    pub up_since_ms: u64,
    /// The build it runs.
    #[serde(default)]
    pub version_no: u16,
}

impl Member {
    fn is_usable(&self) -> bool {
        self.size.is_finite() && self.size > 0.0 && self.size < MAX_SIZE && self.id.len() <= MAX_ID_BYTES
    }
}

fn default_size() -> f64 {
    1.0
}

/// The full list, or a delta, as written.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ListUpdate {
    /// Its version.
    pub revision: u64,
    /// It is the full list.
    pub complete: bool,
    /// The servers.
    pub members: Vec<Member>,
}

impl ListUpdate {
    /// Parses an answer's body.
    ///
    /// # Errors
    /// A [`ListError`] if the body is not the expected JSON, or holds values that cannot be used.
    pub fn parse(body: &[u8]) -> Result<ListUpdate, ListError> {
        let list: ListUpdate = serde_json::from_slice(body).map_err(ListError::Json)?;
        list.validate()?;
        Ok(list)
    }

    pub(crate) fn validate(&self) -> Result<(), ListError> {
        if self.members.len() > MAX_SERVERS {
            return Err(ListError::TooManyServers);
        }
        if self.members.iter().all(Member::is_usable) { Ok(()) } else { Err(ListError::UnusableServer) }
    }
}

/// The path of a query for the full list.
pub const LIST_PATH: &str = "/discovery/hosts";

/// The path of a watch for the changes since `version`, which waits for up to `wait`.
pub fn watch_path(version: u64, wait: Micros) -> String {
    format!("{LIST_PATH}?index={version}&wait={}", wait / 1000)
}

/// A server as this proxy knows it.
#[derive(Clone, Debug)]
pub struct KnownServer {
    /// Its number towards the engine.
    pub number: ServerId,
    /// Where it listens.
    pub address: SocketAddr,
    build: u16,
    up_since_ms: u64,
    is_removed: bool,
}

/// What a list update changes.
#[derive(Clone, Debug)]
pub struct AppliedUpdate {
    /// Full list or delta.
    pub kind: ListKind,
    /// The entries, for the engine.
    pub entries: Vec<ServerEntry>,
    /// Servers whose address, build or start has changed, or that were removed: connections opened before must not carry
    /// further requests.
    pub changed: Vec<ServerId>,
}

/// The list as held. Servers have textual ids on the wire and numbers for the engine.
#[derive(Debug, Default)]
pub struct ServerList {
    version: Option<u64>,
    by_id: BTreeMap<String, KnownServer>,
    addresses: BTreeMap<ServerId, SocketAddr>,
    last_number: ServerId,
    zones: Vec<String>,
}

impl ServerList {
    /// An empty list; zones are numbered by their place among these names.
    pub fn new(zones: Vec<String>) -> Self {
        ServerList { zones, ..ServerList::default() }
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
        self.by_id.values().all(|known| known.is_removed)
    }

    /// Applies an update and returns what it changes for the engine. An update that is older than the list held was
    /// overtaken on its way, and would bring back servers that have drained since: it changes nothing.
    ///
    /// # Errors
    /// [`ListError::NoBaseList`] for a delta without a list to apply it to.
    pub fn apply(&mut self, list: &ListUpdate) -> Result<AppliedUpdate, ListError> {
        let Some(held) = self.version.or(list.complete.then_some(0)) else {
            return Err(ListError::NoBaseList);
        };
        if list.revision < held {
            return Ok(AppliedUpdate { kind: ListKind::Delta, entries: Vec::new(), changed: Vec::new() });
        }
        let mut changed = Vec::new();
        if list.complete {
            for known in self.by_id.values_mut() {
                known.is_removed = true;
            }
        }
        let entries = list.members.iter().map(|member| self.update_server(member, &mut changed)).collect();
        let removed = self.by_id.values().filter(|known| known.is_removed);
        changed.extend(removed.map(|known| known.number));
        self.version = Some(list.revision);
        self.forget_oldest_removed();
        let kind = if list.complete { ListKind::Full } else { ListKind::Delta };
        Ok(AppliedUpdate { kind, entries, changed })
    }

    /// Forgets the version: the next query must be for the full list.
    pub fn forget_version(&mut self) {
        self.version = None;
    }

    fn update_server(&mut self, member: &Member, changed: &mut Vec<ServerId>) -> ServerEntry {
        let last_number = &mut self.last_number;
        let known = self.by_id.entry(member.id.clone()).or_insert_with(|| {
            *last_number += 1;
            KnownServer {
                number: *last_number,
                address: member.host_port,
                build: 0,
                up_since_ms: 0,
                is_removed: false,
            }
        });
        let before = (known.address, known.build, known.up_since_ms);
        known.address = member.host_port;
        known.build = member.version_no;
        known.up_since_ms = member.up_since_ms;
        known.is_removed = member.phase == MemberPhase::Removed;
        if before != (known.address, known.build, known.up_since_ms) {
            changed.push(known.number);
        }
        self.addresses.insert(known.number, known.address);
        let zone = self.zones.iter().position(|name| *name == member.locality).unwrap_or(self.zones.len());
        ServerEntry {
            id: known.number,
            zone: zone as u16,
            build: member.version_no,
            cell: member.cell,
            status: match member.phase {
                MemberPhase::Up => ServerStatus::Ready,
                MemberPhase::Draining => ServerStatus::Draining,
                MemberPhase::Removed => ServerStatus::Removed,
            },
            size: member.size,
            started_at: member.up_since_ms.saturating_mul(1000),
        }
    }

    /// Forgets the oldest half of the removed servers once there are too many.
    fn forget_oldest_removed(&mut self) {
        let mut removed: Vec<(ServerId, String)> = self
            .by_id
            .iter()
            .filter(|(_, known)| known.is_removed)
            .map(|(id, known)| (known.number, id.clone()))
            .collect();
        if removed.len() <= MAX_REMOVED_SERVERS {
            return;
        }
        removed.sort();
        for (number, id) in removed.drain(..MAX_REMOVED_SERVERS / 2) {
            self.by_id.remove(&id);
            self.addresses.remove(&number);
        }
    }
}
