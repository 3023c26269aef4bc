//! The server roster: one JSON line a message, the whole list or the lines that changed.

use crate::{Malformed, malformed};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use violetseam::interface::{ListKind, Micros, ServerEntry, ServerId, ServerStatus};

/// The longest line that is taken, in bytes.
pub const MAX_LINE_BYTES: usize = 4 << 20;
/// The most servers that are taken.
pub const MAX_SERVERS: usize = 20_000;

/// Whether a message carries the whole list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpdateKind {
    /// The whole list.
    Full,
    /// The lines that changed since `base`.
    Delta,
}

/// A server's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// Takes work.
    Ready,
    /// Finishes its work; nothing new.
    Draining,
    /// Removed; in deltas only.
    Gone,
}

/// One server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Its id, the same at every proxy and after a restart.
    pub id: ServerId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// The build it runs.
    pub build: u16,
    /// Its state.
    pub state: EndpointState,
    /// Its zone's number.
    #[serde(default)]
    pub zone: u16,
    /// Its cell's number: servers that share which keys they have seen.
    #[serde(default)]
    pub cell: u16,
    /// Its size against the others, unitless.
    #[serde(default = "one")]
    pub size: f64,
    /// Microseconds since its latest start when the message was written; absent: long past.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub age_us: Option<u64>,
}

fn one() -> f64 {
    1.0
}

/// One message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListUpdate {
    /// Whole list or changes.
    pub kind: UpdateKind,
    /// The list's version after it; never falls.
    pub version: u64,
    /// For changes: the version they apply to.
    #[serde(default)]
    pub base: u64,
    /// The lines.
    pub servers: Vec<Endpoint>,
}

impl ListUpdate {
    /// Reads one line.
    ///
    /// # Errors
    /// [`Malformed`] if the line is not JSON of this form, lists a server twice, or a figure is out of bounds.
    pub fn parse(line: &[u8]) -> Result<ListUpdate, Malformed> {
        let message: ListUpdate =
            serde_json::from_slice(line).map_err(|e| Malformed(format!("roster: {e}")))?;
        if message.servers.len() > MAX_SERVERS {
            return malformed("roster: too many servers");
        }
        let mut seen = BTreeSet::new();
        for line in &message.servers {
            if !(line.size.is_finite() && line.size > 0.0 && line.size < 1e9) {
                return malformed(format!("roster: server {} has no usable size", line.id));
            }
            if message.kind == UpdateKind::Full && line.state == EndpointState::Gone {
                return malformed(format!("roster: server {} gone in a whole list", line.id));
            }
            if !seen.insert(line.id) {
                return malformed(format!("roster: server {} twice", line.id));
            }
        }
        Ok(message)
    }

    /// Writes one line, its end included.
    pub fn write(&self) -> Vec<u8> {
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }
}

/// The list as this proxy holds it.
#[derive(Debug, Default)]
pub struct EndpointList {
    version: Option<u64>,
    addresses: BTreeMap<ServerId, SocketAddr>,
}

impl EndpointList {
    /// The version held, to ask for what changed since.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Where a server listens; known also after it has left, as attempts may still be out.
    pub fn address(&self, id: ServerId) -> Option<SocketAddr> {
        self.addresses.get(&id).copied()
    }

    /// Takes a message: what the decisions are told of it. An error leaves the list as it was. A version
    /// that goes back is an error: it comes from a roster that lost its state, and following it would
    /// bring back servers that have drained since.
    ///
    /// # Errors
    /// [`Malformed`] if the changes do not apply to the version that is held.
    pub fn apply(
        &mut self,
        now: Micros,
        message: &ListUpdate,
    ) -> Result<(ListKind, Vec<ServerEntry>), Malformed> {
        let held = self.version.unwrap_or(0);
        if self.version.is_some() && message.version < held {
            return malformed(format!("roster: version {} after {held}", message.version));
        }
        if message.kind == UpdateKind::Delta && self.version != Some(message.base) {
            return malformed(format!("roster: changes to version {} on top of {held}", message.base));
        }
        for line in &message.servers {
            self.addresses.insert(line.id, line.addr);
        }
        // Addresses of servers that left stay until the table is full of them.
        if self.addresses.len() > 2 * MAX_SERVERS && message.kind == UpdateKind::Full {
            self.addresses = message.servers.iter().map(|l| (l.id, l.addr)).collect();
        }
        self.version = Some(message.version);
        let kind = if message.kind == UpdateKind::Full { ListKind::Full } else { ListKind::Delta };
        Ok((kind, entries(now, &message.servers)))
    }

    /// The list a proxy held before it restarted, as it was saved: addresses are known again, the version
    /// is not, so that the whole list is asked for.
    pub fn restore(&mut self, now: Micros, saved: &ListUpdate) -> Vec<ServerEntry> {
        self.addresses = saved.servers.iter().map(|l| (l.id, l.addr)).collect();
        entries(now, &saved.servers)
    }

    /// Forgets the version, so that the whole list is asked for next.
    pub fn forget_version(&mut self) {
        self.version = None;
    }
}

fn entries(now: Micros, lines: &[Endpoint]) -> Vec<ServerEntry> {
    let entry = |line: &Endpoint| ServerEntry {
        id: line.id,
        zone: line.zone,
        build: line.build,
        cell: line.cell,
        status: match line.state {
            EndpointState::Ready => ServerStatus::Ready,
            EndpointState::Draining => ServerStatus::Draining,
            EndpointState::Gone => ServerStatus::Removed,
        },
        size: line.size,
        started_at: line.age_us.map_or(0, |age| now.saturating_sub(age).max(1)),
    };
    lines.iter().map(entry).collect()
}
