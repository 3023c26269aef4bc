//! Client connections: readiness, time-outs and their end.

use super::super::timers::TimerKind;
use super::super::{ConnectionId, Proxy};
use super::{Client, ClientPhase, ClientState, FIRST_REQUEST_TIMEOUT};
use calloop::Readiness;
use http::StatusCode;
use std::net::TcpStream;
use violetseam::interface::{Micros, RequestId};
use violetseam_event_io::{PeerState, ReadOutcome, WRITE_BUFFER_HIGH_WATERMARK};
use violetseam_http1::server::ServerEvent;
use violetseam_settings::HalfClose;

/// The limit of a client's unparsed input, in bytes; one read may exceed it.
const MAX_INPUT_BYTES: usize = 64 * 1024;
/// How long the input of a connection is read and dropped after its last response.
const LINGER_TIMEOUT: Micros = 1_000_000;

impl Proxy {
    /// Returns the slab keys of the connections that are between two requests.
    pub(in super::super) fn idle_client_keys(&self) -> Vec<usize> {
        self.clients.iter().filter(|(_, client)| client.is_between_requests()).map(|(key, _)| key).collect()
    }

    /// Returns the sockets of these connections.
    pub(in super::super) fn client_streams(&self, keys: &[usize]) -> Vec<&TcpStream> {
        keys.iter().filter_map(|key| Some(self.clients.get(*key)?.socket.stream())).collect()
    }

    /// Called when a drain starts: reads what has arrived on idle connections, and then closes those that are
    /// still idle. Connections that have carried no request yet stay open, because their first request may be
    /// on its way.
    pub(in super::super) fn close_idle_clients(&mut self) {
        for key in self.idle_client_keys() {
            self.read_client(key);
            if self
                .clients
                .get(key)
                .is_some_and(|client| client.has_received_request && client.is_between_requests())
            {
                self.close_client(key);
            }
        }
    }

    /// Called when a drain is cancelled: gives idle connections their ordinary time-out again.
    pub(in super::super) fn reset_idle_timeouts(&mut self) {
        for key in self.idle_client_keys() {
            self.clients[key].timeout.set(None);
            self.rearm_client(key);
        }
    }

    /// Returns how long a connection that has carried no request yet may be idle.
    pub(super) fn first_request_timeout(&self) -> Micros {
        let idle = self.settings.connections.client_idle_timeout;
        if self.lifecycle.is_draining() { idle.min(FIRST_REQUEST_TIMEOUT) } else { idle }
    }

    /// Closes a connection without reporting it to the engine.
    pub(in super::super) fn close_client(&mut self, key: usize) {
        if let Some(mut client) = self.clients.try_remove(key) {
            client.socket.remove(&self.loop_handle);
            self.client_memory.restate(&mut client.stated_bytes, 0);
        }
    }

    /// Handles a connection that failed or that its client closed: its request needs no response any more.
    pub(super) fn on_client_lost(&mut self, key: usize) {
        let Some(client) = self.clients.get(key) else { return };
        let awaited_request = client.request_awaiting_response();
        self.close_client(key);
        if let Some(id) = awaited_request {
            let now = self.now();
            self.engine.on_client_disconnected(now, id);
        }
    }

    /// Whether the client of a request is still connected. Ends its connection if it is not. This is asked
    /// before an attempt is written: while the event loop was late, the client may have left after the event
    /// that causes the attempt, and its end may be unread behind the body of its request.
    pub(in super::super) fn is_client_present(&mut self, request: RequestId) -> bool {
        let Some(in_flight) = self.in_flight.get(&request) else { return false };
        let ConnectionId { key, generation } = in_flight.client;
        let client = self.clients.get(key).filter(|client| client.generation == generation);
        let Some(client) = client else { return false };
        let is_present = match client.socket.peer_state() {
            PeerState::Open => true,
            PeerState::Closed => self.settings.connections.half_close == HalfClose::Serve,
            PeerState::Failed => false,
        };
        if !is_present {
            self.on_client_lost(key);
        }
        is_present
    }

    /// Handles a connection that is ready to be read or written.
    pub(super) fn on_client_ready(&mut self, key: usize, readiness: Readiness) {
        if readiness.writable {
            self.flush_client(key);
        }
        if readiness.readable || readiness.error {
            self.read_client(key);
        }
        self.run_engine_actions();
        self.refuse_excess_requests(key);
    }

    /// Reads from the connection once, and handles what was read.
    pub(super) fn read_client(&mut self, key: usize) {
        let mut read_buffer = std::mem::take(&mut self.read_buffer);
        if let Some(client) = self.clients.get_mut(key) {
            match client.socket.read(&mut read_buffer) {
                ReadOutcome::Bytes(length) => {
                    client.http.feed(&read_buffer[..length]);
                    self.process_client_events(key);
                }
                ReadOutcome::WouldBlock => {}
                ReadOutcome::Closed => self.on_client_half_closed(key),
                ReadOutcome::Failed => self.on_client_lost(key),
            }
        }
        self.read_buffer = read_buffer;
        self.rearm_client(key);
        self.relieve_client_memory();
    }

    /// Refuses the requests behind one whose response is pending once they exceed the limit of the input. The
    /// connection has to be read on, because nothing else shows that the client has left.
    fn refuse_excess_requests(&mut self, key: usize) {
        let Some(client) = self.clients.get_mut(key) else { return };
        let is_awaiting = matches!(client.state, ClientState::AwaitingResponse(_));
        if is_awaiting && client.http.buffered_bytes() > MAX_INPUT_BYTES {
            tracing::debug!(client = key, "further requests refused: too many wait behind one");
            client.http.refuse_further_requests();
            self.rearm_client(key);
        }
    }

    /// Handles that the client has closed its sending side.
    fn on_client_half_closed(&mut self, key: usize) {
        let Some(client) = self.clients.get_mut(key) else { return };
        let serves_half_closed = self.settings.connections.half_close == HalfClose::Serve;
        match client.state {
            ClientState::AwaitingResponse(id)
                if serves_half_closed
                    && self.in_flight.get(&id).is_some_and(|request| request.is_body_complete) =>
            {
                client.is_half_closed = true;
            }
            ClientState::Closing => client.is_half_closed = true,
            ClientState::Lingering => self.close_client(key),
            _ => self.on_client_lost(key),
        }
    }

    /// Handles the events that a client's input contains, until more input is needed for the next one or the
    /// client has had its part of this turn of the event loop.
    pub(super) fn process_client_events(&mut self, key: usize) {
        let turn = self.turn;
        while let Some(client) = self.clients.get_mut(key) {
            let awaits_head = matches!(client.state, ClientState::Idle);
            // The next request is handled once the client has read enough.
            if awaits_head && client.has_write_backlog() {
                return;
            }
            if awaits_head && client.turn_usage.has_no_requests_left(turn) {
                if client.http.buffered_bytes() > 0 {
                    let id = ConnectionId { key, generation: client.generation };
                    self.clients_for_next_turn.push(id);
                }
                return;
            }
            let Some(event) = client.http.next_event() else { return };
            match event {
                ServerEvent::Head(head) => self.on_request_head(key, *head),
                ServerEvent::Body(bytes) => self.on_body_bytes(key, bytes),
                ServerEvent::End => self.on_body_complete(key),
                ServerEvent::Error(error) => {
                    tracing::debug!("request rejected: {error}");
                    if let ClientState::AwaitingResponse(id) = client.state {
                        client.state = ClientState::Idle;
                        let now = self.now();
                        self.engine.on_client_disconnected(now, id);
                    }
                    self.respond_with_error(key, error.status(), error.reason());
                }
            }
        }
    }

    /// Handles input that had to wait for this turn of the event loop.
    pub(in super::super) fn resume_clients_of_last_turn(&mut self) {
        let mut connections = std::mem::take(&mut self.clients_for_next_turn);
        connections.sort_unstable();
        connections.dedup();
        for connection in connections {
            self.resume_client(connection);
            self.run_engine_actions();
        }
    }

    /// Handles input that had to wait for the response to the request before it.
    pub(in super::super) fn resume_client(&mut self, id: ConnectionId) {
        if self.clients.get(id.key).is_some_and(|client| client.generation == id.generation) {
            self.process_client_events(id.key);
            self.rearm_client(id.key);
        }
    }

    /// Updates the events that the connection is polled for, its time-out, and what it is known to hold.
    pub(in super::super) fn rearm_client(&mut self, key: usize) {
        self.set_client_timeout(key);
        self.restate_client_memory(key);
        let is_body_backpressured = self.is_body_backpressured(key);
        let is_handing_over = self.is_handing_over();
        let Some(client) = self.clients.get(key) else { return };
        let is_over_buffer_limit =
            client.http.buffered_bytes() > MAX_INPUT_BYTES || client.has_write_backlog();
        // During a hand-over nothing is read, because the next bytes on a connection belong to the process
        // that owns the connection after it.
        let wants_read =
            !client.is_half_closed && !is_body_backpressured && !is_over_buffer_limit && !is_handing_over;
        client.socket.set_read_interest(&self.loop_handle, wants_read);
    }

    /// Sets the time-out of the connection's present phase.
    fn set_client_timeout(&mut self, key: usize) {
        let now = self.now();
        let first_request_timeout = self.first_request_timeout();
        let settings = &self.settings.connections;
        let Some(client) = self.clients.get_mut(key) else { return };
        let phase = client.phase();
        let timeout_at = phase.map(|phase| match phase {
            ClientPhase::AwaitingFirstRequest => now + first_request_timeout,
            ClientPhase::Idle => now + settings.client_idle_timeout,
            ClientPhase::ReceivingHead | ClientPhase::Closing => now + settings.head_timeout,
            ClientPhase::ReceivingBody => now + settings.body_timeout,
            ClientPhase::Lingering => now + LINGER_TIMEOUT,
        });
        // A time-out that is running is not postponed within its phase: otherwise a client that sends its
        // head byte by byte could postpone it with each byte. A new phase has its whole time.
        let running = client.timeout.expires_at().filter(|_| client.timed_phase == phase);
        client.timeout.set(timeout_at.map(|at| running.map_or(at, |running| running.min(at))));
        if client.timed_phase != phase {
            client.phase_since = now;
        }
        client.timed_phase = phase;
        let id = ConnectionId { key, generation: client.generation };
        client.timeout.arm(&mut self.timers, TimerKind::Client(id));
    }

    /// Whether reading the body of a request that has been passed to the engine must pause. The body is read
    /// as fast as the server accepts it. Beyond the limit of what may be buffered, it is not read before
    /// there is a server.
    fn is_body_backpressured(&self, key: usize) -> bool {
        let request = self.clients.get(key).and_then(Client::request_awaiting_response);
        let request = request.and_then(|id| self.in_flight.get(&id));
        let Some(request) = request.filter(|request| !request.is_body_complete) else { return false };
        let latest_server_key = request.connections.iter().rev().flatten().next();
        let server = latest_server_key.and_then(|&key| self.servers.get(key));
        let is_server_slow =
            server.is_none_or(|server| server.unwritten_bytes() > WRITE_BUFFER_HIGH_WATERMARK);
        is_server_slow && request.body.len() > self.settings.connections.max_retained_body_bytes
    }

    /// Handles the timer of a client connection. If the time-out has expired, a client that is still sending
    /// a request is sent a response with status 408; any other connection is closed.
    pub(in super::super) fn client_timeout(&mut self, now: Micros, id: ConnectionId) {
        let Some(client) = self.clients.get_mut(id.key).filter(|client| client.generation == id.generation)
        else {
            return;
        };
        if !client.timeout.on_timer_fired(now, &mut self.timers, TimerKind::Client(id)) {
            return;
        }
        // The bytes that the client was to send may have been unread for as long as the event loop is late.
        // During a hand-over they belong to the new process.
        if !self.is_handing_over() {
            self.read_client(id.key);
        }
        let Some(client) = self.clients.get(id.key).filter(|client| client.generation == id.generation)
        else {
            return;
        };
        if client.timeout.expires_at().is_none_or(|expires_at| expires_at > now) {
            return;
        }
        match client.phase() {
            Some(ClientPhase::ReceivingHead | ClientPhase::ReceivingBody) => {
                let reason = "the request did not come in time";
                self.respond_with_error(id.key, StatusCode::REQUEST_TIMEOUT, reason);
            }
            _ => self.close_client(id.key),
        }
    }
}
