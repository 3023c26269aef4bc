//! The buffer for received bytes that have not been parsed yet.

/// A byte buffer that is filled at its end and consumed from its start.
#[derive(Debug, Default)]
pub(crate) struct InputBuffer {
    bytes: Vec<u8>,
    /// The number of bytes at the start that have been consumed.
    consumed: usize,
}

impl InputBuffer {
    /// Appends received bytes.
    pub fn append(&mut self, bytes: &[u8]) {
        self.remove_consumed();
        self.bytes.extend_from_slice(bytes);
    }

    /// Removes the consumed bytes from the buffer.
    pub fn remove_consumed(&mut self) {
        if self.consumed > 0 {
            self.bytes.drain(..self.consumed);
            self.consumed = 0;
        }
    }

    /// Returns the bytes that have not been consumed.
    pub fn unconsumed(&self) -> &[u8] {
        &self.bytes[self.consumed..]
    }

    /// Returns the number of bytes that have not been consumed.
    pub fn len(&self) -> usize {
        self.bytes.len() - self.consumed
    }

    /// Whether all bytes have been consumed.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Marks this number of bytes at the start as consumed.
    pub fn consume(&mut self, count: usize) {
        self.consumed += count;
    }

    /// Drops all bytes and frees the memory.
    pub fn clear(&mut self) {
        *self = InputBuffer::default();
    }
}
