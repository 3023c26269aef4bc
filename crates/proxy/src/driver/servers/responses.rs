//! Servers' responses: the outcome that their status gives an attempt, and how they are passed on to the
//! client.

use super::super::Proxy;
use super::{AttemptId, ConnectionState, ResponseState, Server};
use http::StatusCode;
use violetseam::interface::{Outcome, RequestId};
use violetseam_event_io::ReadOutcome;
use violetseam_http1::client::ClientEvent;
use violetseam_http1::{Framing, ResponseHead};

impl Proxy {
    /// Reads from the connection once, and handles what was read.
    pub(super) fn read_server(&mut self, key: usize) {
        let mut read_buffer = std::mem::take(&mut self.read_buffer);
        if let Some(server) = self.servers.get_mut(key) {
            match server.socket.read(&mut read_buffer) {
                ReadOutcome::Bytes(length) => {
                    server.http.feed(&read_buffer[..length]);
                    self.process_server_events(key);
                }
                ReadOutcome::WouldBlock => {}
                ReadOutcome::Closed => match server.http.close() {
                    Some(ClientEvent::End { .. }) => self.on_response_complete(key, false),
                    _ => self.on_server_lost(key),
                },
                ReadOutcome::Failed => self.on_server_lost(key),
            }
        }
        self.read_buffer = read_buffer;
    }

    /// Handles the events that a server's input contains, until more input is needed for the next one.
    fn process_server_events(&mut self, key: usize) {
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
                ClientEvent::Error(error) => {
                    let id = server.id;
                    tracing::debug!(server = id, "malformed response: {error}");
                    return self.on_server_lost(key);
                }
            }
        }
    }

    /// Returns the outcome that a response's status gives its attempt.
    fn attempt_outcome(&self, head: &ResponseHead) -> Outcome {
        let is_marked_not_processed = head.headers.contains_key(&self.settings.headers.not_processed);
        match head.status {
            StatusCode::SERVICE_UNAVAILABLE if is_marked_not_processed => Outcome::Rejected,
            status if status.is_server_error() => Outcome::Error,
            _ => Outcome::Ok,
        }
    }

    fn on_response_head(&mut self, key: usize, head: Box<ResponseHead>) {
        let outcome = self.attempt_outcome(&head);
        let Some(server) = self.servers.get_mut(key) else { return };
        let ConnectionState::Busy(active) = &mut server.state else { return };
        let id = active.id;
        let is_stream_class = self
            .in_flight
            .get(&id.request)
            .is_some_and(|in_flight| self.settings.decisions.classes[in_flight.class].stream);
        if outcome != Outcome::Ok {
            // The outcome is reported at once. The rest of such a response is read only so that the
            // connection can be reused.
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
        let max_buffered_bytes = self.settings.connections.max_buffered_response_bytes;
        let Some(server) = self.servers.get_mut(key) else { return };
        match &mut server.state {
            ConnectionState::Discarding { body_bytes } => {
                *body_bytes += bytes.len();
                if *body_bytes > max_buffered_bytes {
                    self.close_server(key);
                }
            }
            ConnectionState::Busy(active) => match &mut active.response {
                ResponseState::Buffered { head, body } => {
                    body.extend_from_slice(bytes);
                    if body.len() > max_buffered_bytes {
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

    /// Starts to pass a response on as it arrives. From here on no time-out of the request applies.
    fn start_streaming(&mut self, key: usize, head: &ResponseHead, body: &[u8]) {
        let Some(active) = self.servers.get_mut(key).and_then(Server::active_mut) else { return };
        active.response = ResponseState::Streaming;
        let id = active.id;
        let AttemptId { request, attempt } = id;
        let now = self.now();
        if !self.engine.on_stream_started(now, request, attempt) {
            // The client already receives another attempt's response.
            self.set_attempt_connection(id, None);
            self.close_server(key);
            self.end_attempt(request, attempt, Outcome::Cancelled);
            return;
        }
        let response_id = self.random_u64();
        self.engine.record_delivered_answer(request, attempt, response_id);
        let framing = if head.framing == Framing::UntilClose { Framing::Chunked } else { head.framing };
        if let Some(in_flight) = self.in_flight.get_mut(&request) {
            in_flight.streaming_from = Some(key);
        }
        if let Some(client) = self.start_response(request, head, framing, response_id) {
            self.write_response_body(client, body);
            self.flush_client(client);
        }
    }

    /// Handles a response that is complete.
    fn on_response_complete(&mut self, key: usize, reusable: bool) {
        let Some(server) = self.servers.get_mut(key) else { return };
        // The connection cannot be reused before the request is completely written: the server would take a
        // next request for the rest of this one.
        let reusable = reusable && !server.socket.has_unwritten_bytes();
        let state = std::mem::replace(&mut server.state, ConnectionState::Idle);
        let ConnectionState::Busy(active) = state else { return self.pool_or_close(key, reusable) };
        let AttemptId { request, attempt } = active.id;
        let is_request_written = self.in_flight.get(&request).is_none_or(|request| request.is_body_complete);
        self.set_attempt_connection(active.id, None);
        self.pool_or_close(key, reusable && is_request_written);
        match active.response {
            ResponseState::Buffered { head, body } => {
                let response_id = self.random_u64();
                self.engine.record_delivered_answer(request, attempt, response_id);
                if self.end_attempt(request, attempt, Outcome::Ok) {
                    self.deliver_buffered_response(request, &head, &body, response_id);
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

    /// Sends a complete response to the client.
    fn deliver_buffered_response(
        &mut self,
        request: RequestId,
        head: &ResponseHead,
        body: &[u8],
        response_id: u64,
    ) {
        tracing::debug!(request, status = head.status.as_u16(), "final response");
        // A response without a body may still state the length that the body would have (to HEAD, or with
        // status 304).
        let stated_length = head
            .headers
            .get(http::header::CONTENT_LENGTH)
            .and_then(|value| value.to_str().ok()?.parse().ok());
        let has_no_body = body.is_empty() && head.framing == Framing::Length(0);
        let framing = match stated_length {
            Some(length) if has_no_body => Framing::Length(length),
            None if head.status == StatusCode::NOT_MODIFIED => Framing::UntilClose,
            _ => Framing::Length(body.len() as u64),
        };
        if let Some(client) = self.start_response(request, head, framing, response_id) {
            self.write_response_body(client, body);
            self.finish_response(client);
        }
    }
}
