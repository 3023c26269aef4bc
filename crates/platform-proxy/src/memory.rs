//! One account of the memory that connections and requests hold, with a share for each use. The shares leave
//! room for the program, for what the decision module remembers, and for what an allocator loses.
//!
//! Each holder states what it holds after every change. Whoever makes a use exceed its share has the holders
//! that weigh most give way, which `eviction` chooses.

use violetseam_event_io::memory::MemoryShare;

/// The fraction of the memory limit that requests may hold, as its denominator.
const REQUESTS_DIVISOR: usize = 8;
/// The fraction of the memory limit that each of the other uses may hold, as its denominator.
const BUFFERS_DIVISOR: usize = 12;
/// Buffers that are longer than this grow by multiples of it, and shorter ones to powers of two.
const GROWTH_BYTES: usize = 4096;

/// The bytes that are held for each use, and their limits.
#[derive(Debug)]
pub(super) struct MemoryAccount {
    /// Requests in flight.
    pub requests: MemoryShare,
    /// Input of clients that no command has consumed.
    pub input: MemoryShare,
    /// Responses that clients have not taken.
    pub responses: MemoryShare,
    /// Requests that servers have not taken, and responses of servers that are not complete.
    pub server_data: MemoryShare,
}

impl MemoryAccount {
    /// Divides the memory limit of the process, in bytes.
    pub fn new(memory_bytes: usize) -> Self {
        let buffers = MemoryShare::new(memory_bytes / BUFFERS_DIVISOR);
        MemoryAccount {
            requests: MemoryShare::new(memory_bytes / REQUESTS_DIVISOR),
            input: buffers,
            responses: buffers,
            server_data: buffers,
        }
    }
}

/// Appends bytes to a buffer that is held for long, without the slack of a buffer that doubles.
pub(super) fn append_tightly(buffer: &mut Vec<u8>, bytes: &[u8]) {
    let needed = buffer.len() + bytes.len();
    if needed > buffer.capacity() {
        let is_short = needed <= GROWTH_BYTES;
        let rounded =
            if is_short { needed.next_power_of_two() } else { needed.next_multiple_of(GROWTH_BYTES) };
        buffer.reserve_exact(rounded - buffer.len());
    }
    buffer.extend_from_slice(bytes);
}
