//! Connections to servers: readiness, time-outs, the idle pool, and the end of a connection.

use super::super::timers::TimerKind;
use super::super::{ConnectionId, Proxy};
use super::{ConnectionState, Server};
use crate::driver::clients::{Client, InFlightRequest};
use calloop::Readiness;
use violetseam::interface::{Micros, Outcome};

impl Proxy {
    /// Writes the unwritten bytes, and records whether any were written: a connection that fails before the
    /// first byte never carried the request.
    pub(in super::super) fn flush_server(&mut self, key: usize) {
        let Some(server) = self.servers.get_mut(key) else { return };
        let flushed = server.socket.flush();
        if let (Some(active), Ok(written_bytes)) = (server.active_mut(), &flushed) {
            active.has_written_bytes |= *written_bytes > 0;
        }
        match flushed {
            Ok(_) => self.rearm_server(key),
            Err(_) => self.on_server_lost(key),
        }
    }

    /// Updates the events that the connection is polled for, and its time-out.
    pub(in super::super) fn rearm_server(&mut self, key: usize) {
        let now = self.now();
        let settings = &self.settings.connections;
        let Some(server) = self.servers.get_mut(key) else { return };
        let mut wants_read = true;
        let timeout = match &server.state {
            ConnectionState::Connecting(_) => return server.socket.set_connect_interest(&self.loop_handle),
            ConnectionState::Busy(active) if active.response.is_streaming() => {
                let client = self.in_flight.get(&active.id.request).map(InFlightRequest::client_key);
                let client = client.and_then(|key| self.clients.get(key));
                wants_read = !client.is_some_and(Client::has_write_backlog);
                Some(settings.stream_idle_timeout)
            }
            ConnectionState::Busy(_) => None,
            ConnectionState::Discarding { .. } | ConnectionState::Idle => Some(settings.server_idle_timeout),
        };
        server.timeout.set(timeout.map(|timeout| now + timeout));
        let id = ConnectionId { key, generation: server.generation };
        server.timeout.arm(&mut self.timers, TimerKind::Server(id));
        server.socket.set_read_interest(&self.loop_handle, wants_read);
    }

    /// Handles the timer of a server connection. If the time-out has expired, an idle connection is closed,
    /// and one with an attempt counts as lost.
    pub(in super::super) fn server_timeout(&mut self, now: Micros, id: ConnectionId) {
        let Some(server) = self.servers.get_mut(id.key).filter(|server| server.generation == id.generation)
        else {
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

    /// Closes a connection without reporting it to the engine, because its attempt, if any, has already
    /// ended. The connection is closed before anything else is written: the next attempt of the same request
    /// would otherwise be a second copy next to one that is still open.
    pub(super) fn close_server(&mut self, key: usize) {
        let Some(server) = self.servers.try_remove(key) else { return };
        server.socket.close_now(&self.loop_handle);
        self.idle_servers.remove(&server.id, key);
    }

    /// Handles a lost connection. Which outcome is reported for its attempt depends on whether a byte of the
    /// attempt was written.
    pub(super) fn on_server_lost(&mut self, key: usize) {
        let Some(server) = self.servers.get(key) else { return };
        let active = match &server.state {
            ConnectionState::Connecting(active) | ConnectionState::Busy(active) => active,
            ConnectionState::Discarding { .. } | ConnectionState::Idle => return self.close_server(key),
        };
        let id = active.id;
        let outcome = if active.has_written_bytes { Outcome::Reset } else { Outcome::ConnectFailed };
        let was_streaming = active.response.is_streaming();
        self.close_server(key);
        self.set_attempt_connection(id, None);
        // The client has received the beginning of the response, so closing its connection is the only way
        // left to report a failure.
        if was_streaming && let Some(client) = self.waiting_client(id.request) {
            self.close_client(client);
        }
        self.end_attempt(id.request, id.attempt, outcome);
    }

    /// Handles a connection that is ready to be read or written.
    pub(super) fn on_server_ready(&mut self, key: usize, readiness: Readiness) {
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

    /// Sends the request on a connection that has just been established.
    fn on_server_connected(&mut self, key: usize) {
        let now = self.now();
        let Some(active) = self.servers.get(key).and_then(Server::active) else { return };
        let id = active.id;
        // The attempt was started before the connection was established. The engine is asked again before the
        // first byte is written, because the server may run the request from then on.
        if !self.is_client_present(id.request) || !self.engine.may_send(now, id.request, id.attempt) {
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

    /// Resumes reading from a client whose incomplete request body waited for this server.
    fn resume_upload(&mut self, key: usize) {
        let request = self.servers.get(key).and_then(Server::active).map(|active| active.id.request);
        let request = request.and_then(|id| self.in_flight.get(&id));
        if let Some(request) = request.filter(|request| !request.is_body_complete) {
            self.rearm_client(request.client_key());
        }
    }

    /// Puts a connection into the idle pool for later attempts, or closes it if it cannot be reused or the
    /// pool is full.
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
