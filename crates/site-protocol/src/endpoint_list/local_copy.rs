//! A proxy's copy of the endpoint list.

use super::MAX_SERVERS;
use super::update::{Endpoint, EndpointState, ListUpdate, UpdateKind};
use crate::MessageError;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use violetseam::interface::{ListKind, Micros, ServerEntry, ServerId, ServerStatus};

/// Addresses of removed servers are forgotten at the next full list once there are more than this.
const MAX_REMEMBERED_ADDRESSES: usize = 2 * MAX_SERVERS;

/// An applied update, in the form in which the decision module gets it.
#[derive(Clone, Debug)]
pub struct AppliedUpdate {
    /// Whether the entries are all servers or those that changed.
    pub kind: ListKind,
    /// The servers.
    pub entries: Vec<ServerEntry>,
}

/// A proxy's copy of the endpoint list: its version, and the servers' addresses.
#[derive(Debug, Default)]
pub struct EndpointList {
    version: Option<u64>,
    addresses: BTreeMap<ServerId, SocketAddr>,
}

impl EndpointList {
    /// The version in force, to request the changes since.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Where a server listens. Known also after its removal, as attempts may still be in flight.
    pub fn address(&self, id: ServerId) -> Option<SocketAddr> {
        self.addresses.get(&id).copied()
    }

    /// Applies an update that arrived at `now`. An error leaves the list as it was. A version that goes back
    /// is an error: it comes from a discovery service that lost its state, and following it would bring back
    /// servers that have drained since.
    ///
    /// # Errors
    /// [`MessageError`] if the update does not apply to the version in force.
    pub fn apply(&mut self, now: Micros, update: &ListUpdate) -> Result<AppliedUpdate, MessageError> {
        self.check_version(update)?;
        let addresses = update.servers.iter().map(|endpoint| (endpoint.id, endpoint.addr));
        self.addresses.extend(addresses.clone());
        if self.addresses.len() > MAX_REMEMBERED_ADDRESSES && update.kind == UpdateKind::Full {
            self.addresses = addresses.collect();
        }
        self.version = Some(update.version);
        let kind = match update.kind {
            UpdateKind::Full => ListKind::Full,
            UpdateKind::Delta => ListKind::Delta,
        };
        Ok(AppliedUpdate { kind, entries: server_entries(now, &update.servers) })
    }

    fn check_version(&self, update: &ListUpdate) -> Result<(), MessageError> {
        let current = self.version.unwrap_or(0);
        if update.version < current {
            return Err(MessageError::VersionRegressed { received: update.version, current });
        }
        if update.kind == UpdateKind::Delta && self.version != Some(update.base) {
            return Err(MessageError::BaseMismatch { base: update.base, current });
        }
        Ok(())
    }

    /// Restores the list that was saved before a restart. The addresses are known again; the version is not,
    /// so that the full list is requested.
    pub fn restore(&mut self, now: Micros, saved: &ListUpdate) -> Vec<ServerEntry> {
        self.addresses = saved.servers.iter().map(|endpoint| (endpoint.id, endpoint.addr)).collect();
        server_entries(now, &saved.servers)
    }

    /// Forgets the version, so that the full list is requested next.
    pub fn forget_version(&mut self) {
        self.version = None;
    }
}

fn server_entries(now: Micros, endpoints: &[Endpoint]) -> Vec<ServerEntry> {
    endpoints.iter().map(|endpoint| server_entry(now, endpoint)).collect()
}

fn server_entry(now: Micros, endpoint: &Endpoint) -> ServerEntry {
    let status = match endpoint.state {
        EndpointState::Ready => ServerStatus::Ready,
        EndpointState::Draining => ServerStatus::Draining,
        EndpointState::Gone => ServerStatus::Removed,
    };
    ServerEntry {
        id: endpoint.id,
        zone: endpoint.zone,
        build: endpoint.build,
        cell: endpoint.cell,
        status,
        size: endpoint.size,
        started_at: endpoint.age_us.map_or(0, |age| now.saturating_sub(age).max(1)),
    }
}
