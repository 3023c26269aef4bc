//! RESP2 framing without I/O: bytes in, commands or replies out, for both sides of a proxy.
//!
//! [`command::parse`] is for the side that faces clients, [`reply::parse`] for the side that faces servers.
//! Both look at the bytes buffered so far and either take one complete message off their front, ask for more, or
//! return an error: a declared length is checked against its bound as soon as its line is there, before any byte of
//! what it announces is buffered. What a caller buffers is therefore bounded by [`Bounds`] and one read.
//!
//! `redis-protocol` frames both sides, too, but returns a message only once all of it is buffered and has no bound
//! on a declared length; the tests compare the two on messages within the bounds.

pub mod command;
pub mod reply;

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

/// A cursor over the buffered bytes. `None` means that more are needed.
pub(crate) struct Cursor<'a> {
    bytes: &'a [u8],
    pub at: usize,
}

impl<'a> Cursor<'a> {
    pub fn new(bytes: &'a [u8]) -> Self {
        Cursor { bytes, at: 0 }
    }

    /// The next byte, which is not consumed.
    pub fn peek(&self) -> Option<u8> {
        self.bytes.get(self.at).copied()
    }

    /// The rest of the current line, its kind byte and end left out.
    pub fn line(&mut self, max_bytes: usize) -> Result<Option<&'a [u8]>, FramingError> {
        let rest = &self.bytes[self.at..];
        let window = &rest[..rest.len().min(max_bytes)];
        let Some(end) = memchr::memchr(b'\n', window) else {
            return if rest.len() >= max_bytes { Err(FramingError::UnterminatedLine) } else { Ok(None) };
        };
        if end < 2 || window[end - 1] != b'\r' || memchr::memchr(b'\r', &window[..end - 1]).is_some() {
            return Err(FramingError::UnterminatedLine);
        }
        self.at += end + 1;
        Ok(Some(&window[1..end - 1]))
    }

    /// The bytes of a bulk string of this length, its line end checked.
    pub fn bulk(&mut self, length: usize) -> Result<Option<&'a [u8]>, FramingError> {
        let rest = &self.bytes[self.at..];
        // Wrong line ends are rejected as soon as they can be seen.
        for (offset, want) in [(length, b'\r'), (length + 1, b'\n')] {
            match rest.get(offset) {
                None => return Ok(None),
                Some(byte) if *byte != want => return Err(FramingError::InvalidLength),
                Some(_) => {}
            }
        }
        self.at += length + 2;
        Ok(Some(&rest[..length]))
    }
}

/// Reads a length as RESP writes it: digits, or `-1` for null, which is `None`.
pub(crate) fn parse_length(digits: &[u8], max: usize) -> Result<Option<usize>, FramingError> {
    if digits == b"-1" {
        return Ok(None);
    }
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(FramingError::InvalidLength);
    }
    let length = digits.iter().try_fold(0usize, |n, d| n.checked_mul(10)?.checked_add(usize::from(d - b'0')));
    length.filter(|n| *n <= max).map(Some).ok_or(FramingError::TooLong)
}

/// Appends a bulk string.
pub fn write_bulk(out: &mut Vec<u8>, value: &[u8]) {
    out.extend_from_slice(format!("${}\r\n", value.len()).as_bytes());
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// Appends an error line. Line ends within the text are dropped, as they would end the error.
pub fn write_error(out: &mut Vec<u8>, text: &str) {
    out.push(b'-');
    out.extend(text.bytes().filter(|b| !matches!(b, b'\r' | b'\n')));
    out.extend_from_slice(b"\r\n");
}

/// Appends a simple string.
pub fn write_simple(out: &mut Vec<u8>, text: &str) {
    out.push(b'+');
    out.extend(text.bytes().filter(|b| !matches!(b, b'\r' | b'\n')));
    out.extend_from_slice(b"\r\n");
}
