//! Splits a byte stream into lines of bounded length.

use crate::MessageError;

/// Buffers received bytes and returns complete lines. A line over the maximum length is an error; all input
/// after it is dropped.
#[derive(Debug)]
pub struct LineReader {
    buffer: Vec<u8>,
    /// The number of bytes at the start of the buffer that were already returned as lines.
    consumed: usize,
    max_line_bytes: usize,
    failed: bool,
}

impl LineReader {
    /// Creates a reader for lines of at most `max_line_bytes`, not counting the line feed.
    pub fn new(max_line_bytes: usize) -> Self {
        LineReader { buffer: Vec::new(), consumed: 0, max_line_bytes, failed: false }
    }

    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.consumed);
        self.consumed = 0;
        if !self.failed {
            self.buffer.extend_from_slice(bytes);
        }
    }

    /// Returns the next complete line without its line end, or none if no complete line has arrived.
    ///
    /// # Errors
    /// [`MessageError::LineTooLong`] if a line is longer than the maximum.
    pub fn next_line(&mut self) -> Result<Option<&[u8]>, MessageError> {
        let unread = &self.buffer[self.consumed..];
        let line_end = find_newline(unread);
        if line_end.unwrap_or(unread.len()) > self.max_line_bytes {
            self.fail();
            return Err(MessageError::LineTooLong { max_bytes: self.max_line_bytes });
        }
        let Some(length) = line_end else { return Ok(None) };
        let line = &self.buffer[self.consumed..self.consumed + length];
        self.consumed += length + 1;
        Ok(Some(line.strip_suffix(b"\r").unwrap_or(line)))
    }

    fn fail(&mut self) {
        self.buffer = Vec::new();
        self.consumed = 0;
        self.failed = true;
    }
}

fn find_newline(bytes: &[u8]) -> Option<usize> {
    bytes.iter().position(|&byte| byte == b'\n')
}
