//! Parses lines, lengths and bulk strings, which commands and replies have in common.

use crate::{Bounds, FramingError};

/// The length of a line end, which is CR LF.
const LINE_END_BYTES: usize = 2;

/// A position in the buffered bytes. Its functions return `None` if more bytes are needed.
pub(crate) struct Cursor<'a> {
    bytes: &'a [u8],
    /// How many bytes have been parsed.
    pub offset: usize,
}

impl<'a> Cursor<'a> {
    pub fn new(bytes: &'a [u8]) -> Self {
        Cursor { bytes, offset: 0 }
    }

    /// Returns the next byte without consuming it.
    pub fn peek(&self) -> Option<u8> {
        self.bytes.get(self.offset).copied()
    }

    /// Consumes a line and returns it without its first byte, which states the type, and without its line
    /// end. `max_bytes` includes both.
    pub fn line(&mut self, max_bytes: usize) -> Result<Option<&'a [u8]>, FramingError> {
        let rest = &self.bytes[self.offset..];
        let window = &rest[..rest.len().min(max_bytes)];
        let Some(end) = memchr::memchr(b'\n', window) else {
            return if rest.len() >= max_bytes { Err(FramingError::UnterminatedLine) } else { Ok(None) };
        };
        if end < 2 || window[end - 1] != b'\r' || memchr::memchr(b'\r', &window[..end - 1]).is_some() {
            return Err(FramingError::UnterminatedLine);
        }
        self.offset += end + 1;
        Ok(Some(&window[1..end - 1]))
    }

    /// Consumes a bulk string of this length and its line end, and returns it without the line end.
    pub fn bulk(&mut self, length: usize) -> Result<Option<&'a [u8]>, FramingError> {
        let rest = &self.bytes[self.offset..];
        // Each byte of the line end is checked as soon as it is buffered.
        for (position, expected) in [(length, b'\r'), (length + 1, b'\n')] {
            match rest.get(position) {
                None => return Ok(None),
                Some(byte) if *byte != expected => return Err(FramingError::InvalidLength),
                Some(_) => {}
            }
        }
        self.offset += length + LINE_END_BYTES;
        Ok(Some(&rest[..length]))
    }

    /// Checks that a bulk string of this length at the current position does not make the message exceed its
    /// bound.
    pub fn check_message_bound(&self, length: usize, bounds: &Bounds) -> Result<(), FramingError> {
        if self.offset + length + LINE_END_BYTES > bounds.max_message_bytes {
            return Err(FramingError::TooLong);
        }
        Ok(())
    }
}

/// Parses a length as RESP writes it: decimal digits, or `-1` for a null, for which it returns `None`.
pub(crate) fn parse_length(digits: &[u8], max_length: usize) -> Result<Option<usize>, FramingError> {
    if digits == b"-1" {
        return Ok(None);
    }
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(FramingError::InvalidLength);
    }
    let mut length = 0usize;
    for digit in digits {
        let digit = usize::from(digit - b'0');
        length = length.checked_mul(10).and_then(|n| n.checked_add(digit)).ok_or(FramingError::TooLong)?;
    }
    if length > max_length { Err(FramingError::TooLong) } else { Ok(Some(length)) }
}
