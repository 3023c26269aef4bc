//! The server list as this proxy has it: addresses for the driver, and the entries to be saved and reported.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use violetseam::interface::{Build, ListKind, Micros, ServerEntry, ServerId};
use violetseam_site_protocol::MessageError;
use violetseam_site_protocol::endpoint_list::{
    AppliedUpdate, Endpoint, EndpointList, EndpointState, ListUpdate, UpdateKind,
};

/// A change of the list, in the decision module's terms.
pub(super) struct ListChange {
    /// Whether the entries are the complete list.
    pub(super) kind: ListKind,
    /// The entries that changed, or all.
    pub(super) entries: Vec<ServerEntry>,
}

/// An entry of the list, and when it was received.
struct ListedServer {
    received_at: Micros,
    endpoint: Endpoint,
}

/// The server list of one proxy.
#[derive(Default)]
pub(super) struct ServerList {
    endpoints: EndpointList,
    /// The entries as discovery stated them.
    listed: BTreeMap<ServerId, ListedServer>,
    /// The list has changed since it was saved.
    is_unsaved: bool,
    received_at: Option<Micros>,
}

impl ServerList {
    /// The version of the list; none before the first update.
    pub(super) fn version(&self) -> Option<u64> {
        self.endpoints.version()
    }

    /// Where a server listens; known also after it has left, as attempts may still be in flight.
    pub(super) fn address(&self, id: ServerId) -> Option<SocketAddr> {
        self.endpoints.address(id)
    }

    /// The build that a server is listed with.
    pub(super) fn build(&self, id: ServerId) -> Option<Build> {
        self.listed.get(&id).map(|server| server.endpoint.build)
    }

    /// How many servers are listed.
    pub(super) fn len(&self) -> usize {
        self.listed.len()
    }

    /// When the latest update was received.
    pub(super) fn received_at(&self) -> Option<Micros> {
        self.received_at
    }

    /// Applies an update.
    ///
    /// # Errors
    ///
    /// If it does not fit the version that the list has; the list stays as it was.
    pub(super) fn apply(&mut self, now: Micros, update: ListUpdate) -> Result<ListChange, MessageError> {
        let applied = self.endpoints.apply(now, &update);
        if applied.is_err() && update.kind == UpdateKind::Delta {
            // Whatever discovery lost, its complete list is fetched next and must be newer.
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

    /// Lists the servers of a saved list; [`ServerList::restore`] makes their addresses known.
    pub(super) fn list_saved(&mut self, now: Micros, saved: &ListUpdate) {
        let listed = |endpoint: &Endpoint| ListedServer { received_at: now, endpoint: endpoint.clone() };
        self.listed = saved.servers.iter().map(|endpoint| (endpoint.id, listed(endpoint))).collect();
    }

    /// Makes a saved list's addresses known; the version is not, so that the complete list is fetched.
    pub(super) fn restore(&mut self, now: Micros, saved: &ListUpdate) -> Vec<ServerEntry> {
        self.endpoints.restore(now, saved)
    }

    /// The list as one update that can be saved, with the servers' ages at this moment.
    pub(super) fn snapshot(&self, now: Micros) -> ListUpdate {
        let aged = |ListedServer { received_at, endpoint }: &ListedServer| Endpoint {
            age_us: endpoint.age_us.map(|age| age + now.saturating_sub(*received_at)),
            ..endpoint.clone()
        };
        ListUpdate {
            kind: UpdateKind::Full,
            version: self.version().unwrap_or(0),
            base: 0,
            servers: self.listed.values().map(aged).collect(),
        }
    }

    /// Whether the list has changed since it was saved.
    pub(super) fn is_unsaved(&self) -> bool {
        self.is_unsaved
    }

    /// The same, after which it counts as saved.
    pub(super) fn take_unsaved(&mut self) -> bool {
        std::mem::take(&mut self.is_unsaved)
    }
}
