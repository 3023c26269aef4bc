//! A fleet of proxies without sockets: one [`Engine`] each, with requests and answers drawn at random in
//! place of clients and servers.
//!
//! The engines and the decision modules in them are the product's own, and so are the datagrams between
//! peers. The time is a parameter, and datagrams are taken from the fleet and delivered to it by the caller,
//! so that one fleet runs in simulated time and another over real sockets with the same code.

mod config;
mod simulation;
mod traffic;

pub use config::{FleetConfig, ReleaseSource, TRIAL_BUILD};
pub use simulation::simulate;
pub use traffic::{Datagram, Flow, Traffic};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;
use violetseam::interface::{ListKind, Micros, Outcome, ReleaseStatus, Request, RequestId};
use violetseam_proxy::engine::{Engine, EngineAction};
use violetseam_site_protocol::peer_datagram::{self, PayloadKind};
use violetseam_site_protocol::release_service::Vote;

/// Time of the fleet's first event, in microseconds; the decision module takes 0 for "never".
pub const START_TIME: Micros = 1_000_000;
/// The fleet's number in the header of its datagrams.
const SITE: u32 = 34;
/// From a vote to its reply.
const VOTE_REPLY_DELAY: Micros = 5_000;
/// Shortest time from an attempt to its answer.
const MIN_ANSWER_DELAY: Micros = 10_000;
/// The span above it over which answers are drawn evenly.
const ANSWER_DELAY_SPREAD: Micros = 20_000;
/// A request's deadline after its arrival.
const REQUEST_DEADLINE: Micros = 1_000_000;
/// Classes among which requests are drawn.
const REQUEST_CLASSES: usize = 2;

/// A vote on its way to a controller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CastVote {
    /// The proxy's number.
    pub from: usize,
    /// The message.
    pub vote: Vote,
}

/// What happens to a proxy at a time of the event queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EventKind {
    EngineDeadline,
    Request,
    Answer { request: RequestId, attempt: usize },
    VoteReply,
}

/// An entry of the event queue; the order of the fields is the order of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledEvent {
    at: Micros,
    /// The proxy's number.
    proxy: usize,
    kind: EventKind,
}

struct EngineProxy {
    engine: Engine,
    /// When the queue next runs the engine's deadlines; none: the queue has no such entry.
    scheduled_deadline: Option<Micros>,
    traffic: Traffic,
}

/// A fleet of proxies without sockets.
pub struct EngineFleet {
    config: FleetConfig,
    proxies: Vec<EngineProxy>,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    outbox: Vec<Datagram>,
    votes: Vec<CastVote>,
    random: Pcg64,
}

impl EngineFleet {
    /// A fleet that has its server list and, unless a controller will send it, the status of a build.
    pub fn new(config: FleetConfig) -> EngineFleet {
        let mut random = Pcg64::seed_from_u64(config.seed);
        let mut proxy = |position| EngineProxy {
            engine: Engine::new(config::proxy_settings(&config, position), random.random(), None),
            scheduled_deadline: None,
            traffic: Traffic::default(),
        };
        let proxies = (0..config.proxies).map(&mut proxy).collect();
        let mut fleet = EngineFleet {
            config,
            proxies,
            queue: BinaryHeap::new(),
            outbox: Vec::new(),
            votes: Vec::new(),
            random,
        };
        fleet.start();
        fleet
    }

    fn start(&mut self) {
        let servers = config::server_list(self.config.servers);
        let status = self.config.release_source.initial_status();
        for number in 0..self.proxies.len() {
            let engine = &mut self.proxies[number].engine;
            engine.on_server_list(START_TIME, ListKind::Full, &servers);
            if let Some(status) = status {
                engine.on_release_status(START_TIME, status);
            }
            self.perform_actions(START_TIME, number);
            self.schedule_request(START_TIME, number);
        }
    }

    /// Measures from now on how long the decision modules take.
    pub fn measure_decision_time(&mut self) {
        for proxy in &mut self.proxies {
            proxy.engine.measure_module_time();
        }
    }

    /// Seconds that one proxy's decision module has taken since [`EngineFleet::measure_decision_time`].
    pub fn decision_seconds(&self, number: usize) -> f64 {
        self.proxies[number].engine.module_time().as_secs_f64()
    }

    /// Sets all counters to zero.
    pub fn reset_traffic(&mut self) {
        for proxy in &mut self.proxies {
            proxy.traffic = Traffic::default();
        }
    }

    /// Each proxy's counters.
    pub fn traffic(&self) -> Vec<Traffic> {
        self.proxies.iter().map(|proxy| proxy.traffic).collect()
    }

    /// When [`EngineFleet::advance`] must be called next.
    pub fn next_event_at(&self) -> Option<Micros> {
        self.queue.peek().map(|Reverse(event)| event.at)
    }

    /// Datagrams that were sent since the last call.
    pub fn take_outbox(&mut self) -> Vec<Datagram> {
        std::mem::take(&mut self.outbox)
    }

    /// Votes cast since the last call, for an external controller.
    pub fn take_votes(&mut self) -> Vec<CastVote> {
        std::mem::take(&mut self.votes)
    }

    /// A vote's reply reaches a proxy.
    pub fn on_vote_reply(
        &mut self,
        now: Micros,
        number: usize,
        outcome: Outcome,
        status: Option<ReleaseStatus>,
    ) {
        self.proxies[number].engine.on_vote_reply(now, outcome, status);
        self.perform_actions(now, number);
    }

    /// The status of the newest build reaches a proxy.
    pub fn on_release_status(&mut self, now: Micros, number: usize, status: ReleaseStatus) {
        self.proxies[number].engine.on_release_status(now, status);
        self.perform_actions(now, number);
    }

    /// A datagram reaches a proxy. One that does not read as a peer's is dropped, as the product does.
    pub fn deliver(&mut self, now: Micros, to: usize, datagram: &[u8]) {
        let proxy = &mut self.proxies[to];
        proxy.traffic.received.add(datagram.len());
        if let Ok((from, PayloadKind::Gossip, payload)) = peer_datagram::decode(SITE, datagram) {
            proxy.engine.on_peer_message(now, usize::from(from), payload);
            self.perform_actions(now, to);
        }
    }

    /// Runs all events that are due.
    pub fn advance(&mut self, now: Micros) {
        while let Some(&Reverse(event)) = self.queue.peek().filter(|entry| entry.0.at <= now) {
            self.queue.pop();
            self.run_event(now, event);
        }
    }

    fn run_event(&mut self, now: Micros, event: ScheduledEvent) {
        let proxy = &mut self.proxies[event.proxy];
        match event.kind {
            EventKind::EngineDeadline => {
                proxy.scheduled_deadline = None;
                proxy.engine.run_deadlines(now);
            }
            EventKind::Request => {
                let class = self.random.random_range(0..REQUEST_CLASSES);
                let request = Request { deadline: now + REQUEST_DEADLINE, class, ..Request::default() };
                proxy.engine.on_request(now, request, true);
                self.schedule_request(now, event.proxy);
            }
            EventKind::Answer { request, attempt } => {
                proxy.engine.on_attempt_ended(now, request, attempt, Outcome::Ok);
            }
            EventKind::VoteReply => proxy.engine.on_vote_reply(now, Outcome::Ok, None),
        }
        self.perform_actions(now, event.proxy);
    }

    /// Performs an engine's actions, and schedules its next deadline.
    fn perform_actions(&mut self, now: Micros, number: usize) {
        while let Some(action) = self.proxies[number].engine.next_action() {
            match action {
                EngineAction::StartAttempt { request, attempt, .. } => {
                    self.proxies[number].traffic.attempts += 1;
                    let delay = MIN_ANSWER_DELAY + self.random.random_range(0..ANSWER_DELAY_SPREAD);
                    self.schedule(now + delay, number, EventKind::Answer { request, attempt });
                }
                EngineAction::Vote { build, stage, verdict } => {
                    self.cast_vote(now, number, Vote::new(number, build, stage, verdict));
                }
                EngineAction::Gossip { to, payload } => self.send_gossip(number, to, &payload),
                EngineAction::CloseAttempt { .. }
                | EngineAction::Respond { .. }
                | EngineAction::Forget { .. }
                | EngineAction::WatchServerList
                | EngineAction::FetchServerList
                | EngineAction::BudgetMessage { .. }
                | EngineAction::Log(_) => {}
            }
        }
        self.schedule_deadline(now, number);
    }

    fn cast_vote(&mut self, now: Micros, number: usize, vote: Vote) {
        self.proxies[number].traffic.votes.add(vote.write().len());
        match self.config.release_source {
            ReleaseSource::ExternalController => self.votes.push(CastVote { from: number, vote }),
            ReleaseSource::OnTrial | ReleaseSource::Released => {
                self.schedule(now + VOTE_REPLY_DELAY, number, EventKind::VoteReply);
            }
        }
    }

    /// Sends a message to one peer, or to all if none is given.
    fn send_gossip(&mut self, from: usize, to: Option<usize>, payload: &[u8]) {
        let Ok(sender) = u16::try_from(from) else { return };
        let Some(bytes) = peer_datagram::encode(SITE, sender, PayloadKind::Gossip, payload) else { return };
        let bytes: Rc<[u8]> = bytes.into();
        let receivers = match to {
            Some(to) => to..to + 1,
            None => 0..self.proxies.len(),
        };
        let traffic = &mut self.proxies[from].traffic;
        traffic.broadcasts += u64::from(to.is_none());
        for to in receivers.filter(|&to| to != from) {
            traffic.sent.add(bytes.len());
            self.outbox.push(Datagram { from, to, bytes: bytes.clone() });
        }
    }

    /// Has the queue run the deadlines of an engine in time. A later entry may stay: running deadlines early
    /// is harmless.
    fn schedule_deadline(&mut self, now: Micros, number: usize) {
        let proxy = &mut self.proxies[number];
        let Some(deadline) = proxy.engine.next_deadline().map(|deadline| deadline.max(now)) else { return };
        if proxy.scheduled_deadline.is_none_or(|scheduled| deadline < scheduled) {
            proxy.scheduled_deadline = Some(deadline);
            self.schedule(deadline, number, EventKind::EngineDeadline);
        }
    }

    /// Draws when the next request comes: a Poisson process.
    fn schedule_request(&mut self, now: Micros, number: usize) {
        if self.config.request_rate > 0.0 {
            let drawn: f64 = self.random.random();
            let wait = -(1.0 - drawn).ln() / self.config.request_rate;
            self.schedule(now + (wait * 1e6) as Micros + 1, number, EventKind::Request);
        }
    }

    fn schedule(&mut self, at: Micros, proxy: usize, kind: EventKind) {
        self.queue.push(Reverse(ScheduledEvent { at, proxy, kind }));
    }
}
