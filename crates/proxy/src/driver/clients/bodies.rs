//! The bodies of clients' requests. A body is buffered until it is complete or exceeds the limit of what may
//! be buffered. Then the request is passed to the engine, and the rest of the body is forwarded as it
//! arrives.

use super::super::Proxy;
use super::{ClientState, RequestPurpose};
use violetseam::interface::RequestId;
use violetseam_http1::{write_chunk, write_last_chunk};
use violetseam_site_protocol::answer_report;

impl Proxy {
    /// Handles bytes of a request's body that have arrived.
    pub(super) fn on_body_bytes(&mut self, key: usize, bytes: Vec<u8>) {
        let max_buffered_bytes = self.settings.connections.max_retained_body_bytes;
        let Some(client) = self.clients.get_mut(key) else { return };
        match &mut client.state {
            ClientState::ReceivingBody(pending) => {
                match pending.purpose {
                    RequestPurpose::RespondWithError { .. } => return,
                    RequestPurpose::ResponseReport if pending.body.len() > answer_report::MAX_BODY_BYTES => {
                        return;
                    }
                    _ => pending.body.extend_from_slice(&bytes),
                }
                if pending.body.len() > max_buffered_bytes
                    && matches!(pending.purpose, RequestPurpose::Route { .. })
                {
                    self.submit_request(key, false);
                }
            }
            ClientState::AwaitingResponse(id) => {
                let id = *id;
                self.forward_body(id, &bytes);
            }
            ClientState::Idle | ClientState::Closing | ClientState::Lingering => {}
        }
    }

    /// Handles the end of a request's body.
    pub(super) fn on_body_complete(&mut self, key: usize) {
        let Some(client) = self.clients.get_mut(key) else { return };
        match &client.state {
            ClientState::ReceivingBody(pending) => match pending.purpose {
                RequestPurpose::Route { .. } => self.submit_request(key, true),
                RequestPurpose::ResponseReport => self.on_response_report(key),
                RequestPurpose::RespondWithError { status, reason } => {
                    self.respond_with_error(key, status, reason);
                }
            },
            ClientState::AwaitingResponse(id) => {
                let id = *id;
                self.finish_forwarded_body(id);
            }
            ClientState::Idle | ClientState::Closing | ClientState::Lingering => {}
        }
    }

    /// Forwards further bytes of the body of a request that the engine has. The bytes go to the server that
    /// has received the rest of the request, or are buffered until there is such a server.
    fn forward_body(&mut self, id: RequestId, bytes: &[u8]) {
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

    /// Handles the end of the body of a request that the engine has.
    fn finish_forwarded_body(&mut self, id: RequestId) {
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
