//! Requests in flight: from a client's call to its final response.

use crate::client::PendingResponse;
use crate::event_loop::ConnectionId;
use crate::proxy::Proxy;
use violetseam::interface::{Micros, Request, RequestId};
use violetseam_platform_protocol::answer;
use violetseam_platform_protocol::call::Call;
use violetseam_proxy::engine::LocalResponse;

/// A request that the engine has accepted: what it takes to send it, and where its response goes.
pub(super) struct InFlightRequest {
    client: ConnectionId,
    pub call: Call,
    /// Slots of the attempts' server connections, by the attempts' numbers.
    pub attempts: Vec<Option<usize>>,
}

impl Proxy {
    /// Passes a call to the engine, unless the bounds of this process forbid it.
    pub(super) fn admit_call(&mut self, slot: usize, call: Call) {
        if self.open_ids.contains_key(&call.id) {
            return self.reject_malformed(slot, "a request with this id is open");
        }
        let Some(client) = self.clients.get_mut(slot) else { return };
        client.has_sent_call = true;
        let client_id = ConnectionId { slot, generation: client.generation };
        if !self.has_room_for(&call) {
            // A bound of this process, not of the service: the call is never executed.
            return self.respond_at_once(slot, b"-BUSY\r\n");
        }
        let now = self.now();
        // The client's wait began when it sent the call, which may have lain unread for as long as this loop
        // is late.
        let unread = self.timers.lateness(now, self.engine.next_deadline());
        self.in_flight_bytes += call.size();
        let request = self.engine.on_request(now, engine_request(&call, now, unread), true);
        tracing::debug!(
            request,
            client_id = %String::from_utf8_lossy(&call.id),
            client = slot,
            class = call.class,
            wait = call.wait,
            unread,
            is_retry = call.is_retry,
            "request"
        );
        self.open_ids.insert(call.id.clone(), request);
        self.in_flight.insert(request, InFlightRequest { client: client_id, call, attempts: Vec::new() });
        if let Some(client) = self.clients.get_mut(slot) {
            client.pending_responses.push_back(PendingResponse::Request(request));
        }
        self.run_engine_actions();
    }

    /// Whether the bounds of this process leave room for a further request.
    fn has_room_for(&self, call: &Call) -> bool {
        self.in_flight.len() < self.budgets.open_requests
            && self.in_flight_bytes + call.size() <= self.budgets.request_bytes
    }

    /// Sends a final response of the proxy's own.
    pub(super) fn send_own_response(&mut self, request: RequestId, last: LocalResponse) {
        let mut bytes = Vec::new();
        tracing::debug!(request, ?last, "own answer");
        match last {
            LocalResponse::Rejected { retry_after } => answer::write_rejected(&mut bytes, retry_after),
            LocalResponse::Failed { .. } => answer::write_failed(&mut bytes),
        }
        self.send_response(request, bytes);
    }

    /// Puts a final response in its place and writes all whose turn has come.
    pub(super) fn send_response(&mut self, request: RequestId, bytes: Vec<u8>) {
        let Some(in_flight) = self.in_flight.get(&request) else { return };
        let ConnectionId { slot, generation } = in_flight.client;
        let Some(client) = self.clients.get_mut(slot) else { return };
        if client.generation != generation {
            return;
        }
        let mut pending = client.pending_responses.iter_mut();
        if let Some(placeholder) = pending.find(|pending| pending.is_of(request)) {
            *placeholder = PendingResponse::Ready(bytes);
        }
        self.flush_client(slot);
        self.update_client_interest(slot);
    }

    /// Drops a request that is finished and has no attempt left.
    pub(super) fn forget_request(&mut self, request: RequestId) {
        if let Some(in_flight) = self.in_flight.remove(&request) {
            self.in_flight_bytes -= in_flight.call.size();
            self.open_ids.remove(&in_flight.call.id);
        }
    }
}

/// The call as the engine takes it. `unread` is how long it may have lain unread.
fn engine_request(call: &Call, now: Micros, unread: Micros) -> Request {
    Request {
        id: 0,
        deadline: now + call.wait.saturating_sub(unread),
        class: call.class,
        cost_hint: None,
        key: Some(call.key),
        tenant: call.tenant,
        is_retry: call.is_retry,
    }
}
