//! The side that faces clients: reads requests one at a time, writes their answers.
//!
//! Pipelined requests wait in the input buffer until the one before them is answered. After a fault or a
//! request that asks for it the connection closes once its answer is written.

use crate::body::{BodyReader, Framing, write_chunk, write_last_chunk};
use crate::head::{
    Fault, Limits, RequestHead, Scan, end_to_end, parse_request, scan_head, write_field, write_framing,
};
use http::header::{HeaderMap, HeaderName};
use http::{Method, StatusCode, Version};

/// What the input gave.
#[derive(Debug)]
pub enum ServerEvent {
    /// A request's head; its body follows, if it has one.
    Head(Box<RequestHead>),
    /// Bytes of the body.
    Body(Vec<u8>),
    /// The request is complete.
    End,
    /// The input cannot be understood: answer with the status and close.
    Fault(Fault),
}

#[derive(Debug)]
enum Reading {
    Head {
        from: usize,
    },
    Body(BodyReader),
    /// The request is complete and waits for its answer.
    Waiting,
    /// Nothing more is read.
    Closed,
}

/// One client connection's framing.
#[derive(Debug)]
pub struct ServerConn {
    limits: Limits,
    input: Vec<u8>,
    used: usize,
    reading: Reading,
    /// The present request: answered with HTTP/1.0 rules, is a HEAD, allows another request after it.
    old: bool,
    to_head: bool,
    keep_alive: bool,
    /// How the present answer is framed, once started.
    writing: Option<Framing>,
}

impl ServerConn {
    /// A fresh connection.
    pub fn new(limits: Limits) -> Self {
        ServerConn {
            limits,
            input: Vec::new(),
            used: 0,
            reading: Reading::Head { from: 0 },
            old: false,
            to_head: false,
            keep_alive: true,
            writing: None,
        }
    }

    /// Hands over bytes from the client.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.used > 0 {
            self.input.drain(..self.used);
            self.used = 0;
        }
        if !matches!(self.reading, Reading::Closed) {
            self.input.extend_from_slice(bytes);
        }
    }

    /// Bytes held that no event has given yet. A driver stops reading while this is large.
    pub fn held(&self) -> usize {
        self.input.len() - self.used
    }

    /// Between requests, with nothing received of the next one.
    pub fn is_idle(&self) -> bool {
        matches!(self.reading, Reading::Head { .. }) && self.held() == 0
    }

    /// Part of a request's head or body has come, and the rest has not.
    pub fn is_receiving(&self) -> bool {
        match self.reading {
            Reading::Head { .. } => self.held() > 0,
            Reading::Body(_) => true,
            Reading::Waiting | Reading::Closed => false,
        }
    }

    /// The next event of the input held, if it gives one.
    pub fn next_event(&mut self) -> Option<ServerEvent> {
        match self.step() {
            Ok(event) => event,
            Err(fault) => {
                (self.reading, self.keep_alive) = (Reading::Closed, false);
                self.input = Vec::new();
                self.used = 0;
                Some(ServerEvent::Fault(fault))
            }
        }
    }

    fn step(&mut self) -> Result<Option<ServerEvent>, Fault> {
        match &mut self.reading {
            Reading::Waiting | Reading::Closed => Ok(None),
            Reading::Head { from } => {
                // One empty line before a request is passed over (RFC 9112, 2.2).
                if *from == 0 && self.input[self.used..].starts_with(b"\r\n") {
                    self.used += 2;
                }
                let input = &self.input[self.used..];
                match scan_head(input, *from, &self.limits)? {
                    Scan::More(next) => {
                        *from = next;
                        Ok(None)
                    }
                    Scan::Ends(length) => {
                        let head = parse_request(&input[..length], &self.limits)?;
                        self.used += length;
                        self.reading = Reading::Body(BodyReader::new(head.framing, self.limits.body));
                        (self.old, self.to_head) =
                            (head.version == Version::HTTP_10, head.method == Method::HEAD);
                        self.keep_alive = head.keep_alive;
                        Ok(Some(ServerEvent::Head(Box::new(head))))
                    }
                }
            }
            Reading::Body(body) => {
                let out = body.drain(&self.input, &mut self.used)?;
                if !out.is_empty() {
                    return Ok(Some(ServerEvent::Body(out)));
                }
                if body.is_done() {
                    self.reading = Reading::Waiting;
                    return Ok(Some(ServerEvent::End));
                }
                Ok(None)
            }
        }
    }

    /// Appends `100 Continue`.
    pub fn write_continue(&self, out: &mut Vec<u8>) {
        out.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
    }

    /// Starts an answer. `framing` is the body's; `close`: nothing may follow it. Fields that concern one
    /// connection are dropped. An answer before the request is complete closes the connection, as what is
    /// left of the request cannot be told from a next one.
    pub fn start_answer(
        &mut self,
        out: &mut Vec<u8>,
        status: StatusCode,
        headers: &HeaderMap,
        extra: &[(HeaderName, &[u8])],
        framing: Framing,
        close: bool,
    ) {
        let early = !matches!(self.reading, Reading::Waiting);
        self.keep_alive &= !close && !early;
        let bodiless = self.to_head || status.is_informational() || matches!(status.as_u16(), 204 | 304);
        let framing = match framing {
            // A client of HTTP/1.0 knows no chunks: the body ends with the connection.
            Framing::Chunked if self.old => Framing::UntilClose,
            other => other,
        };
        self.keep_alive &= framing != Framing::UntilClose || bodiless;
        let version = if self.old { "HTTP/1.0 " } else { "HTTP/1.1 " };
        out.extend_from_slice(version.as_bytes());
        out.extend_from_slice(status.as_str().as_bytes());
        out.push(b' ');
        out.extend_from_slice(status.canonical_reason().unwrap_or("").as_bytes());
        out.extend_from_slice(b"\r\n");
        for (name, value) in end_to_end(headers, &[]) {
            write_field(out, name.as_str(), value.as_bytes());
        }
        for (name, value) in extra {
            write_field(out, name.as_str(), value);
        }
        if !(bodiless && matches!(status.as_u16(), 100..200 | 204)) {
            write_framing(out, framing);
        }
        if !self.keep_alive {
            out.extend_from_slice(b"connection: close\r\n");
        } else if self.old {
            out.extend_from_slice(b"connection: keep-alive\r\n");
        }
        out.extend_from_slice(b"\r\n");
        self.writing = Some(if bodiless { Framing::Length(0) } else { framing });
    }

    /// Appends bytes of the answer's body.
    pub fn write_body(&mut self, out: &mut Vec<u8>, bytes: &[u8]) {
        match self.writing {
            Some(Framing::Chunked) => write_chunk(out, bytes),
            Some(Framing::Length(0)) | None => {}
            Some(_) => out.extend_from_slice(bytes),
        }
    }

    /// Ends the answer. Returns whether the connection carries on; then the next request is read.
    pub fn finish_answer(&mut self, out: &mut Vec<u8>) -> bool {
        if self.writing.take() == Some(Framing::Chunked) {
            write_last_chunk(out);
        }
        if self.keep_alive && matches!(self.reading, Reading::Waiting) {
            self.reading = Reading::Head { from: 0 };
            true
        } else {
            self.reading = Reading::Closed;
            self.input = Vec::new();
            self.used = 0;
            false
        }
    }
}
