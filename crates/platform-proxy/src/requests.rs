//! Tracks requests in flight, from a client's call to its final response.

use crate::client::PendingResponse;
use crate::event_loop::ConnectionId;
use crate::metrics::CloseReason;
use crate::proxy::Proxy;
use violetseam::interface::{Micros, Request, RequestId};
use violetseam_event_io::PeerState;
use violetseam_platform_protocol::call::Call;
use violetseam_platform_protocol::response;
use violetseam_proxy::engine::LocalResponse;

/// A request that the engine has accepted, with the call to send and the connection to respond on.
pub(super) struct InFlightRequest {
    /// The connection that the call arrived on.
    client: ConnectionId,
    pub call: Call,
    /// The slot of each attempt's server connection, by the number of the attempt.
    pub attempt_connections: Vec<Option<usize>>,
    /// Whether an attempt has been written whole to a server, which may have run it.
    pub was_sent: bool,
    /// What the memory account has been told, in bytes.
    held_bytes: usize,
}

impl Proxy {
    /// Passes a call to the engine, unless the resource limits of this process forbid it. `arrived_at` is when
    /// its last byte was read.
    pub(super) fn admit_call(&mut self, slot: usize, call: Call, arrived_at: Option<Micros>) {
        if self.requests_by_call_id.contains_key(&call.id) {
            return self.reject_malformed(slot, "a request with this id is open");
        }
        let now = self.now();
        if self.sent_calls.contains(now, &call.id) {
            return self.reject_malformed(slot, "a request with this id has been sent before");
        }
        let Some(client) = self.clients.get_mut(slot) else { return };
        client.has_sent_call = true;
        let connection = ConnectionId { slot, generation: client.generation };
        if !self.has_room_for(&call) {
            tracing::debug!(client = slot, requests = self.in_flight.len(), "call refused: over a limit");
            self.metrics.over_limits += 1;
            // The limit belongs to this process and not to the service: the call is never executed.
            return self.respond_immediately(slot, b"-BUSY\r\n");
        }
        // The client's wait began when it sent the call. The call may have been unread for as long as the
        // event loop is late, and may have waited since it was read.
        let waiting_time = now.saturating_sub(arrived_at.unwrap_or(now));
        let unread_time = self.timers.lateness(now, self.engine.next_deadline()).max(waiting_time);
        let mut held_bytes = 0;
        self.memory.requests.restate(&mut held_bytes, call.size());
        let request = self.engine.on_request(now, to_engine_request(&call, now, unread_time), true);
        tracing::debug!(
            request,
            client_id = %String::from_utf8_lossy(&call.id),
            client = slot,
            class = call.class,
            wait = call.timeout,
            unread = unread_time,
            is_retry = call.is_retry,
            "request"
        );
        self.requests_by_call_id.insert(call.id.clone(), request);
        let in_flight = InFlightRequest {
            client: connection,
            call,
            attempt_connections: Vec::new(),
            was_sent: false,
            held_bytes,
        };
        self.in_flight.insert(request, in_flight);
        if let Some(client) = self.clients.get_mut(slot) {
            client.pending_responses.push_back(PendingResponse::Request(request));
        }
        self.run_engine_actions();
    }

    /// Whether the client of a request is still connected. Ends its connection if it is not. This is asked
    /// before an attempt is written: while the event loop was late, the client may have left after the event
    /// that causes the attempt, and its end may be unread behind other input.
    pub(super) fn is_client_present(&mut self, request: RequestId) -> bool {
        let Some(in_flight) = self.in_flight.get(&request) else { return false };
        let ConnectionId { slot, generation } = in_flight.client;
        let client = self.clients.get(slot).filter(|client| client.generation == generation);
        let Some(client) = client else { return false };
        if client.socket.peer_state() == PeerState::Open {
            return true;
        }
        tracing::debug!(request, client = slot, "its client has left before an attempt");
        self.end_client(slot, CloseReason::ClientLeft);
        false
    }

    /// Whether the resource limits of this process leave room for another request.
    fn has_room_for(&self, call: &Call) -> bool {
        self.in_flight.len() < self.budgets.requests_in_flight && self.memory.requests.fits(call.size())
    }

    /// Sends a final response that the proxy generates itself.
    pub(super) fn send_local_response(&mut self, request: RequestId, response: LocalResponse) {
        let mut bytes = Vec::new();
        tracing::debug!(request, last = ?response, "local response");
        match response {
            LocalResponse::Rejected { retry_after } => response::write_rejected(&mut bytes, retry_after),
            LocalResponse::Failed { .. } => response::write_failed(&mut bytes),
        }
        self.send_response(request, bytes);
    }

    /// Stores a final response at its position in the order and writes all responses that are next in order.
    pub(super) fn send_response(&mut self, request: RequestId, bytes: Vec<u8>) {
        let Some(in_flight) = self.in_flight.get(&request) else { return };
        let ConnectionId { slot, generation } = in_flight.client;
        let Some(client) = self.clients.get_mut(slot) else { return };
        if client.generation != generation {
            return;
        }
        let mut pending = client.pending_responses.iter_mut();
        if let Some(placeholder) = pending.find(|pending| pending.is_for(request)) {
            *placeholder = PendingResponse::Ready(bytes);
        }
        self.flush_client(slot);
        self.update_client_interest(slot);
    }

    /// Removes a request that is finished and has no attempt left.
    pub(super) fn forget_request(&mut self, request: RequestId) {
        if let Some(mut in_flight) = self.in_flight.remove(&request) {
            self.memory.requests.restate(&mut in_flight.held_bytes, 0);
            self.requests_by_call_id.remove(&in_flight.call.id);
            if in_flight.was_sent {
                self.sent_calls.insert(self.now(), &in_flight.call.id);
            }
        }
    }
}

/// Converts a call to a request for the engine. `unread_time` is how long the call may have been unread.
fn to_engine_request(call: &Call, now: Micros, unread_time: Micros) -> Request {
    Request {
        id: 0,
        deadline: now + call.timeout.saturating_sub(unread_time),
        class: call.class,
        cost_hint: None,
        key: Some(call.key),
        tenant: call.tenant,
        is_retry: call.is_retry,
    }
}
