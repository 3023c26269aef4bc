//! Lines out of a byte stream, bounded.

use crate::{Malformed, malformed};

/// Collects bytes and gives whole lines; a line past the bound is an error, after which nothing is given.
#[derive(Debug)]
pub struct LineReader {
    held: Vec<u8>,
    used: usize,
    most: usize,
    broken: bool,
}

impl LineReader {
    /// Lines of at most `most` bytes.
    pub fn new(most: usize) -> Self {
        LineReader { held: Vec::new(), used: 0, most, broken: false }
    }

    /// Hands over bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.held.drain(..self.used);
        self.used = 0;
        if !self.broken {
            self.held.extend_from_slice(bytes);
        }
    }

    /// The next whole line without its end.
    ///
    /// # Errors
    /// [`Malformed`] if a line is over the limit.
    pub fn next_line(&mut self) -> Result<Option<&[u8]>, Malformed> {
        let end = self.held[self.used..].iter().position(|&b| b == b'\n');
        if end.unwrap_or(self.held.len() - self.used) > self.most {
            (self.held, self.used, self.broken) = (Vec::new(), 0, true);
            return malformed(format!("line over {} bytes", self.most));
        }
        let Some(length) = end else { return Ok(None) };
        let line = &self.held[self.used..self.used + length];
        self.used += length + 1;
        Ok(Some(line.strip_suffix(b"\r").unwrap_or(line)))
    }
}
