//! The side of a proxy that faces servers: writes requests and reads their responses, one at a time.

use crate::body::BodyReader;
use crate::fields::{end_to_end_fields, write_field, write_framing};
use crate::head::{Limits, RequestHead, ResponseHead, parse_response};
use crate::input::InputBuffer;
use crate::scan::{HeadScan, scan_head};
use crate::{Framing, FramingError};
use http::header::HeaderName;
use http::{Method, StatusCode};

/// Appends the head of a request to a server. The version is HTTP/1.1, hop-by-hop fields are left out,
/// `extra_fields` are added, and the body is framed by `framing`. The fields in `protected` are forwarded
/// even if `Connection` names them.
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
    for (name, value) in end_to_end_fields(&head.headers, protected) {
        write_field(out, name.as_str(), value.as_bytes());
    }
    for (name, value) in extra_fields {
        write_field(out, name, value);
    }
    let method_defines_body = head.method == Method::POST || head.method == Method::PUT;
    if framing != Framing::Length(0) || method_defines_body {
        write_framing(out, framing);
    }
    out.extend_from_slice(b"\r\n");
}

/// An event that the input from a server contains.
#[derive(Debug)]
pub enum ClientEvent {
    /// The head of a response. The events of its body follow, if it has one.
    Head(Box<ResponseHead>),
    /// Bytes of the body.
    Body(Vec<u8>),
    /// The response is complete.
    End {
        /// Whether the connection can carry another request.
        reusable: bool,
    },
    /// The input is malformed. The caller closes the connection.
    Error(FramingError),
}

/// The input that is expected from the server.
#[derive(Debug)]
enum State {
    /// Nothing, as no request has been sent.
    Idle,
    /// The head of a response. The input has been scanned for its end up to the offset `scanned`.
    Head { scanned: usize },
    /// The body of a response.
    Body(BodyReader),
    /// Nothing, as the connection is closed or cannot be reused.
    Closed,
}

/// The protocol state of one connection to a server.
#[derive(Debug)]
pub struct ClientConnection {
    limits: Limits,
    input: InputBuffer,
    state: State,
    is_head_request: bool,
    keep_alive: bool,
}

impl ClientConnection {
    /// Creates the state of a new connection. The limit on the length of bodies does not apply to responses.
    pub fn new(limits: Limits) -> Self {
        ClientConnection {
            limits: Limits { max_body_bytes: u64::MAX, ..limits },
            input: InputBuffer::default(),
            state: State::Idle,
            is_head_request: false,
            keep_alive: true,
        }
    }

    /// Tells the connection that a request has been written, whose response is expected next.
    pub fn expect_response(&mut self, is_head_request: bool) {
        self.state = State::Head { scanned: 0 };
        self.is_head_request = is_head_request;
    }

    /// Adds bytes that were received from the server.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.input.append(bytes);
    }

    /// Returns the number of received bytes that are not part of an event yet.
    pub fn buffered_bytes(&self) -> usize {
        self.input.len()
    }

    /// Returns the next event, or none if more input is needed for it.
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

    /// Reads the head of the final response. Informational responses before it are skipped.
    fn read_head(&mut self, mut scanned: usize) -> Result<Option<ClientEvent>, FramingError> {
        loop {
            let length = match scan_head(self.input.unconsumed(), scanned, &self.limits)? {
                HeadScan::Incomplete(scanned) => {
                    self.state = State::Head { scanned };
                    return Ok(None);
                }
                HeadScan::Complete(length) => length,
            };
            let head =
                parse_response(&self.input.unconsumed()[..length], &self.limits, self.is_head_request)?;
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
        // Bytes after the response belong to no request, so a connection with such bytes is not reused.
        let reusable = self.keep_alive && self.input.is_empty();
        self.state = if reusable { State::Idle } else { State::Closed };
        Ok(Some(ClientEvent::End { reusable }))
    }

    /// Tells the connection that the server has closed it. This completes a response whose body is framed by
    /// the end of the connection, and is an error within any other response.
    pub fn close(&mut self) -> Option<ClientEvent> {
        let event = match &mut self.state {
            State::Idle | State::Closed => return None,
            State::Head { .. } => ClientEvent::Error(FramingError::ClosedBeforeResponse),
            State::Body(reader) => match reader.on_connection_closed() {
                Ok(()) => ClientEvent::End { reusable: false },
                Err(error) => ClientEvent::Error(error),
            },
        };
        self.state = State::Closed;
        Some(event)
    }
}
