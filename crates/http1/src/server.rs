//! The side of a proxy that faces clients: reads requests, one at a time, and writes their responses.
//!
//! Pipelined requests wait in the input buffer until the response to the previous request is complete. After
//! an error, or after a request with `Connection: close`, the connection ends once the response has been
//! written.

use crate::body::{BodyReader, write_chunk, write_last_chunk};
use crate::fields::{end_to_end_fields, write_field, write_framing};
use crate::framing::has_body;
use crate::head::{Limits, RequestHead, parse_request};
use crate::input::InputBuffer;
use crate::scan::{HeadScan, scan_head};
use crate::{Framing, FramingError};
use http::header::{HeaderMap, HeaderName};
use http::{Method, StatusCode, Version};

/// An event that the input from a client contains.
#[derive(Debug)]
pub enum ServerEvent {
    /// The head of a request. The events of its body follow, if it has one.
    Head(Box<RequestHead>),
    /// Bytes of the body.
    Body(Vec<u8>),
    /// The request is complete.
    End,
    /// The input is malformed. The caller responds with the error's status and closes the connection.
    Error(FramingError),
}

/// The values from which the head of a response is written.
#[derive(Clone, Copy, Debug)]
pub struct ResponseStart<'a> {
    /// The status.
    pub status: StatusCode,
    /// The header fields to forward, if any. Hop-by-hop fields among them are left out.
    pub headers: Option<&'a HeaderMap>,
    /// Additional fields, which are written unchanged.
    pub extra_fields: &'a [(HeaderName, &'a [u8])],
    /// How the body is framed.
    pub framing: Framing,
    /// Whether the connection closes after the response.
    pub close: bool,
}

impl ResponseStart<'_> {
    /// Creates a response without header fields, after which the connection can carry another request.
    pub fn new(status: StatusCode, framing: Framing) -> Self {
        ResponseStart { status, headers: None, extra_fields: &[], framing, close: false }
    }
}

/// The input that is expected from the client.
#[derive(Debug)]
enum State {
    /// The head of a request. The input has been scanned for its end up to the offset `scanned`.
    Head { scanned: usize },
    /// The body of a request.
    Body(BodyReader),
    /// Nothing, as the request is complete and its response has not been written yet.
    AwaitingResponse,
    /// Nothing, as the connection is closed or closes after the response.
    Closed,
}

/// The protocol state of one connection to a client.
#[derive(Debug)]
pub struct ServerConnection {
    limits: Limits,
    input: InputBuffer,
    state: State,
    /// Whether the version of the current request is HTTP/1.0.
    is_http10: bool,
    /// Whether the method of the current request is HEAD.
    is_head_request: bool,
    /// Whether the connection can carry another request after the current one.
    keep_alive: bool,
    /// Whether what follows the current request is discarded.
    refuses_requests: bool,
    /// How the body of the current response is framed; none before the response has started.
    response_framing: Option<Framing>,
}

impl ServerConnection {
    /// Creates the state of a new connection.
    pub fn new(limits: Limits) -> Self {
        ServerConnection {
            limits,
            input: InputBuffer::default(),
            state: State::Head { scanned: 0 },
            is_http10: false,
            is_head_request: false,
            keep_alive: true,
            refuses_requests: false,
            response_framing: None,
        }
    }

    /// Adds bytes that were received from the client. They are discarded after an error or the last response,
    /// and after [`ServerConnection::refuse_further_requests`].
    pub fn feed(&mut self, bytes: &[u8]) {
        self.input.remove_consumed();
        if !matches!(self.state, State::Closed) && !self.refuses_requests {
            self.input.append(bytes);
        }
    }

    /// Discards what has arrived behind a complete request and what still arrives. The connection closes after
    /// the response, which tells the client that the requests behind this one were not processed (RFC 9112,
    /// 9.6). Has no effect before the request is complete.
    pub fn refuse_further_requests(&mut self) {
        if matches!(self.state, State::AwaitingResponse) {
            self.refuses_requests = true;
            self.keep_alive = false;
            self.input.clear();
        }
    }

    /// Returns the number of received bytes that are not part of an event yet. The driver stops reading from
    /// the client while this number is large.
    pub fn buffered_bytes(&self) -> usize {
        self.input.len()
    }

    /// Returns how many bytes of memory the received bytes take.
    pub fn held_bytes(&self) -> usize {
        self.input.capacity()
    }

    /// Whether the connection is between requests and nothing of the next request has been received.
    pub fn is_idle(&self) -> bool {
        matches!(self.state, State::Head { .. }) && self.input.is_empty()
    }

    /// Whether a request has been received in part.
    pub fn is_receiving(&self) -> bool {
        match self.state {
            State::Head { .. } => !self.input.is_empty(),
            State::Body(_) => true,
            State::AwaitingResponse | State::Closed => false,
        }
    }

    /// Returns the next event, or none if more input or the response to the current request is needed first.
    pub fn next_event(&mut self) -> Option<ServerEvent> {
        self.advance().unwrap_or_else(|error| {
            self.close_input();
            self.keep_alive = false;
            Some(ServerEvent::Error(error))
        })
    }

    fn advance(&mut self) -> Result<Option<ServerEvent>, FramingError> {
        match self.state {
            State::AwaitingResponse | State::Closed => Ok(None),
            State::Head { scanned } => self.read_head(scanned),
            State::Body(_) => self.read_body(),
        }
    }

    fn read_head(&mut self, scanned: usize) -> Result<Option<ServerEvent>, FramingError> {
        // One empty line before the request line is ignored (RFC 9112, 2.2).
        if scanned == 0 && self.input.unconsumed().starts_with(b"\r\n") {
            self.input.consume(2);
        }
        let length = match scan_head(self.input.unconsumed(), scanned, &self.limits)? {
            HeadScan::Incomplete(scanned) => {
                self.state = State::Head { scanned };
                return Ok(None);
            }
            HeadScan::Complete(length) => length,
        };
        let head = parse_request(&self.input.unconsumed()[..length], &self.limits)?;
        self.input.consume(length);
        self.is_http10 = head.version == Version::HTTP_10;
        self.is_head_request = head.method == Method::HEAD;
        self.keep_alive = head.keep_alive;
        self.state = State::Body(BodyReader::new(head.framing, self.limits.max_body_bytes));
        Ok(Some(ServerEvent::Head(Box::new(head))))
    }

    fn read_body(&mut self) -> Result<Option<ServerEvent>, FramingError> {
        let State::Body(reader) = &mut self.state else { return Ok(None) };
        let body = reader.read_buffered(&mut self.input)?;
        if !body.is_empty() {
            return Ok(Some(ServerEvent::Body(body)));
        }
        if !reader.is_done() {
            return Ok(None);
        }
        self.state = State::AwaitingResponse;
        Ok(Some(ServerEvent::End))
    }

    /// Appends the informational response `100 Continue`.
    pub fn write_continue(&self, out: &mut Vec<u8>) {
        out.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
    }

    /// Appends the head of a response. If the request is not complete yet, the connection closes after the
    /// response, because the rest of the request could be taken for the next request.
    pub fn start_response(&mut self, out: &mut Vec<u8>, response: ResponseStart<'_>) {
        let status = response.status;
        let has_body = has_body(status, self.is_head_request);
        let framing = self.supported_framing(response.framing);
        let request_is_complete = matches!(self.state, State::AwaitingResponse);
        let ends_with_connection = framing == Framing::UntilClose && has_body;
        if response.close || !request_is_complete || ends_with_connection {
            self.keep_alive = false;
        }
        self.write_status_line(out, status);
        if let Some(headers) = response.headers {
            for (name, value) in end_to_end_fields(headers, &[]) {
                write_field(out, name.as_str(), value.as_bytes());
            }
        }
        for (name, value) in response.extra_fields {
            write_field(out, name.as_str(), value);
        }
        // Responses to HEAD and responses with status 304 state the length that a body would have.
        // Informational responses and those with status 204 must not state a framing.
        let forbids_framing = status.is_informational() || status == StatusCode::NO_CONTENT;
        if !forbids_framing {
            write_framing(out, framing);
        }
        self.write_connection_field(out);
        out.extend_from_slice(b"\r\n");
        self.response_framing = Some(if has_body { framing } else { Framing::Length(0) });
    }

    /// Returns a framing that the client supports. HTTP/1.0 has no chunks, so the body ends with the
    /// connection instead.
    fn supported_framing(&self, framing: Framing) -> Framing {
        match framing {
            Framing::Chunked if self.is_http10 => Framing::UntilClose,
            other => other,
        }
    }

    fn write_status_line(&self, out: &mut Vec<u8>, status: StatusCode) {
        let version: &[u8] = if self.is_http10 { b"HTTP/1.0 " } else { b"HTTP/1.1 " };
        out.extend_from_slice(version);
        out.extend_from_slice(status.as_str().as_bytes());
        out.push(b' ');
        out.extend_from_slice(status.canonical_reason().unwrap_or("").as_bytes());
        out.extend_from_slice(b"\r\n");
    }

    /// Appends the field `Connection` if the connection does not do what is the default of the HTTP version.
    fn write_connection_field(&self, out: &mut Vec<u8>) {
        if !self.keep_alive {
            out.extend_from_slice(b"connection: close\r\n");
        } else if self.is_http10 {
            out.extend_from_slice(b"connection: keep-alive\r\n");
        }
    }

    /// Appends bytes of the response's body. They are dropped if the response has no body.
    pub fn write_body(&mut self, out: &mut Vec<u8>, bytes: &[u8]) {
        match self.response_framing {
            Some(Framing::Chunked) => write_chunk(out, bytes),
            Some(Framing::Length(0)) | None => {}
            Some(_) => out.extend_from_slice(bytes),
        }
    }

    /// Appends the end of the response. Returns whether the connection persists, so that the next request can
    /// be read.
    pub fn finish_response(&mut self, out: &mut Vec<u8>) -> bool {
        if self.response_framing.take() == Some(Framing::Chunked) {
            write_last_chunk(out);
        }
        let persists = self.keep_alive && matches!(self.state, State::AwaitingResponse);
        if persists {
            self.state = State::Head { scanned: 0 };
        } else {
            self.close_input();
        }
        persists
    }

    /// Stops reading, and frees the received bytes.
    fn close_input(&mut self) {
        self.state = State::Closed;
        self.input.clear();
    }
}
