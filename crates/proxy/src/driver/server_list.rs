//! The server list of this proxy: the servers' addresses for the driver, and the entries that are saved to
//! disk and reported to operators.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use violetseam::interface::{Build, ListKind, Micros, ServerEntry, ServerId};
use violetseam_site_protocol::MessageError;
use violetseam_site_protocol::endpoint_list::{
    AppliedUpdate, Endpoint, EndpointList, EndpointState, ListUpdate, UpdateKind,
};

/// A change of the list, in the types of the decision module.
pub(super) struct ListChange {
    /// Whether the entries are the complete list or only those that changed.
    pub(super) kind: ListKind,
    /// The entries that changed, or all entries.
    pub(super) entries: Vec<ServerEntry>,
}

/// An entry of the list, and the time when it was received.
struct ListedServer {
    received_at: Micros,
    endpoint: Endpoint,
}

/// The server list of one proxy.
#[derive(Default)]
pub(super) struct ServerList {
    endpoints: EndpointList,
    /// The entries as discovery reported them.
    listed: BTreeMap<ServerId, ListedServer>,
    /// Whether the list has changed since it was saved.
    is_unsaved: bool,
    received_at: Option<Micros>,
}

impl ServerList {
    /// Returns the version of the list, or `None` before the first update.
    pub(super) fn version(&self) -> Option<u64> {
        self.endpoints.version()
    }

    /// Returns the address that a server listens on. The address stays known after the server has left the
    /// list, because attempts may still be in flight.
    pub(super) fn address(&self, id: ServerId) -> Option<SocketAddr> {
        self.endpoints.address(id)
    }

    /// Returns the build that a server is listed with.
    pub(super) fn build(&self, id: ServerId) -> Option<Build> {
        self.listed.get(&id).map(|server| server.endpoint.build)
    }

    /// Returns how many servers are listed.
    pub(super) fn len(&self) -> usize {
        self.listed.len()
    }

    /// Returns the time when the latest update was received.
    pub(super) fn received_at(&self) -> Option<Micros> {
        self.received_at
    }

    /// Applies an update to the list.
    ///
    /// # Errors
    ///
    /// Returns an error if the update does not apply to the version that the list has. The list then stays as
    /// it was.
    pub(super) fn apply(&mut self, now: Micros, update: ListUpdate) -> Result<ListChange, MessageError> {
        let applied = self.endpoints.apply(now, &update);
        if applied.is_err() && update.kind == UpdateKind::Delta {
            // Whichever update discovery lost, the complete list is fetched next. It must be newer than this
            // copy, so its version is not compared with the copy's.
            self.endpoints.forget_version();
        }
        let AppliedUpdate { kind, entries } = applied?;
        if kind == ListKind::Full {
            self.listed.clear();
        }
        for endpoint in update.servers {
            if endpoint.state == EndpointState::Gone {
                self.listed.remove(&endpoint.id);
            } else {
                self.listed.insert(endpoint.id, ListedServer { received_at: now, endpoint });
            }
        }
        self.is_unsaved = true;
        self.received_at = Some(now);
        Ok(ListChange { kind, entries })
    }

    /// Sets the listed entries to those of a saved list. [`ServerList::restore`] makes their addresses known.
    pub(super) fn set_saved_entries(&mut self, now: Micros, saved: &ListUpdate) {
        let as_listed = |endpoint: &Endpoint| ListedServer { received_at: now, endpoint: endpoint.clone() };
        self.listed = saved.servers.iter().map(|endpoint| (endpoint.id, as_listed(endpoint))).collect();
    }

    /// Makes the addresses of a saved list known. The version stays unknown, so that the complete list is
    /// fetched.
    pub(super) fn restore(&mut self, now: Micros, saved: &ListUpdate) -> Vec<ServerEntry> {
        self.endpoints.restore(now, saved)
    }

    /// Returns the list as one update that can be saved, with the servers' ages at `now`.
    pub(super) fn snapshot(&self, now: Micros) -> ListUpdate {
        let with_current_age = |ListedServer { received_at, endpoint }: &ListedServer| Endpoint {
            age_us: endpoint.age_us.map(|age| age + now.saturating_sub(*received_at)),
            ..endpoint.clone()
        };
        ListUpdate {
            kind: UpdateKind::Full,
            version: self.version().unwrap_or(0),
            base: 0,
            servers: self.listed.values().map(with_current_age).collect(),
        }
    }

    /// Whether the list has changed since it was saved.
    pub(super) fn is_unsaved(&self) -> bool {
        self.is_unsaved
    }

    /// Like [`ServerList::is_unsaved`], and marks the list as saved.
    pub(super) fn take_unsaved(&mut self) -> bool {
        std::mem::take(&mut self.is_unsaved)
    }
}
