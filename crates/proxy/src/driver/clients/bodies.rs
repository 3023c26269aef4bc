//! Bodies of clients' requests: buffered until the request is complete or begins, passed on from then on.

use super::super::Proxy;
use super::{ClientState, RequestPurpose};
use violetseam::interface::RequestId;
use violetseam_http1::{write_chunk, write_last_chunk};
use violetseam_site_protocol::answer_report;

impl Proxy {
    /// Bytes of a body have arrived.
    pub(super) fn on_body(&mut self, key: usize, bytes: Vec<u8>) {
        let max_buffered = self.settings.connections.max_retained_body_bytes;
        let Some(client) = self.clients.get_mut(key) else { return };
        match &mut client.state {
            ClientState::ReceivingBody(pending) => {
                match pending.purpose {
                    RequestPurpose::RespondWithError { .. } => return,
                    RequestPurpose::AnswerReport if pending.body.len() > answer_report::MAX_BODY_BYTES => {
                        return;
                    }
                    _ => pending.body.extend_from_slice(&bytes),
                }
                if pending.body.len() > max_buffered
                    && matches!(pending.purpose, RequestPurpose::Route { .. })
                {
                    self.begin_request(key, false);
                }
            }
            ClientState::AwaitingResponse(id) => {
                let id = *id;
                self.append_body(id, &bytes);
            }
            ClientState::Idle | ClientState::Closing | ClientState::Lingering => {}
        }
    }

    /// A body is complete.
    pub(super) fn on_end(&mut self, key: usize) {
        let Some(client) = self.clients.get_mut(key) else { return };
        match &client.state {
            ClientState::ReceivingBody(pending) => match pending.purpose {
                RequestPurpose::Route { .. } => self.begin_request(key, true),
                RequestPurpose::AnswerReport => self.on_answer_report(key),
                RequestPurpose::RespondWithError { status, reason } => {
                    self.respond_with_error(key, status, reason);
                }
            },
            ClientState::AwaitingResponse(id) => {
                let id = *id;
                self.complete_body(id);
            }
            ClientState::Idle | ClientState::Closing | ClientState::Lingering => {}
        }
    }

    /// More of a body whose request has begun: to the server that has the rest, or buffered until there is
    /// one.
    fn append_body(&mut self, id: RequestId, bytes: &[u8]) {
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        let Some(key) = request.latest_connection() else { return request.body.extend_from_slice(bytes) };
        match self.servers.get_mut(key) {
            Some(server) if server.has_request() => {
                if request.is_chunked {
                    write_chunk(server.write_buffer(), bytes);
                } else {
                    server.write_buffer().extend_from_slice(bytes);
                }
                self.engine.mark_not_repeatable(id);
                self.flush_server(key);
            }
            _ => request.body.extend_from_slice(bytes),
        }
    }

    /// The body of a request that has begun is complete.
    fn complete_body(&mut self, id: RequestId) {
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        request.is_body_complete = true;
        let Some(key) = request.latest_connection() else { return };
        let Some(server) = self.servers.get_mut(key).filter(|server| server.has_request()) else { return };
        if request.is_chunked {
            write_last_chunk(server.write_buffer());
        }
        self.flush_server(key);
    }
}
