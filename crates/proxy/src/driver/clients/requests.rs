//! Requests of clients: what becomes of them, and what the engine and the servers get of them.

use super::super::{ConnectionId, Proxy};
use super::{InFlightRequest, PendingRequest, RequestPurpose, State};
use http::header::HeaderName;
use http::{Method, StatusCode};
use violetseam::interface::{Idempotency, Micros, Request, RequestId};
use violetseam_http1::client::write_request_head;
use violetseam_http1::{Framing, RequestHead, write_chunk, write_last_chunk};
use violetseam_settings::ProxySettings;
use violetseam_site_protocol::{answer_report, key_number};

/// A longer expected service time is taken for an unknown one.
const MAX_COST_HINT: Micros = 3_600_000_000;

impl Proxy {
    /// A head has come.
    pub(super) fn on_head(&mut self, key: usize, head: RequestHead) {
        let purpose = self.request_purpose(&head);
        // The client's wait began when it sent; for as long as this event loop is late, the head may have been unread.
        let now = self.now();
        let arrived_at = now - self.timers.behind(now, self.engine.next_deadline());
        let Some(client) = self.clients.get_mut(key) else { return };
        client.used = true;
        let expects_continue = head.expects_continue;
        if expects_continue {
            client.http.write_continue(client.socket.out());
        }
        let pending = PendingRequest { head, arrived_at, purpose, body: Vec::new() };
        client.state = State::Collecting(Box::new(pending));
        if expects_continue {
            self.flush_client(key);
        }
    }

    /// What becomes of a request with this head.
    pub(super) fn request_purpose(&self, head: &RequestHead) -> RequestPurpose {
        let s = &self.settings;
        let path = head.target.split(['?', '#']).next().unwrap_or("");
        if path == s.connections.wrong_answer_path {
            return match head.method {
                Method::POST => RequestPurpose::AnswerReport,
                _ => RequestPurpose::Decline {
                    status: StatusCode::METHOD_NOT_ALLOWED,
                    reason: "reports are posted",
                },
            };
        }
        let distributed = self.subscription.as_ref().and_then(|subscription| subscription.table());
        let routes = distributed.unwrap_or(&s.route_table);
        let Some(route) = routes.find(&head.method, path) else {
            return RequestPurpose::Decline { status: StatusCode::NOT_FOUND, reason: "no route" };
        };
        // Without its key no server could drop a repeat.
        let keyed = s.decisions.classes[route.class].idempotency == Idempotency::Keyed;
        if keyed && !head.headers.contains_key(&s.headers.idempotency_key) {
            return RequestPurpose::Decline {
                status: StatusCode::BAD_REQUEST,
                reason: "a request of this class needs its key",
            };
        }
        RequestPurpose::Route { class: route.class }
    }

    /// Bytes of a body have come.
    pub(super) fn on_body(&mut self, key: usize, bytes: Vec<u8>) {
        let keep = self.settings.connections.max_retained_body_bytes;
        let Some(client) = self.clients.get_mut(key) else { return };
        match &mut client.state {
            State::Collecting(pending) => {
                match pending.purpose {
                    RequestPurpose::Decline { .. } => return,
                    RequestPurpose::AnswerReport if pending.body.len() > answer_report::MAX_BODY_BYTES => {
                        return;
                    }
                    _ => pending.body.extend_from_slice(&bytes),
                }
                if pending.body.len() > keep && matches!(pending.purpose, RequestPurpose::Route { .. }) {
                    self.begin_request(key, false);
                }
            }
            State::Waiting(id) => {
                let id = *id;
                self.append_body(id, &bytes);
            }
            State::Idle | State::Closing | State::Lingering => {}
        }
    }

    /// A body is complete.
    pub(super) fn on_end(&mut self, key: usize) {
        let Some(client) = self.clients.get_mut(key) else { return };
        match &client.state {
            State::Collecting(pending) => match pending.purpose {
                RequestPurpose::Route { .. } => self.begin_request(key, true),
                RequestPurpose::AnswerReport => self.on_answer_report(key),
                RequestPurpose::Decline { status, reason } => self.decline(key, status, reason),
            },
            State::Waiting(id) => {
                let id = *id;
                self.complete_body(id);
            }
            State::Idle | State::Closing | State::Lingering => {}
        }
    }

    /// Hands a request to the engine: complete, or past what is buffered of it (`is_complete` false).
    fn begin_request(&mut self, key: usize, is_complete: bool) {
        let settings = self.settings.clone();
        let Some(client) = self.clients.get_mut(key) else { return };
        let State::Collecting(pending) = std::mem::replace(&mut client.state, State::Idle) else { return };
        let PendingRequest { head, arrived_at, purpose, body } = *pending;
        let RequestPurpose::Route { class } = purpose else { return };
        let framing = if is_complete { Framing::Length(body.len() as u64) } else { head.framing };
        let request = InFlightRequest {
            client: ConnectionId { key, generation: client.generation },
            class,
            head: server_request_head(&settings, &head, &self.via, framing),
            is_head_request: head.method == Method::HEAD,
            body,
            is_chunked: framing == Framing::Chunked,
            is_complete,
            connections: Vec::new(),
            streaming_from: None,
        };
        let now = self.now();
        let id = self.engine.on_request(now, routed_request(&settings, &head, class, arrived_at), true);
        if let Some(client) = self.clients.get_mut(key) {
            client.state = State::Waiting(id);
        }
        self.in_flight.insert(id, request);
    }

    /// More of a growing body: to the server that has the rest, or buffered until there is one.
    fn append_body(&mut self, id: RequestId, bytes: &[u8]) {
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        let Some(key) = request.latest_connection() else { return request.body.extend_from_slice(bytes) };
        match self.servers.get_mut(key) {
            Some(server) if server.took_request() => {
                if request.is_chunked {
                    write_chunk(server.out(), bytes);
                } else {
                    server.out().extend_from_slice(bytes);
                }
                self.engine.mark_not_repeatable(id);
                self.flush_server(key);
            }
            _ => request.body.extend_from_slice(bytes),
        }
    }

    /// A growing body is complete.
    fn complete_body(&mut self, id: RequestId) {
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        request.is_complete = true;
        let Some(key) = request.latest_connection() else { return };
        let Some(server) = self.servers.get_mut(key).filter(|server| server.took_request()) else { return };
        if request.is_chunked {
            write_last_chunk(server.out());
        }
        self.flush_server(key);
    }

    fn on_answer_report(&mut self, key: usize) {
        let now = self.now();
        let Some(client) = self.clients.get_mut(key) else { return };
        let State::Collecting(pending) = std::mem::replace(&mut client.state, State::Idle) else { return };
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

    /// The request is no longer in flight.
    pub(in super::super) fn forget(&mut self, id: RequestId) {
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
