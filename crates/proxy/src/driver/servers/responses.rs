//! Servers' responses: the outcome that their status gives an attempt, and their way to the client.

use super::super::Proxy;
use super::{AttemptId, ConnectionState, ResponseState, Server};
use http::StatusCode;
use violetseam::interface::{Outcome, RequestId};
use violetseam_event_io::ReadOutcome;
use violetseam_http1::client::ClientEvent;
use violetseam_http1::{Framing, ResponseHead};

impl Proxy {
    /// Reads once.
    pub(super) fn read_server(&mut self, key: usize) {
        let mut scratch = std::mem::take(&mut self.scratch);
        if let Some(server) = self.servers.get_mut(key) {
            match server.socket.read(&mut scratch) {
                ReadOutcome::Bytes(n) => {
                    server.http.feed(&scratch[..n]);
                    self.server_events(key);
                }
                ReadOutcome::WouldBlock => {}
                ReadOutcome::Closed => match server.http.close() {
                    Some(ClientEvent::End { .. }) => self.on_response_complete(key, false),
                    _ => self.on_server_lost(key),
                },
                ReadOutcome::Failed => self.on_server_lost(key),
            }
        }
        self.scratch = scratch;
    }

    /// Handles what a server's input gives, until it gives nothing more for now.
    fn server_events(&mut self, key: usize) {
        while let Some(server) = self.servers.get_mut(key) {
            let Some(event) = server.http.next_event() else { return self.rearm_server(key) };
            match event {
                ClientEvent::Head(head) => self.on_response_head(key, head),
                ClientEvent::Body(bytes) => self.on_response_body(key, &bytes),
                ClientEvent::End { reusable } => {
                    self.on_response_complete(key, reusable);
                    if self.servers.get(key).is_none_or(Server::is_idle) {
                        return;
                    }
                }
                ClientEvent::Error(fault) => {
                    let id = server.id;
                    tracing::debug!(server = id, "malformed answer: {fault}");
                    return self.on_server_lost(key);
                }
            }
        }
    }

    /// The outcome that a response's status gives its attempt.
    fn outcome_of(&self, head: &ResponseHead) -> Outcome {
        let not_run = head.headers.contains_key(&self.settings.headers.not_processed);
        match head.status {
            StatusCode::SERVICE_UNAVAILABLE if not_run => Outcome::Rejected,
            status if status.is_server_error() => Outcome::Error,
            _ => Outcome::Ok,
        }
    }

    fn on_response_head(&mut self, key: usize, head: Box<ResponseHead>) {
        let outcome = self.outcome_of(&head);
        let Some(server) = self.servers.get_mut(key) else { return };
        let ConnectionState::Busy(active) = &mut server.state else { return };
        let id = active.id;
        let is_stream_class = self
            .in_flight
            .get(&id.request)
            .is_some_and(|in_flight| self.settings.decisions.classes[in_flight.class].stream);
        if outcome != Outcome::Ok {
            // Reported at once: the rest of such a response is read only to use the connection again.
            server.state = ConnectionState::Discarding { body_bytes: 0 };
            self.set_attempt_connection(id, None);
            self.end_attempt(id.request, id.attempt, outcome);
        } else if is_stream_class {
            self.start_streaming(key, &head, &[]);
        } else {
            active.response = ResponseState::Buffered { head, body: Vec::new() };
        }
    }

    fn on_response_body(&mut self, key: usize, bytes: &[u8]) {
        let max_buffered = self.settings.connections.max_buffered_response_bytes;
        let Some(server) = self.servers.get_mut(key) else { return };
        match &mut server.state {
            ConnectionState::Discarding { body_bytes } => {
                *body_bytes += bytes.len();
                if *body_bytes > max_buffered {
                    self.close_server(key);
                }
            }
            ConnectionState::Busy(active) => match &mut active.response {
                ResponseState::Buffered { head, body } => {
                    body.extend_from_slice(bytes);
                    if body.len() > max_buffered {
                        let head = head.clone();
                        let body = std::mem::take(body);
                        self.start_streaming(key, &head, &body);
                    }
                }
                ResponseState::Streaming => {
                    let request = active.id.request;
                    if let Some(client) = self.waiting_client(request) {
                        self.write_response_body(client, bytes);
                        self.flush_client(client);
                    }
                }
                ResponseState::Awaited => {}
            },
            ConnectionState::Connecting(_) | ConnectionState::Idle => {}
        }
    }

    /// Begins to pass a response on as it arrives: no time-out of the request applies from here on.
    fn start_streaming(&mut self, key: usize, head: &ResponseHead, body: &[u8]) {
        let Some(active) = self.servers.get_mut(key).and_then(Server::active_mut) else { return };
        active.response = ResponseState::Streaming;
        let id = active.id;
        let AttemptId { request, attempt } = id;
        let now = self.now();
        if !self.engine.on_stream_started(now, request, attempt) {
            // The client already gets another attempt's response.
            self.set_attempt_connection(id, None);
            self.close_server(key);
            self.end_attempt(request, attempt, Outcome::Cancelled);
            return;
        }
        let answer = self.draw();
        self.engine.record_delivered_answer(request, attempt, answer);
        let framing = if head.framing == Framing::UntilClose { Framing::Chunked } else { head.framing };
        if let Some(in_flight) = self.in_flight.get_mut(&request) {
            in_flight.streaming_from = Some(key);
        }
        if let Some(client) = self.start_response(request, head, framing, answer) {
            self.write_response_body(client, body);
            self.flush_client(client);
        }
    }

    /// The response is complete.
    fn on_response_complete(&mut self, key: usize, reusable: bool) {
        let Some(server) = self.servers.get_mut(key) else { return };
        // A request that is not completely written cannot be distinguished from a next one by the server.
        let reusable = reusable && !server.socket.has_unwritten_bytes();
        let state = std::mem::replace(&mut server.state, ConnectionState::Idle);
        let ConnectionState::Busy(active) = state else { return self.pool_or_close(key, reusable) };
        let AttemptId { request, attempt } = active.id;
        let is_request_written = self.in_flight.get(&request).is_none_or(|request| request.is_complete);
        self.set_attempt_connection(active.id, None);
        self.pool_or_close(key, reusable && is_request_written);
        match active.response {
            ResponseState::Buffered { head, body } => {
                let answer = self.draw();
                self.engine.record_delivered_answer(request, attempt, answer);
                if self.end_attempt(request, attempt, Outcome::Ok) {
                    self.deliver_buffered_response(request, &head, &body, answer);
                }
            }
            ResponseState::Streaming => {
                let client = self.waiting_client(request);
                self.end_attempt(request, attempt, Outcome::Ok);
                if let Some(client) = client {
                    self.finish_response(client);
                }
            }
            ResponseState::Awaited => {}
        }
    }

    /// Gives the client a response that is complete.
    fn deliver_buffered_response(
        &mut self,
        request: RequestId,
        head: &ResponseHead,
        body: &[u8],
        answer: u64,
    ) {
        tracing::debug!(request, status = head.status.as_u16(), "final answer");
        // A response without a body may still state the length that one would have (HEAD, 304).
        let stated =
            head.headers.get(http::header::CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
        let bodiless = body.is_empty() && head.framing == Framing::Length(0);
        let framing = match stated {
            Some(length) if bodiless => Framing::Length(length),
            None if head.status == StatusCode::NOT_MODIFIED => Framing::UntilClose,
            _ => Framing::Length(body.len() as u64),
        };
        if let Some(client) = self.start_response(request, head, framing, answer) {
            self.write_response_body(client, body);
            self.finish_response(client);
        }
    }
}
