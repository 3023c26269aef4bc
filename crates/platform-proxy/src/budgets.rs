//! Divides the resource limits between the kinds of connections and what the process remembers.

use crate::sent_calls::BYTES_PER_ID;
use violetseam_platform_protocol::config::Limits;

/// Descriptors reserved for the event loop, the log, signals, the listener, datagrams, discovery, the release
/// service and votes.
const RESERVED_DESCRIPTORS: usize = 24;
/// The maximum number of requests in flight, whatever the settings say.
const MAX_REQUESTS_IN_FLIGHT: usize = 4096;
/// The maximum number of remembered ids, whatever the memory is.
const MAX_SENT_CALLS: usize = 65_536;

/// How the resource limits are divided.
#[derive(Clone, Copy, Debug)]
pub(super) struct Budgets {
    /// The maximum number of client connections.
    pub client_connections: usize,
    /// The maximum number of server connections.
    pub server_connections: usize,
    /// The maximum number of requests in flight.
    pub requests_in_flight: usize,
    /// The memory limit, in bytes.
    pub memory_bytes: usize,
    /// The memory in which the decision module remembers keys, in bytes.
    pub key_bytes: usize,
    /// How many ids of sent calls are remembered.
    pub sent_calls: usize,
}

impl Budgets {
    /// Divides the limits. `open_cap` is the maximum number of requests in flight according to the settings.
    pub fn new(limits: &Limits, open_cap: usize) -> Self {
        let available = limits.sockets.saturating_sub(RESERVED_DESCRIPTORS).max(8);
        // Client connections that carry requests need a third of all descriptors. The rest of the client
        // share is for connections that never send a request.
        let client_connections = available * 11 / 20;
        let memory_bytes = (limits.memory_mb.clamp(8.0, 65_536.0) * 1024.0 * 1024.0) as usize;
        Budgets {
            client_connections,
            server_connections: available - client_connections,
            requests_in_flight: open_cap.min(MAX_REQUESTS_IN_FLIGHT),
            memory_bytes,
            key_bytes: memory_bytes / 8,
            sent_calls: (memory_bytes / 32 / BYTES_PER_ID).min(MAX_SENT_CALLS),
        }
    }
}
