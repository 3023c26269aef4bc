//! RESP2 framing without I/O: bytes in, commands or replies out, for both sides of a proxy.
//!
//! [`command::read`] is for the side that faces clients, [`reply::read`] for the side that faces servers.
//! Both look at the bytes held so far and either take one whole message off their front, ask for more, or
//! refuse: a declared length is checked against its bound as soon as its line is there, before any byte of
//! what it announces is kept. What a caller holds is therefore bounded by [`Bounds`] and one read.
//!
//! `redis-protocol` frames both sides too, but gives a message only once all of it is held and has no bound
//! on a declared length; the tests compare the two on messages within the bounds.

pub mod command;
pub mod reply;

use std::fmt;

/// What a peer may make this side hold.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Elements of an array.
    pub parts: usize,
    /// Bytes of a bulk string.
    pub bulk: usize,
    /// Bytes of a line, its end included.
    pub line: usize,
    /// Bytes of a whole message.
    pub whole: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { parts: 16, bulk: 64 * 1024, line: 1024, whole: 80 * 1024 }
    }
}

/// Why input was refused. Nothing after it on the connection can be understood.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A byte that starts no message that is expected here.
    Kind(u8),
    /// A line that does not end within its bound.
    Line,
    /// A length that is no number, is negative, or does not fit what follows it.
    Length,
    /// A length over its bound.
    TooLong,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Kind(byte) => write!(f, "unexpected byte 0x{byte:02x}"),
            Fault::Line => write!(f, "a line without an end"),
            Fault::Length => write!(f, "a length that does not fit"),
            Fault::TooLong => write!(f, "a length over the limit"),
        }
    }
}

/// A cursor over the bytes held. `None` means that more are needed.
pub(crate) struct Cursor<'a> {
    bytes: &'a [u8],
    pub at: usize,
}

impl<'a> Cursor<'a> {
    pub fn new(bytes: &'a [u8]) -> Self {
        Cursor { bytes, at: 0 }
    }

    /// The next byte, which stays.
    pub fn peek(&self) -> Option<u8> {
        self.bytes.get(self.at).copied()
    }

    /// The rest of the current line, its kind byte and end left out.
    pub fn line(&mut self, most: usize) -> Result<Option<&'a [u8]>, Fault> {
        let rest = &self.bytes[self.at..];
        let look = &rest[..rest.len().min(most)];
        let Some(end) = memchr::memchr(b'\n', look) else {
            return if rest.len() >= most { Err(Fault::Line) } else { Ok(None) };
        };
        if end < 2 || look[end - 1] != b'\r' || memchr::memchr(b'\r', &look[..end - 1]).is_some() {
            return Err(Fault::Line);
        }
        self.at += end + 1;
        Ok(Some(&look[1..end - 1]))
    }

    /// The bytes of a bulk string of this length, its line end checked.
    pub fn bulk(&mut self, length: usize) -> Result<Option<&'a [u8]>, Fault> {
        let rest = &self.bytes[self.at..];
        // Wrong ends are refused as soon as they can be seen.
        for (offset, want) in [(length, b'\r'), (length + 1, b'\n')] {
            match rest.get(offset) {
                None => return Ok(None),
                Some(byte) if *byte != want => return Err(Fault::Length),
                Some(_) => {}
            }
        }
        self.at += length + 2;
        Ok(Some(&rest[..length]))
    }
}

/// Reads a length as RESP writes it: digits, or `-1` for null, which is `None`.
pub(crate) fn length(digits: &[u8], most: usize) -> Result<Option<usize>, Fault> {
    if digits == b"-1" {
        return Ok(None);
    }
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(Fault::Length);
    }
    let length = digits.iter().try_fold(0usize, |n, d| n.checked_mul(10)?.checked_add(usize::from(d - b'0')));
    length.filter(|n| *n <= most).map(Some).ok_or(Fault::TooLong)
}

/// Appends a bulk string.
pub fn write_bulk(out: &mut Vec<u8>, value: &[u8]) {
    out.extend_from_slice(format!("${}\r\n", value.len()).as_bytes());
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// Appends an error line. Line ends within the text are left out, as they would end it.
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
