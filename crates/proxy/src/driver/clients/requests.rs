//! Clients' requests: finds their routes, and creates the forms that the engine and the servers receive.

use super::super::{ConnectionId, Proxy};
use super::{ClientState, InFlightRequest, PendingRequest, RequestPurpose};
use http::header::HeaderName;
use http::{Method, StatusCode};
use violetseam::interface::{Idempotency, Micros, Request, RequestId};
use violetseam_http1::client::write_request_head;
use violetseam_http1::{Framing, RequestHead};
use violetseam_settings::ProxySettings;
use violetseam_site_protocol::{answer_report, key_number};

/// The limit of a stated service time, in microseconds. A time that reaches it is treated as unknown.
const MAX_COST_HINT: Micros = 3_600_000_000;

impl Proxy {
    /// Handles a request's head that has arrived.
    pub(super) fn on_request_head(&mut self, key: usize, head: RequestHead) {
        let turn = self.turn;
        let purpose = self.request_purpose(&head);
        // The request's deadline counts from the time when the client sent it. For as long as this event loop
        // is late, the head may have been waiting unread, so the time of arrival is set back by that
        // lateness.
        let now = self.now();
        let arrived_at = now - self.timers.lateness(now, self.engine.next_deadline());
        let Some(client) = self.clients.get_mut(key) else { return };
        client.has_received_request = true;
        client.turn_usage.take_request(turn);
        // The phases of this request begin anew, even if the one before it ended in the same phase.
        client.timed_phase = None;
        let expects_continue = head.expects_continue;
        if expects_continue {
            client.http.write_continue(client.socket.write_buffer());
        }
        let pending = PendingRequest { head, arrived_at, purpose, body: Vec::new() };
        client.state = ClientState::ReceivingBody(Box::new(pending));
        if expects_continue {
            self.flush_client(key);
        }
    }

    /// Returns what the proxy does with a request with this head, from its path and the routes in force.
    fn request_purpose(&self, head: &RequestHead) -> RequestPurpose {
        let settings = &self.settings;
        let path = head.target.split(['?', '#']).next().unwrap_or("");
        if path == settings.connections.wrong_answer_path {
            return match head.method {
                Method::POST => RequestPurpose::ResponseReport,
                _ => RequestPurpose::RespondWithError {
                    status: StatusCode::METHOD_NOT_ALLOWED,
                    reason: "reports are posted",
                },
            };
        }
        let distributed_routes = self.subscription.as_ref().and_then(|subscription| subscription.table());
        let routes = distributed_routes.unwrap_or(&settings.route_table);
        let Some(route) = routes.find(&head.method, path) else {
            return RequestPurpose::RespondWithError { status: StatusCode::NOT_FOUND, reason: "no route" };
        };
        // Without an idempotency key no server could recognize and drop a repeated attempt.
        let needs_key = settings.decisions.classes[route.class].idempotency == Idempotency::Keyed;
        if needs_key && !head.headers.contains_key(&settings.headers.idempotency_key) {
            return RequestPurpose::RespondWithError {
                status: StatusCode::BAD_REQUEST,
                reason: "a request of this class needs its key",
            };
        }
        RequestPurpose::Route { class: route.class }
    }

    /// Passes a request to the engine, either because it is complete or because more of its body has arrived
    /// than may be buffered.
    pub(super) fn submit_request(&mut self, key: usize, is_body_complete: bool) {
        let settings = self.settings.clone();
        let Some(client) = self.clients.get_mut(key) else { return };
        let Some(pending) = client.take_pending_request() else { return };
        let PendingRequest { head, arrived_at, purpose, body } = pending;
        let RequestPurpose::Route { class } = purpose else { return };
        let framing = if is_body_complete { Framing::Length(body.len() as u64) } else { head.framing };
        let request = InFlightRequest {
            client: ConnectionId { key, generation: client.generation },
            class,
            head: server_request_head(&settings, &head, &self.via, framing),
            is_head_request: head.method == Method::HEAD,
            body,
            is_chunked: framing == Framing::Chunked,
            is_body_complete,
            connections: Vec::new(),
            streaming_from: None,
        };
        let now = self.now();
        let id = self.engine.on_request(now, routed_request(&settings, &head, class, arrived_at), true);
        if let Some(client) = self.clients.get_mut(key) {
            client.state = ClientState::AwaitingResponse(id);
        }
        self.in_flight.insert(id, request);
    }

    /// Handles a client's report that a response was wrong.
    pub(super) fn on_response_report(&mut self, key: usize) {
        let now = self.now();
        let Some(client) = self.clients.get_mut(key) else { return };
        let Some(pending) = client.take_pending_request() else { return };
        match answer_report::parse(&pending.body) {
            Ok(response_id) if self.engine.on_answer_reported(now, response_id) => {
                self.write_local_response(key, StatusCode::ACCEPTED, "", &[]);
            }
            Ok(_) => self.write_local_response(key, StatusCode::NOT_FOUND, "no such answer\n", &[]),
            Err(error) => {
                self.write_local_response(key, StatusCode::BAD_REQUEST, &format!("{error}\n"), &[]);
            }
        }
    }

    /// Drops a request that is finished.
    pub(in super::super) fn forget_request(&mut self, id: RequestId) {
        if let Some(request) = self.in_flight.remove(&id) {
            self.restate_client_memory(request.client.key);
        }
    }
}

/// Returns the head of a request in the form in which it is sent to servers.
fn server_request_head(settings: &ProxySettings, head: &RequestHead, via: &str, framing: Framing) -> Vec<u8> {
    let names = &settings.headers;
    let protected_fields = [
        names.idempotency_key.clone(),
        names.tenant.clone(),
        names.cost.clone(),
        names.deadline.clone(),
        names.retry.clone(),
    ];
    let mut bytes = Vec::with_capacity(256);
    write_request_head(&mut bytes, head, &protected_fields, &[("via", via.as_bytes())], framing);
    bytes
}

/// Returns a request in the form in which it is passed to the engine.
fn routed_request(settings: &ProxySettings, head: &RequestHead, class: usize, arrived_at: Micros) -> Request {
    let names = &settings.headers;
    let field_text = |name: &HeaderName| head.headers.get(name).and_then(|value| value.to_str().ok());
    let field_number =
        |name: &HeaderName| field_text(name).and_then(|value| value.trim().parse::<u64>().ok());
    let class_deadline = settings.decisions.classes[class].deadline;
    let allowed_time = field_number(&names.deadline)
        .map_or(class_deadline, |ms| ms.saturating_mul(1_000).min(class_deadline));
    let tenant = field_text(&names.tenant).and_then(|name| settings.tenants.get(name).copied());
    let unknown_tenant = settings.decisions.tenants.len();
    Request {
        id: 0,
        deadline: arrived_at + allowed_time,
        class,
        cost_hint: field_number(&names.cost).filter(|us| *us > 0 && *us < MAX_COST_HINT),
        key: head.headers.get(&names.idempotency_key).map(|value| key_number(value.as_bytes())),
        tenant: tenant.unwrap_or(unknown_tenant),
        is_retry: head.headers.contains_key(&names.retry),
    }
}
