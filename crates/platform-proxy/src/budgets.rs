//! What the limits leave for each kind of connection and for buffered bytes, and what is evicted first.

use crate::client::Client;
use crate::proxy::Proxy;
use crate::servers::ServerConnection;
use violetseam::interface::Micros;
use violetseam_platform_protocol::config::Limits;

/// Descriptors for the loop, the log, signals, listener, datagrams, discovery, pipeline and votes.
const RESERVED_DESCRIPTORS: usize = 24;
/// An idle connection may be closed to make room once it has been idle for this span: a client that has just
/// been answered is likely to go on.
const MIN_IDLE_BEFORE_EVICTION: Micros = 2_000_000;
/// A connection that has sent no call for this span since it came up is evicted before any other.
const MIN_IDLE_BEFORE_EVICTION_WITHOUT_CALL: Micros = 100_000;
/// The most requests in flight, whatever the settings say.
const MAX_REQUESTS_IN_FLIGHT: usize = 4096;

/// Shares of the limits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Budgets {
    /// Client connections.
    pub client_connections: usize,
    /// Server connections.
    pub server_connections: usize,
    /// Requests in flight.
    pub requests_in_flight: usize,
    /// Bytes that requests in flight may hold.
    pub request_bytes: usize,
}

impl Budgets {
    /// Divides the limits; `open_cap` is the settings' bound on requests in flight.
    pub fn new(limits: &Limits, open_cap: usize) -> Self {
        let available = limits.sockets.saturating_sub(RESERVED_DESCRIPTORS).max(8);
        // Clients hold a third of all descriptors for requests; the rest of their share is for those that
        // never send any.
        let client_connections = available * 11 / 20;
        let request_bytes = (limits.memory_mb.clamp(8.0, 65_536.0) * 1024.0 * 1024.0 / 8.0) as usize;
        Budgets {
            client_connections,
            server_connections: available - client_connections,
            requests_in_flight: open_cap.min(MAX_REQUESTS_IN_FLIGHT),
            request_bytes,
        }
    }
}

/// Whether a connection may be closed to make room for another.
fn is_evictable(client: &Client, now: Micros) -> bool {
    let min_idle =
        if client.has_sent_call { MIN_IDLE_BEFORE_EVICTION } else { MIN_IDLE_BEFORE_EVICTION_WITHOUT_CALL };
    client.is_idle() && now >= client.idle_since + min_idle
}

impl Proxy {
    /// Makes room for a client: a connection that has sent no call is evicted first, then the one that has
    /// been idle longest. Whether there is room.
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
        // What lies unread on it may be a request: it is read in the next turn.
        if client.has_unread_input() {
            return false;
        }
        self.close_client(slot);
        true
    }

    /// Makes room for a connection to a server: the idle one that has been idle longest is closed, to
    /// whichever server. Whether there is room.
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
