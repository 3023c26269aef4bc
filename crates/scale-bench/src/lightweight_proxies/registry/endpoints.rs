//! The registry's list of servers: their changes, and the messages about it.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use violetseam_simulated_site::model::endpoint_registry::EndpointRegistry;
use violetseam_site_protocol::endpoint_list::{Endpoint, EndpointState, ListUpdate, UpdateKind};

/// The build that all listed servers run.
pub(super) const BUILD: u16 = 1;
const PORT: u16 = 8_080;
const ZONES: usize = 11;
const CELLS: usize = 40;
/// Hosts of one subnet of 127.1.0.0/16.
const HOSTS_PER_SUBNET: usize = 250;

/// Which message about the list: two of the same kind, base and version are the same bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct MessageKey {
    kind: UpdateKind,
    /// The version that a delta begins at; 0 for a complete list.
    base: u64,
    /// The list's version.
    version: u64,
}

/// A message as it was last written.
struct CachedMessage {
    key: MessageKey,
    line: Rc<Vec<u8>>,
}

/// The list of servers.
pub(super) struct Endpoints {
    list: EndpointRegistry,
    servers: usize,
    /// Changes so far: the servers change in turn.
    changes: usize,
    cached: Option<CachedMessage>,
}

impl Endpoints {
    /// A list of so many ready servers.
    pub(super) fn new(servers: usize) -> Endpoints {
        let mut list = EndpointRegistry::default();
        for number in 0..servers {
            list.schedule_change(0, endpoint(number, EndpointState::Ready), 0);
        }
        list.apply_due(0);
        Endpoints { list, servers, changes: 0, cached: None }
    }

    /// The list's version.
    pub(super) fn version(&self) -> u64 {
        self.list.version()
    }

    /// The next servers in turn drain; those that drained before are ready again.
    pub(super) fn change(&mut self, count: usize) {
        let now = self.list.version();
        for _ in 0..count.min(self.servers) {
            let number = self.changes % self.servers;
            let round = self.changes / self.servers;
            let state = if round.is_multiple_of(2) { EndpointState::Draining } else { EndpointState::Ready };
            self.list.schedule_change(now, endpoint(number, state), 0);
            self.changes += 1;
        }
        self.list.apply_due(now);
    }

    /// The line for a caller: what changed since a version, or the complete list if none is given.
    pub(super) fn message(&mut self, since: Option<u64>) -> Rc<Vec<u8>> {
        let version = self.list.version();
        let key = match since {
            Some(base) => MessageKey { kind: UpdateKind::Delta, base, version },
            None => MessageKey { kind: UpdateKind::Full, base: 0, version },
        };
        if let Some(cached) = self.cached.as_ref().filter(|cached| cached.key == key) {
            return cached.line.clone();
        }
        let update = match since {
            Some(base) => self.list.delta_since(0, base).unwrap_or_else(|| empty_delta(base)),
            None => self.list.snapshot(0),
        };
        let line = Rc::new(update.write());
        self.cached = Some(CachedMessage { key, line: line.clone() });
        line
    }
}

fn empty_delta(version: u64) -> ListUpdate {
    ListUpdate { kind: UpdateKind::Delta, version, base: version, servers: Vec::new() }
}

fn endpoint(number: usize, state: EndpointState) -> Endpoint {
    let subnet = (number / HOSTS_PER_SUBNET) as u8;
    let host = Ipv4Addr::new(127, 1, subnet, (number % HOSTS_PER_SUBNET) as u8 + 1);
    Endpoint {
        id: number as u64 + 1,
        addr: SocketAddr::new(host.into(), PORT),
        build: BUILD,
        state,
        zone: (number % ZONES) as u16,
        cell: (number % CELLS) as u16,
        size: 1.0,
        age_us: None,
    }
}
