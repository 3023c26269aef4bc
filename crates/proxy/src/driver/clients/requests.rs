//! Requests of clients: their routes, and the forms that the engine and the servers get.

use super::super::{ConnectionId, Proxy};
use super::{ClientState, InFlightRequest, PendingRequest, RequestPurpose};
use http::header::HeaderName;
use http::{Method, StatusCode};
use violetseam::interface::{Idempotency, Micros, Request, RequestId};
use violetseam_http1::client::write_request_head;
use violetseam_http1::{Framing, RequestHead};
use violetseam_settings::ProxySettings;
use violetseam_site_protocol::{answer_report, key_number};

/// A longer expected service time is taken for an unknown one.
const MAX_COST_HINT: Micros = 3_600_000_000;

impl Proxy {
    /// A request's head has arrived.
    pub(super) fn on_head(&mut self, key: usize, head: RequestHead) {
        let purpose = self.request_purpose(&head);
        // The client's wait began when it sent; for as long as this event loop is late, the head may have
        // been unread.
        let now = self.now();
        let arrived_at = now - self.timers.lateness(now, self.engine.next_deadline());
        let Some(client) = self.clients.get_mut(key) else { return };
        client.has_received_request = true;
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

    /// What a request with this head is for, by its path and the routes in force.
    fn request_purpose(&self, head: &RequestHead) -> RequestPurpose {
        let settings = &self.settings;
        let path = head.target.split(['?', '#']).next().unwrap_or("");
        if path == settings.connections.wrong_answer_path {
            return match head.method {
                Method::POST => RequestPurpose::AnswerReport,
                _ => RequestPurpose::RespondWithError {
                    status: StatusCode::METHOD_NOT_ALLOWED,
                    reason: "reports are posted",
                },
            };
        }
        let distributed = self.subscription.as_ref().and_then(|subscription| subscription.table());
        let routes = distributed.unwrap_or(&settings.route_table);
        let Some(route) = routes.find(&head.method, path) else {
            return RequestPurpose::RespondWithError { status: StatusCode::NOT_FOUND, reason: "no route" };
        };
        // Without its key no server could drop a repeat.
        let needs_key = settings.decisions.classes[route.class].idempotency == Idempotency::Keyed;
        if needs_key && !head.headers.contains_key(&settings.headers.idempotency_key) {
            return RequestPurpose::RespondWithError {
                status: StatusCode::BAD_REQUEST,
                reason: "a request of this class needs its key",
            };
        }
        RequestPurpose::Route { class: route.class }
    }

    /// Passes a request to the engine: complete, or once more of its body has arrived than is buffered.
    pub(super) fn begin_request(&mut self, key: usize, is_body_complete: bool) {
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

    /// A client reports a response wrong.
    pub(super) fn on_answer_report(&mut self, key: usize) {
        let now = self.now();
        let Some(client) = self.clients.get_mut(key) else { return };
        let Some(pending) = client.take_pending_request() else { return };
        match answer_report::parse(&pending.body) {
            Ok(answer) if self.engine.on_answer_reported(now, answer) => {
                self.write_local_response(key, StatusCode::ACCEPTED, "", &[]);
            }
            Ok(_) => self.write_local_response(key, StatusCode::NOT_FOUND, "no such answer\n", &[]),
            Err(fault) => {
                self.write_local_response(key, StatusCode::BAD_REQUEST, &format!("{fault}\n"), &[]);
            }
        }
    }

    /// Drops a request that is finished.
    pub(in super::super) fn forget_request(&mut self, id: RequestId) {
        self.in_flight.remove(&id);
    }
}

/// The head of a request as servers get it.
fn server_request_head(settings: &ProxySettings, head: &RequestHead, via: &str, framing: Framing) -> Vec<u8> {
    let names = &settings.headers;
    let forwarded = [
        names.idempotency_key.clone(),
        names.tenant.clone(),
        names.cost.clone(),
        names.deadline.clone(),
        names.retry.clone(),
    ];
    let mut bytes = Vec::with_capacity(256);
    write_request_head(&mut bytes, head, &forwarded, &[("via", via.as_bytes())], framing);
    bytes
}

/// A request as the engine gets it.
fn routed_request(settings: &ProxySettings, head: &RequestHead, class: usize, arrived_at: Micros) -> Request {
    let names = &settings.headers;
    let text = |name: &HeaderName| head.headers.get(name).and_then(|value| value.to_str().ok());
    let number = |name: &HeaderName| text(name).and_then(|value| value.trim().parse::<u64>().ok());
    let longest = settings.decisions.classes[class].deadline;
    let wait = number(&names.deadline).map_or(longest, |ms| ms.saturating_mul(1_000).min(longest));
    let tenant = text(&names.tenant).and_then(|name| settings.tenants.get(name).copied());
    let unknown_tenant = settings.decisions.tenants.len();
    Request {
        id: 0,
        deadline: arrived_at + wait,
        class,
        cost_hint: number(&names.cost).filter(|us| *us > 0 && *us < MAX_COST_HINT),
        key: head.headers.get(&names.idempotency_key).map(|value| key_number(value.as_bytes())),
        tenant: tenant.unwrap_or(unknown_tenant),
        is_retry: head.headers.contains_key(&names.retry),
    }
}
