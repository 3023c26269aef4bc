//! RESP2 framing without I/O: bytes in, commands or replies out, for both sides of a proxy.
//!
//! [`command::parse`] is for the side that faces clients, [`reply::parse`] for the side that faces servers.
//! Both look at the bytes buffered so far and either take one complete message off their front, ask for more,
//! or return an error: a declared length is checked against its bound as soon as its line is there, before
//! any byte of what it announces is buffered. What a caller buffers is therefore bounded by [`Bounds`] and
//! one read.
//!
//! `redis-protocol` frames both sides, too, but returns a message only once all of it is buffered and has no
//! bound on a declared length; the tests compare the two on messages within the bounds.

pub mod command;
mod cursor;
pub mod reply;

pub(crate) use cursor::{Cursor, parse_length};

use thiserror::Error;

/// Bounds on what a peer can make this side buffer.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Elements of an array.
    pub max_elements: usize,
    /// Bytes of a bulk string.
    pub max_bulk_bytes: usize,
    /// Bytes of a line, its end included.
    pub max_line_bytes: usize,
    /// Bytes of a complete message.
    pub max_message_bytes: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            max_elements: 16,
            max_bulk_bytes: 64 * 1024,
            max_line_bytes: 1024,
            max_message_bytes: 80 * 1024,
        }
    }
}

/// Why input was rejected. Nothing after it on the connection can be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FramingError {
    /// A byte that starts no message that is expected here.
    #[error("unexpected byte 0x{0:02x}")]
    UnexpectedByte(u8),
    /// A line that does not end within its bound.
    #[error("a line without an end")]
    UnterminatedLine,
    /// A length that is no number, is negative, or does not fit what follows it.
    #[error("a length that does not fit")]
    InvalidLength,
    /// A length over its bound.
    #[error("a length over the limit")]
    TooLong,
}

/// Appends a bulk string.
pub fn write_bulk(out: &mut Vec<u8>, value: &[u8]) {
    out.extend_from_slice(format!("${}\r\n", value.len()).as_bytes());
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// Appends an error. Line ends within the text are dropped, as they would end the error.
pub fn write_error(out: &mut Vec<u8>, text: &str) {
    write_line(out, b'-', text);
}

/// Appends a simple string. Line ends within the text are dropped, as they would end the string.
pub fn write_simple(out: &mut Vec<u8>, text: &str) {
    write_line(out, b'+', text);
}

fn write_line(out: &mut Vec<u8>, kind: u8, text: &str) {
    out.push(kind);
    out.extend(text.bytes().filter(|byte| !matches!(byte, b'\r' | b'\n')));
    out.extend_from_slice(b"\r\n");
}
