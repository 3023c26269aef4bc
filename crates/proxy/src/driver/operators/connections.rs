//! Operators' connections: readiness, time-outs and their end.

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

/// The time that a TLS handshake may take.
pub(super) const HANDSHAKE_TIMEOUT: Micros = 3_000_000;
/// A connection without input for this span is closed.
pub(super) const IDLE_TIMEOUT: Micros = 30_000_000;

/// One operator's connection.
pub(super) struct Connection {
    pub(super) generation: u64,
    pub(super) stream: OperatorStream,
    pub(super) input: Vec<u8>,
    last_read_at: Micros,
}

impl Connection {
    /// Whether it came over the local socket.
    pub(super) fn is_local(&self) -> bool {
        self.stream.unix_stream().is_some()
    }

    /// Takes the next complete line out of the input.
    pub(super) fn next_line(&mut self) -> Option<Vec<u8>> {
        let end = self.input.iter().position(|byte| *byte == b'\n')?;
        Some(self.input.drain(..=end).collect())
    }
}

impl ControlServer {
    /// Connections over the local socket.
    pub(super) fn local_connections(&self) -> usize {
        self.connections.iter().filter(|(_, connection)| connection.is_local()).count()
    }

    /// Connections over TCP.
    pub(super) fn remote_connections(&self) -> usize {
        self.connections.iter().filter(|(_, connection)| !connection.is_local()).count()
    }

    /// The connection over TCP that has been in its handshake for longest.
    pub(super) fn oldest_handshake(&self) -> Option<usize> {
        let handshakes = self.connections.iter().filter(|(_, connection)| connection.stream.is_handshaking());
        handshakes.min_by_key(|(_, connection)| connection.generation).map(|(key, _)| key)
    }

    /// Whether a connection is still the one that was meant.
    pub(super) fn is_open(&self, id: ConnectionId) -> bool {
        self.connections.get(id.key).is_some_and(|connection| connection.generation == id.generation)
    }
}

impl Proxy {
    /// Puts an operator's connection on the event loop.
    pub(super) fn add_operator(
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
        let on_ready = move |readiness: Readiness, proxy: &mut Proxy| proxy.on_operator(key, readiness);
        let Ok(stream) = OperatorStream::register(&self.loop_handle, transport, tls, on_ready) else {
            return;
        };
        entry.insert(Connection { generation, stream, input: Vec::new(), last_read_at: now });
        self.timers.set(now + timeout, TimerKind::Operator(ConnectionId { key, generation }));
    }

    /// A connection's time-out may have expired.
    pub(in super::super) fn operator_timeout(&mut self, id: ConnectionId) {
        let now = self.now();
        let Some(control) = &self.control_server else { return };
        let Some(connection) = control.connections.get(id.key).filter(|_| control.is_open(id)) else {
            return;
        };
        // Bytes of a handshake do not count: its time began when the connection was accepted.
        let is_handshaking = connection.stream.is_handshaking();
        let closes_at = if is_handshaking { now } else { connection.last_read_at + IDLE_TIMEOUT };
        if closes_at > now {
            self.timers.set(closes_at, TimerKind::Operator(id));
        } else {
            self.close_operator(id.key);
        }
    }

    /// Closes a connection.
    pub(in super::super) fn close_operator(&mut self, key: usize) {
        let Some(control) = &mut self.control_server else { return };
        if let Some(connection) = control.connections.try_remove(key) {
            connection.stream.remove(&self.loop_handle);
        }
    }

    /// The operator's connection at this place, if it is a local one.
    pub(in super::super) fn operator_connection(&self, key: usize) -> Option<ConnectionId> {
        let connection = self.control_server.as_ref()?.connections.get(key)?;
        connection.is_local().then_some(ConnectionId { key, generation: connection.generation })
    }

    /// The stream of an operator's local connection, if that is still open.
    pub(in super::super) fn operator_stream(&self, id: ConnectionId) -> Option<&UnixStream> {
        let connection = self.control_server.as_ref()?.connections.get(id.key)?;
        connection.stream.unix_stream().filter(|_| connection.generation == id.generation)
    }

    /// A connection is ready to be read or written.
    fn on_operator(&mut self, key: usize, readiness: Readiness) {
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

    /// Reads once; breaks off where the input is no operator's request.
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
