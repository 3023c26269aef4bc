//! The memory that clients make this process hold, and what gives way when it exceeds what the settings grant.

use super::super::Proxy;
use super::{Client, ClientState};
use http::StatusCode;
use violetseam::interface::Micros;
use violetseam_event_io::memory::weight;

/// The error for a request that is refused before it has arrived, because clients hold too much memory.
const OUT_OF_MEMORY: &str = "too much is held for clients";

/// How a client gives way.
#[derive(Clone, Copy, Debug)]
enum Concession {
    /// A request that has not arrived whole is answered with 503.
    RefuseRequest,
    /// What waits behind a pending request is discarded, and the connection closes after the response.
    RefuseFurtherRequests,
    /// A client that does not read its response, or that has sent only a part of a request whose first part was
    /// passed on, is disconnected.
    Disconnect,
}

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

    /// Has the heaviest clients give way until the memory is within its limit. A request that has arrived whole
    /// and was passed to the engine is never dropped.
    pub(super) fn relieve_client_memory(&mut self) {
        while self.client_memory.is_exceeded() {
            let now = self.now();
            let candidates = self
                .clients
                .iter()
                .filter_map(|(key, client)| Some((client.memory_weight(now), key, self.concession(client)?)));
            let heaviest = candidates.max_by_key(|(weight, _, _)| *weight);
            let Some((_, key, concession)) = heaviest else { return };
            if self.log_limit.allows(now) {
                let held = self.client_memory.held();
                tracing::warn!(client = key, held, ?concession, "a client gives way: {OUT_OF_MEMORY}");
            }
            self.make_concession(key, concession);
        }
    }

    /// Returns how a client can give way, if it can.
    fn concession(&self, client: &Client) -> Option<Concession> {
        if client.has_write_backlog() {
            return Some(Concession::Disconnect);
        }
        match client.state {
            ClientState::ReceivingBody(_) => Some(Concession::RefuseRequest),
            ClientState::Idle => client.http.is_receiving().then_some(Concession::RefuseRequest),
            ClientState::AwaitingResponse(id) => {
                let request = self.in_flight.get(&id)?;
                if !request.is_body_complete {
                    return Some(Concession::Disconnect);
                }
                (client.http.buffered_bytes() > 0).then_some(Concession::RefuseFurtherRequests)
            }
            ClientState::Closing | ClientState::Lingering => None,
        }
    }

    fn make_concession(&mut self, key: usize, concession: Concession) {
        match concession {
            Concession::RefuseRequest => {
                self.respond_with_error(key, StatusCode::SERVICE_UNAVAILABLE, OUT_OF_MEMORY);
            }
            Concession::RefuseFurtherRequests => {
                if let Some(client) = self.clients.get_mut(key) {
                    client.http.refuse_further_requests();
                }
                self.rearm_client(key);
            }
            Concession::Disconnect => self.on_client_lost(key),
        }
    }
}

impl Client {
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
