//! The side that faces servers: writes requests, reads their answers one at a time.

use crate::body::{BodyReader, Framing};
use crate::head::{
    Fault, Limits, RequestHead, ResponseHead, Scan, end_to_end, parse_response, scan_head, write_field,
    write_framing,
};
use http::header::HeaderName;

/// Appends a request's head as it goes to a server: HTTP/1.1, fields of one connection dropped, the body
/// framed by `framing`.
pub fn write_request_head(
    out: &mut Vec<u8>,
    head: &RequestHead,
    kept: &[HeaderName],
    extra: &[(&str, &[u8])],
    framing: Framing,
) {
    out.extend_from_slice(head.method.as_str().as_bytes());
    out.push(b' ');
    out.extend_from_slice(head.target.as_bytes());
    out.extend_from_slice(b" HTTP/1.1\r\n");
    for (name, value) in end_to_end(&head.headers, kept) {
        write_field(out, name.as_str(), value.as_bytes());
    }
    for (name, value) in extra {
        write_field(out, name, value);
    }
    if framing != Framing::Length(0) || head.method == http::Method::POST || head.method == http::Method::PUT
    {
        write_framing(out, framing);
    }
    out.extend_from_slice(b"\r\n");
}

/// What the input gave.
#[derive(Debug)]
pub enum ClientEvent {
    /// An answer's head; its body follows, if it has one.
    Head(Box<ResponseHead>),
    /// Bytes of the body.
    Body(Vec<u8>),
    /// The answer is complete; `reusable` tells whether another request may follow.
    End {
        /// Another request may follow on the connection.
        reusable: bool,
    },
    /// The input cannot be understood: close.
    Fault(Fault),
}

#[derive(Debug)]
enum Reading {
    /// No request is out: anything that comes is a fault.
    Idle,
    Head {
        from: usize,
    },
    Body(BodyReader),
    Closed,
}

/// One server connection's framing.
#[derive(Debug)]
pub struct ClientConn {
    limits: Limits,
    input: Vec<u8>,
    used: usize,
    reading: Reading,
    to_head: bool,
    keep_alive: bool,
}

impl ClientConn {
    /// A fresh connection. The body limit does not apply to answers.
    pub fn new(limits: Limits) -> Self {
        let limits = Limits { body: u64::MAX, ..limits };
        ClientConn {
            limits,
            input: Vec::new(),
            used: 0,
            reading: Reading::Idle,
            to_head: false,
            keep_alive: true,
        }
    }

    /// A request has been written whose answer is awaited now.
    pub fn expect_answer(&mut self, to_head: bool) {
        self.reading = Reading::Head { from: 0 };
        self.to_head = to_head;
    }

    /// Hands over bytes from the server.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.used > 0 {
            self.input.drain(..self.used);
            self.used = 0;
        }
        self.input.extend_from_slice(bytes);
    }

    /// Bytes held that no event has given yet.
    pub fn held(&self) -> usize {
        self.input.len() - self.used
    }

    /// The next event of the input held, if it gives one.
    pub fn next_event(&mut self) -> Option<ClientEvent> {
        match self.step() {
            Ok(event) => event,
            Err(fault) => {
                self.reading = Reading::Closed;
                Some(ClientEvent::Fault(fault))
            }
        }
    }

    fn step(&mut self) -> Result<Option<ClientEvent>, Fault> {
        match &mut self.reading {
            Reading::Closed => Ok(None),
            Reading::Idle if self.input.len() > self.used => Err(Fault::bad("an answer to no request")),
            Reading::Idle => Ok(None),
            Reading::Head { from } => {
                let input = &self.input[self.used..];
                let length = match scan_head(input, *from, &self.limits)? {
                    Scan::More(next) => {
                        *from = next;
                        return Ok(None);
                    }
                    Scan::Ends(length) => length,
                };
                let head = parse_response(&input[..length], &self.limits, self.to_head)?;
                self.used += length;
                if head.status.is_informational() {
                    if head.status.as_u16() == 101 {
                        return Err(Fault::bad("an upgrade that nobody asked for"));
                    }
                    *from = 0;
                    return self.step();
                }
                self.keep_alive = head.keep_alive;
                self.reading = Reading::Body(BodyReader::new(head.framing, self.limits.body));
                Ok(Some(ClientEvent::Head(Box::new(head))))
            }
            Reading::Body(body) => {
                let out = body.drain(&self.input, &mut self.used)?;
                if !out.is_empty() {
                    return Ok(Some(ClientEvent::Body(out)));
                }
                if !body.is_done() {
                    return Ok(None);
                }
                // Bytes past the answer belong to no request: such a connection is not used again.
                let reusable = self.keep_alive && self.held() == 0;
                self.reading = if reusable { Reading::Idle } else { Reading::Closed };
                Ok(Some(ClientEvent::End { reusable }))
            }
        }
    }

    /// The server closed: the end of an answer framed so, a fault within any other.
    pub fn close(&mut self) -> Option<ClientEvent> {
        let event = match &mut self.reading {
            Reading::Idle | Reading::Closed => return None,
            Reading::Head { .. } => ClientEvent::Fault(Fault::bad("closed before an answer")),
            Reading::Body(body) => match body.close() {
                Ok(()) => ClientEvent::End { reusable: false },
                Err(fault) => ClientEvent::Fault(fault),
            },
        };
        self.reading = Reading::Closed;
        Some(event)
    }
}
