//! One connection: its socket, the request being read, the response being written.

use crate::http_messages::{Request, Response};
use crate::protocol::ACKNOWLEDGE_PATH;
use crate::watch::Watch;
use http::StatusCode;
use http::header::HeaderName;
use violetseam_distribution::Micros;
use violetseam_distribution::message::{Line, MAX_REPORT_BYTES};
use violetseam_event_io::{ReadOutcome, Socket, WRITE_BUFFER_HIGH_WATERMARK};
use violetseam_http1::server::{ResponseStart, ServerConnection, ServerEvent};
use violetseam_http1::{Framing, Limits, RequestHead};

/// Bytes that are read at once.
const READ_BYTES: usize = 16 * 1024;
/// A connection without a watch is closed when its latest request came this long ago, in microseconds: a
/// request must be complete in this time, too.
const IDLE_TIMEOUT: Micros = 30_000_000;
/// Incomplete request bodies together may be this many times the longest one.
const MAX_CONCURRENT_BODIES: usize = 2;

/// A connection, and its watch if it carries one.
pub(crate) struct Connection {
    pub(crate) socket: Socket,
    pub(crate) watch: Option<Watch>,
    /// Differs from that of an earlier connection under the same key.
    generation: u64,
    http: ServerConnection,
    head: Option<Box<RequestHead>>,
    body: Vec<u8>,
    used_at: Micros,
    /// No further request is answered: it is closed when all is written.
    closing: bool,
}

/// What was read from a connection.
pub(crate) enum ConnectionInput {
    /// There may be events to process.
    Input,
    /// Nothing for now.
    Nothing,
    /// The connection is to be closed.
    Closed,
}

impl Connection {
    pub(crate) fn new(generation: u64, socket: Socket, max_body_bytes: usize, now: Micros) -> Connection {
        let limits = Limits { max_body_bytes: max_body_bytes as u64, ..Limits::default() };
        Connection {
            socket,
            watch: None,
            generation,
            http: ServerConnection::new(limits),
            head: None,
            body: Vec::new(),
            used_at: now,
            closing: false,
        }
    }

    pub(crate) fn generation(&self) -> u64 {
        self.generation
    }

    /// Whether its latest request came too long ago.
    pub(crate) fn is_idle(&self, now: Micros) -> bool {
        now >= self.used_at + IDLE_TIMEOUT
    }

    /// Whether its client sends requests without reading the responses.
    pub(crate) fn is_congested(&self) -> bool {
        self.socket.unwritten_bytes() > WRITE_BUFFER_HIGH_WATERMARK
    }

    pub(crate) fn read(&mut self) -> ConnectionInput {
        let mut bytes = [0; READ_BYTES];
        match self.socket.read(&mut bytes) {
            // A subscriber sends nothing on its watch.
            ReadOutcome::Bytes(_) if self.watch.is_some() => ConnectionInput::Closed,
            ReadOutcome::Bytes(count) => {
                self.http.feed(&bytes[..count]);
                ConnectionInput::Input
            }
            ReadOutcome::WouldBlock => ConnectionInput::Nothing,
            ReadOutcome::Closed | ReadOutcome::Failed => ConnectionInput::Closed,
        }
    }

    pub(crate) fn next_event(&mut self) -> Option<ServerEvent> {
        self.http.next_event()
    }

    /// Begins a request.
    pub(crate) fn begin_request(&mut self, head: Box<RequestHead>) {
        if head.expects_continue {
            self.http.write_continue(self.socket.write_buffer());
        }
        self.head = Some(head);
    }

    /// Adds bytes to the body of the request. Returns false where it is over its bound, or all bodies together
    /// are.
    pub(crate) fn append_body(&mut self, bytes: &[u8], budget: &mut BodyBudget) -> bool {
        let is_report = self.head.as_ref().is_some_and(|head| head.target == ACKNOWLEDGE_PATH);
        let max_bytes = if is_report { MAX_REPORT_BYTES } else { budget.max_body_bytes };
        if self.body.len() + bytes.len() > max_bytes || !budget.reserve(bytes.len()) {
            return false;
        }
        self.body.extend_from_slice(bytes);
        true
    }

    /// Takes the request, whose body is complete.
    pub(crate) fn finish_request(&mut self, now: Micros, budget: &mut BodyBudget) -> Option<Request> {
        self.used_at = now;
        let body = std::mem::take(&mut self.body);
        budget.release(body.len());
        let head = self.head.take()?;
        Some(Request { head, body })
    }

    /// Drops what was read of the body of a request.
    pub(crate) fn discard_body(&mut self, budget: &mut BodyBudget) {
        budget.release(std::mem::take(&mut self.body).len());
    }

    /// Writes a response into the socket's buffer; with `close` it is the last one.
    pub(crate) fn respond(&mut self, response: &Response, close: bool) {
        let headers: Vec<(HeaderName, &[u8])> =
            response.headers.iter().map(|(name, value)| (name.clone(), value.as_bytes())).collect();
        let framing = Framing::Length(response.body.len() as u64);
        let out = self.socket.write_buffer();
        let start =
            ResponseStart { status: response.status, headers: None, extra_fields: &headers, framing, close };
        self.http.start_response(out, start);
        self.http.write_body(out, &response.body);
        self.closing |= !self.http.finish_response(out);
    }

    /// Begins the endless response of a watch with these lines.
    pub(crate) fn begin_watch(&mut self, now: Micros, subscriber: String, lines: Vec<Line>) {
        let out = self.socket.write_buffer();
        self.http.start_response(out, ResponseStart::new(StatusCode::OK, Framing::Chunked));
        self.watch = Some(Watch::new(now, subscriber, lines));
    }

    /// Writes as much as the socket accepts.
    pub(crate) fn write(&mut self, now: Micros) -> std::io::Result<()> {
        match &mut self.watch {
            Some(watch) => watch.write(now, &mut self.http, &mut self.socket)?,
            None => {
                self.socket.flush()?;
            }
        }
        if self.closing && !self.socket.has_unwritten_bytes() {
            self.socket.close_write();
        }
        Ok(())
    }
}

/// Bounds the bytes of all request bodies that are not complete yet.
pub(crate) struct BodyBudget {
    max_body_bytes: usize,
    buffered_bytes: usize,
}

impl BodyBudget {
    pub(crate) fn new(max_body_bytes: usize) -> BodyBudget {
        BodyBudget { max_body_bytes, buffered_bytes: 0 }
    }

    fn reserve(&mut self, bytes: usize) -> bool {
        let fits = self.buffered_bytes + bytes <= self.max_body_bytes * MAX_CONCURRENT_BODIES;
        if fits {
            self.buffered_bytes += bytes;
        }
        fits
    }

    fn release(&mut self, bytes: usize) {
        self.buffered_bytes -= bytes;
    }
}
