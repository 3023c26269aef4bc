//! Clients: they send requests, choose a proxy for each try, and retry requests that are harmless to repeat.

use super::{Simulation, WARM_UP};
use crate::client_try::ClientTry;
use crate::event_queue::SimulationEvent;
use crate::outcome::RequestEnd;
use rand::RngExt;
use std::collections::HashMap;
use violetseam::interface as decisions;
use violetseam_invariants::{FinalResponse, ObservedEvent};
use violetseam_simulated_site::model::traffic::{ClientRequest, TrafficGenerator};
use violetseam_simulated_site::scenario::{Idempotency, Scenario};

/// A client's request that has neither been served nor given up.
pub(super) struct PendingRequest {
    pub request: ClientRequest,
    retries_left: u32,
    /// When the last try was sent.
    sent_at: u64,
}

/// The traffic model and the clients' pending requests.
pub(super) struct ClientRequests {
    traffic: TrafficGenerator,
    /// The pending requests, by number.
    pub pending: HashMap<u64, PendingRequest>,
    next_number: u64,
}

impl ClientRequests {
    pub fn new(scenario: &Scenario) -> Self {
        ClientRequests { traffic: TrafficGenerator::new(scenario), pending: HashMap::new(), next_number: 1 }
    }

    /// Draws the next request from the traffic model and returns it with its number.
    fn draw(&mut self, retries: u32) -> Option<(u64, ClientRequest)> {
        let request = self.traffic.next()?;
        let number = self.next_number;
        self.next_number += 1;
        self.pending.insert(number, PendingRequest { request, retries_left: retries, sent_at: 0 });
        Some((number, request))
    }
}

impl Simulation {
    /// Draws the next request, and schedules its first try and the draw after it.
    pub(super) fn on_request_arrival(&mut self) {
        let scenario = &self.cluster.scenario;
        let Some((number, request)) = self.clients.draw(scenario.clients.retries) else { return };
        let priority_weight = scenario.classes[request.class].priority_weight;
        self.collector.add_request(request.class, request.tenant, priority_weight);
        let at = WARM_UP + request.at;
        self.cluster.queue.schedule(at, SimulationEvent::ClientTry(ClientTry::first(number)));
        self.cluster.queue.schedule(at, SimulationEvent::RequestArrival);
    }

    /// Sends a client's try to a randomly chosen proxy.
    pub(super) fn on_client_try(&mut self, client_try: ClientTry) {
        let now = self.cluster.now;
        let proxy = self.pick_proxy();
        let Some(pending) = self.clients.pending.get_mut(&client_try.request) else { return };
        pending.sent_at = now;
        let request = pending.request;
        let scenario = &self.cluster.scenario;
        let class_deadline = scenario.classes[request.class].deadline;
        let try_timeout = (class_deadline as f64 * scenario.clients.attempt_timeout_share) as u64;
        let deadline = (WARM_UP + request.at + class_deadline).min(now + try_timeout);
        self.cluster.observe(ObservedEvent::RequestSent {
            request: client_try.observed_request(),
            proxy: proxy as u32,
            class: request.class,
            deadline,
        });
        let engine_request = decisions::Request {
            id: 0,
            deadline,
            class: request.class,
            cost_hint: request.cost_hint,
            key: Some(request.key).filter(|key| *key != 0),
            tenant: request.tenant,
            is_retry: client_try.number > 0,
        };
        let id = self.proxies[proxy].engine.on_request(now, engine_request, true);
        self.proxies[proxy].client_tries.insert(id, client_try);
        self.run_engine_actions(proxy);
    }

    /// Chooses a random proxy, with probabilities in proportion to the proxies' weights.
    fn pick_proxy(&mut self) -> usize {
        let weights: Vec<f64> = self.cluster.scenario.proxies.iter().map(|proxy| proxy.weight).collect();
        let mut remaining = self.cluster.random.random::<f64>() * weights.iter().sum::<f64>();
        for (proxy, weight) in weights.iter().enumerate() {
            remaining -= weight;
            if remaining < 0.0 {
                return proxy;
            }
        }
        weights.len() - 1
    }

    /// Handles a server's response that reaches the client.
    pub(super) fn on_served(&mut self, client_try: ClientTry) {
        let request = client_try.observed_request();
        let response = FinalResponse::Served;
        self.cluster.observe(ObservedEvent::ResponseReceived { request, response });
        self.collector.outcome.tries.served += 1;
        let Some(pending) = self.clients.pending.remove(&client_try.request) else { return };
        let now = self.cluster.now;
        let class = &self.cluster.scenario.classes[pending.request.class];
        self.collector.add_response_time(now - pending.sent_at);
        let first_sent_at = WARM_UP + pending.request.at;
        let in_time = now <= first_sent_at + class.deadline;
        let end = if in_time { RequestEnd::AnsweredInTime } else { RequestEnd::AnsweredLate };
        let ClientRequest { class: class_index, tenant, .. } = pending.request;
        self.collector.end_request(class_index, tenant, end, now - first_sent_at);
        if now <= first_sent_at + class.latency_objective {
            self.collector.outcome.served_in_time += 1;
            self.collector.add_served_weight(class.priority_weight);
        } else {
            self.collector.add_served_weight(class.late_weight);
        }
    }

    /// Handles a proxy's rejection of a try. The try did not run, or it is harmless to repeat, so the client
    /// may retry.
    pub(super) fn on_rejected(&mut self, client_try: ClientTry, retry_after: u64) {
        let request = client_try.observed_request();
        let response = FinalResponse::Rejected;
        self.cluster.observe(ObservedEvent::ResponseReceived { request, response });
        self.collector.outcome.tries.rejected += 1;
        if let Some(pending) = self.clients.pending.get(&client_try.request) {
            let wait = self.cluster.now - pending.sent_at;
            self.collector.add_refusal_wait(pending.request.class, pending.request.tenant, wait);
        }
        self.retry_or_give_up(client_try, RequestEnd::Refused, true, retry_after);
    }

    /// Handles a failed try.
    pub(super) fn on_failed(&mut self, client_try: ClientTry) {
        let request = client_try.observed_request();
        let response = FinalResponse::Failed;
        self.cluster.observe(ObservedEvent::ResponseReceived { request, response });
        self.collector.outcome.tries.failed += 1;
        let Some(pending) = self.clients.pending.get(&client_try.request) else { return };
        // The try may have run, so the client retries only idempotent requests.
        let class = &self.cluster.scenario.classes[pending.request.class];
        let repeat_is_harmless = class.idempotency == Idempotency::Idempotent;
        self.retry_or_give_up(client_try, RequestEnd::Failed, repeat_is_harmless, 0);
    }

    /// Schedules the client's next try if retries are left, a repeat is harmless and the client still waits
    /// by then. Otherwise gives the request up, which then ends as its last try did.
    fn retry_or_give_up(
        &mut self,
        client_try: ClientTry,
        end: RequestEnd,
        repeat_is_harmless: bool,
        retry_after: u64,
    ) {
        let clients = &self.cluster.scenario.clients;
        let complies = self.cluster.random.random::<f64>() < clients.retry_after_compliance;
        let backoff = clients.backoff.max(if complies { retry_after } else { 0 });
        let at = self.cluster.now + backoff.max(1);
        let Some(pending) = self.clients.pending.get_mut(&client_try.request) else { return };
        let ClientRequest { at: arrived, class, tenant, .. } = pending.request;
        let still_waits = at < WARM_UP + arrived + self.cluster.scenario.classes[class].deadline;
        if pending.retries_left == 0 || !repeat_is_harmless || !still_waits {
            let wait = self.cluster.now - (WARM_UP + arrived);
            self.collector.end_request(class, tenant, end, wait);
            self.clients.pending.remove(&client_try.request);
            return;
        }
        pending.retries_left -= 1;
        self.cluster.queue.schedule(at, SimulationEvent::ClientTry(client_try.next()));
    }
}
