//! How the site writes to connections, cuts them off and closes them.

use super::connection::{Connection, DelayedAction, Role, Watch};
use super::state::Site;
use crate::scenario::{Fault, FaultKind};
use http::StatusCode;
use violetseam_http1::Framing;
use violetseam_http1::server::ResponseStart;
use violetseam_invariants::EndpointListCall;
use violetseam_invariants::{AttemptOutcome, ObservedEvent};

/// Whether a response is complete once the given lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseEnd {
    /// The response ends with these lines.
    Complete,
    /// The response stays open, and further lines follow.
    Open,
}

impl Site {
    pub(super) fn flush(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        if connection.socket.flush().is_err() {
            return self.close(key);
        }
        connection.socket.set_read_interest(&self.handle, true);
    }

    pub(super) fn close(&mut self, key: usize) {
        if !self.connections.contains(key) {
            return;
        }
        let connection = self.connections.remove(key);
        connection.socket.remove(&self.handle);
        if let Some(attempt) = connection.attempt {
            self.pending.attempts.remove(&attempt);
            self.record_end(attempt, AttemptOutcome::Lost);
        }
        match connection.role {
            Role::Server(server) => self.on_server_connection_closed(server, connection.attempt),
            Role::Discovery => self.on_discovery_connection_closed(key, connection.watch),
            Role::ReleaseService => {}
        }
    }

    fn on_server_connection_closed(&mut self, server: u64, attempt: Option<u64>) {
        let Some(server) = self.servers.get_mut(&server) else { return };
        if let Some(attempt) = attempt {
            server.model.cancel(self.clock.now(), attempt);
        }
        // The listener may have stopped accepting because the server had reached its limit of connections.
        if let Some(listener) = server.listener.as_ref().filter(|_| !server.is_unreachable) {
            let _ = self.handle.enable(&listener.token);
        }
    }

    fn on_discovery_connection_closed(&mut self, key: usize, watch: Option<Watch>) {
        let Some(proxy) = watch.map(Watch::proxy) else { return };
        if self.pending.endpoint_watches.get(&proxy) == Some(&key) {
            self.pending.endpoint_watches.remove(&proxy);
            self.record(ObservedEvent::EndpointListCalled { proxy, call: EndpointListCall::WatchEnded });
        }
    }

    /// Closes all connections for which the predicate holds.
    fn close_where(&mut self, predicate: impl Fn(&Connection) -> bool) {
        let chosen = self.connections.iter().filter(|(_, connection)| predicate(connection));
        let keys: Vec<usize> = chosen.map(|(key, _)| key).collect();
        for key in keys {
            self.close(key);
        }
    }

    pub(super) fn close_connections_to_server(&mut self, server: u64) {
        self.close_where(|connection| connection.role == Role::Server(server));
    }

    /// Cuts a connection off: from now on nothing that either side sends arrives. The other side learns that
    /// only by its own timeout. When it closes the connection, the site still notices and closes its own end,
    /// so that no connection stays open.
    pub(super) fn partition_connection(&mut self, key: usize) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.is_partitioned = true;
            connection.head = None;
        }
    }

    /// Closes the connections that were cut off, because servers can be reached again and the bytes that were
    /// sent on these connections are lost.
    pub(super) fn close_partitioned_connections(&mut self) {
        self.close_where(|connection| connection.is_partitioned);
    }

    /// Closes the watches of the proxies that a partition separates from discovery or from the release
    /// service.
    pub(super) fn close_partitioned_watches(&mut self, partition: &Fault) {
        let role = match partition.kind {
            FaultKind::DiscoveryPartition => Role::Discovery,
            _ => Role::ReleaseService,
        };
        self.close_where(|connection| {
            let is_target = |watch: Watch| partition.targets.contains(&(watch.proxy() as usize));
            connection.role == role && connection.watch.is_some_and(is_target)
        });
    }

    /// Makes a server unreachable: it answers nobody, and its connections stay open, so no peer is told that
    /// it is gone. Its attempts in flight are recorded as lost, because from then on it cannot see that one
    /// is cancelled.
    pub(super) fn set_unreachable(&mut self, server: u64) {
        let now = self.clock.now();
        let Some(entry) = self.servers.get_mut(&server) else { return };
        entry.is_unreachable = true;
        if let Some(listener) = &entry.listener {
            let _ = self.handle.disable(&listener.token);
        }
        let mut attempts = Vec::new();
        for (_, connection) in &mut self.connections {
            if connection.role == Role::Server(server) {
                connection.socket.set_read_interest(&self.handle, false);
                attempts.extend(connection.attempt.take());
            }
        }
        for attempt in attempts {
            self.pending.attempts.remove(&attempt);
            self.record_end(attempt, AttemptOutcome::Lost);
            if let Some(entry) = self.servers.get_mut(&server) {
                entry.model.cancel(now, attempt);
            }
        }
    }

    /// Makes a server reachable again. Nothing that was sent to it in the meantime has arrived, so its old
    /// connections are closed without reading them.
    pub(super) fn set_reachable(&mut self, server: u64) {
        let Some(entry) = self.servers.get_mut(&server) else { return };
        entry.is_unreachable = false;
        if let Some(listener) = &entry.listener {
            while listener.socket.accept().is_ok() {}
            let _ = self.handle.enable(&listener.token);
        }
        self.close_connections_to_server(server);
    }

    /// Starts a response with lines as its body.
    pub(super) fn start_response(&mut self, key: usize, lines: &[u8], end: ResponseEnd) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        let out = connection.socket.write_buffer();
        let framing = match end {
            ResponseEnd::Complete => Framing::Length(lines.len() as u64),
            ResponseEnd::Open => Framing::Chunked,
        };
        connection.http.start_response(out, ResponseStart::new(StatusCode::OK, framing));
        connection.http.write_body(out, lines);
        if end == ResponseEnd::Complete {
            connection.http.finish_response(out);
        }
        self.flush(key);
    }

    /// Writes a further line of an open response.
    pub(super) fn continue_response(&mut self, key: usize, line: &[u8]) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        connection.http.write_body(connection.socket.write_buffer(), line);
        self.flush(key);
    }

    /// Runs the delayed actions that are due. Actions whose connections no longer exist are dropped.
    pub(super) fn run_delayed_actions(&mut self, now: u64) {
        while let Some(action) = self.pending.pop_due(now) {
            let id = action.connection();
            let Some(connection) = self.connections.get_mut(id.key) else { continue };
            if connection.generation != id.generation {
                continue;
            }
            match action {
                DelayedAction::Reply { body, .. } => {
                    self.start_response(id.key, &body, ResponseEnd::Complete);
                }
                DelayedAction::StartReading { .. } => connection.socket.set_read_interest(&self.handle, true),
            }
        }
    }
}
