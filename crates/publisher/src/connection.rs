//! One client connection: its socket, the request that is being read and the response that is being written.

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

/// The maximum number of bytes of one read.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// A connection without a watch is closed if no request has become complete on it for this long, in
/// microseconds. So a request that takes longer to arrive is cut off.
const IDLE_TIMEOUT: Micros = 30_000_000;
/// The incomplete request bodies of all connections together may have this many times the maximum length of
/// one body.
const MAX_CONCURRENT_BODIES: usize = 2;

/// A client connection, with its watch if the client has opened one.
pub(crate) struct Connection {
    pub(crate) socket: Socket,
    pub(crate) watch: Option<Watch>,
    /// Distinguishes this connection from an earlier one that had the same key.
    generation: u64,
    http: ServerConnection,
    request_head: Option<Box<RequestHead>>,
    request_body: Vec<u8>,
    /// When the latest request became complete, or when the connection was accepted.
    last_request_at: Micros,
    /// No further request is handled, and the connection is closed once all responses are written.
    closing: bool,
}

/// The result of one read from a connection.
pub(crate) enum ReadResult {
    /// Bytes were read, so there may be events to process.
    Received,
    /// No bytes are available at present.
    WouldBlock,
    /// The connection must be closed.
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
            request_head: None,
            request_body: Vec::new(),
            last_request_at: now,
            closing: false,
        }
    }

    pub(crate) fn generation(&self) -> u64 {
        self.generation
    }

    /// Whether the latest request became complete [`IDLE_TIMEOUT`] ago or earlier.
    pub(crate) fn is_idle(&self, now: Micros) -> bool {
        now >= self.last_request_at + IDLE_TIMEOUT
    }

    /// Whether the client sends requests but does not read the responses.
    pub(crate) fn is_congested(&self) -> bool {
        self.socket.unwritten_bytes() > WRITE_BUFFER_HIGH_WATERMARK
    }

    pub(crate) fn read(&mut self) -> ReadResult {
        let mut bytes = [0; READ_BUFFER_BYTES];
        match self.socket.read(&mut bytes) {
            // A subscriber must not send anything after it has opened a watch.
            ReadOutcome::Bytes(_) if self.watch.is_some() => ReadResult::Closed,
            ReadOutcome::Bytes(count) => {
                self.http.feed(&bytes[..count]);
                ReadResult::Received
            }
            ReadOutcome::WouldBlock => ReadResult::WouldBlock,
            ReadOutcome::Closed | ReadOutcome::Failed => ReadResult::Closed,
        }
    }

    pub(crate) fn next_event(&mut self) -> Option<ServerEvent> {
        self.http.next_event()
    }

    /// Starts a request, whose body follows.
    pub(crate) fn begin_request(&mut self, head: Box<RequestHead>) {
        if head.expects_continue {
            self.http.write_continue(self.socket.write_buffer());
        }
        self.request_head = Some(head);
    }

    /// Appends bytes to the body of the request. Returns false if this body would exceed its maximum length,
    /// or all incomplete bodies together would exceed the budget.
    pub(crate) fn append_body(&mut self, bytes: &[u8], budget: &mut BodyBudget) -> bool {
        let is_report = self.request_head.as_ref().is_some_and(|head| head.target == ACKNOWLEDGE_PATH);
        let max_bytes = if is_report { MAX_REPORT_BYTES } else { budget.max_body_bytes };
        if self.request_body.len() + bytes.len() > max_bytes || !budget.reserve(bytes.len()) {
            return false;
        }
        self.request_body.extend_from_slice(bytes);
        true
    }

    /// Returns the request, whose body is complete now.
    pub(crate) fn finish_request(&mut self, now: Micros, budget: &mut BodyBudget) -> Option<Request> {
        self.last_request_at = now;
        let body = std::mem::take(&mut self.request_body);
        budget.release(body.len());
        let head = self.request_head.take()?;
        Some(Request { head, body })
    }

    /// Drops the part of the request body that was read, and returns its bytes to the budget.
    pub(crate) fn discard_body(&mut self, budget: &mut BodyBudget) {
        budget.release(std::mem::take(&mut self.request_body).len());
    }

    /// Writes a response to the socket's write buffer. If `close` is set, it is the last one of the
    /// connection.
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

    /// Starts the endless response of a watch, with these lines first.
    pub(crate) fn begin_watch(&mut self, now: Micros, subscriber: String, lines: Vec<Line>) {
        let out = self.socket.write_buffer();
        self.http.start_response(out, ResponseStart::new(StatusCode::OK, Framing::Chunked));
        self.watch = Some(Watch::new(now, subscriber, lines));
    }

    /// Writes as many bytes as the socket accepts.
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

/// Limits the memory of the request bodies that are still incomplete, over all connections.
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
