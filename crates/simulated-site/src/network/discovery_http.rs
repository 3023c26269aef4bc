//! The roster over HTTP: whole lists, watches, and troubles of both.

use super::state::{Site, rule_state};
use crate::scenario::FaultKind;
use violetseam_invariants::{EndpointListCall, ObservedEvent, ServerStatus};
use violetseam_site_protocol::endpoint_list::{ListUpdate, UpdateKind as ListKind};

impl Site {
    pub(super) fn serve_discovery(&mut self, key: usize) {
        let now = self.clock.now();
        let Some(conn) = self.conns.get_mut(key) else { return };
        let Some(head) = conn.head.take() else { return };
        let query = |name: &str| -> Option<u64> {
            let (_, query) = head.target.split_once('?')?;
            query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let (proxy, since) = (query("proxy").unwrap_or(u64::from(u32::MAX)) as u32, query("since"));
        let watch = head.target.starts_with("/v1/roster/watch");
        if self.active(FaultKind::DiscoveryOutage).is_some()
            || self.cut_off(FaultKind::DiscoveryPartition, proxy)
        {
            // Never answered; the caller gives up.
            return self.see(ObservedEvent::EndpointListCalled { proxy, call: EndpointListCall::Failed });
        }
        if self.active(FaultKind::DiscoveryGarbage).is_some() {
            self.see(ObservedEvent::EndpointListCalled { proxy, call: EndpointListCall::Failed });
            return self.stream(key, &[b"{\"kind\":\"full\",\"version\":", &b"7,]\n"[..]].concat(), true);
        }
        let delta = since.filter(|_| watch).map(|base| {
            let none = ListUpdate { kind: ListKind::Delta, version: base, base, servers: Vec::new() };
            self.roster.delta_since(now, base).unwrap_or(none)
        });
        let mut message = delta.unwrap_or_else(|| self.roster.snapshot(now));
        if self.active(FaultKind::DiscoveryVersionRollback).is_some() {
            message = ListUpdate { version: 1, ..self.roster.snapshot(now) };
        }
        self.see(ObservedEvent::EndpointListCalled {
            proxy,
            call: if watch { EndpointListCall::WatchStarted } else { EndpointListCall::ListFetched },
        });
        self.see_told(proxy, &message);
        self.stream(key, &message.write(), !watch);
        if watch {
            let version = message.version;
            if let Some(conn) = self.conns.get_mut(key) {
                conn.stream = Some((proxy, None, version));
                self.kept.watches.insert(proxy, key);
            }
        }
    }

    fn see_told(&mut self, proxy: u32, message: &ListUpdate) {
        for line in &message.servers {
            let started = self.roster.started_at(line.id);
            let state = rule_state(line.state);
            self.see(ObservedEvent::ServerStatusSent { proxy, server: line.id, status: state, started });
        }
        if message.kind == ListKind::Full {
            // Who is absent from a whole list has left.
            let there: Vec<u64> = message.servers.iter().map(|l| l.id).collect();
            let gone: Vec<u64> = (1..=self.machines.keys().next_back().copied().unwrap_or(0)).collect();
            for server in gone.into_iter().filter(|id| !there.contains(id)) {
                self.see(ObservedEvent::ServerStatusSent {
                    proxy,
                    server,
                    status: ServerStatus::Removed,
                    started: None,
                });
            }
        }
    }

    /// What changed goes to those who watch.
    pub(super) fn tell_roster(&mut self, now: u64) {
        if self.active(FaultKind::DiscoveryOutage).is_some()
            || self.active(FaultKind::DiscoveryVersionRollback).is_some()
        {
            return;
        }
        let watches: Vec<(u32, usize)> = self.kept.watches.iter().map(|(p, k)| (*p, *k)).collect();
        for (proxy, key) in watches {
            let Some((_, _, held)) = self.conns.get(key).and_then(|c| c.stream) else { continue };
            let Some(message) = self.roster.delta_since(now, held) else { continue };
            self.see_told(proxy, &message);
            if let Some(conn) = self.conns.get_mut(key) {
                conn.stream = Some((proxy, None, message.version));
            }
            self.stream_more(key, &message.write());
        }
    }

    /// A trouble of the roster begins.
    pub(super) fn trouble_roster(&mut self, kind: FaultKind) {
        let now = self.clock.now();
        let watches: Vec<usize> = self.kept.watches.values().copied().collect();
        for key in watches {
            match kind {
                FaultKind::DiscoveryGarbage => self.stream_more(key, b"\xff\xfe not a list\n"),
                FaultKind::DiscoveryVersionRollback => {
                    let old = ListUpdate { version: 1, ..self.roster.snapshot(now) };
                    self.stream_more(key, &old.write());
                }
                _ => self.close(key),
            }
        }
    }
}
