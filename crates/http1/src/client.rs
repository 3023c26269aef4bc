//! The side that faces servers: writes requests and reads their responses, one at a time.

use crate::body::BodyReader;
use crate::fields::{end_to_end, write_field, write_framing};
use crate::head::{Limits, RequestHead, ResponseHead, parse_response};
use crate::input::InputBuffer;
use crate::scan::{HeadScan, scan_head};
use crate::{Framing, FramingError};
use http::header::HeaderName;
use http::{Method, StatusCode};

/// Appends a request's head as it goes to a server: HTTP/1.1, hop-by-hop fields dropped, the body framed by
/// `framing`. Fields in `protected` are kept even if `Connection` names them.
pub fn write_request_head(
    out: &mut Vec<u8>,
    head: &RequestHead,
    protected: &[HeaderName],
    extra_fields: &[(&str, &[u8])],
    framing: Framing,
) {
    out.extend_from_slice(head.method.as_str().as_bytes());
    out.push(b' ');
    out.extend_from_slice(head.target.as_bytes());
    out.extend_from_slice(b" HTTP/1.1\r\n");
    for (name, value) in end_to_end(&head.headers, protected) {
        write_field(out, name.as_str(), value.as_bytes());
    }
    for (name, value) in extra_fields {
        write_field(out, name, value);
    }
    let usually_has_body = head.method == Method::POST || head.method == Method::PUT;
    if framing != Framing::Length(0) || usually_has_body {
        write_framing(out, framing);
    }
    out.extend_from_slice(b"\r\n");
}

/// What the input contained.
#[derive(Debug)]
pub enum ClientEvent {
    /// A response's head; its body follows, if it has one.
    Head(Box<ResponseHead>),
    /// Bytes of the body.
    Body(Vec<u8>),
    /// The response is complete.
    End {
        /// Whether the connection may carry another request.
        reusable: bool,
    },
    /// The input is malformed: close the connection.
    Error(FramingError),
}

/// What is expected from the server.
#[derive(Debug)]
enum State {
    /// Nothing, as no request has been sent.
    Idle,
    /// A response's head, which has been scanned up to this offset.
    Head { scanned: usize },
    /// A response's body.
    Body(BodyReader),
    /// Nothing more.
    Closed,
}

/// The framing of one connection to a server.
#[derive(Debug)]
pub struct ClientConnection {
    limits: Limits,
    input: InputBuffer,
    state: State,
    is_head_request: bool,
    keep_alive: bool,
}

impl ClientConnection {
    /// A new connection. The limit on bodies does not apply to responses.
    pub fn new(limits: Limits) -> Self {
        ClientConnection {
            limits: Limits { max_body_bytes: u64::MAX, ..limits },
            input: InputBuffer::default(),
            state: State::Idle,
            is_head_request: false,
            keep_alive: true,
        }
    }

    /// A request has been written; its response is expected.
    pub fn expect_response(&mut self, is_head_request: bool) {
        self.state = State::Head { scanned: 0 };
        self.is_head_request = is_head_request;
    }

    /// Appends bytes from the server.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.input.append(bytes);
    }

    /// How many received bytes no event has returned yet.
    pub fn buffered_bytes(&self) -> usize {
        self.input.len()
    }

    /// The next event of the received input, if it is complete.
    pub fn next_event(&mut self) -> Option<ClientEvent> {
        self.advance().unwrap_or_else(|error| {
            self.state = State::Closed;
            Some(ClientEvent::Error(error))
        })
    }

    fn advance(&mut self) -> Result<Option<ClientEvent>, FramingError> {
        match self.state {
            State::Closed => Ok(None),
            State::Idle if !self.input.is_empty() => Err(FramingError::UnexpectedResponse),
            State::Idle => Ok(None),
            State::Head { scanned } => self.read_head(scanned),
            State::Body(_) => self.read_body(),
        }
    }

    /// Reads a final response's head and passes over the informational ones before it.
    fn read_head(&mut self, mut scanned: usize) -> Result<Option<ClientEvent>, FramingError> {
        loop {
            let length = match scan_head(self.input.unread(), scanned, &self.limits)? {
                HeadScan::Incomplete(scanned) => {
                    self.state = State::Head { scanned };
                    return Ok(None);
                }
                HeadScan::Complete(length) => length,
            };
            let head = parse_response(&self.input.unread()[..length], &self.limits, self.is_head_request)?;
            self.input.consume(length);
            if head.status == StatusCode::SWITCHING_PROTOCOLS {
                return Err(FramingError::UnexpectedUpgrade);
            }
            if !head.status.is_informational() {
                self.keep_alive = head.keep_alive;
                self.state = State::Body(BodyReader::new(head.framing, self.limits.max_body_bytes));
                return Ok(Some(ClientEvent::Head(Box::new(head))));
            }
            scanned = 0;
        }
    }

    fn read_body(&mut self) -> Result<Option<ClientEvent>, FramingError> {
        let State::Body(reader) = &mut self.state else { return Ok(None) };
        let body = reader.read_buffered(&mut self.input)?;
        if !body.is_empty() {
            return Ok(Some(ClientEvent::Body(body)));
        }
        if !reader.is_done() {
            return Ok(None);
        }
        // Bytes after the response belong to no request: such a connection is not used again.
        let reusable = self.keep_alive && self.input.is_empty();
        self.state = if reusable { State::Idle } else { State::Closed };
        Ok(Some(ClientEvent::End { reusable }))
    }

    /// The server closed the connection. This ends a response that is framed so, and is an error within any
    /// other.
    pub fn close(&mut self) -> Option<ClientEvent> {
        let event = match &mut self.state {
            State::Idle | State::Closed => return None,
            State::Head { .. } => ClientEvent::Error(FramingError::ClosedBeforeResponse),
            State::Body(reader) => match reader.close() {
                Ok(()) => ClientEvent::End { reusable: false },
                Err(error) => ClientEvent::Error(error),
            },
        };
        self.state = State::Closed;
        Some(event)
    }
}
