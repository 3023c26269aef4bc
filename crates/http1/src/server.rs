//! The side that faces clients: reads requests one at a time and writes their responses.
//!
//! Pipelined requests wait in the input buffer until the one before them has its response. After an error, or
//! a request that asks for it, the connection closes once its response is written.

use crate::body::{BodyReader, write_chunk, write_last_chunk};
use crate::fields::{end_to_end, write_field, write_framing};
use crate::framing::has_body;
use crate::head::{Limits, RequestHead, parse_request};
use crate::input::InputBuffer;
use crate::scan::{HeadScan, scan_head};
use crate::{Framing, FramingError};
use http::header::{HeaderMap, HeaderName};
use http::{Method, StatusCode, Version};

/// What the input contained.
#[derive(Debug)]
pub enum ServerEvent {
    /// A request's head; its body follows, if it has one.
    Head(Box<RequestHead>),
    /// Bytes of the body.
    Body(Vec<u8>),
    /// The request is complete.
    End,
    /// The input is malformed: respond with the error's status and close the connection.
    Error(FramingError),
}

/// The start of a response.
#[derive(Clone, Copy, Debug)]
pub struct ResponseStart<'a> {
    /// The status.
    pub status: StatusCode,
    /// Fields to forward; hop-by-hop fields among them are dropped.
    pub headers: Option<&'a HeaderMap>,
    /// Further fields, written as they are.
    pub extra_fields: &'a [(HeaderName, &'a [u8])],
    /// How the body is framed.
    pub framing: Framing,
    /// Whether the connection closes after the response.
    pub close: bool,
}

impl ResponseStart<'_> {
    /// A response without fields of its own, after which the connection may carry another request.
    pub fn new(status: StatusCode, framing: Framing) -> Self {
        ResponseStart { status, headers: None, extra_fields: &[], framing, close: false }
    }
}

/// What is expected from the client.
#[derive(Debug)]
enum State {
    /// A request's head, which has been scanned up to this offset.
    Head { scanned: usize },
    /// A request's body.
    Body(BodyReader),
    /// Nothing until the request, which is complete, has its response.
    AwaitingResponse,
    /// Nothing more.
    Closed,
}

/// The framing of one connection to a client.
#[derive(Debug)]
pub struct ServerConnection {
    limits: Limits,
    input: InputBuffer,
    state: State,
    /// The current request's version is HTTP/1.0.
    is_http10: bool,
    /// The current request's method is HEAD.
    is_head_request: bool,
    /// The connection may carry another request after the current one.
    keep_alive: bool,
    /// How the current response's body is framed, once it has started.
    response_framing: Option<Framing>,
}

impl ServerConnection {
    /// A new connection.
    pub fn new(limits: Limits) -> Self {
        ServerConnection {
            limits,
            input: InputBuffer::default(),
            state: State::Head { scanned: 0 },
            is_http10: false,
            is_head_request: false,
            keep_alive: true,
            response_framing: None,
        }
    }

    /// Appends bytes from the client.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.input.drop_consumed();
        if !matches!(self.state, State::Closed) {
            self.input.append(bytes);
        }
    }

    /// How many received bytes no event has returned yet. A driver stops reading while this is large.
    pub fn buffered_bytes(&self) -> usize {
        self.input.len()
    }

    /// Whether the connection is between requests, with nothing received of the next one.
    pub fn is_idle(&self) -> bool {
        matches!(self.state, State::Head { .. }) && self.input.is_empty()
    }

    /// Whether a part of a request has arrived and the rest has not.
    pub fn is_receiving(&self) -> bool {
        match self.state {
            State::Head { .. } => !self.input.is_empty(),
            State::Body(_) => true,
            State::AwaitingResponse | State::Closed => false,
        }
    }

    /// The next event of the received input, if it is complete.
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
        // One empty line before a request is ignored (RFC 9112, 2.2).
        if scanned == 0 && self.input.unread().starts_with(b"\r\n") {
            self.input.consume(2);
        }
        let length = match scan_head(self.input.unread(), scanned, &self.limits)? {
            HeadScan::Incomplete(scanned) => {
                self.state = State::Head { scanned };
                return Ok(None);
            }
            HeadScan::Complete(length) => length,
        };
        let head = parse_request(&self.input.unread()[..length], &self.limits)?;
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

    /// Appends `100 Continue`.
    pub fn write_continue(&self, out: &mut Vec<u8>) {
        out.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
    }

    /// Appends a response's head. A response before the request is complete closes the connection, as what is
    /// left of the request cannot be told from a next one.
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
            for (name, value) in end_to_end(headers, &[]) {
                write_field(out, name.as_str(), value.as_bytes());
            }
        }
        for (name, value) in response.extra_fields {
            write_field(out, name.as_str(), value);
        }
        // Responses to HEAD and of 304 state the length that a body would have; these must not.
        let forbids_framing = status.is_informational() || status == StatusCode::NO_CONTENT;
        if !forbids_framing {
            write_framing(out, framing);
        }
        self.write_connection_field(out);
        out.extend_from_slice(b"\r\n");
        self.response_framing = Some(if has_body { framing } else { Framing::Length(0) });
    }

    /// A client of HTTP/1.0 does not know chunks: the body ends with the connection instead.
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

    /// Writes whether the connection persists, where that differs from the version's default.
    fn write_connection_field(&self, out: &mut Vec<u8>) {
        if !self.keep_alive {
            out.extend_from_slice(b"connection: close\r\n");
        } else if self.is_http10 {
            out.extend_from_slice(b"connection: keep-alive\r\n");
        }
    }

    /// Appends bytes of the response's body.
    pub fn write_body(&mut self, out: &mut Vec<u8>, bytes: &[u8]) {
        match self.response_framing {
            Some(Framing::Chunked) => write_chunk(out, bytes),
            Some(Framing::Length(0)) | None => {}
            Some(_) => out.extend_from_slice(bytes),
        }
    }

    /// Ends the response. Returns whether the connection persists; then the next request is read.
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

    /// Reads nothing more, and frees what has been received.
    fn close_input(&mut self) {
        self.state = State::Closed;
        self.input.clear();
    }
}
