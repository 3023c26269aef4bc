//! Client connections: readiness, time-outs and their end.

use super::super::timers::TimerKind;
use super::super::{ConnectionId, Proxy};
use super::{Client, ClientState, FIRST_REQUEST_TIMEOUT};
use calloop::Readiness;
use http::StatusCode;
use std::net::TcpStream;
use violetseam::interface::Micros;
use violetseam_event_io::{ReadOutcome, WRITE_BUFFER_HIGH_WATERMARK};
use violetseam_http1::server::ServerEvent;
use violetseam_settings::HalfClose;

/// A client's unread input is bounded by this and one read.
const MAX_INPUT_BYTES: usize = 64 * 1024;
/// How long the input of a connection is read and dropped after its last response.
const LINGER_TIMEOUT: Micros = 1_000_000;

impl Proxy {
    /// The connections that are between two requests.
    pub(in super::super) fn idle_client_keys(&self) -> Vec<usize> {
        self.clients.iter().filter(|(_, c)| c.is_between_requests()).map(|(key, _)| key).collect()
    }

    /// The sockets of these connections.
    pub(in super::super) fn client_streams(&self, keys: &[usize]) -> Vec<&TcpStream> {
        keys.iter().filter_map(|key| Some(self.clients.get(*key)?.socket.stream())).collect()
    }

    /// Before a drain: what has come on idle connections is read. The others close, but those whose first
    /// request may be on its way.
    pub(in super::super) fn close_idle_clients(&mut self) {
        for key in self.idle_client_keys() {
            self.read_client(key);
            if self.clients.get(key).is_some_and(|c| c.has_received_request && c.is_between_requests()) {
                self.close_client(key);
            }
        }
    }

    /// After a drain that was cancelled: idle connections have their ordinary time-out again.
    pub(in super::super) fn reset_idle_timeouts(&mut self) {
        for key in self.idle_client_keys() {
            self.clients[key].timeout.set(None);
            self.rearm_client(key);
        }
    }

    /// How long a connection may be idle that has carried no request yet.
    pub(super) fn first_request_timeout(&self) -> Micros {
        let idle = self.settings.connections.client_idle_timeout;
        if self.lifecycle.is_draining() { idle.min(FIRST_REQUEST_TIMEOUT) } else { idle }
    }

    /// Closes a connection without a report to the engine.
    pub(in super::super) fn close_client(&mut self, key: usize) {
        if let Some(client) = self.clients.try_remove(key) {
            client.socket.remove(&self.handle);
        }
    }

    /// The connection failed, or its client closed it: its request needs no response any more.
    pub(super) fn on_client_lost(&mut self, key: usize) {
        let Some(client) = self.clients.get(key) else { return };
        let waiting = client.waiting_request();
        self.close_client(key);
        if let Some(id) = waiting {
            let now = self.now();
            self.engine.on_client_disconnected(now, id);
        }
    }

    /// A connection is ready to be read or written.
    pub(super) fn on_client(&mut self, key: usize, readiness: Readiness) {
        if readiness.writable {
            self.flush_client(key);
        }
        if readiness.readable || readiness.error {
            self.read_client(key);
        }
        self.run_engine_actions();
    }

    /// Reads once.
    pub(super) fn read_client(&mut self, key: usize) {
        let mut scratch = std::mem::take(&mut self.scratch);
        if let Some(client) = self.clients.get_mut(key) {
            match client.socket.read(&mut scratch) {
                ReadOutcome::Bytes(n) => {
                    client.http.feed(&scratch[..n]);
                    self.client_events(key);
                }
                ReadOutcome::WouldBlock => {}
                ReadOutcome::Closed => self.on_client_half_closed(key),
                ReadOutcome::Failed => self.on_client_lost(key),
            }
        }
        self.scratch = scratch;
        self.rearm_client(key);
    }

    /// The client has closed its write side.
    fn on_client_half_closed(&mut self, key: usize) {
        let Some(client) = self.clients.get_mut(key) else { return };
        let serve = self.settings.connections.half_close == HalfClose::Serve;
        match client.state {
            ClientState::AwaitingResponse(id)
                if serve && self.in_flight.get(&id).is_some_and(|request| request.is_body_complete) =>
            {
                client.half_closed = true;
            }
            ClientState::Closing => client.half_closed = true,
            ClientState::Lingering => self.close_client(key),
            _ => self.on_client_lost(key),
        }
    }

    /// Handles what a client's input gives, until it gives nothing more for now.
    pub(super) fn client_events(&mut self, key: usize) {
        while let Some(client) = self.clients.get_mut(key) {
            let Some(event) = client.http.next_event() else { return };
            match event {
                ServerEvent::Head(head) => self.on_head(key, *head),
                ServerEvent::Body(bytes) => self.on_body(key, bytes),
                ServerEvent::End => self.on_end(key),
                ServerEvent::Error(fault) => {
                    tracing::debug!("request refused: {fault}");
                    if let ClientState::AwaitingResponse(id) = client.state {
                        client.state = ClientState::Idle;
                        let now = self.now();
                        self.engine.on_client_disconnected(now, id);
                    }
                    self.respond_with_error(key, fault.status(), fault.reason());
                }
            }
        }
    }

    /// Goes on with input that waited for the response to the request before it.
    pub(in super::super) fn resume_client(&mut self, id: ConnectionId) {
        if self.clients.get(id.key).is_some_and(|client| client.generation == id.generation) {
            self.client_events(id.key);
            self.rearm_client(id.key);
        }
    }

    /// Sets the events that the connection is to be woken for, and its time-out.
    pub(in super::super) fn rearm_client(&mut self, key: usize) {
        self.set_client_timeout(key);
        let is_body_backpressured = self.is_body_backpressured(key);
        let is_handing_over = self.is_handing_over();
        let Some(client) = self.clients.get(key) else { return };
        let is_full = client.http.buffered_bytes() > MAX_INPUT_BYTES || client.has_write_backlog();
        // While a process takes over, what arrives next on a connection is for the process that has it then.
        let wants_read = !client.half_closed && !is_body_backpressured && !is_full && !is_handing_over;
        client.socket.set_read_interest(&self.handle, wants_read);
    }

    /// Sets the time-out of the connection's present state.
    fn set_client_timeout(&mut self, key: usize) {
        let now = self.now();
        let first_request_timeout = self.first_request_timeout();
        let settings = &self.settings.connections;
        let Some(client) = self.clients.get_mut(key) else { return };
        let timeout = match &client.state {
            ClientState::AwaitingResponse(_) => None,
            ClientState::ReceivingBody(_) => Some(settings.body_timeout),
            ClientState::Idle if client.http.is_receiving() => Some(settings.head_timeout),
            ClientState::Idle if client.has_received_request => Some(settings.client_idle_timeout),
            ClientState::Idle => Some(first_request_timeout),
            ClientState::Closing => Some(settings.head_timeout),
            ClientState::Lingering => Some(LINGER_TIMEOUT),
        };
        // A client that sends its head byte by byte must not postpone its own time-out with each byte.
        let timeout_at = timeout.map(|timeout| now + timeout);
        client
            .timeout
            .set(timeout_at.map(|at| client.timeout.expires_at().map_or(at, |running| running.min(at))));
        let id = ConnectionId { key, generation: client.generation };
        client.timeout.arm(&mut self.timers, TimerKind::Client(id));
    }

    /// Whether the body of a request that has begun has to wait: it is read as fast as its server takes it,
    /// and beyond what may be buffered not before it has a server.
    fn is_body_backpressured(&self, key: usize) -> bool {
        let request = self.clients.get(key).and_then(Client::waiting_request);
        let request = request.and_then(|id| self.in_flight.get(&id));
        let Some(request) = request.filter(|request| !request.is_body_complete) else { return false };
        let latest_server = request.connections.iter().rev().flatten().next();
        let server = latest_server.and_then(|&key| self.servers.get(key));
        let is_server_slow =
            server.is_none_or(|server| server.unwritten_bytes() > WRITE_BUFFER_HIGH_WATERMARK);
        is_server_slow && request.body.len() > self.settings.connections.max_retained_body_bytes
    }

    /// A client connection's time-out may have expired.
    pub(in super::super) fn client_timeout(&mut self, now: Micros, id: ConnectionId) {
        let Some(client) = self.clients.get_mut(id.key).filter(|c| c.generation == id.generation) else {
            return;
        };
        if !client.timeout.on_timer_fired(now, &mut self.timers, TimerKind::Client(id)) {
            return;
        }
        let is_receiving =
            client.http.is_receiving() || matches!(client.state, ClientState::ReceivingBody(_));
        if is_receiving && !matches!(client.state, ClientState::Closing | ClientState::Lingering) {
            self.respond_with_error(id.key, StatusCode::REQUEST_TIMEOUT, "the request did not come in time");
        } else {
            self.close_client(id.key);
        }
    }
}
