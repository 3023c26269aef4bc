//! Connections: accepting, reading, writing, closing, and their bounds.

use crate::protocol::ACKNOWLEDGE_PATH;
use crate::serve::Server;
use crate::watches::Watch;
use calloop::{Interest, Readiness};
use http::StatusCode;
use http::header::{HeaderMap, HeaderName};
use std::io::ErrorKind;
use std::net::{TcpListener, TcpStream};
use violetseam_distribution::Micros;
use violetseam_distribution::message::MAX_REPORT_BYTES;
use violetseam_distribution::subscriber::HEARTBEAT_INTERVAL;
use violetseam_http1::server::{ServerConn, ServerEvent};
use violetseam_http1::{Framing, Limits, RequestHead};
use violetseam_loopio::{Got, HIGH_WATER, Socket};

/// Bytes that are read at once.
const READ_BYTES: usize = 16 * 1024;
/// A connection without a watch is closed when its latest request came this long ago, in microseconds: a
/// request must be complete in this time, too.
const IDLE_MOST: Micros = 30_000_000;
/// Each connection is looked at this often at least, in microseconds.
const CHECK_INTERVAL: Micros = HEARTBEAT_INTERVAL;
/// Incomplete request bodies together may be this many times the longest one.
const BODIES_AT_ONCE: usize = 2;

/// A connection, and its watch if it carries one.
pub(crate) struct Connection {
    pub(crate) generation: u64,
    pub(crate) socket: Socket,
    pub(crate) http: ServerConn,
    pub(crate) watch: Option<Watch>,
    head: Option<Box<RequestHead>>,
    body: Vec<u8>,
    used_at: Micros,
    /// Nothing more is answered: it ends when all is written.
    ending: bool,
}

/// A complete request.
pub(crate) struct Request {
    pub(crate) head: Box<RequestHead>,
    pub(crate) body: Vec<u8>,
}

impl Server {
    pub(crate) fn accept(&mut self, listener: &TcpListener) {
        loop {
            match listener.accept() {
                Ok((stream, _)) if self.connections.len() < self.settings.bounds.connections => {
                    self.add_connection(stream);
                }
                Ok(_) => {
                    if self.log_rate.allows(self.now()) {
                        tracing::warn!(connections = self.connections.len(), "a connection over the bound");
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::ConnectionAborted => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => {
                    if self.log_rate.allows(self.now()) {
                        tracing::warn!("connections cannot be accepted: {error}");
                    }
                    return self.pause_accepting();
                }
            }
        }
    }

    fn add_connection(&mut self, stream: TcpStream) {
        if stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true)).is_err() {
            return;
        }
        self.generation += 1;
        let (generation, now) = (self.generation, self.now());
        let limits = Limits { body: self.settings.bounds.body_bytes as u64, ..Limits::default() };
        let entry = self.connections.vacant_entry();
        let key = entry.key();
        let on_ready = move |ready: Readiness, server: &mut Server| server.on_ready(key, ready);
        let Ok(socket) = Socket::register(&self.handle, stream, Interest::READ, on_ready) else { return };
        entry.insert(Connection {
            generation,
            socket,
            http: ServerConn::new(limits),
            watch: None,
            head: None,
            body: Vec::new(),
            used_at: now,
            ending: false,
        });
        self.timers.set(now + CHECK_INTERVAL, (key, generation));
    }

    pub(crate) fn close(&mut self, key: usize) {
        if !self.connections.contains(key) {
            return;
        }
        let connection = self.connections.remove(key);
        connection.socket.remove(&self.handle);
        self.body_bytes -= connection.body.len();
        if let Some(watch) = connection.watch
            && self.watch_of.get(&watch.subscriber) == Some(&key)
        {
            self.watch_of.remove(&watch.subscriber);
        }
    }

    fn on_ready(&mut self, key: usize, ready: Readiness) {
        if ready.writable {
            self.write(key);
        }
        if ready.readable || ready.error {
            self.read(key);
        }
    }

    fn read(&mut self, key: usize) {
        let mut bytes = [0; READ_BYTES];
        let Some(connection) = self.connections.get_mut(key) else { return };
        match connection.socket.read(&mut bytes) {
            // A subscriber has nothing to say on its watch.
            Got::Bytes(_) if connection.watch.is_some() => self.close(key),
            Got::Bytes(count) => {
                connection.http.feed(&bytes[..count]);
                self.take_events(key);
            }
            Got::Nothing => {}
            Got::Closed | Got::Broken => self.close(key),
        }
    }

    fn take_events(&mut self, key: usize) {
        while let Some(connection) = self.connections.get_mut(key) {
            match connection.http.next_event() {
                None => return,
                Some(ServerEvent::Head(head)) => {
                    if head.expects_continue {
                        connection.http.write_continue(connection.socket.out());
                    }
                    connection.head = Some(head);
                    self.write(key);
                }
                Some(ServerEvent::Body(bytes)) => {
                    if !self.take_body(key, &bytes) {
                        return self.end_with(key, StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");
                    }
                }
                Some(ServerEvent::End) => self.take_request(key),
                Some(ServerEvent::Fault(fault)) => return self.end_with(key, fault.status, fault.reason),
            }
        }
    }

    /// Takes bytes of a body; false where it is over its bound, or all bodies together are.
    fn take_body(&mut self, key: usize, bytes: &[u8]) -> bool {
        let most = self.settings.bounds.body_bytes;
        let Some(connection) = self.connections.get_mut(key) else { return true };
        let is_report = connection.head.as_ref().is_some_and(|head| head.target == ACKNOWLEDGE_PATH);
        let body_most = if is_report { MAX_REPORT_BYTES } else { most };
        if connection.body.len() + bytes.len() > body_most
            || self.body_bytes + bytes.len() > most * BODIES_AT_ONCE
        {
            return false;
        }
        connection.body.extend_from_slice(bytes);
        self.body_bytes += bytes.len();
        true
    }

    fn take_request(&mut self, key: usize) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(key) else { return };
        connection.used_at = now;
        let body = std::mem::take(&mut connection.body);
        self.body_bytes -= body.len();
        let Some(head) = connection.head.take() else { return };
        // Who asks on and on without reading the answers is let go.
        if connection.socket.unwritten() > HIGH_WATER {
            return self.close(key);
        }
        self.answer(key, Request { head, body });
    }

    /// Answers with a whole body.
    pub(crate) fn respond(
        &mut self,
        key: usize,
        status: StatusCode,
        extra: &[(HeaderName, &[u8])],
        body: &[u8],
        close: bool,
    ) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        let (out, length) = (connection.socket.out(), Framing::Length(body.len() as u64));
        connection.http.start_answer(out, status, &HeaderMap::new(), extra, length, close);
        connection.http.write_body(out, body);
        connection.ending |= !connection.http.finish_answer(out);
        self.write(key);
    }

    /// Answers a request that cannot be understood or taken; the connection ends.
    fn end_with(&mut self, key: usize, status: StatusCode, reason: &str) {
        if let Some(connection) = self.connections.get_mut(key) {
            self.body_bytes -= std::mem::take(&mut connection.body).len();
        }
        self.refuse(key, status, reason, true);
    }

    /// Writes what waits, as far as the connection takes it.
    pub(crate) fn write(&mut self, key: usize) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(key) else { return };
        let written = match &mut connection.watch {
            Some(watch) => watch.write(now, &mut connection.http, &mut connection.socket),
            None => connection.socket.flush().map(|_| ()),
        };
        if written.is_err() {
            return self.close(key);
        }
        if connection.ending && !connection.socket.waits() {
            connection.socket.close_write();
        }
        connection.socket.want(&self.handle, true);
    }

    /// Looks at connections that are due: heartbeats, slow readers, idle ones.
    pub(crate) fn check_due_connections(&mut self) {
        let now = self.now();
        while let Some((key, generation)) = self.timers.pop(now) {
            let is_live = |c: &&mut Connection| c.generation == generation;
            let Some(connection) = self.connections.get_mut(key).filter(is_live) else { continue };
            let is_idle = now >= connection.used_at + IDLE_MOST;
            let next = match &connection.watch {
                Some(_) => self.check_watch(key, now),
                None if is_idle => None,
                None => Some(now + CHECK_INTERVAL),
            };
            match next {
                Some(at) => self.timers.set(at, (key, generation)),
                None => self.close(key),
            }
        }
    }
}
