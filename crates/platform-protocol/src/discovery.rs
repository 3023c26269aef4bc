//! The server list: parsing it as discovery sends it, and applying it to the proxy's local copy.

use crate::ListError;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use violetseam::interface::{ListKind, Micros, ServerEntry, ServerId, ServerStatus};

/// The longest response of discovery that is accepted, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// The maximum number of servers in a list or a delta.
pub(crate) const MAX_SERVERS: usize = 4096;
/// The number of removed servers above which the oldest half of them are forgotten.
const MAX_REMOVED_SERVERS: usize = 256;
/// The size of a server must be below this.
const MAX_SERVER_SIZE: f64 = 1e9;
/// The maximum length of a server's id.
const MAX_ID_BYTES: usize = 256;

/// The state of a server, as in the JSON text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedServerPhase {
    /// The server accepts requests.
    Up,
    /// The server finishes its requests and accepts no new ones.
    Draining,
    /// The server is no longer on the list. Only a delta contains such an entry.
    Removed,
}

/// One server, as in the JSON text.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ListedServer {
    /// The server's id, which is the same at every proxy.
    pub id: String,
    /// The address at which this proxy reaches the server.
    pub host_port: SocketAddr,
    /// The name of the server's zone.
    #[serde(default)]
    pub locality: String,
    /// The number of the server's cell.
    #[serde(default)]
    pub cell: u16,
    /// The server's state.
    pub phase: ListedServerPhase,
    /// The server's capacity relative to other servers.
    #[serde(default = "default_size")]
    pub size: f64,
    /// When the server last started, as Unix time in milliseconds. 0 means long ago.
    #[serde(default)]
    pub up_since_ms: u64,
    /// The build that the server runs.
    #[serde(default)]
    pub version_no: u16,
}

impl ListedServer {
    /// Whether the size and the length of the id are within their bounds.
    fn is_usable(&self) -> bool {
        self.size.is_finite()
            && self.size > 0.0
            && self.size < MAX_SERVER_SIZE
            && self.id.len() <= MAX_ID_BYTES
    }
}

fn default_size() -> f64 {
    1.0
}

/// A full list or a delta, as in the JSON text.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ListUpdate {
    /// The version of the list that results from the update.
    pub revision: u64,
    /// Whether this is a full list. Otherwise it is a delta.
    pub complete: bool,
    /// All servers of a full list, or the changed servers of a delta.
    pub members: Vec<ListedServer>,
}

impl ListUpdate {
    /// Parses the body of a response.
    ///
    /// # Errors
    /// Returns a [`ListError`] if the body is not the expected JSON, or contains values that cannot be used.
    pub fn parse(body: &[u8]) -> Result<ListUpdate, ListError> {
        let list: ListUpdate = serde_json::from_slice(body).map_err(ListError::Json)?;
        list.validate()?;
        Ok(list)
    }

    pub(crate) fn validate(&self) -> Result<(), ListError> {
        if self.members.len() > MAX_SERVERS {
            return Err(ListError::TooManyServers);
        }
        if self.members.iter().all(ListedServer::is_usable) { Ok(()) } else { Err(ListError::UnusableServer) }
    }
}

/// The path of a query for the full list.
pub const LIST_PATH: &str = "/discovery/hosts";

/// Returns the path of a long poll for the changes since `version`, which the service answers after `wait` at
/// the latest.
pub fn watch_path(version: u64, wait: Micros) -> String {
    format!("{LIST_PATH}?index={version}&wait={}", wait / 1000)
}

/// A server of the local list.
#[derive(Clone, Debug)]
pub struct KnownServer {
    /// The number that identifies the server to the engine.
    pub number: ServerId,
    /// The address at which the server listens.
    pub address: SocketAddr,
    build: u16,
    up_since_ms: u64,
    is_removed: bool,
}

/// What an update changes in the local list.
#[derive(Clone, Debug)]
pub struct AppliedUpdate {
    /// Whether the update is a full list or a delta.
    pub kind: ListKind,
    /// The entries of the update, as the engine expects them.
    pub entries: Vec<ServerEntry>,
    /// Servers whose address, build or start time has changed, or that were removed. Connections that were
    /// opened to them before must not carry further requests.
    pub changed: Vec<ServerId>,
}

/// The local copy of the server list. Servers have textual ids on the wire and numbers in the engine.
#[derive(Debug, Default)]
pub struct ServerList {
    version: Option<u64>,
    by_id: BTreeMap<String, KnownServer>,
    addresses: BTreeMap<ServerId, SocketAddr>,
    last_number: ServerId,
    zones: Vec<String>,
}

impl ServerList {
    /// Creates an empty list. A zone's number is the index of its name in `zones`.
    pub fn new(zones: Vec<String>) -> Self {
        ServerList { zones, ..ServerList::default() }
    }

    /// Returns the version of the local list. Returns `None` if no list has arrived yet or the version was
    /// forgotten.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Returns the address at which a server listens.
    pub fn address(&self, number: ServerId) -> Option<SocketAddr> {
        self.addresses.get(&number).copied()
    }

    /// Returns the number of the server with this id.
    pub fn number(&self, id: &str) -> Option<ServerId> {
        self.by_id.get(id).map(|known| known.number)
    }

    /// Whether the list contains no servers except removed ones.
    pub fn is_empty(&self) -> bool {
        self.by_id.values().all(|known| known.is_removed)
    }

    /// Applies an update and returns what it changes for the engine. An update with a lower version than the
    /// local list changes nothing: a later update has overtaken it on the network, and it could bring back
    /// servers that have drained in the meantime.
    ///
    /// # Errors
    /// Returns [`ListError::NoBaseList`] for a delta if there is no list that it can be applied to.
    pub fn apply(&mut self, list: &ListUpdate) -> Result<AppliedUpdate, ListError> {
        let Some(local_version) = self.version.or(list.complete.then_some(0)) else {
            return Err(ListError::NoBaseList);
        };
        if list.revision < local_version {
            return Ok(AppliedUpdate { kind: ListKind::Delta, entries: Vec::new(), changed: Vec::new() });
        }
        let mut changed = Vec::new();
        if list.complete {
            for known in self.by_id.values_mut() {
                known.is_removed = true;
            }
        }
        let entries = list.members.iter().map(|listed| self.update_server(listed, &mut changed)).collect();
        let removed = self.by_id.values().filter(|known| known.is_removed);
        changed.extend(removed.map(|known| known.number));
        self.version = Some(list.revision);
        self.forget_oldest_removed();
        let kind = if list.complete { ListKind::Full } else { ListKind::Delta };
        Ok(AppliedUpdate { kind, entries, changed })
    }

    /// Forgets the version of the local list, so that the next query is for the full list.
    pub fn forget_version(&mut self) {
        self.version = None;
    }

    /// Adds or updates one server, and reports in `changed` if its address, build or start time has changed.
    fn update_server(&mut self, listed: &ListedServer, changed: &mut Vec<ServerId>) -> ServerEntry {
        let last_number = &mut self.last_number;
        let known = self.by_id.entry(listed.id.clone()).or_insert_with(|| {
            *last_number += 1;
            KnownServer {
                number: *last_number,
                address: listed.host_port,
                build: 0,
                up_since_ms: 0,
                is_removed: false,
            }
        });
        let previous = (known.address, known.build, known.up_since_ms);
        known.address = listed.host_port;
        known.build = listed.version_no;
        known.up_since_ms = listed.up_since_ms;
        known.is_removed = listed.phase == ListedServerPhase::Removed;
        if previous != (known.address, known.build, known.up_since_ms) {
            changed.push(known.number);
        }
        self.addresses.insert(known.number, known.address);
        let zone = self.zones.iter().position(|name| *name == listed.locality).unwrap_or(self.zones.len());
        ServerEntry {
            id: known.number,
            zone: zone as u16,
            build: listed.version_no,
            cell: listed.cell,
            status: match listed.phase {
                ListedServerPhase::Up => ServerStatus::Ready,
                ListedServerPhase::Draining => ServerStatus::Draining,
                ListedServerPhase::Removed => ServerStatus::Removed,
            },
            size: listed.size,
            started_at: listed.up_since_ms.saturating_mul(1000),
        }
    }

    /// Forgets the oldest removed servers, [`MAX_REMOVED_SERVERS`] / 2 of them, if there are more than
    /// [`MAX_REMOVED_SERVERS`]. The oldest are those with the lowest numbers.
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
