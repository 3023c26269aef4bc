//! Operators' connections: how they are read and written, their time-outs, and how they are closed.

use super::super::takeover::HandOverError;
use super::super::timers::TimerKind;
use super::super::{ConnectionId, Proxy};
use super::ControlServer;
use super::stream::{OperatorStream, Transport};
use calloop::Readiness;
use rustls::ServerConnection;
use std::ops::ControlFlow;
use std::os::unix::net::UnixStream;
use violetseam::interface::Micros;
use violetseam_event_io::ReadOutcome;

/// How long a TLS handshake may take.
pub(super) const HANDSHAKE_TIMEOUT: Micros = 3_000_000;
/// A connection that receives nothing for this span is closed.
pub(super) const IDLE_TIMEOUT: Micros = 30_000_000;

/// One operator's connection.
pub(super) struct Connection {
    pub(super) generation: u64,
    pub(super) stream: OperatorStream,
    /// Received bytes that have not been handled as requests yet.
    pub(super) input: Vec<u8>,
    last_read_at: Micros,
}

impl Connection {
    /// Whether the connection was accepted from the local control socket.
    pub(super) fn is_local(&self) -> bool {
        self.stream.unix_stream().is_some()
    }

    /// Removes the next complete line from the input and returns it.
    pub(super) fn take_line(&mut self) -> Option<Vec<u8>> {
        let end = self.input.iter().position(|byte| *byte == b'\n')?;
        Some(self.input.drain(..=end).collect())
    }
}

impl ControlServer {
    /// Returns how many connections over the local socket are open.
    pub(super) fn local_connection_count(&self) -> usize {
        self.connections.iter().filter(|(_, connection)| connection.is_local()).count()
    }

    /// Returns how many connections over TCP are open.
    pub(super) fn remote_connection_count(&self) -> usize {
        self.connections.iter().filter(|(_, connection)| !connection.is_local()).count()
    }

    /// Returns the key of the connection that has been in its TLS handshake for the longest time.
    pub(super) fn oldest_handshake(&self) -> Option<usize> {
        let handshakes = self.connections.iter().filter(|(_, connection)| connection.stream.is_handshaking());
        handshakes.min_by_key(|(_, connection)| connection.generation).map(|(key, _)| key)
    }

    /// Whether the connection `id` is open, and its key has not been reused by a later one.
    pub(super) fn is_open(&self, id: ConnectionId) -> bool {
        self.connections.get(id.key).is_some_and(|connection| connection.generation == id.generation)
    }
}

impl Proxy {
    /// Registers an operator's connection on the event loop, with `timeout` as its first time-out.
    pub(super) fn add_operator_connection(
        &mut self,
        transport: Transport,
        tls: Option<Box<ServerConnection>>,
        timeout: Micros,
    ) {
        let generation = self.next_generation();
        let now = self.now();
        let Some(control) = &mut self.control_server else { return };
        let entry = control.connections.vacant_entry();
        let key = entry.key();
        let on_ready = move |readiness: Readiness, proxy: &mut Proxy| proxy.on_operator_ready(key, readiness);
        let Ok(stream) = OperatorStream::register(&self.loop_handle, transport, tls, on_ready) else {
            return;
        };
        entry.insert(Connection { generation, stream, input: Vec::new(), last_read_at: now });
        self.timers.set(now + timeout, TimerKind::Operator(ConnectionId { key, generation }));
    }

    /// Closes a connection whose time-out has expired, and otherwise sets the timer again.
    pub(in super::super) fn operator_timeout(&mut self, id: ConnectionId) {
        let now = self.now();
        let Some(control) = &self.control_server else { return };
        let Some(connection) = control.connections.get(id.key).filter(|_| control.is_open(id)) else {
            return;
        };
        // Bytes received during a handshake do not extend its time-out, which runs from the accept on.
        let is_handshaking = connection.stream.is_handshaking();
        let closes_at = if is_handshaking { now } else { connection.last_read_at + IDLE_TIMEOUT };
        if closes_at > now {
            self.timers.set(closes_at, TimerKind::Operator(id));
        } else {
            self.close_operator(id.key);
        }
    }

    /// Closes an operator's connection, if it is open.
    pub(in super::super) fn close_operator(&mut self, key: usize) {
        let Some(control) = &mut self.control_server else { return };
        if let Some(connection) = control.connections.try_remove(key) {
            connection.stream.remove(&self.loop_handle);
        }
    }

    /// Returns the identity of the connection with this key, if it is a local one.
    pub(in super::super) fn operator_connection(&self, key: usize) -> Option<ConnectionId> {
        let connection = self.control_server.as_ref()?.connections.get(key)?;
        connection.is_local().then_some(ConnectionId { key, generation: connection.generation })
    }

    /// Returns the stream of an operator's local connection, if the connection is still open.
    pub(in super::super) fn operator_stream(&self, id: ConnectionId) -> Option<&UnixStream> {
        let connection = self.control_server.as_ref()?.connections.get(id.key)?;
        connection.stream.unix_stream().filter(|_| connection.generation == id.generation)
    }

    /// Reads and writes a connection that is ready, and handles the requests received on it.
    fn on_operator_ready(&mut self, key: usize, readiness: Readiness) {
        let Some(control) = &mut self.control_server else { return };
        let Some(connection) = control.connections.get_mut(key) else { return };
        if readiness.writable && connection.stream.flush().is_err() {
            return self.close_operator(key);
        }
        let is_readable = readiness.readable || readiness.error;
        if is_readable && self.read_operator(key).is_break() {
            return;
        }
        self.handle_requests(key);
        self.run_engine_actions();
    }

    /// Reads a connection once. Returns `Break` if there are no requests to handle: the connection was
    /// closed, or the bytes came from the process that takes over.
    fn read_operator(&mut self, key: usize) -> ControlFlow<()> {
        let now = self.now();
        let connection = self.control_server.as_mut().and_then(|control| control.connections.get_mut(key));
        let Some(connection) = connection else { return ControlFlow::Break(()) };
        let id = ConnectionId { key, generation: connection.generation };
        let is_successor = self.hand_over.is_successor(id);
        match connection.stream.read(&mut connection.input) {
            ReadOutcome::Bytes(_) if is_successor => {
                let bytes = std::mem::take(&mut connection.input);
                self.on_successor_message(&bytes);
                ControlFlow::Break(())
            }
            ReadOutcome::Bytes(_) | ReadOutcome::WouldBlock => {
                connection.last_read_at = now;
                ControlFlow::Continue(())
            }
            ReadOutcome::Closed | ReadOutcome::Failed => {
                self.close_operator(key);
                if is_successor {
                    self.abort_hand_over(&HandOverError::SuccessorDisconnected);
                }
                self.run_engine_actions();
                ControlFlow::Break(())
            }
        }
    }
}
