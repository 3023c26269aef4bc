//! The simulated discovery service's list of servers: changes become visible late, and readers get the
//! complete list or what changed.

use std::collections::BTreeMap;
use violetseam_site_protocol::endpoint_list::{Endpoint, EndpointState, ListUpdate, UpdateKind};

/// A server on the list.
#[derive(Clone, Debug)]
struct ListedEndpoint {
    endpoint: Endpoint,
    /// When the server started; 0: long ago.
    started_at: u64,
    /// Version of the list that changed it last.
    changed_in: u64,
}

/// A change that is not visible yet.
#[derive(Clone, Debug)]
struct ScheduledChange {
    endpoint: Endpoint,
    started_at: u64,
}

/// A server whose entry changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointChange {
    /// The server.
    pub server: u64,
    /// Its state now.
    pub state: EndpointState,
}

/// The list of servers.
#[derive(Debug)]
pub struct EndpointRegistry {
    version: u64,
    endpoints: BTreeMap<u64, ListedEndpoint>,
    /// By time and order.
    scheduled: BTreeMap<(u64, u64), ScheduledChange>,
    changes: u64,
}

impl Default for EndpointRegistry {
    fn default() -> Self {
        EndpointRegistry { version: 1, endpoints: BTreeMap::new(), scheduled: BTreeMap::new(), changes: 0 }
    }
}

impl EndpointRegistry {
    /// Schedules an entry that becomes visible at a time. `started_at` is when the server started; 0: long
    /// ago.
    pub fn schedule_change(&mut self, visible_at: u64, endpoint: Endpoint, started_at: u64) {
        self.changes += 1;
        self.scheduled.insert((visible_at, self.changes), ScheduledChange { endpoint, started_at });
    }

    /// When the list changes next.
    pub fn next_change(&self) -> Option<u64> {
        self.scheduled.keys().next().map(|key| key.0)
    }

    /// Makes the changes visible that are due, and returns them.
    pub fn apply_due(&mut self, now: u64) -> Vec<EndpointChange> {
        let mut applied = Vec::new();
        while self.next_change().is_some_and(|at| at <= now) {
            let Some((_, ScheduledChange { endpoint, started_at })) = self.scheduled.pop_first() else {
                break;
            };
            self.version += 1;
            applied.push(EndpointChange { server: endpoint.id, state: endpoint.state });
            let listed = ListedEndpoint { endpoint, started_at, changed_in: self.version };
            self.endpoints.insert(listed.endpoint.id, listed);
        }
        applied
    }

    /// The list's version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// When a listed server started, according to the list.
    pub fn started_at(&self, server: u64) -> Option<u64> {
        self.endpoints.get(&server).map(|listed| listed.started_at)
    }

    /// The complete list.
    pub fn snapshot(&self, now: u64) -> ListUpdate {
        let present = self.endpoints.values().filter(|listed| listed.endpoint.state != EndpointState::Gone);
        let servers = present.map(|listed| listed.with_age(now)).collect();
        ListUpdate { kind: UpdateKind::Full, version: self.version, base: 0, servers }
    }

    /// What has changed since a version, if anything.
    pub fn delta_since(&self, now: u64, base: u64) -> Option<ListUpdate> {
        if base >= self.version {
            return None;
        }
        let changed = self.endpoints.values().filter(|listed| listed.changed_in > base);
        let servers = changed.map(|listed| listed.with_age(now)).collect();
        Some(ListUpdate { kind: UpdateKind::Delta, version: self.version, base, servers })
    }
}

impl ListedEndpoint {
    /// The entry as it is sent at a time.
    fn with_age(&self, now: u64) -> Endpoint {
        let age = (self.started_at > 0).then(|| now.saturating_sub(self.started_at));
        Endpoint { age_us: age, ..self.endpoint.clone() }
    }
}
