//! An account of the memory that the connections and requests of a process hold for one purpose, with a limit.
//!
//! Each holder states what it holds after every change. When the limit is exceeded, the driver has the holders
//! of the greatest [`weight`] give way.

/// The bytes that are held for one purpose, and their limit.
#[derive(Clone, Copy, Debug, Default)]
pub struct MemoryShare {
    limit: usize,
    held: usize,
}

impl MemoryShare {
    /// Creates a share of which nothing is held. `limit` is in bytes.
    pub fn new(limit: usize) -> Self {
        MemoryShare { limit, held: 0 }
    }

    /// Replaces what one holder has stated before by what it holds now, in bytes.
    pub fn restate(&mut self, stated: &mut usize, now: usize) {
        self.held = self.held - *stated + now;
        *stated = now;
    }

    /// Returns how many bytes are held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Whether this many more bytes fit into the share.
    pub fn fits(&self, bytes: usize) -> bool {
        self.held + bytes <= self.limit
    }

    /// Whether more is held than the limit.
    pub fn is_exceeded(&self) -> bool {
        self.held > self.limit
    }
}

/// Returns the weight of a holder: its bytes, times for how long it has had them in microseconds.
pub fn weight(bytes: usize, since: u64, now: u64) -> u128 {
    bytes as u128 * u128::from(now.saturating_sub(since) + 1)
}
