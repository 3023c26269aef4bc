//! Divides the resource limits between the kinds of connections and buffered bytes, and chooses which
//! connection to evict when a limit is reached.

use crate::client::Client;
use crate::metrics::CloseReason;
use crate::proxy::Proxy;
use crate::sent_calls::BYTES_PER_ID;
use crate::servers::ServerConnection;
use violetseam::interface::Micros;
use violetseam_platform_protocol::config::Limits;

/// Descriptors reserved for the event loop, the log, signals, the listener, datagrams, discovery, the release
/// service and votes.
const RESERVED_DESCRIPTORS: usize = 24;
/// How long a connection must have been idle before it may be evicted: a client that has just been answered
/// is likely to send another request.
const MIN_IDLE_BEFORE_EVICTION: Micros = 2_000_000;
/// A connection that has sent no call this long after it was accepted may be evicted, and is evicted before
/// any other.
const MIN_IDLE_BEFORE_EVICTION_WITHOUT_CALL: Micros = 100_000;
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
    /// How many bytes requests in flight may hold in memory.
    pub request_bytes: usize,
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
            request_bytes: memory_bytes / 8,
            sent_calls: (memory_bytes / 32 / BYTES_PER_ID).min(MAX_SENT_CALLS),
        }
    }
}

/// Whether a connection may be closed to make room for another one.
fn is_evictable(client: &Client, now: Micros) -> bool {
    let min_idle =
        if client.has_sent_call { MIN_IDLE_BEFORE_EVICTION } else { MIN_IDLE_BEFORE_EVICTION_WITHOUT_CALL };
    client.is_idle() && now >= client.idle_since + min_idle
}

impl Proxy {
    /// Makes room for a client connection and returns whether there is room. Connections that have sent no
    /// call are evicted first, then the connection that has been idle longest.
    pub(super) fn make_room_for_client(&mut self) -> bool {
        if self.clients.len() < self.budgets.client_connections {
            return true;
        }
        let now = self.now();
        let candidate = self
            .clients
            .iter()
            .filter(|(_, client)| is_evictable(client, now))
            .min_by_key(|(_, client)| (client.has_sent_call, client.idle_since));
        let Some((slot, client)) = candidate else { return false };
        // The unread bytes may be a request, which is read in the next iteration of the event loop.
        if client.has_unread_input() {
            return false;
        }
        self.end_client(slot, CloseReason::Evicted);
        true
    }

    /// Makes room for a connection to a server and returns whether there is room. The connection that has
    /// been idle longest is evicted, whichever server it leads to.
    pub(super) fn make_room_for_server_connection(&mut self) -> bool {
        if self.server_connections.len() < self.budgets.server_connections {
            return true;
        }
        let longest_idle = self
            .idle_server_connections
            .oldest_of_each()
            .min_by_key(|slot| self.server_connections.get(*slot).map_or(0, ServerConnection::idle_since));
        let Some(slot) = longest_idle else { return false };
        self.close_server_connection(slot);
        true
    }
}
