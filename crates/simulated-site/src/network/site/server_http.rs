//! Requests to servers, and their replies.

use super::connection::Role;
use super::state::Site;
use crate::model::server::{Reply, Server, ServerRequest};
use crate::network::headers::{BUILD, NOT_RUN, REQUEST, WORK, WRONG, class_of, key_of, number, proxy_of};
use http::StatusCode;
use http::header::{HeaderMap, HeaderName};
use violetseam_http1::{Framing, RequestHead};
use violetseam_invariants::{AttemptArrival, AttemptOutcome, ObservedEvent};

/// Work of a request that does not state it.
const DEFAULT_WORK: u64 = 1_000;
/// Body of each response.
const RESPONSE_BODY: &[u8] = b"ok\n";

impl Site {
    /// The head of an attempt has arrived: from here on it may be executed.
    pub(super) fn on_attempt(&mut self, key: usize, server: u64) {
        let attempt = self.pending.start_attempt(key);
        let Some(connection) = self.connections.get_mut(key) else { return };
        connection.attempt = Some(attempt);
        let Some(head) = connection.head.as_deref() else { return };
        let Some(entry) = self.servers.get(&server) else { return };
        let arrival = arrival(attempt, server, &entry.model, head);
        let status = self.releases.status();
        let is_newest = arrival.build > self.scenario.rollout.first_build && arrival.build == status.build;
        self.recent_attempts.add(is_newest);
        self.record(ObservedEvent::AttemptArrived(arrival));
    }

    /// A request to a server is complete.
    pub(super) fn serve_request(&mut self, key: usize, server: u64) {
        let now = self.clock.now();
        let Some(connection) = self.connections.get_mut(key) else { return };
        let Some(head) = connection.head.take() else { return };
        let Some(attempt) = connection.attempt else { return };
        let Some(entry) = self.servers.get_mut(&server) else { return };
        if entry.is_draining {
            return self.reply(attempt, Reply::NotRun);
        }
        let class = class_of(&head).min(self.scenario.classes.len() - 1);
        let class_spec = &self.scenario.classes[class];
        let request_key = key_of(&head);
        let work = number(&head, WORK).unwrap_or(DEFAULT_WORK) as f64;
        let request = ServerRequest { id: attempt, class, key: request_key, work };
        let is_duplicate =
            self.dedup_caches.is_duplicate(now, class_spec, class, request_key, &entry.model.spec);
        let limit = self.scenario.service_rules.overload_limit();
        if let Some(reply) = entry.model.accept(now, request, is_duplicate, limit, &mut self.random) {
            self.reply(attempt, reply);
        }
    }

    /// Sends a server's reply, if the attempt's connection is still open.
    pub(super) fn reply(&mut self, attempt: u64, reply: Reply) {
        let Some(key) = self.pending.attempts.remove(&attempt) else { return };
        let Some(connection) = self.connections.get_mut(key) else { return };
        connection.attempt = None;
        let Role::Server(server) = connection.role else { return };
        let sender = connection.sender;
        self.count_reply(reply);
        self.record_end(attempt, end_of(reply));
        if sender.is_some_and(|proxy| self.is_server_partitioned(proxy, server)) {
            // The server has replied; the reply is lost on its way.
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
        let build = self.servers.get(&server).map_or(0, |entry| entry.model.build.number).to_string();
        let Some(connection) = self.connections.get_mut(key) else { return };
        let mut fields = vec![(HeaderName::from_static(BUILD), build.as_bytes())];
        let status = match reply {
            Reply::Ok { is_wrong } => {
                if is_wrong {
                    fields.push((HeaderName::from_static(WRONG), b"1"));
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
        let no_headers = HeaderMap::new();
        let framing = Framing::Length(RESPONSE_BODY.len() as u64);
        connection.http.start_answer(out, status, &no_headers, &fields, framing, false);
        connection.http.write_body(out, RESPONSE_BODY);
        connection.http.finish_answer(out);
    }
}

/// How an attempt ended, for the checker of the invariants.
fn end_of(reply: Reply) -> AttemptOutcome {
    match reply {
        Reply::Ok { .. } => AttemptOutcome::Ok,
        Reply::Error => AttemptOutcome::Error,
        Reply::NotRun => AttemptOutcome::NotRun,
    }
}

/// An attempt as it arrives at a server.
fn arrival(attempt: u64, server: u64, model: &Server, head: &RequestHead) -> AttemptArrival {
    AttemptArrival {
        attempt,
        request: number(head, REQUEST).unwrap_or(0),
        proxy: proxy_of(head),
        server,
        build: model.build.number,
        zone: model.spec.zone,
        cell: model.spec.cell,
        class: class_of(head),
        key: key_of(head),
        work: number(head, WORK).unwrap_or(0),
    }
}
