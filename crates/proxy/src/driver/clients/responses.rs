//! Responses to clients: those that the proxy itself generates, and those that it passes on from servers.

use super::super::{ConnectionId, Proxy};
use super::ClientState;
use crate::engine::LocalResponse;
use http::StatusCode;
use http::header::{HeaderName, RETRY_AFTER, VIA};
use violetseam::interface::RequestId;
use violetseam_event_io::WRITE_BUFFER_HIGH_WATERMARK;
use violetseam_http1::server::ResponseStart;
use violetseam_http1::{Framing, ResponseHead};
use violetseam_site_protocol::answer_report;

/// The header that states the outcome of a final response: served, refused or failed.
const OUTCOME_HEADER: HeaderName = HeaderName::from_static("violetseam-answer");

impl Proxy {
    /// Responds to a request that is never passed to the engine.
    pub(super) fn respond_with_error(&mut self, key: usize, status: StatusCode, reason: &str) {
        let Some(client) = self.clients.get_mut(key) else { return };
        client.state = ClientState::Idle;
        self.write_local_response(key, status, &format!("{reason}\n"), &[]);
    }

    /// Writes a response that the proxy itself generates.
    pub(super) fn write_local_response(
        &mut self,
        key: usize,
        status: StatusCode,
        body: &str,
        extra_fields: &[(HeaderName, &[u8])],
    ) {
        let close = self.is_draining_or_handing_over();
        let Some(client) = self.clients.get_mut(key) else { return };
        let mut fields = vec![(VIA, self.via.as_bytes())];
        if !body.is_empty() {
            fields.push((http::header::CONTENT_TYPE, b"text/plain"));
        }
        fields.extend_from_slice(extra_fields);
        let framing = Framing::Length(body.len() as u64);
        let response = ResponseStart { status, headers: None, extra_fields: &fields, framing, close };
        client.http.start_response(client.socket.write_buffer(), response);
        client.http.write_body(client.socket.write_buffer(), body.as_bytes());
        self.finish_response(key);
    }

    /// Sends a final response that does not come from a server: 503 if the request was rejected, 502 or 504
    /// if it failed.
    pub(in super::super) fn send_local_response(&mut self, request: RequestId, response: LocalResponse) {
        let Some(key) = self.waiting_client(request) else { return };
        tracing::debug!(request, answer = ?response, "final response");
        match response {
            LocalResponse::Rejected { retry_after } => {
                // `Retry-After` is in whole seconds. It is rounded up, because the client must not retry
                // earlier.
                let seconds = retry_after.div_ceil(1_000_000).to_string();
                let retry_after_field = (RETRY_AFTER, seconds.as_bytes());
                let outcome = (OUTCOME_HEADER, &b"refused"[..]);
                let fields = if retry_after > 0 { vec![outcome, retry_after_field] } else { vec![outcome] };
                self.write_local_response(key, StatusCode::SERVICE_UNAVAILABLE, "refused\n", &fields);
            }
            LocalResponse::Failed { timed_out } => {
                let status = if timed_out { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
                self.write_local_response(key, status, "failed\n", &[(OUTCOME_HEADER, b"failed")]);
            }
        }
    }

    /// Returns the slab key of the client connection that waits for a request's response.
    pub(in super::super) fn waiting_client(&self, id: RequestId) -> Option<usize> {
        let request = self.in_flight.get(&id)?;
        let client = self.clients.get(request.client.key)?;
        let is_waiting = client.request_awaiting_response() == Some(id);
        (is_waiting && client.generation == request.client.generation).then_some(request.client.key)
    }

    /// Starts a client's response with a server's head. Returns the client's slab key, or `None` if no client
    /// waits for the response any more.
    pub(in super::super) fn start_response(
        &mut self,
        id: RequestId,
        head: &ResponseHead,
        framing: Framing,
        response_id: u64,
    ) -> Option<usize> {
        let key = self.waiting_client(id)?;
        let response_id_text = answer_report::write_id(response_id);
        let close = self.is_draining_or_handing_over();
        let client = self.clients.get_mut(key)?;
        let fields = [
            (VIA, self.via.as_bytes()),
            (self.settings.headers.response_id.clone(), response_id_text.as_bytes()),
            (OUTCOME_HEADER, &b"served"[..]),
        ];
        let write_buffer = client.socket.write_buffer();
        let response = ResponseStart {
            status: head.status,
            headers: Some(&head.headers),
            extra_fields: &fields,
            framing,
            close,
        };
        client.http.start_response(write_buffer, response);
        Some(key)
    }

    /// Writes bytes of a response's body.
    pub(in super::super) fn write_response_body(&mut self, key: usize, bytes: &[u8]) {
        let Some(client) = self.clients.get_mut(key) else { return };
        client.http.write_body(client.socket.write_buffer(), bytes);
    }

    /// Completes the present response. The connection stays open for further requests, or closes once
    /// everything is written.
    pub(in super::super) fn finish_response(&mut self, key: usize) {
        let Some(client) = self.clients.get_mut(key) else { return };
        let stays_open = client.http.finish_response(client.socket.write_buffer()) && !client.is_half_closed;
        client.state = if stays_open { ClientState::Idle } else { ClientState::Closing };
        self.flush_client(key);
    }

    /// Writes the unwritten bytes. After that the connection may close, the next request may start, or a
    /// server connection may be read again that was paused because this client read too slowly.
    pub(in super::super) fn flush_client(&mut self, key: usize) {
        let Some(client) = self.clients.get_mut(key) else { return };
        if client.socket.flush().is_err() {
            return self.on_client_lost(key);
        }
        let is_all_written = !client.socket.has_unwritten_bytes();
        match client.state {
            ClientState::Closing if is_all_written && client.is_half_closed => return self.close_client(key),
            ClientState::Closing if is_all_written => {
                client.state = ClientState::Lingering;
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
            ClientState::Idle if self.lifecycle.is_draining() && client.http.is_idle() && is_all_written => {
                return self.close_client(key);
            }
            // A pipelined request may be waiting in the input. `run_engine_actions` handles it: handling it
            // here would nest one call deeper for each request that is answered at once.
            ClientState::Idle if client.http.buffered_bytes() > 0 => {
                self.clients_to_resume.push(ConnectionId { key, generation: client.generation });
            }
            _ => {}
        }
        self.rearm_client(key);
    }
}
