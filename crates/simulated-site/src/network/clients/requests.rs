//! How clients make requests: the attempts, their responses, retries and final results. All times are in
//! microseconds.

use super::connection::{Attempt, ConnectionId, Exchange, ResponseInfo};
use super::{Clients, TimerKind};
use crate::model::traffic::ClientRequest;
use crate::network::headers::{CLASS_INDEX, IDEMPOTENCY_KEY, REQUEST_NUMBER, WORK_US};
use crate::scenario::{ClassSpec, Idempotency, ProxySpec};
use rand::RngExt;
use std::fmt::Write;
use std::sync::atomic::Ordering;
use violetseam_invariants::FinalResponse;
use violetseam_invariants::ObservedEvent;

/// How long a client still waits after the deadline of an attempt, so that it observes a late response as
/// late.
const LATE_RESPONSE_WAIT_US: u64 = 400_000;
/// The least time until the deadline of the request with which an attempt is started.
const MIN_ATTEMPT_TIME_US: u64 = 20_000;
/// The shortest time limit of an attempt, unless the deadline of the request is sooner.
const MIN_ATTEMPT_TIMEOUT_US: u64 = 50_000;
/// How long clients avoid a proxy that they have found to be unreachable.
const PROXY_AVOIDANCE_TIME_US: u64 = 500_000;
/// Clients that disconnect early do so within this share of the time that remains until the deadline.
const MAX_EARLY_DISCONNECT_SHARE: f64 = 0.8;
/// The body of a request that is not idempotent.
const REQUEST_BODY: &str = "work";

/// Whether a server may have executed an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Execution {
    /// No server can have executed it.
    NotExecuted,
    /// A server may have executed it.
    PossiblyExecuted,
}

/// A request that has no final result yet.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    pub(super) request: ClientRequest,
    pub(super) attempts: u32,
}

impl Clients {
    /// Counts a new request and starts its first attempt.
    pub(super) fn on_arrival(&mut self, request: ClientRequest) {
        let class = &self.scenario.classes[request.class];
        self.report.classes[request.class].add_request(class);
        self.progress.requests.fetch_add(1, Ordering::Relaxed);
        let key = self.requests.insert(PendingRequest { request, attempts: 0 });
        self.start_attempt(key);
    }

    /// Starts the next attempt of a request. If the deadline of the request is too close, ends the request as
    /// unserved.
    pub(super) fn start_attempt(&mut self, request: usize) {
        let now = self.clock.now();
        let Some(pending) = self.requests.get_mut(request) else { return };
        let class = &self.scenario.classes[pending.request.class];
        let request_deadline = pending.request.at + class.deadline;
        if now + MIN_ATTEMPT_TIME_US >= request_deadline {
            return self.finish_unserved(request);
        }
        pending.attempts += 1;
        let timeout = (class.deadline as f64 * self.scenario.clients.attempt_timeout_share) as u64;
        let deadline = request_deadline.min(now + timeout.max(MIN_ATTEMPT_TIMEOUT_US));
        let proxy = self.choose_proxy();
        self.last_attempt += 1;
        let attempt = Attempt {
            number: self.last_attempt,
            request,
            started_at: now,
            deadline,
            is_sent: false,
            response: None,
        };
        self.send_or_connect(proxy, attempt);
    }

    /// Sends an attempt on an idle connection, or on a new one once that is established.
    fn send_or_connect(&mut self, proxy: usize, attempt: Attempt) {
        let request = attempt.request;
        let timeout_at = attempt.deadline + LATE_RESPONSE_WAIT_US;
        let exchange = Exchange::Attempt(Box::new(attempt));
        if let Some(key) = self.idle_connections.get_mut(&proxy).and_then(Vec::pop) {
            self.connections[key].exchange = exchange;
            return self.send_request(key);
        }
        match self.open(proxy, exchange) {
            Some(id) => self.schedule(timeout_at, TimerKind::Timeout(id)),
            None => self.on_unreachable(request, proxy),
        }
    }

    /// Chooses the proxy for an attempt: a random draw among the proxies that are not known to be
    /// unreachable.
    fn choose_proxy(&mut self) -> usize {
        let now = self.clock.now();
        self.avoided_until.retain(|_, until| *until > now);
        let weights = self.proxy_weights();
        let total: f64 = weights.iter().sum();
        if total <= 0.0 {
            return self.random.random_range(0..weights.len());
        }
        let mut remaining = self.random.random::<f64>() * total;
        for (proxy, weight) in weights.iter().enumerate() {
            remaining -= weight;
            if remaining < 0.0 {
                return proxy;
            }
        }
        weights.len() - 1
    }

    fn proxy_weights(&self) -> Vec<f64> {
        let is_weighted = self.scenario.clients.own_proxy;
        let proxies = self.scenario.proxies.iter().enumerate();
        let weight = |(n, proxy): (usize, &ProxySpec)| {
            if self.avoided_until.contains_key(&n) {
                0.0
            } else if is_weighted {
                proxy.weight
            } else {
                1.0
            }
        };
        proxies.map(weight).collect()
    }

    /// Sends the request of the attempt that is assigned to an established connection.
    pub(super) fn send_request(&mut self, key: usize) {
        let now = self.clock.now();
        let connection = &mut self.connections[key];
        let Exchange::Attempt(attempt) = &mut connection.exchange else { return };
        attempt.is_sent = true;
        let number = attempt.number;
        let deadline = attempt.deadline;
        let timeout_ms = deadline.saturating_sub(now) / 1_000;
        let pending = &self.requests[attempt.request];
        let request = pending.request;
        let tenant = self.scenario.tenants.get(request.tenant).map_or("", |tenant| tenant.0.as_str());
        let class = &self.scenario.classes[request.class];
        let text = encode(pending, number, class, tenant, timeout_ms);
        connection.socket.write_buffer().extend_from_slice(text.as_bytes());
        connection.http.expect_response(false);
        let id = ConnectionId { key, generation: connection.generation };
        // The record has the deadline that the request states, as the proxy may not use the part of a
        // millisecond that rounding cuts off.
        let sent = ObservedEvent::RequestSent {
            request: number,
            proxy: connection.proxy as u32,
            class: request.class,
            deadline: now + timeout_ms * 1_000,
        };
        self.record(sent);
        self.schedule(deadline + LATE_RESPONSE_WAIT_US, TimerKind::Timeout(id));
        self.schedule_early_disconnect(now, deadline, id);
        self.flush(key);
    }

    /// Lets the scenario's share of clients disconnect early.
    fn schedule_early_disconnect(&mut self, now: u64, deadline: u64, id: ConnectionId) {
        if self.random.random::<f64>() < self.scenario.clients.disconnect_share {
            let remaining = (deadline - now) as f64;
            let delay = (self.random.random::<f64>() * remaining * MAX_EARLY_DISCONNECT_SHARE) as u64;
            self.schedule(now + delay, TimerKind::Disconnect(id));
        }
    }

    /// Evaluates the complete response to an attempt.
    pub(super) fn on_response(&mut self, proxy: usize, attempt: &Attempt, response: &ResponseInfo) {
        // The proxy classifies each response as served, rejected or failed, except when it finds the request
        // invalid. Such a response counts as failed.
        let final_response = response.final_response.unwrap_or(FinalResponse::Failed);
        self.record(ObservedEvent::ResponseReceived { request: attempt.number, response: final_response });
        match final_response {
            FinalResponse::Served => self.on_served(proxy, attempt, response),
            FinalResponse::Rejected => {
                self.report.attempts.rejected += 1;
                self.progress.rejected.fetch_add(1, Ordering::Relaxed);
                let honors_retry_after =
                    self.random.random::<f64>() < self.scenario.clients.retry_after_compliance;
                let retry_after = if honors_retry_after { response.retry_after_s * 1_000_000 } else { 0 };
                self.retry_or_finish(attempt.request, Execution::NotExecuted, retry_after);
            }
            _ => {
                self.report.attempts.failed += 1;
                self.progress.failed.fetch_add(1, Ordering::Relaxed);
                self.retry_or_finish(attempt.request, Execution::PossiblyExecuted, 0);
            }
        }
    }

    fn on_served(&mut self, proxy: usize, attempt: &Attempt, response: &ResponseInfo) {
        let now = self.clock.now();
        self.report.attempts.served += 1;
        *self.report.responses_by_build.entry(response.build).or_default() += 1;
        self.report.latencies_us.push(now - attempt.started_at);
        self.schedule_wrong_answer_report(now, proxy, response);
        if response.is_wrong {
            self.finish_wrong(attempt.request);
        } else {
            self.finish_served(attempt.request, now);
        }
    }

    /// Schedules the report of an answer as wrong. Clients report the scenario's share of the wrong answers,
    /// and its share of the right ones as false reports.
    fn schedule_wrong_answer_report(&mut self, now: u64, proxy: usize, response: &ResponseInfo) {
        let Some(answer_id) = response.id.clone() else { return };
        let rollout = &self.scenario.rollout;
        let report_share = if response.is_wrong { rollout.report_share } else { rollout.false_report_share };
        if self.random.random::<f64>() < report_share {
            let at = now + self.scenario.rollout.report_delay;
            self.schedule(at, TimerKind::ReportWrongAnswer { proxy, answer_id });
        }
    }

    /// Retries a request after an attempt that was not served, or ends the request as unserved. A request is
    /// retried only if it has retries left, and either no server executed the attempt or its class may be
    /// repeated safely. The retry waits for at least `retry_after`.
    pub(super) fn retry_or_finish(&mut self, request: usize, execution: Execution, retry_after: u64) {
        let now = self.clock.now();
        let Some(pending) = self.requests.get(request) else { return };
        let class = &self.scenario.classes[pending.request.class];
        let may_be_repeated = match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::KeyedAll => now < pending.request.at + class.dedup_window,
            Idempotency::KeyedZone | Idempotency::KeyedCell | Idempotency::NonIdempotent => false,
        };
        let has_retries_left = pending.attempts <= self.scenario.clients.retries;
        if (execution == Execution::NotExecuted || may_be_repeated) && has_retries_left {
            let wait = self.scenario.clients.backoff.max(retry_after);
            self.schedule(now + wait, TimerKind::StartAttempt { request });
        } else {
            self.finish_unserved(request);
        }
    }

    /// Ends a request that got a right answer, and counts it as in time or late.
    fn finish_served(&mut self, request: usize, served_at: u64) {
        let Some(PendingRequest { request, .. }) = self.requests.try_remove(request) else { return };
        let class = &self.scenario.classes[request.class];
        let counts = &mut self.report.classes[request.class];
        if served_at <= request.at + class.latency_objective {
            counts.add_in_time(class);
            self.progress.in_time.fetch_add(1, Ordering::Relaxed);
        } else {
            counts.add_late(class);
        }
    }

    /// Ends a request that got a wrong answer.
    fn finish_wrong(&mut self, request: usize) {
        if let Some(pending) = self.requests.try_remove(request) {
            self.report.classes[pending.request.class].wrong += 1;
        }
    }

    /// Ends a request that was never served.
    pub(super) fn finish_unserved(&mut self, request: usize) {
        if let Some(pending) = self.requests.try_remove(request) {
            self.report.classes[pending.request.class].unserved += 1;
        }
    }

    /// Handles an attempt whose proxy could not be reached. Clients avoid a proxy once it has been
    /// unreachable for the scenario's detection time.
    pub(super) fn on_unreachable(&mut self, request: usize, proxy: usize) {
        let now = self.clock.now();
        self.report.attempts.unreachable += 1;
        let since = *self.unreachable_since.entry(proxy).or_insert(now);
        if now >= since + self.scenario.clients.dead_proxy_detection {
            self.avoided_until.insert(proxy, now + PROXY_AVOIDANCE_TIME_US);
        }
        self.retry_or_finish(request, Execution::NotExecuted, 0);
    }
}

/// Encodes a request as HTTP/1.1 text.
fn encode(pending: &PendingRequest, number: u64, class: &ClassSpec, tenant: &str, timeout_ms: u64) -> String {
    let ClientRequest { class: class_index, key, work, cost_hint, .. } = pending.request;
    let is_idempotent = class.idempotency == Idempotency::Idempotent;
    let method = if is_idempotent { "GET" } else { "POST" };
    let mut text = format!(
        "{method} /c{class_index}/{key} HTTP/1.1\r\nhost: lab\r\n{REQUEST_NUMBER}: {number}\r\n\
         {CLASS_INDEX}: {class_index}\r\n{WORK_US}: {work}\r\nx-tenant: {tenant}\r\n\
         request-timeout-ms: {timeout_ms}\r\n"
    );
    if key != 0 {
        let _ = write!(text, "{IDEMPOTENCY_KEY}: {key}\r\n");
    }
    if let Some(hint) = cost_hint {
        let _ = write!(text, "x-cost-us: {hint}\r\n");
    }
    if pending.attempts > 1 {
        text.push_str("x-retry: 1\r\n");
    }
    if is_idempotent {
        text.push_str("\r\n");
    } else {
        let length = REQUEST_BODY.len();
        let _ = write!(text, "content-length: {length}\r\n\r\n{REQUEST_BODY}");
    }
    text
}
