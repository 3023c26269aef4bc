//! Connections to servers: readiness, time-outs, the idle pool, and their end.

use super::super::timers::TimerKind;
use super::super::{ConnectionId, Proxy};
use super::{ConnectionState, Server};
use crate::driver::clients::{Client, InFlightRequest};
use calloop::Readiness;
use violetseam::interface::{Micros, Outcome};

impl Proxy {
    /// Writes what is unwritten. A connection that fails before its first byte never carried the request.
    pub(in super::super) fn flush_server(&mut self, key: usize) {
        let Some(server) = self.servers.get_mut(key) else { return };
        let flushed = server.socket.flush();
        if let (Some(active), Ok(n)) = (server.active_mut(), &flushed) {
            active.has_written |= *n > 0;
        }
        match flushed {
            Ok(_) => self.rearm_server(key),
            Err(_) => self.on_server_lost(key),
        }
    }

    /// Sets the events that the connection is to be woken for, and its time-out.
    pub(in super::super) fn rearm_server(&mut self, key: usize) {
        let now = self.now();
        let settings = &self.settings.connections;
        let Some(server) = self.servers.get_mut(key) else { return };
        let mut reads = true;
        let timeout = match &server.state {
            ConnectionState::Connecting(_) => return server.socket.set_connect_interest(&self.handle),
            ConnectionState::Busy(active) if active.response.is_streaming() => {
                let client = self.in_flight.get(&active.id.request).map(InFlightRequest::client_key);
                let client = client.and_then(|key| self.clients.get(key));
                reads = !client.is_some_and(Client::is_slow);
                Some(settings.stream_idle_timeout)
            }
            ConnectionState::Busy(_) => None,
            ConnectionState::Discarding { .. } | ConnectionState::Idle => Some(settings.server_idle_timeout),
        };
        server.timeout.set(timeout.map(|timeout| now + timeout));
        let id = ConnectionId { key, generation: server.generation };
        server.timeout.arm(&mut self.timers, TimerKind::Server(id));
        server.socket.set_read_interest(&self.handle, reads);
    }

    /// A server connection's time-out may have expired.
    pub(in super::super) fn server_timeout(&mut self, now: Micros, id: ConnectionId) {
        let Some(server) = self.servers.get_mut(id.key).filter(|s| s.generation == id.generation) else {
            return;
        };
        if !server.timeout.on_timer_fired(now, &mut self.timers, TimerKind::Server(id)) {
            return;
        }
        match server.state {
            ConnectionState::Idle | ConnectionState::Discarding { .. } => self.close_server(id.key),
            ConnectionState::Connecting(_) | ConnectionState::Busy(_) => self.on_server_lost(id.key),
        }
    }

    /// Closes a connection without a report: its attempt, if any, has ended already. It ends before anything
    /// else is written, as the next attempt of the same request would be a second copy beside an open one.
    pub(super) fn close_server(&mut self, key: usize) {
        let Some(server) = self.servers.try_remove(key) else { return };
        server.socket.close_now(&self.handle);
        self.idle_servers.remove(&server.id, key);
    }

    /// The connection is gone: what that says of its attempt depends on whether a byte of it was written.
    pub(super) fn on_server_lost(&mut self, key: usize) {
        let Some(server) = self.servers.get(key) else { return };
        let active = match &server.state {
            ConnectionState::Connecting(active) | ConnectionState::Busy(active) => active,
            ConnectionState::Discarding { .. } | ConnectionState::Idle => return self.close_server(key),
        };
        let id = active.id;
        let outcome = if active.has_written { Outcome::Reset } else { Outcome::ConnectFailed };
        let was_streaming = active.response.is_streaming();
        self.close_server(key);
        self.set_attempt_connection(id, None);
        // The client has the beginning of the response: closing its connection is the only way left to report
        // a failure.
        if was_streaming && let Some(client) = self.waiting_client(id.request) {
            self.close_client(client);
        }
        self.end_attempt(id.request, id.attempt, outcome);
    }

    /// A connection is ready to be read or written.
    pub(super) fn on_server(&mut self, key: usize, readiness: Readiness) {
        let Some(server) = self.servers.get_mut(key) else { return };
        if matches!(server.state, ConnectionState::Connecting(_)) {
            if server.socket.connect_error().is_some() {
                self.on_server_lost(key);
            } else if readiness.writable {
                self.on_server_connected(key);
            }
            return self.run_engine_actions();
        }
        if readiness.writable {
            self.flush_server(key);
            self.resume_upload(key);
        }
        if readiness.readable || readiness.error {
            self.read_server(key);
        }
        self.run_engine_actions();
    }

    /// Sends the request on a connection that has been established.
    fn on_server_connected(&mut self, key: usize) {
        let now = self.now();
        let Some(active) = self.servers.get(key).and_then(Server::active) else { return };
        // The attempt was decided on before the connection was established: the engine is asked again before
        // the first byte, as the server may run the request from then on.
        if !self.engine.may_send(now, active.id.request, active.id.attempt) {
            return;
        }
        let Some(server) = self.servers.get_mut(key) else { return };
        if let ConnectionState::Connecting(active) =
            std::mem::replace(&mut server.state, ConnectionState::Idle)
        {
            server.state = ConnectionState::Busy(active);
            self.send_request(key);
            self.resume_upload(key);
        }
    }

    /// A client whose incomplete body waited for this server may be read again.
    fn resume_upload(&mut self, key: usize) {
        let request = self.servers.get(key).and_then(Server::active).map(|active| active.id.request);
        let request = request.and_then(|id| self.in_flight.get(&id));
        if let Some(request) = request.filter(|request| !request.is_complete) {
            self.rearm_client(request.client_key());
        }
    }

    /// Keeps a connection idle for later attempts, if it can carry them and not too many are idle.
    pub(super) fn pool_or_close(&mut self, key: usize, reusable: bool) {
        let max_idle = self.settings.connections.max_idle_per_server;
        let Some(server) = self.servers.get(key) else { return };
        let has_room = self.idle_servers.count(&server.id) < max_idle;
        if reusable && has_room {
            self.idle_servers.insert(server.id, key);
            self.rearm_server(key);
        } else {
            self.close_server(key);
        }
    }
}
