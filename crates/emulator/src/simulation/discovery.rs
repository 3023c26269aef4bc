//! The discovery service, which sends the endpoint list and its changes to the proxies.

use super::{ListScope, Simulation};
use crate::cluster::{NETWORK_LATENCY, server_status};
use crate::event_queue::SimulationEvent;
use violetseam::interface as decisions;
use violetseam_invariants::{EndpointListCall, ObservedEvent, ServerStatus};
use violetseam_site_protocol::endpoint_list::{ListUpdate, UpdateKind};

impl Simulation {
    /// Applies the changes of the list that are due, and sends them to the proxies that watch it.
    pub(super) fn on_endpoint_list_change(&mut self) {
        let now = self.cluster.now;
        let changes = self.cluster.endpoints.apply_due(now);
        for change in &changes {
            let status = server_status(change.state);
            self.cluster.observe(ObservedEvent::ServerListed { server: change.server, status });
        }
        if changes.is_empty() {
            return;
        }
        for (position, proxy) in self.proxies.iter().enumerate() {
            if proxy.watching && proxy.list_version.is_some() {
                let event = SimulationEvent::EndpointList { proxy: position, scope: ListScope::Changes };
                self.cluster.queue.schedule(now + NETWORK_LATENCY, event);
            }
        }
    }

    /// Sends the complete list, or the changes since the proxy's version, to a proxy. Sends nothing if there
    /// are no changes.
    pub(super) fn send_endpoint_list(&mut self, proxy: usize, scope: ListScope) {
        let now = self.cluster.now;
        let version = self.proxies[proxy].list_version;
        let update = match version.filter(|_| scope == ListScope::Changes) {
            Some(version) => self.cluster.endpoints.delta_since(now, version),
            None => Some(self.cluster.endpoints.snapshot(now)),
        };
        let Some(update) = update else { return };
        if scope == ListScope::Full {
            let starts_watch = self.proxies[proxy].watching && version.is_none();
            let call =
                if starts_watch { EndpointListCall::WatchStarted } else { EndpointListCall::ListFetched };
            self.cluster.observe(ObservedEvent::EndpointListCalled { proxy: proxy as u32, call });
        }
        self.observe_sent_statuses(proxy, &update);
        self.proxies[proxy].list_version = Some(update.version);
        self.apply_update(proxy, &update);
        self.run_engine_actions(proxy);
    }

    /// Records for the invariant checker the status of each server that an update tells a proxy.
    fn observe_sent_statuses(&mut self, position: usize, update: &ListUpdate) {
        let proxy = position as u32;
        for endpoint in &update.servers {
            let server = endpoint.id;
            let started = self.cluster.endpoints.started_at(server);
            let status = server_status(endpoint.state);
            self.cluster.observe(ObservedEvent::ServerStatusSent { proxy, server, status, started });
        }
        if update.kind == UpdateKind::Full {
            // A server that is missing from the complete list counts as removed.
            let present: Vec<u64> = update.servers.iter().map(|endpoint| endpoint.id).collect();
            for server in (1..self.cluster.next_server).filter(|server| !present.contains(server)) {
                let status = ServerStatus::Removed;
                self.cluster.observe(ObservedEvent::ServerStatusSent {
                    proxy,
                    server,
                    status,
                    started: None,
                });
            }
        }
    }

    /// Applies an update to the proxy's list. If it does not apply, the engine gets a failure and fetches the
    /// list again, as with the real driver.
    fn apply_update(&mut self, proxy: usize, update: &ListUpdate) {
        let now = self.cluster.now;
        let proxy = &mut self.proxies[proxy];
        match proxy.endpoint_list.apply(now, update) {
            Ok(applied) => proxy.engine.on_server_list(now, applied.kind, &applied.entries),
            Err(_) => {
                proxy.endpoint_list.forget_version();
                proxy.engine.on_server_list(now, decisions::ListKind::Failed, &[]);
            }
        }
    }
}
