//! The HTTP connections of proxies and the platform.

use super::Controller;
use super::watches::Watch;
use calloop::{Interest, Readiness};
use http::StatusCode;
use std::net::{TcpListener, TcpStream};
use std::time::Instant;
use violetseam_event_io::{ReadOutcome, Socket};
use violetseam_http1::server::{ResponseStart, ServerConnection, ServerEvent};
use violetseam_http1::{Framing, Limits, RequestHead};
use violetseam_site_protocol::{placement, release_service};

/// The largest number of simultaneous connections. Further ones are closed at once.
const MAX_CONNECTIONS: usize = 4_096;
/// The largest number of unsent bytes on a connection. Beyond it, the connection is closed, since its peer
/// does not read.
const MAX_UNSENT_BYTES: usize = 8 << 20;
/// The largest number of bytes that one read takes.
const READ_BUFFER_LEN: usize = 16 * 1024;

/// Identifies a connection: its slot in the table, and a generation that differs for each connection in that
/// slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ConnectionId {
    pub key: usize,
    pub generation: u64,
}

/// A connection from a proxy or the platform.
pub(super) struct Connection {
    pub generation: u64,
    pub socket: Socket,
    pub http: ServerConnection,
    /// The head of the request that is being read.
    pub head: Option<Box<RequestHead>>,
    pub body: Vec<u8>,
    pub watch: Watch,
    /// When the connection was accepted, last completed a request, or was last written to by its watch.
    pub last_active: Instant,
}

impl Controller {
    /// Accepts all connections that wait.
    pub(super) fn accept(&mut self, listener: &TcpListener) {
        while let Ok((stream, _)) = listener.accept() {
            if self.connections.len() < MAX_CONNECTIONS {
                self.add_connection(stream);
            }
        }
    }

    fn add_connection(&mut self, stream: TcpStream) {
        if stream.set_nonblocking(true).is_err() || stream.set_nodelay(true).is_err() {
            return;
        }
        self.last_generation += 1;
        let entry = self.connections.vacant_entry();
        let key = entry.key();
        let on_ready = move |ready: Readiness, controller: &mut Controller| controller.on_ready(key, ready);
        let Ok(socket) = Socket::register(&self.handle, stream, Interest::READ, on_ready) else { return };
        entry.insert(Connection {
            generation: self.last_generation,
            socket,
            http: ServerConnection::new(Limits {
                max_body_bytes: placement::MAX_LINE_BYTES as u64,
                ..Limits::default()
            }),
            head: None,
            body: Vec::new(),
            watch: Watch::None,
            last_active: Instant::now(),
        });
    }

    /// Returns whether this connection is still open, and its slot not used by a later one.
    pub(super) fn is_open(&self, id: ConnectionId) -> bool {
        self.connections.get(id.key).is_some_and(|connection| connection.generation == id.generation)
    }

    pub(super) fn close(&mut self, key: usize) {
        if let Some(connection) = self.connections.try_remove(key) {
            connection.socket.remove(&self.handle);
        }
    }

    fn on_ready(&mut self, key: usize, ready: Readiness) {
        if ready.writable {
            self.flush(key);
        }
        if ready.readable || ready.error {
            self.read(key);
        }
    }

    fn read(&mut self, key: usize) {
        let mut bytes = [0; READ_BUFFER_LEN];
        let Some(connection) = self.connections.get_mut(key) else { return };
        match connection.socket.read(&mut bytes) {
            ReadOutcome::Bytes(len) => {
                connection.http.feed(&bytes[..len]);
                self.process_input(key);
            }
            ReadOutcome::WouldBlock => {}
            ReadOutcome::Closed | ReadOutcome::Failed => self.close(key),
        }
    }

    /// Parses the bytes that were read, and handles each complete request.
    fn process_input(&mut self, key: usize) {
        while let Some(connection) = self.connections.get_mut(key) {
            match connection.http.next_event() {
                None => return,
                Some(ServerEvent::Head(head)) => {
                    connection.body.clear();
                    connection.head = Some(head);
                }
                Some(ServerEvent::Body(bytes)) => {
                    if connection.body.len() + bytes.len() > connection.max_body_len() {
                        return self.close(key);
                    }
                    connection.body.extend_from_slice(&bytes);
                }
                Some(ServerEvent::End) => self.on_request(key),
                Some(ServerEvent::Error(_)) => return self.close(key),
            }
        }
    }

    /// Sends a complete response to the current request.
    pub(super) fn respond(&mut self, key: usize, status: StatusCode, body: &[u8]) {
        let Some(Connection { socket, http, .. }) = self.connections.get_mut(key) else { return };
        let framing = Framing::Length(body.len() as u64);
        http.start_response(socket.write_buffer(), ResponseStart::new(status, framing));
        http.write_body(socket.write_buffer(), body);
        let keep_alive = http.finish_response(socket.write_buffer());
        self.flush(key);
        if !keep_alive && let Some(connection) = self.connections.get(key) {
            connection.socket.close_write();
        }
    }

    /// Writes what is waiting to be sent.
    pub(super) fn flush(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        // A watching proxy or platform that does not read is disconnected. It will connect again.
        if connection.socket.flush().is_err() || connection.socket.unwritten_bytes() > MAX_UNSENT_BYTES {
            return self.close(key);
        }
        connection.socket.set_read_interest(&self.handle, true);
    }
}

impl Connection {
    /// Returns the largest body of the request that is being read. Only place reports may be long.
    fn max_body_len(&self) -> usize {
        let is_place_report = self.head.as_ref().is_some_and(|head| head.target.starts_with("/v1/places"));
        if is_place_report { placement::MAX_LINE_BYTES } else { release_service::MAX_LINE_BYTES }
    }
}
