//! The HTTP interface of discovery: complete endpoint lists, watches of the list, and the faults of both.

use super::connection::Watch;
use super::state::{Site, recorded_status};
use super::streams::ResponseEnd;
use crate::scenario::FaultKind;
use violetseam_invariants::ObservedEvent;
use violetseam_invariants::{EndpointListCall, ServerStatus};
use violetseam_site_protocol::endpoint_list::{ListUpdate, UpdateKind};

/// The prefix of the path of a watch request.
const WATCH_PATH: &str = "/v1/roster/watch";
/// An endpoint list that cannot be parsed.
const MALFORMED_LIST: &[u8] = b"{\"kind\":\"full\",\"version\":7,]\n";
/// A line on a watch that cannot be parsed.
const MALFORMED_LINE: &[u8] = b"\xff\xfe not a list\n";
/// The version of a list that is lower than the versions sent before it.
const ROLLED_BACK_VERSION: u64 = 1;

/// A request for the endpoint list or for a watch of it.
struct ListQuery {
    proxy: u32,
    /// The version of the list that the proxy has already.
    since: Option<u64>,
    is_watch: bool,
}

impl ListQuery {
    fn parse(target: &str) -> ListQuery {
        let parameter = |name: &str| -> Option<u64> {
            let (_, query) = target.split_once('?')?;
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        ListQuery {
            proxy: parameter("proxy").unwrap_or(u64::from(u32::MAX)) as u32,
            since: parameter("since"),
            is_watch: target.starts_with(WATCH_PATH),
        }
    }
}

impl Site {
    pub(super) fn serve_discovery(&mut self, key: usize) {
        let now = self.clock.now();
        let Some(connection) = self.connections.get_mut(key) else { return };
        let Some(head) = connection.head.take() else { return };
        let query = ListQuery::parse(&head.target);
        let proxy = query.proxy;
        let is_unreachable = self.is_active(FaultKind::DiscoveryOutage)
            || self.is_partitioned(FaultKind::DiscoveryPartition, proxy);
        if is_unreachable {
            // The request is never answered, so the proxy runs into its timeout.
            return self.record(ObservedEvent::EndpointListCalled { proxy, call: EndpointListCall::Failed });
        }
        if self.is_active(FaultKind::DiscoveryGarbage) {
            self.record(ObservedEvent::EndpointListCalled { proxy, call: EndpointListCall::Failed });
            return self.start_response(key, MALFORMED_LIST, ResponseEnd::Complete);
        }
        self.send_list(now, key, &query);
    }

    fn send_list(&mut self, now: u64, key: usize, query: &ListQuery) {
        let ListQuery { proxy, is_watch, .. } = *query;
        let update = self.list_update(now, query);
        let call = if is_watch { EndpointListCall::WatchStarted } else { EndpointListCall::ListFetched };
        self.record(ObservedEvent::EndpointListCalled { proxy, call });
        self.record_list(proxy, &update);
        let end = if is_watch { ResponseEnd::Open } else { ResponseEnd::Complete };
        self.start_response(key, &update.write(), end);
        if !is_watch {
            return;
        }
        if let Some(connection) = self.connections.get_mut(key) {
            connection.watch = Some(Watch::Endpoints { proxy, version: update.version });
            self.pending.endpoint_watches.insert(proxy, key);
        }
    }

    /// Returns the list with which a query is answered. A watch that states a version starts with a delta
    /// from that version, which may be empty. Every other query gets the complete list.
    fn list_update(&self, now: u64, query: &ListQuery) -> ListUpdate {
        if self.is_active(FaultKind::DiscoveryVersionRollback) {
            return self.rolled_back_list(now);
        }
        let Some(base) = query.since.filter(|_| query.is_watch) else { return self.registry.snapshot(now) };
        self.registry.delta_since(now, base).unwrap_or(ListUpdate {
            kind: UpdateKind::Delta,
            version: base,
            base,
            servers: Vec::new(),
        })
    }

    fn rolled_back_list(&self, now: u64) -> ListUpdate {
        ListUpdate { version: ROLLED_BACK_VERSION, ..self.registry.snapshot(now) }
    }

    /// Records the status of each server as a list states it to a proxy.
    fn record_list(&mut self, proxy: u32, update: &ListUpdate) {
        for endpoint in &update.servers {
            let started = self.registry.started_at(endpoint.id);
            let status = recorded_status(endpoint.state);
            self.record(ObservedEvent::ServerStatusSent { proxy, server: endpoint.id, status, started });
        }
        if update.kind == UpdateKind::Full {
            self.record_absent_servers(proxy, update);
        }
    }

    /// Records as removed each server that is missing from a complete list.
    fn record_absent_servers(&mut self, proxy: u32, update: &ListUpdate) {
        let listed: Vec<u64> = update.servers.iter().map(|endpoint| endpoint.id).collect();
        let last_server = self.servers.keys().next_back().copied().unwrap_or(0);
        for server in (1..=last_server).filter(|id| !listed.contains(id)) {
            self.record(ObservedEvent::ServerStatusSent {
                proxy,
                server,
                status: ServerStatus::Removed,
                started: None,
            });
        }
    }

    /// Sends the changes since the last update on each watch.
    pub(super) fn notify_endpoint_watches(&mut self, now: u64) {
        let is_suspended =
            self.is_active(FaultKind::DiscoveryOutage) || self.is_active(FaultKind::DiscoveryVersionRollback);
        if is_suspended {
            return;
        }
        let keys: Vec<usize> = self.pending.endpoint_watches.values().copied().collect();
        for key in keys {
            let watch = self.connections.get(key).and_then(|connection| connection.watch);
            let Some(Watch::Endpoints { proxy, version }) = watch else { continue };
            let Some(update) = self.registry.delta_since(now, version) else { continue };
            self.record_list(proxy, &update);
            if let Some(connection) = self.connections.get_mut(key) {
                connection.watch = Some(Watch::Endpoints { proxy, version: update.version });
            }
            self.continue_response(key, &update.write());
        }
    }

    /// Disrupts all watches when a fault of discovery begins: sends a malformed line or an older version, or
    /// closes them.
    pub(super) fn disrupt_endpoint_watches(&mut self, kind: FaultKind) {
        let now = self.clock.now();
        let keys: Vec<usize> = self.pending.endpoint_watches.values().copied().collect();
        for key in keys {
            match kind {
                FaultKind::DiscoveryGarbage => self.continue_response(key, MALFORMED_LINE),
                FaultKind::DiscoveryVersionRollback => {
                    let update = self.rolled_back_list(now);
                    self.continue_response(key, &update.write());
                }
                _ => self.close(key),
            }
        }
    }
}
