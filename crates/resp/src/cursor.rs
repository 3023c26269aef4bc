//! Parsing of the parts that commands and replies share.

use crate::{Bounds, FramingError};

/// The length of the line end CR LF.
const LINE_END_BYTES: usize = 2;

/// A cursor over the buffered bytes. A result of `None` means that more of them are needed.
pub(crate) struct Cursor<'a> {
    bytes: &'a [u8],
    /// The number of parsed bytes.
    pub offset: usize,
}

impl<'a> Cursor<'a> {
    pub fn new(bytes: &'a [u8]) -> Self {
        Cursor { bytes, offset: 0 }
    }

    /// The next byte, which is not consumed.
    pub fn peek(&self) -> Option<u8> {
        self.bytes.get(self.offset).copied()
    }

    /// The rest of the current line, without the byte for its kind and its end.
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

    /// The bytes of a bulk string of this length, with its line end checked.
    pub fn bulk(&mut self, length: usize) -> Result<Option<&'a [u8]>, FramingError> {
        let rest = &self.bytes[self.offset..];
        // Wrong line ends are rejected as soon as they can be seen.
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

    /// Checks that the message stays within its bound with a bulk string of this length.
    pub fn check_message_bound(&self, length: usize, bounds: &Bounds) -> Result<(), FramingError> {
        if self.offset + length + LINE_END_BYTES > bounds.max_message_bytes {
            return Err(FramingError::TooLong);
        }
        Ok(())
    }
}

/// Parses a length as RESP writes it: digits, or `-1` for null, which is `None`.
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
