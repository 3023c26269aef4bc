//! Requests to simulated servers, and the replies of the servers.

use super::connection::Role;
use super::state::Site;
use crate::model::server::{Reply, Server, ServerRequest};
use crate::network::headers::{
    BUILD, NOT_RUN, REQUEST_NUMBER, WORK_US, WRONG_ANSWER, class_index, numeric_field, numeric_key,
    sending_proxy,
};
use http::StatusCode;
use http::header::HeaderName;
use violetseam_http1::server::ResponseStart;
use violetseam_http1::{Framing, RequestHead};
use violetseam_invariants::{AttemptArrival, AttemptOutcome, ObservedEvent};

/// The work of a request that does not state it, in microseconds of a standard core.
const DEFAULT_WORK_US: u64 = 1_000;
/// The body of each response.
const RESPONSE_BODY: &[u8] = b"ok\n";

impl Site {
    /// Records that the head of an attempt has arrived at a server. From here on the attempt may be executed.
    pub(super) fn on_attempt(&mut self, key: usize, server: u64) {
        let attempt = self.pending.start_attempt(key);
        let Some(connection) = self.connections.get_mut(key) else { return };
        connection.attempt = Some(attempt);
        let Some(head) = connection.head.as_deref() else { return };
        let Some(simulated_server) = self.servers.get(&server) else { return };
        let arrival = attempt_arrival(attempt, server, &simulated_server.model, head);
        let status = self.releases.status();
        let is_newest = arrival.build > self.scenario.rollout.first_build && arrival.build == status.build;
        self.recent_attempts.add(is_newest);
        self.record(ObservedEvent::AttemptArrived(arrival));
    }

    /// Passes a complete request to the model of the server. A server that is draining does not execute it.
    pub(super) fn serve_request(&mut self, key: usize, server: u64) {
        let now = self.clock.now();
        let Some(connection) = self.connections.get_mut(key) else { return };
        let Some(head) = connection.head.take() else { return };
        let Some(attempt) = connection.attempt else { return };
        let Some(simulated_server) = self.servers.get_mut(&server) else { return };
        if simulated_server.is_draining {
            return self.reply(attempt, Reply::NotRun);
        }
        let class = class_index(&head).min(self.scenario.classes.len() - 1);
        let class_spec = &self.scenario.classes[class];
        let request_key = numeric_key(&head);
        let work = numeric_field(&head, WORK_US).unwrap_or(DEFAULT_WORK_US) as f64;
        let request = ServerRequest { id: attempt, class, key: request_key, work };
        let is_duplicate =
            self.dedup_caches.is_duplicate(now, class_spec, class, request_key, &simulated_server.model.spec);
        let limit = self.scenario.service_rules.overload_limit();
        if let Some(reply) =
            simulated_server.model.accept(now, request, is_duplicate, limit, &mut self.random)
        {
            self.reply(attempt, reply);
        }
    }

    /// Records and sends a server's reply, if the attempt's connection is still open.
    pub(super) fn reply(&mut self, attempt: u64, reply: Reply) {
        let Some(key) = self.pending.attempts.remove(&attempt) else { return };
        let Some(connection) = self.connections.get_mut(key) else { return };
        connection.attempt = None;
        let Role::Server(server) = connection.role else { return };
        let sender = connection.sender;
        self.count_reply(reply);
        self.record_end(attempt, attempt_outcome(reply));
        if sender.is_some_and(|proxy| self.is_server_partitioned(proxy, server)) {
            // The server has replied, but the partition loses the reply on its way to the proxy.
            return self.partition_connection(key);
        }
        self.write_reply(key, server, reply);
        self.flush(key);
        self.process_events(key);
    }

    fn count_reply(&mut self, reply: Reply) {
        let counts = &mut self.report.replies;
        match reply {
            Reply::Ok { .. } => counts.ok += 1,
            Reply::Error => counts.error += 1,
            Reply::NotRun => counts.not_run += 1,
        }
    }

    fn write_reply(&mut self, key: usize, server: u64, reply: Reply) {
        let build = self
            .servers
            .get(&server)
            .map_or(0, |simulated_server| simulated_server.model.build.number)
            .to_string();
        let Some(connection) = self.connections.get_mut(key) else { return };
        let mut fields = vec![(HeaderName::from_static(BUILD), build.as_bytes())];
        let status = match reply {
            Reply::Ok { is_wrong } => {
                if is_wrong {
                    fields.push((HeaderName::from_static(WRONG_ANSWER), b"1"));
                }
                StatusCode::OK
            }
            Reply::Error => StatusCode::INTERNAL_SERVER_ERROR,
            Reply::NotRun => {
                fields.push((HeaderName::from_static(NOT_RUN), b"1"));
                StatusCode::SERVICE_UNAVAILABLE
            }
        };
        let out = connection.socket.write_buffer();
        let framing = Framing::Length(RESPONSE_BODY.len() as u64);
        let start = ResponseStart::new(status, framing);
        connection.http.start_response(out, ResponseStart { extra_fields: &fields, ..start });
        connection.http.write_body(out, RESPONSE_BODY);
        connection.http.finish_response(out);
    }
}

/// Returns how an attempt ended, in the terms of the invariant checker.
fn attempt_outcome(reply: Reply) -> AttemptOutcome {
    match reply {
        Reply::Ok { .. } => AttemptOutcome::Ok,
        Reply::Error => AttemptOutcome::Error,
        Reply::NotRun => AttemptOutcome::NotRun,
    }
}

/// Returns the record of an attempt that arrives at a server.
fn attempt_arrival(attempt: u64, server: u64, model: &Server, head: &RequestHead) -> AttemptArrival {
    AttemptArrival {
        attempt,
        request: numeric_field(head, REQUEST_NUMBER).unwrap_or(0),
        proxy: sending_proxy(head),
        server,
        build: model.build.number,
        zone: model.spec.zone,
        cell: model.spec.cell,
        class: class_index(head),
        key: numeric_key(head),
        work: numeric_field(head, WORK_US).unwrap_or(0),
    }
}
