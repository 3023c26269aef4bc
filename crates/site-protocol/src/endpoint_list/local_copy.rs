//! A proxy's local copy of the endpoint list.

use super::MAX_SERVERS;
use super::update::{Endpoint, EndpointState, ListUpdate, UpdateKind};
use crate::MessageError;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use violetseam::interface::{ListKind, Micros, ServerEntry, ServerId, ServerStatus};

/// Once the copy has more addresses than this, the proxy requests the full list, which drops the addresses of
/// removed servers.
const MAX_REMEMBERED_ADDRESSES: usize = 2 * MAX_SERVERS;

/// An update that was applied, in the form for the decision module.
#[derive(Clone, Debug)]
pub struct AppliedUpdate {
    /// Whether the entries are all servers, or only those that changed.
    pub kind: ListKind,
    /// The servers of the update.
    pub entries: Vec<ServerEntry>,
}

/// A proxy's local copy of the endpoint list. It has the list's version and the addresses of the servers.
#[derive(Debug, Default)]
pub struct EndpointList {
    version: Option<u64>,
    addresses: BTreeMap<ServerId, SocketAddr>,
}

impl EndpointList {
    /// The current version, from which the proxy requests changes. It is none if the full list is needed.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Returns the address on which a server listens. The address of a removed server is still known, because
    /// attempts to it may be in flight.
    pub fn address(&self, id: ServerId) -> Option<SocketAddr> {
        self.addresses.get(&id).copied()
    }

    /// Applies an update that arrived at `now`. After an error the list is unchanged. An older version than
    /// the current one is an error: it comes from a discovery service that has lost its state, and would
    /// restore servers that have drained since.
    ///
    /// # Errors
    /// [`MessageError`] if the update does not apply to the current version.
    pub fn apply(&mut self, now: Micros, update: &ListUpdate) -> Result<AppliedUpdate, MessageError> {
        self.check_version(update)?;
        let addresses = update.servers.iter().map(|endpoint| (endpoint.id, endpoint.addr));
        self.addresses.extend(addresses.clone());
        self.version = Some(update.version);
        if self.addresses.len() > MAX_REMEMBERED_ADDRESSES {
            match update.kind {
                UpdateKind::Full => self.addresses = addresses.collect(),
                UpdateKind::Delta => self.forget_version(),
            }
        }
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

    /// Restores the list that was saved before a restart. Only the addresses are restored, not the version,
    /// so that the proxy requests the full list.
    pub fn restore(&mut self, now: Micros, saved: &ListUpdate) -> Vec<ServerEntry> {
        self.addresses = saved.servers.iter().map(|endpoint| (endpoint.id, endpoint.addr)).collect();
        server_entries(now, &saved.servers)
    }

    /// Clears the version, so that the proxy requests the full list next.
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
        started_at: endpoint.age_us.map_or(0, |age_us| now.saturating_sub(age_us).max(1)),
    }
}
