//! The buffer for received bytes that have not been parsed yet.

/// A buffer of at most this capacity, in bytes, is kept while it is empty: a process has many connections, most
/// of them idle.
const RETAINED_BYTES: usize = 4 * 1024;

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

    /// Returns how many bytes of memory the buffer takes.
    pub fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// Marks this number of bytes at the start as consumed.
    pub fn consume(&mut self, count: usize) {
        self.consumed += count;
        if self.is_empty() && self.bytes.capacity() > RETAINED_BYTES {
            self.clear();
        }
    }

    /// Drops all bytes and frees the memory.
    pub fn clear(&mut self) {
        *self = InputBuffer::default();
    }
}
