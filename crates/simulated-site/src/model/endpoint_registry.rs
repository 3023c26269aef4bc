//! The endpoint list of the simulated discovery service. Changes become visible after a delay. Readers get
//! the complete list, or the changes since a version.

use std::collections::BTreeMap;
use violetseam_site_protocol::endpoint_list::{Endpoint, EndpointState, ListUpdate, UpdateKind};

/// A server's entry on the endpoint list.
#[derive(Clone, Debug)]
struct ListedEndpoint {
    endpoint: Endpoint,
    /// When the server started; 0 if it has been running for long.
    started_at: u64,
    /// Version of the list in which the entry changed last.
    changed_in: u64,
}

/// A change of an entry that is not visible yet.
#[derive(Clone, Debug)]
struct ScheduledChange {
    endpoint: Endpoint,
    started_at: u64,
}

/// A change of a server's entry that has become visible.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointChange {
    /// The server's id.
    pub server: u64,
    /// The server's state after the change.
    pub state: EndpointState,
}

/// The endpoint list, with the changes that are not visible yet.
#[derive(Debug)]
pub struct EndpointRegistry {
    version: u64,
    endpoints: BTreeMap<u64, ListedEndpoint>,
    /// Changes that are not visible yet, by the time when they become visible and the order of scheduling.
    scheduled: BTreeMap<(u64, u64), ScheduledChange>,
    /// Number of changes scheduled so far.
    scheduled_count: u64,
}

impl Default for EndpointRegistry {
    fn default() -> Self {
        EndpointRegistry {
            version: 1,
            endpoints: BTreeMap::new(),
            scheduled: BTreeMap::new(),
            scheduled_count: 0,
        }
    }
}

impl EndpointRegistry {
    /// Schedules a change of an entry that becomes visible at a time. `started_at` is when the server
    /// started; 0 if it has been running for long.
    pub fn schedule_change(&mut self, visible_at: u64, endpoint: Endpoint, started_at: u64) {
        self.scheduled_count += 1;
        self.scheduled.insert((visible_at, self.scheduled_count), ScheduledChange { endpoint, started_at });
    }

    /// When the next change becomes visible, if one is scheduled.
    pub fn next_change(&self) -> Option<u64> {
        self.scheduled.keys().next().map(|key| key.0)
    }

    /// Makes all changes that are due visible, and returns them.
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

    /// The version of the list, which each visible change increases by 1.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// When a listed server started, according to the list.
    pub fn started_at(&self, server: u64) -> Option<u64> {
        self.endpoints.get(&server).map(|listed| listed.started_at)
    }

    /// The complete list as it is sent at a time, without servers that are gone.
    pub fn snapshot(&self, now: u64) -> ListUpdate {
        let listed_servers =
            self.endpoints.values().filter(|listed| listed.endpoint.state != EndpointState::Gone);
        let servers = listed_servers.map(|listed| listed.with_age(now)).collect();
        ListUpdate { kind: UpdateKind::Full, version: self.version, base: 0, servers }
    }

    /// The entries that have changed since the version `base`. Returns `None` if none have.
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
    /// The entry as it is sent at a time, with the server's age if its start is known.
    fn with_age(&self, now: u64) -> Endpoint {
        let age = (self.started_at > 0).then(|| now.saturating_sub(self.started_at));
        Endpoint { age_us: age, ..self.endpoint.clone() }
    }
}
