//! Responses to clients: the proxy's own, and those of servers as they are passed on.

use super::super::{ConnectionId, Proxy};
use super::ClientState;
use crate::engine::LocalResponse;
use http::StatusCode;
use http::header::{HeaderMap, HeaderName, RETRY_AFTER, VIA};
use violetseam::interface::RequestId;
use violetseam_event_io::WRITE_BUFFER_HIGH_WATERMARK;
use violetseam_http1::{Framing, ResponseHead};
use violetseam_site_protocol::answer_report;

/// States the outcome of a final response: served, refused or failed.
const OUTCOME_HEADER: HeaderName = HeaderName::from_static("violetseam-answer");

impl Proxy {
    /// Responds to a request that never reaches the engine.
    pub(super) fn respond_with_error(&mut self, key: usize, status: StatusCode, reason: &str) {
        let Some(client) = self.clients.get_mut(key) else { return };
        client.state = ClientState::Idle;
        self.write_local_response(key, status, &format!("{reason}\n"), &[]);
    }

    /// Writes a response of the proxy's own.
    pub(super) fn write_local_response(
        &mut self,
        key: usize,
        status: StatusCode,
        body: &str,
        extra_fields: &[(HeaderName, &[u8])],
    ) {
        let close = self.is_leaving();
        let Some(client) = self.clients.get_mut(key) else { return };
        let mut fields = vec![(VIA, self.via.as_bytes())];
        if !body.is_empty() {
            fields.push((http::header::CONTENT_TYPE, b"text/plain"));
        }
        fields.extend_from_slice(extra_fields);
        let framing = Framing::Length(body.len() as u64);
        client.http.start_answer(
            client.socket.write_buffer(),
            status,
            &HeaderMap::new(),
            &fields,
            framing,
            close,
        );
        client.http.write_body(client.socket.write_buffer(), body.as_bytes());
        self.finish_response(key);
    }

    /// Sends a final response that no server gave: rejected 503, failed 502 or 504.
    pub(in super::super) fn send_local_response(&mut self, request: RequestId, response: LocalResponse) {
        let Some(key) = self.waiting_client(request) else { return };
        tracing::debug!(request, answer = ?response, "final answer");
        match response {
            LocalResponse::Rejected { retry_after } => {
                // Retry-After counts whole seconds; rounded up, as the client must not retry earlier.
                let seconds = retry_after.div_ceil(1_000_000).to_string();
                let advice = (RETRY_AFTER, seconds.as_bytes());
                let outcome = (OUTCOME_HEADER, &b"refused"[..]);
                let fields = if retry_after > 0 { vec![outcome, advice] } else { vec![outcome] };
                self.write_local_response(key, StatusCode::SERVICE_UNAVAILABLE, "refused\n", &fields);
            }
            LocalResponse::Failed { timed_out } => {
                let status = if timed_out { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
                self.write_local_response(key, status, "failed\n", &[(OUTCOME_HEADER, b"failed")]);
            }
        }
    }

    /// The client that waits for a request's response.
    pub(in super::super) fn waiting_client(&self, id: RequestId) -> Option<usize> {
        let request = self.in_flight.get(&id)?;
        let client = self.clients.get(request.client.key)?;
        let is_waiting = client.waiting_request() == Some(id);
        (is_waiting && client.generation == request.client.generation).then_some(request.client.key)
    }

    /// Starts a client's response with a server's head; none if no client waits for it any more.
    pub(in super::super) fn start_response(
        &mut self,
        id: RequestId,
        head: &ResponseHead,
        framing: Framing,
        answer: u64,
    ) -> Option<usize> {
        let key = self.waiting_client(id)?;
        let answer = answer_report::write_id(answer);
        let leaving = self.is_leaving();
        let client = self.clients.get_mut(key)?;
        let fields = [
            (VIA, self.via.as_bytes()),
            (self.settings.headers.answer.clone(), answer.as_bytes()),
            (OUTCOME_HEADER, &b"served"[..]),
        ];
        let out = client.socket.write_buffer();
        client.http.start_answer(out, head.status, &head.headers, &fields, framing, leaving);
        Some(key)
    }

    /// Writes bytes of a response's body.
    pub(in super::super) fn write_response_body(&mut self, key: usize, bytes: &[u8]) {
        let Some(client) = self.clients.get_mut(key) else { return };
        client.http.write_body(client.socket.write_buffer(), bytes);
    }

    /// Completes the present response: the connection carries on, or closes once all is written.
    pub(in super::super) fn finish_response(&mut self, key: usize) {
        let Some(client) = self.clients.get_mut(key) else { return };
        let carries_on = client.http.finish_answer(client.socket.write_buffer()) && !client.half_closed;
        client.state = if carries_on { ClientState::Idle } else { ClientState::Closing };
        self.flush_client(key);
    }

    /// Writes what is unwritten; then the connection may close, a next request begin or a paused server be
    /// read.
    pub(in super::super) fn flush_client(&mut self, key: usize) {
        let Some(client) = self.clients.get_mut(key) else { return };
        if client.socket.flush().is_err() {
            return self.on_client_lost(key);
        }
        let drained = !client.socket.has_unwritten_bytes();
        match client.state {
            ClientState::Closing if drained && client.half_closed => return self.close_client(key),
            ClientState::Closing if drained => {
                client.state = ClientState::Lingering;
                client.timeout.set(None);
                client.socket.close_write();
            }
            ClientState::AwaitingResponse(id)
                if client.socket.unwritten_bytes() <= WRITE_BUFFER_HIGH_WATERMARK =>
            {
                let server = self.in_flight.get(&id).and_then(|request| request.streaming_from);
                if let Some(server) = server {
                    self.rearm_server(server);
                }
            }
            ClientState::Idle if self.lifecycle.is_draining() && client.http.is_idle() && drained => {
                return self.close_client(key);
            }
            // A pipelined request may be waiting in the input: it gets its turn from `run_engine_actions`, as
            // to handle it from here would go a level deeper with each one that is answered at once.
            ClientState::Idle if client.http.held() > 0 => {
                self.clients_to_resume.push(ConnectionId { key, generation: client.generation });
            }
            _ => {}
        }
        self.rearm_client(key);
    }
}
