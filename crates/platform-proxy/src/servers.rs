//! Manages connections to servers. Each connection is idle or carries one attempt.
//!
//! A connection carries one request at a time, although servers would accept several. A response that waits
//! behind another one would be late for reasons that its server is not responsible for, and cancelling one
//! attempt closes the connection for all attempts on it.
//!
//! This module decides which outcome is reported to the engine when a connection is lost. `ConnectFailed` is
//! reported only if the last byte of the request has not been written. `Reset` is reported if the connection
//! was lost after that or if the response was malformed, regardless of which side closed the connection and
//! why.

use crate::event_loop::{ConnectionId, TimerKind};
use crate::memory::append_tightly;
use crate::proxy::Proxy;
use calloop::{Interest, Readiness};
use violetseam::interface::{Micros, Outcome, RequestId, ServerId};
use violetseam_event_io::{ReadOutcome, Socket, connect};
use violetseam_platform_protocol::response::{self, ServerResponse, parse_response};

/// An idle connection is closed after this share of the time after which its server would close it.
const IDLE_TIMEOUT_RATIO: f64 = 0.8;
/// An idle connection is closed at least this long before its server would close it. The server counts from
/// when it wrote its response and this side from when it read the response, and an iteration of the event
/// loop lies between the two.
const IDLE_TIMEOUT_MARGIN: Micros = 30_000;
/// How long a connection must be idle before it is used again. A server may send a second response some
/// milliseconds after the first one; on a connection that was reused immediately it would be taken for the
/// response to the next request.
const MIN_IDLE_BEFORE_REUSE: Micros = 10_000;
/// How often a connection is read for one event, so that a response and the load report that comes with it
/// are read together. A response that is only partly read is lost when its attempt times out.
const MAX_READS_PER_EVENT: usize = 4;
/// How many bytes of an unexpected error are logged.
const MAX_LOGGED_ERROR_BYTES: usize = 80;

/// A connection to a server.
pub(super) struct ServerConnection {
    generation: u64,
    server: ServerId,
    socket: Socket,
    state: ConnectionState,
    input: Vec<u8>,
    idle_since: Micros,
    /// When the connection got its attempt, if it has one.
    busy_since: Micros,
    /// What the memory account has been told, in bytes.
    stated_bytes: usize,
}

/// The state of a connection to a server.
#[derive(Clone, Copy)]
enum ConnectionState {
    /// The connection is being established for this attempt.
    Connecting(AttemptId),
    /// The attempt's request is being written, or has been written.
    Busy(AttemptId),
    /// The connection is available for an attempt.
    Idle,
}

/// Identifies an attempt.
#[derive(Clone, Copy)]
struct AttemptId {
    request: RequestId,
    /// The number of the attempt within its request.
    number: usize,
}

impl ServerConnection {
    /// Returns since when the connection has been idle.
    pub fn idle_since(&self) -> Micros {
        self.idle_since
    }

    /// Returns since when the connection has carried its attempt.
    pub fn busy_since(&self) -> Micros {
        self.busy_since
    }

    /// Returns how many bytes of memory the buffers take.
    pub fn held_bytes(&self) -> usize {
        self.input.capacity() + self.socket.write_buffer_capacity()
    }

    /// Whether the connection carries an attempt that is being written or has been written.
    pub fn is_busy(&self) -> bool {
        matches!(self.state, ConnectionState::Busy(_))
    }

    fn is_idle(&self) -> bool {
        matches!(self.state, ConnectionState::Idle)
    }

    /// Returns the attempt that the connection carries, if any.
    fn attempt(&self) -> Option<AttemptId> {
        match self.state {
            ConnectionState::Connecting(attempt) | ConnectionState::Busy(attempt) => Some(attempt),
            ConnectionState::Idle => None,
        }
    }
}

impl Proxy {
    /// Starts an attempt on an idle connection, or on a new one.
    pub(super) fn start_attempt(&mut self, request: RequestId, attempt: usize, server: ServerId) {
        // If the batch of actions that started the attempt has cancelled it as well, nothing is sent.
        if !self.engine.is_attempt_pending(request, attempt) || !self.is_client_present(request) {
            return;
        }
        let Some(in_flight) = self.in_flight.get_mut(&request) else { return };
        in_flight.attempt_connections.resize(attempt + 1, None);
        let key = in_flight.call.key;
        let now = self.now();
        tracing::debug!(request, attempt, server, key, "attempt");
        let attempt = AttemptId { request, number: attempt };
        if let Some(slot) = self.take_idle_connection(server) {
            if let Some(connection) = self.server_connections.get_mut(slot) {
                connection.state = ConnectionState::Busy(attempt);
                connection.busy_since = now;
            }
            self.set_attempt_connection(attempt, Some(slot));
            return self.send_request(slot);
        }
        if !self.make_room_for_server_connection() {
            // A limit of this process says nothing about the server, so the attempt is reported as not sent.
            return self.end_attempt(attempt, Outcome::NotSent);
        }
        if self.open_server_connection(server, attempt).is_none() {
            self.end_attempt(attempt, Outcome::ConnectFailed);
        }
    }

    /// Takes an idle connection that may be used again. The one that has been idle longest is taken: any
    /// bytes that might still follow its last response have arrived by now, so that they are noticed before
    /// the connection is used.
    fn take_idle_connection(&mut self, server: ServerId) -> Option<usize> {
        let now = self.now();
        let max_idle_time = self.max_idle_time();
        while let Some(slot) = self.idle_server_connections.oldest(&server) {
            let connection = self.server_connections.get(slot)?;
            if now < connection.idle_since + MIN_IDLE_BEFORE_REUSE {
                return None;
            }
            self.idle_server_connections.remove(&server, slot);
            // The idle time is checked here as well, because maintenance does not run often enough for short
            // idle times.
            if now < connection.idle_since + max_idle_time && !connection.socket.is_stale() {
                return Some(slot);
            }
            self.close_server_connection(slot);
        }
        None
    }

    /// Starts to open a connection for an attempt.
    fn open_server_connection(&mut self, server: ServerId, attempt: AttemptId) -> Option<()> {
        let stream = connect(self.server_list.address(server)?).ok()?;
        let generation = self.next_generation();
        let now = self.now();
        let entry = self.server_connections.vacant_entry();
        let slot = entry.key();
        let on_ready =
            move |readiness: Readiness, proxy: &mut Proxy| proxy.on_server_readiness(slot, readiness);
        let socket = Socket::register(&self.loop_handle, stream, Interest::WRITE, on_ready).ok()?;
        let state = ConnectionState::Connecting(attempt);
        entry.insert(ServerConnection {
            generation,
            server,
            socket,
            state,
            input: Vec::new(),
            idle_since: now,
            busy_since: now,
            stated_bytes: 0,
        });
        let timeout_at = now + self.config.instance.connect_timeout;
        self.timers.set(timeout_at, TimerKind::ConnectTimeout(ConnectionId { slot, generation }));
        self.set_attempt_connection(attempt, Some(slot));
        Some(())
    }

    /// Records which connection carries an attempt, or that none carries it any more.
    fn set_attempt_connection(&mut self, attempt: AttemptId, slot: Option<usize>) {
        let Some(in_flight) = self.in_flight.get_mut(&attempt.request) else { return };
        if let Some(connection) = in_flight.attempt_connections.get_mut(attempt.number) {
            *connection = slot;
        }
    }

    /// Whether an attempt that could not be sent when it started may be sent now.
    fn may_send(&mut self, attempt: AttemptId) -> bool {
        if !self.is_client_present(attempt.request) {
            return false;
        }
        let now = self.now();
        let may_send = self.engine.may_send(now, attempt.request, attempt.number);
        if !may_send {
            tracing::debug!(
                request = attempt.request,
                attempt = attempt.number,
                "cancelled before it was sent"
            );
        }
        may_send
    }

    fn end_attempt(&mut self, attempt: AttemptId, outcome: Outcome) {
        let now = self.now();
        self.engine.on_attempt_ended(now, attempt.request, attempt.number, outcome);
    }

    /// Writes the request on an established connection, together with the time for which this attempt will be
    /// waited for.
    fn send_request(&mut self, slot: usize) {
        let now = self.now();
        let Some(connection) = self.server_connections.get_mut(slot) else { return };
        let Some(attempt) = connection.attempt() else { return };
        let deadline = self.engine.attempt_deadline(attempt.request, attempt.number);
        let (Some(in_flight), Some(deadline)) = (self.in_flight.get(&attempt.request), deadline) else {
            return self.close_server_connection(slot);
        };
        if !self.engine.may_write(now, attempt.request, attempt.number) {
            tracing::warn!(
                request = attempt.request,
                attempt = attempt.number,
                "attempt cancelled at the moment of writing: it may no longer be sent"
            );
            return;
        }
        in_flight.call.write(connection.socket.write_buffer(), deadline.saturating_sub(now));
        self.flush_server_connection(slot);
    }

    fn flush_server_connection(&mut self, slot: usize) {
        let Some(connection) = self.server_connections.get_mut(slot) else { return };
        if connection.socket.flush().is_err() {
            return self.on_server_connection_lost(slot);
        }
        self.restate_server_connection(slot);
        let Some(connection) = self.server_connections.get_mut(slot) else { return };
        connection.socket.set_read_interest(&self.loop_handle, true);
        if !connection.socket.has_unwritten_bytes()
            && let Some(attempt) = connection.attempt()
            && let Some(in_flight) = self.in_flight.get_mut(&attempt.request)
        {
            in_flight.was_sent = true;
        }
    }

    /// Handles an event on the connection.
    fn on_server_readiness(&mut self, slot: usize, readiness: Readiness) {
        let Some(connection) = self.server_connections.get_mut(slot) else { return };
        if let ConnectionState::Connecting(attempt) = connection.state {
            self.on_connect_readiness(slot, attempt, readiness);
            return self.run_engine_actions();
        }
        if readiness.writable && connection.socket.has_unwritten_bytes() {
            // A request counts as sent only when its last byte is written, because until then the server does
            // not have it. The engine is therefore asked again before the rest is written.
            let attempt = connection.attempt();
            if attempt.is_none_or(|attempt| self.may_send(attempt)) {
                self.flush_server_connection(slot);
            }
        }
        if readiness.readable || readiness.error {
            self.read_server_connection(slot);
        }
        self.run_engine_actions();
    }

    /// Sends the request once the connection is established.
    fn on_connect_readiness(&mut self, slot: usize, attempt: AttemptId, readiness: Readiness) {
        let Some(connection) = self.server_connections.get_mut(slot) else { return };
        if connection.socket.connect_error().is_some() {
            return self.on_server_connection_lost(slot);
        }
        if !readiness.writable || !self.may_send(attempt) {
            return;
        }
        if let Some(connection) = self.server_connections.get_mut(slot) {
            connection.state = ConnectionState::Busy(attempt);
        }
        self.send_request(slot);
    }

    /// Reads the input that has arrived and handles the response if it is complete.
    fn read_server_connection(&mut self, slot: usize) {
        let mut read_buffer = std::mem::take(&mut self.read_buffer);
        let mut outcome = self.read_server_input(slot, &mut read_buffer);
        if self
            .server_connections
            .get(slot)
            .is_some_and(|connection| connection.is_busy() && !connection.input.is_empty())
        {
            self.handle_server_response(slot);
            if matches!(outcome, ReadOutcome::Bytes(_)) {
                outcome = ReadOutcome::WouldBlock;
            }
        }
        if let Some(connection) = self.server_connections.get(slot) {
            match outcome {
                ReadOutcome::WouldBlock => {}
                // Unexpected bytes must not be taken for the response to the next request, whatever they are.
                ReadOutcome::Bytes(_) => self.close_server_connection(slot),
                ReadOutcome::Closed | ReadOutcome::Failed => {
                    if connection.is_idle() {
                        let idle_us = self.now().saturating_sub(connection.idle_since);
                        tracing::debug!(
                            server = connection.server,
                            rested_us = idle_us,
                            "idle connection closed by the server"
                        );
                    }
                    self.on_server_connection_lost(slot);
                }
            }
        }
        self.read_buffer = read_buffer;
        self.restate_server_connection(slot);
        self.relieve_server_data();
    }

    /// States what a connection holds to the memory account.
    fn restate_server_connection(&mut self, slot: usize) {
        let Some(connection) = self.server_connections.get_mut(slot) else { return };
        let held = connection.held_bytes();
        self.memory.server_data.restate(&mut connection.stated_bytes, held);
    }

    /// Reads into the connection's input while it carries an attempt. Returns the outcome of the last read.
    fn read_server_input(&mut self, slot: usize, read_buffer: &mut [u8]) -> ReadOutcome {
        let mut outcome = ReadOutcome::WouldBlock;
        for _ in 0..MAX_READS_PER_EVENT {
            let Some(connection) = self.server_connections.get_mut(slot) else { return outcome };
            outcome = connection.socket.read(read_buffer);
            let ReadOutcome::Bytes(length) = outcome else { return outcome };
            if !connection.is_busy() {
                return outcome;
            }
            append_tightly(&mut connection.input, &read_buffer[..length]);
            // A read that does not fill the buffer has read all that had arrived.
            if length < read_buffer.len() {
                return outcome;
            }
        }
        outcome
    }

    /// Handles the input if the response is complete. The input never holds more than the limits on messages
    /// and one read allow.
    fn handle_server_response(&mut self, slot: usize) {
        let Some(connection) = self.server_connections.get_mut(slot) else { return };
        let Some(attempt) = connection.attempt() else { return };
        let input = std::mem::take(&mut connection.input);
        let server = connection.server;
        let is_fully_written = !connection.socket.has_unwritten_bytes();
        match parse_response(&input, &self.bounds) {
            ServerResponse::Incomplete => connection.input = input,
            ServerResponse::Served { value, reusable } => {
                self.set_attempt_connection(attempt, None);
                self.reuse_or_close(slot, reusable && is_fully_written);
                let now = self.now();
                if self.engine.on_attempt_ended(now, attempt.request, attempt.number, Outcome::Ok) {
                    tracing::debug!(request = attempt.request, attempt = attempt.number, server, "served");
                    let mut bytes = Vec::with_capacity(value.len() + 16);
                    response::write_served(&mut bytes, value);
                    self.send_response(attempt.request, bytes);
                }
            }
            ServerResponse::NotServed { outcome, reusable } => {
                self.log_unexpected_error(server, &input);
                self.set_attempt_connection(attempt, None);
                self.reuse_or_close(slot, reusable && is_fully_written);
                self.end_attempt(attempt, outcome);
            }
            ServerResponse::Malformed(reason) => {
                tracing::debug!(request = attempt.request, server, "malformed response: {reason}");
                self.set_attempt_connection(attempt, None);
                self.close_server_connection(slot);
                self.end_attempt(attempt, Outcome::Reset);
            }
        }
    }

    /// Logs an error response whose text is not one that the platform's servers send.
    fn log_unexpected_error(&mut self, server: ServerId, input: &[u8]) {
        let is_known = input.starts_with(b"-BUSY") || input.starts_with(b"-ERR failed");
        if !is_known && self.may_log() {
            let length = input.len().min(MAX_LOGGED_ERROR_BYTES);
            let text = String::from_utf8_lossy(&input[..length]);
            tracing::warn!(server, "unexpected error response from server: {text:?}");
        }
    }

    /// Keeps a connection as idle after a response, or closes it.
    fn reuse_or_close(&mut self, slot: usize, is_reusable: bool) {
        let now = self.now();
        let Some(connection) = self.server_connections.get_mut(slot) else { return };
        // A connection may be used again only if it leads to the address that is in the server list now.
        let is_same_address =
            self.server_list.address(connection.server) == connection.socket.stream().peer_addr().ok();
        if !is_reusable || !is_same_address {
            return self.close_server_connection(slot);
        }
        connection.state = ConnectionState::Idle;
        connection.idle_since = now;
        connection.input = Vec::new();
        let server = connection.server;
        self.idle_server_connections.insert(server, slot);
    }

    /// Closes a connection without a report to the engine; its attempt, if any, has already ended. The
    /// connection is shut down before anything else is written, because the next attempt of the same request
    /// would otherwise overlap with this one.
    pub(super) fn close_server_connection(&mut self, slot: usize) {
        let Some(mut connection) = self.server_connections.try_remove(slot) else { return };
        self.memory.server_data.restate(&mut connection.stated_bytes, 0);
        connection.socket.close_now(&self.loop_handle);
        self.idle_server_connections.remove(&connection.server, slot);
    }

    /// Handles a cancellation by the engine. The attempt's connection is closed, because the response could
    /// still arrive on it at any time.
    pub(super) fn cancel_attempt(&mut self, request: RequestId, attempt: usize) {
        let connection = self
            .in_flight
            .get_mut(&request)
            .and_then(|in_flight| in_flight.attempt_connections.get_mut(attempt));
        let slot = connection.and_then(Option::take);
        tracing::debug!(request, attempt, out = slot.is_some(), "cancelled");
        if let Some(slot) = slot {
            self.close_server_connection(slot);
        }
    }

    /// Handles the loss of a connection.
    fn on_server_connection_lost(&mut self, slot: usize) {
        self.end_server_connection(slot, Outcome::ConnectFailed);
    }

    /// Ends a connection. The outcome of its attempt is a reset if the whole request was written, and
    /// otherwise `unsent_outcome`.
    pub(super) fn end_server_connection(&mut self, slot: usize, unsent_outcome: Outcome) {
        let Some(connection) = self.server_connections.get(slot) else { return };
        let attempt = connection.attempt();
        let server = connection.server;
        let is_fully_written = connection.is_busy() && !connection.socket.has_unwritten_bytes();
        self.close_server_connection(slot);
        if let Some(attempt) = attempt {
            let outcome = if is_fully_written { Outcome::Reset } else { unsent_outcome };
            tracing::debug!(
                request = attempt.request,
                attempt = attempt.number,
                server,
                ?outcome,
                "connection lost"
            );
            self.set_attempt_connection(attempt, None);
            self.end_attempt(attempt, outcome);
        }
    }

    /// Ends an attempt whose connection was not established in time.
    pub(super) fn on_connect_timeout(&mut self, connection_id: ConnectionId) {
        let Some(connection) = self.server_connections.get(connection_id.slot) else { return };
        let is_connecting = matches!(connection.state, ConnectionState::Connecting(_));
        if connection.generation == connection_id.generation && is_connecting {
            self.on_server_connection_lost(connection_id.slot);
        }
    }

    /// Closes the idle connections to servers whose address, build or start time has changed, or that were
    /// removed.
    pub(super) fn close_idle_connections_to(&mut self, changed: &[ServerId]) {
        for server in changed {
            let slots: Vec<usize> = self.idle_server_connections.of_server(server).collect();
            for slot in slots {
                self.close_server_connection(slot);
            }
        }
    }

    /// Returns how long a connection may be idle. A request that is written after the server has closed the
    /// connection would be lost.
    fn max_idle_time(&self) -> Micros {
        let server_timeout = self.config.instance.idle_close;
        let proportional_limit = (server_timeout as f64 * IDLE_TIMEOUT_RATIO) as Micros;
        server_timeout.saturating_sub(IDLE_TIMEOUT_MARGIN).min(proportional_limit)
    }

    /// Closes idle connections before their servers do.
    pub(super) fn close_idle_server_connections(&mut self, now: Micros) {
        let max_idle_time = self.max_idle_time();
        let is_expired = |connection: &ServerConnection| {
            connection.is_idle() && now >= connection.idle_since + max_idle_time
        };
        let expired: Vec<usize> = self
            .server_connections
            .iter()
            .filter(|(_, connection)| is_expired(connection))
            .map(|(slot, _)| slot)
            .collect();
        for slot in expired {
            self.close_server_connection(slot);
        }
    }
}
