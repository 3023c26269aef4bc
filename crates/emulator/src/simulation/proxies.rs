//! Proxies: the input of their engines, and the actions that their engines order.

use super::{ListScope, Simulation};
use crate::client_try::ClientTry;
use crate::cluster::{Attempt, NETWORK_LATENCY};
use crate::event_queue::SimulationEvent;
use std::collections::HashMap;
use violetseam::interface as decisions;
use violetseam_proxy::engine::{Engine, EngineAction, LocalResponse};
use violetseam_release::{Verdict, Vote};
use violetseam_simulated_site::model::server::Reply;
use violetseam_simulated_site::scenario::FaultKind;
use violetseam_site_protocol::endpoint_list::EndpointList;

/// A proxy's engine, with the state that the driver keeps for it.
pub(super) struct SimulatedProxy {
    pub engine: Engine,
    pub endpoint_list: EndpointList,
    /// The version of the endpoint list that was last sent to the proxy.
    pub list_version: Option<u64>,
    /// Whether the proxy watches the endpoint list.
    pub watching: bool,
    /// The clients' tries, by the numbers that the proxy gave to their requests.
    pub client_tries: HashMap<u64, ClientTry>,
    /// The earliest time for which a `ProxyDeadline` event is scheduled; `u64::MAX` if there is none.
    scheduled_deadline: u64,
}

impl SimulatedProxy {
    pub fn new(settings: decisions::Settings, seed: u64) -> Self {
        SimulatedProxy {
            engine: Engine::new(settings, seed, None),
            endpoint_list: EndpointList::default(),
            list_version: None,
            watching: false,
            client_tries: HashMap::new(),
            scheduled_deadline: u64::MAX,
        }
    }
}

impl Simulation {
    /// Performs the actions that a proxy's engine has ordered, and schedules its next deadline.
    pub(super) fn run_engine_actions(&mut self, proxy: usize) {
        while let Some(action) = self.proxies[proxy].engine.next_action() {
            self.perform(proxy, action);
        }
        let deadline = self.proxies[proxy].engine.next_deadline().unwrap_or(u64::MAX);
        if deadline < self.proxies[proxy].scheduled_deadline {
            self.proxies[proxy].scheduled_deadline = deadline;
            let at = deadline.max(self.cluster.now);
            self.cluster.queue.schedule(at, SimulationEvent::ProxyDeadline { proxy });
        }
    }

    fn perform(&mut self, proxy: usize, action: EngineAction) {
        match action {
            EngineAction::StartAttempt { request, attempt, server } => {
                self.start_attempt(proxy, request, attempt, server);
            }
            EngineAction::CloseAttempt { request, attempt } => self.cancel_attempt(proxy, request, attempt),
            EngineAction::Respond { request, response } => self.respond(proxy, request, &response),
            EngineAction::Forget { request } => {
                self.proxies[proxy].client_tries.remove(&request);
            }
            EngineAction::WatchServerList => {
                self.proxies[proxy].watching = true;
                self.proxies[proxy].list_version = None;
                self.request_full_list(proxy);
            }
            EngineAction::FetchServerList => self.request_full_list(proxy),
            EngineAction::Vote { build, stage, verdict } => {
                let vote = Vote { proxy: proxy as u32, build, stage, verdict: release_verdict(verdict) };
                let arrives_at = self.cluster.now + self.cluster.scenario.rollout.vote_latency / 2;
                self.cluster.queue.schedule(arrives_at, SimulationEvent::Vote(vote));
            }
            EngineAction::Gossip { to, payload } => self.send_gossip(proxy, to, &payload),
            // The simulated settings do not configure fleet-wide budgets yet, so there are no budget messages
            // to send. Log lines are discarded.
            EngineAction::BudgetMessage { .. } | EngineAction::Log(_) => {}
        }
    }

    fn start_attempt(&mut self, proxy: usize, request: u64, index: usize, server: u64) {
        let Some(client_try) = self.proxies[proxy].client_tries.get(&request).copied() else { return };
        let Some(pending) = self.clients.pending.get(&client_try.request) else { return };
        let attempt = Attempt {
            proxy,
            request,
            index,
            server,
            class: pending.request.class,
            key: pending.request.key,
            work: pending.request.work,
            client_try,
            arrived: false,
        };
        self.cluster.send_attempt(attempt);
    }

    fn cancel_attempt(&mut self, proxy: usize, request: u64, index: usize) {
        let mut attempts = self.cluster.attempts.iter();
        let cancelled = attempts.find(|(_, attempt)| attempt.matches(proxy, request, index));
        if let Some((&attempt, _)) = cancelled {
            let arrives_at = self.cluster.now + NETWORK_LATENCY;
            self.cluster.queue.schedule(arrives_at, SimulationEvent::CancelArrival { attempt });
        }
    }

    /// Passes a proxy's own response to the client.
    fn respond(&mut self, proxy: usize, request: u64, response: &LocalResponse) {
        let Some(client_try) = self.proxies[proxy].client_tries.get(&request).copied() else { return };
        match response {
            LocalResponse::Rejected { retry_after } => self.on_rejected(client_try, *retry_after),
            LocalResponse::Failed { .. } => self.on_failed(client_try),
        }
    }

    fn request_full_list(&mut self, proxy: usize) {
        let arrives_at = self.cluster.now + 2 * NETWORK_LATENCY;
        let event = SimulationEvent::EndpointList { proxy, scope: ListScope::Full };
        self.cluster.queue.schedule(arrives_at, event);
    }

    /// Sends a gossip message to one peer, or to all peers if `to` is `None`.
    fn send_gossip(&mut self, from: usize, to: Option<usize>, payload: &[u8]) {
        if self.cluster.active_fault(FaultKind::GossipOutage).is_some() {
            return;
        }
        let arrives_at = self.cluster.now + NETWORK_LATENCY;
        for peer in 0..self.proxies.len() {
            if peer != from && to.is_none_or(|to| to == peer) {
                let event = SimulationEvent::Gossip { from, to: peer, payload: payload.to_vec() };
                self.cluster.queue.schedule(arrives_at, event);
            }
        }
    }

    pub(super) fn on_proxy_deadline(&mut self, proxy: usize) {
        self.proxies[proxy].scheduled_deadline = u64::MAX;
        self.proxies[proxy].engine.run_deadlines(self.cluster.now);
        self.run_engine_actions(proxy);
    }

    pub(super) fn on_gossip(&mut self, from: usize, to: usize, payload: &[u8]) {
        self.proxies[to].engine.on_peer_message(self.cluster.now, from, payload);
        self.run_engine_actions(to);
    }

    /// Handles a server's reply that reaches the proxy.
    pub(super) fn on_reply(&mut self, attempt: u64, reply: Reply) {
        let outcome = match reply {
            Reply::Ok { .. } => decisions::Outcome::Ok,
            Reply::Error => decisions::Outcome::Error,
            Reply::NotRun => decisions::Outcome::Rejected,
        };
        self.end_attempt(attempt, outcome);
    }

    /// Handles the loss or refusal of an attempt's connection that the proxy notices.
    pub(super) fn on_connection_lost(&mut self, attempt: u64) {
        let arrived = self.cluster.attempts.get(&attempt).is_some_and(|attempt| attempt.arrived);
        let outcome = if arrived { decisions::Outcome::Reset } else { decisions::Outcome::ConnectFailed };
        self.end_attempt(attempt, outcome);
    }

    /// Reports the end of an attempt to its proxy, unless a cancellation has reached the server before. The
    /// client is served if the engine accepts the response.
    fn end_attempt(&mut self, number: u64, outcome: decisions::Outcome) {
        let Some(attempt) = self.cluster.attempts.remove(&number) else { return };
        let proxy = &mut self.proxies[attempt.proxy];
        let client_try = proxy.client_tries.get(&attempt.request).copied();
        let answers_request =
            proxy.engine.on_attempt_ended(self.cluster.now, attempt.request, attempt.index, outcome);
        if let Some(client_try) = client_try.filter(|_| answers_request) {
            self.on_served(client_try);
        }
        self.run_engine_actions(attempt.proxy);
    }
}

fn release_verdict(verdict: decisions::Verdict) -> Verdict {
    match verdict {
        decisions::Verdict::Promote => Verdict::On,
        decisions::Verdict::Hold => Verdict::Hold,
        decisions::Verdict::RollBack => Verdict::Back,
        decisions::Verdict::Withdraw => Verdict::Withdraw,
    }
}
