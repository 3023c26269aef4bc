//! Received bytes that have not been parsed yet.

/// A buffer that is appended to at its end and consumed from its front.
#[derive(Debug, Default)]
pub(crate) struct InputBuffer {
    bytes: Vec<u8>,
    /// Bytes at the front that have been consumed.
    consumed: usize,
}

impl InputBuffer {
    /// Appends received bytes.
    pub fn append(&mut self, bytes: &[u8]) {
        self.drop_consumed();
        self.bytes.extend_from_slice(bytes);
    }

    /// Frees what has been consumed.
    pub fn drop_consumed(&mut self) {
        if self.consumed > 0 {
            self.bytes.drain(..self.consumed);
            self.consumed = 0;
        }
    }

    /// The bytes that have not been consumed.
    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.consumed..]
    }

    /// How many bytes have not been consumed.
    pub fn len(&self) -> usize {
        self.bytes.len() - self.consumed
    }

    /// Whether all bytes have been consumed.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Consumes bytes at the front.
    pub fn consume(&mut self, count: usize) {
        self.consumed += count;
    }

    /// Drops all bytes and frees the memory.
    pub fn clear(&mut self) {
        *self = InputBuffer::default();
    }
}
