//! The memory that clients make this process hold, and what gives way when it exceeds what the settings grant.

use super::super::Proxy;
use super::{Client, ClientState};
use http::StatusCode;
use violetseam::interface::Micros;
use violetseam_event_io::memory::weight;

/// The error for a request that is refused before it has arrived, because clients hold too much memory.
const OUT_OF_MEMORY: &str = "too much is held for clients";

impl Proxy {
    /// States what a connection holds to the account of clients' memory.
    pub(in super::super) fn restate_client_memory(&mut self, key: usize) {
        let Some(client) = self.clients.get(key) else { return };
        let request = client.request_awaiting_response().and_then(|id| self.in_flight.get(&id));
        let request_bytes = request.map_or(0, |request| request.head.capacity() + request.body.capacity());
        let held_bytes = client.held_bytes() + request_bytes;
        if let Some(client) = self.clients.get_mut(key) {
            self.client_memory.restate(&mut client.stated_bytes, held_bytes);
        }
    }

    /// Has the heaviest clients give way until the memory is within its limit: a request that has not arrived
    /// whole is answered with 503, and a client that does not read its response is disconnected. A request
    /// that has arrived whole is never dropped.
    pub(super) fn relieve_client_memory(&mut self) {
        while self.client_memory.is_exceeded() {
            let now = self.now();
            let may_give_way = |client: &Client| client.is_receiving_request() || client.has_write_backlog();
            let candidates = self.clients.iter().filter(|(_, client)| may_give_way(client));
            let heaviest = candidates.max_by_key(|(_, client)| client.memory_weight(now));
            let Some((key, client)) = heaviest else { return };
            let is_receiving = client.is_receiving_request();
            if self.log_limit.allows(now) {
                let held = self.client_memory.held();
                tracing::warn!(client = key, held, is_receiving, "a client gives way: {OUT_OF_MEMORY}");
            }
            if is_receiving {
                self.respond_with_error(key, StatusCode::SERVICE_UNAVAILABLE, OUT_OF_MEMORY);
            } else {
                self.on_client_lost(key);
            }
        }
    }
}

impl Client {
    /// Whether a request has arrived in part, and has not been passed to the engine.
    fn is_receiving_request(&self) -> bool {
        match self.state {
            ClientState::ReceivingBody(_) => true,
            ClientState::Idle => self.http.is_receiving(),
            ClientState::AwaitingResponse(_) | ClientState::Closing | ClientState::Lingering => false,
        }
    }

    /// Returns how many bytes of memory the buffers of the connection take.
    fn held_bytes(&self) -> usize {
        let body_bytes = match &self.state {
            ClientState::ReceivingBody(pending) => pending.body.capacity(),
            _ => 0,
        };
        self.http.held_bytes() + body_bytes + self.socket.write_buffer_capacity()
    }

    fn memory_weight(&self, now: Micros) -> u128 {
        weight(self.stated_bytes, self.phase_since, now)
    }
}
