//! Splits a byte stream into lines of bounded length.

use crate::MessageError;

/// Buffers bytes and returns complete lines. A line over the bound is an error, after which all further input
/// is dropped.
#[derive(Debug)]
pub struct LineReader {
    buffer: Vec<u8>,
    /// Bytes at the front of the buffer that have been returned already.
    consumed: usize,
    max_line_bytes: usize,
    failed: bool,
}

impl LineReader {
    /// A reader of lines of at most `max_line_bytes`, the line end not counted.
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

    /// The next complete line without its end.
    ///
    /// # Errors
    /// [`MessageError::LineTooLong`] if a line is over the bound.
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
