//! Attempts: their way to a server, their processing there, and the way of the reply.

use super::{Cluster, NETWORK_LATENCY};
use crate::client_try::ClientTry;
use crate::event_queue::SimulationEvent;
use violetseam_invariants::{AttemptArrival, AttemptEnd, AttemptOutcome, ObservedEvent};
use violetseam_simulated_site::model::server::{Reply, ServerRequest};

/// An attempt of a proxy to have a request served.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// The position of the proxy that sent it.
    pub proxy: usize,
    /// The request's number at that proxy.
    pub request: u64,
    /// The index among the request's attempts.
    pub index: usize,
    /// The server that the attempt is sent to.
    pub server: u64,
    /// The request's class.
    pub class: usize,
    /// The request's key; 0 if it has none.
    pub key: u64,
    /// The request's work, in microseconds of a standard core.
    pub work: u64,
    /// The client's try that the attempt serves.
    pub client_try: ClientTry,
    /// Whether the attempt has reached its server.
    pub arrived: bool,
}

impl Attempt {
    /// Whether this is the attempt that a proxy identifies by its numbers of request and attempt.
    pub fn matches(&self, proxy: usize, request: u64, index: usize) -> bool {
        self.proxy == proxy && self.request == request && self.index == index
    }
}

impl Cluster {
    /// Sends an attempt from its proxy to its server.
    pub fn send_attempt(&mut self, attempt: Attempt) {
        let number = self.next_attempt;
        self.next_attempt += 1;
        self.attempts.insert(number, attempt);
        let arrives_at = self.now + NETWORK_LATENCY;
        self.queue.schedule(arrives_at, SimulationEvent::AttemptArrival { attempt: number });
    }

    /// Handles an attempt that reaches its server.
    pub fn on_attempt_arrival(&mut self, number: u64) {
        let Some(attempt) = self.attempts.get_mut(&number) else { return };
        let server = self.servers.get(&attempt.server);
        let Some(server) = server.filter(|server| server.running && !server.model.collapsed) else {
            let event = SimulationEvent::ConnectionLost { attempt: number };
            return self.queue.schedule(self.now + NETWORK_LATENCY, event);
        };
        attempt.arrived = true;
        let attempt = *attempt;
        let build = server.model.build.number;
        let arrival = AttemptArrival {
            attempt: number,
            request: attempt.client_try.observed_request(),
            proxy: attempt.proxy as u32,
            server: attempt.server,
            build,
            zone: server.model.spec.zone,
            cell: server.model.spec.cell,
            class: attempt.class,
            key: attempt.key,
            work: attempt.work,
        };
        let draining = server.draining;
        let at_newest = build > self.scenario.rollout.first_build && build == self.newest_build;
        self.newest_build_traffic.add_attempt(at_newest);
        self.observe(ObservedEvent::AttemptArrived(arrival));
        if draining {
            self.reply(number, Reply::NotRun);
        } else {
            self.accept(number, &attempt);
        }
    }

    /// Has a server accept a request, and schedules its reply.
    fn accept(&mut self, number: u64, attempt: &Attempt) {
        let Some(server) = self.servers.get_mut(&attempt.server) else { return };
        let class = &self.scenario.classes[attempt.class];
        let is_duplicate =
            self.dedup_caches.is_duplicate(self.now, class, attempt.class, attempt.key, &server.model.spec);
        let request =
            ServerRequest { id: number, class: attempt.class, key: attempt.key, work: attempt.work as f64 };
        let overload_limit = self.scenario.service_rules.overload_limit();
        let immediate_reply =
            server.model.accept(self.now, request, is_duplicate, overload_limit, &mut self.random);
        let next_completion = server.model.next_completion();
        if let Some(reply) = immediate_reply {
            self.reply(number, reply);
        } else if server.model.collapsed {
            self.lose_attempts(attempt.server);
        } else if let Some(at) = next_completion {
            self.queue.schedule(at, SimulationEvent::ServerCompletion { server: attempt.server });
        }
    }

    /// Sends a server's replies to the requests that it has completed.
    pub fn on_server_completion(&mut self, number: u64) {
        let Some(server) = self.servers.get_mut(&number).filter(|server| server.running) else { return };
        let mut completed = Vec::new();
        server.model.take_completed(self.now, &mut completed);
        self.schedule_next_completion(number);
        for request in completed {
            self.reply(request.id, request.reply);
        }
    }

    fn schedule_next_completion(&mut self, number: u64) {
        let Some(server) = self.servers.get(&number) else { return };
        if let Some(at) = server.model.next_completion() {
            let event = SimulationEvent::ServerCompletion { server: number };
            self.queue.schedule(at.max(self.now + 1), event);
        }
    }

    fn reply(&mut self, attempt: u64, reply: Reply) {
        let outcome = match reply {
            Reply::Ok { .. } => AttemptOutcome::Ok,
            Reply::Error => AttemptOutcome::Error,
            Reply::NotRun => AttemptOutcome::NotRun,
        };
        self.observe(ObservedEvent::AttemptEnded(AttemptEnd { attempt, outcome }));
        let arrives_at = self.now + NETWORK_LATENCY;
        self.queue.schedule(arrives_at, SimulationEvent::ReplyArrival { attempt, reply });
    }

    /// Handles a proxy's cancellation of an attempt that reaches the server.
    pub fn on_cancel_arrival(&mut self, number: u64) {
        let Some(attempt) = self.attempts.remove(&number).filter(|attempt| attempt.arrived) else { return };
        if let Some(server) = self.servers.get_mut(&attempt.server) {
            server.model.cancel(self.now, number);
            self.schedule_next_completion(attempt.server);
        }
        let end = AttemptEnd { attempt: number, outcome: AttemptOutcome::Lost };
        self.observe(ObservedEvent::AttemptEnded(end));
    }
}
