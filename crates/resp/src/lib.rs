//! RESP2 framing without I/O, for both sides of a proxy: it parses bytes into commands or replies, and writes
//! commands and replies as bytes.
//!
//! [`command::parse`] is for connections from clients, [`reply::parse`] for connections to servers. Both look
//! at the bytes that are buffered so far, and return the first message if it is complete, report that more
//! bytes are needed, or return an error. A declared length is checked against its bound as soon as the line
//! that declares it is complete, before any byte of the announced content is buffered. A caller therefore
//! never buffers more than [`Bounds`] and one read allow.
//!
//! The `redis-protocol` crate also frames both sides, but it returns a message only once the whole message is
//! buffered, and it has no bound on a declared length. The tests compare the two implementations on messages
//! within the bounds.

pub mod command;
mod cursor;
pub mod reply;

pub(crate) use cursor::{Cursor, parse_length};

use thiserror::Error;

/// Bounds on how much the other side of a connection can make this side buffer.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The maximum number of elements of an array.
    pub max_elements: usize,
    /// The maximum length of a bulk string, in bytes.
    pub max_bulk_bytes: usize,
    /// The maximum length of a line including its line end, in bytes.
    pub max_line_bytes: usize,
    /// The maximum length of a complete message, in bytes.
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

/// Why input was rejected. Nothing that follows it on the connection can be parsed. A proxy sends these
/// messages to clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FramingError {
    /// The first byte of a message or element does not stand for a type that is expected there.
    #[error("unexpected byte 0x{0:02x}")]
    UnexpectedByte(u8),
    /// A line is longer than its bound, or does not end with CR LF.
    #[error("a line without an end")]
    UnterminatedLine,
    /// A length or an integer is not a valid number, a length is negative or 0 where that is not allowed, or
    /// a bulk string does not end where its length says.
    #[error("a length that does not fit")]
    InvalidLength,
    /// A length exceeds its bound.
    #[error("a length over the limit")]
    TooLong,
}

/// Appends a bulk string to `out`.
pub fn write_bulk(out: &mut Vec<u8>, value: &[u8]) {
    out.extend_from_slice(format!("${}\r\n", value.len()).as_bytes());
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// Appends an error to `out`. Line ends within the text are left out because they would end the error.
pub fn write_error(out: &mut Vec<u8>, text: &str) {
    write_line(out, b'-', text);
}

/// Appends a simple string to `out`. Line ends within the text are left out because they would end the
/// string.
pub fn write_simple(out: &mut Vec<u8>, text: &str) {
    write_line(out, b'+', text);
}

fn write_line(out: &mut Vec<u8>, type_byte: u8, text: &str) {
    out.push(type_byte);
    out.extend(text.bytes().filter(|byte| !matches!(byte, b'\r' | b'\n')));
    out.extend_from_slice(b"\r\n");
}
