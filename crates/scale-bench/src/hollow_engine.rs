//! Hollow proxies without sockets: one [`Engine`] each, with requests and answers drawn here in place of clients and servers.
//!
//! The engines and the decisions in them are the product's own, and so are the datagrams between peers. Time is
//! passed in, and datagrams are handed out and taken in, so that one fleet runs in simulated time and another over
//! real sockets with the same code.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;
use violetseam::interface::*;
use violetseam_proxy::engine::{Engine, EngineAction};
use violetseam_site_protocol::peer_datagram::{self, PayloadKind};
use violetseam_site_protocol::release_service::Vote;

/// The fleet's number in the header of its datagrams.
const SITE: u32 = 34;
/// The build that is on trial; the one before it runs on all other servers.
pub const TRIAL: Build = 2;
/// Every so many servers run the build on trial.
const TRIAL_EVERY: usize = 4;
/// A vote's reply takes so long.
const REPLY_AFTER: Micros = 5_000;
/// Shortest answer of a server, and the span over which answers are drawn evenly above it.
const ANSWER_LEAST: Micros = 10_000;
const ANSWER_SPREAD: Micros = 20_000;
/// Time of the fleet's first event; the decisions take 0 for "never".
pub const BEGIN: Micros = 1_000_000;

/// Where the news of builds come from and the votes go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Releases {
    /// A build is on trial from the start and stays so; every vote is accepted after a while.
    OnTrial,
    /// The newest build was released before the start.
    Released,
    /// A controller outside: see [`EngineFleet::take_votes`], [`EngineFleet::vote_reply`] and [`EngineFleet::stage`].
    Outside,
}

/// A vote on its way to a controller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CastVote {
    /// The proxy's number.
    pub from: usize,
    /// As it goes over the wire.
    pub vote: Vote,
}

/// What a fleet of hollow proxies consists of.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Proxies.
    pub proxies: usize,
    /// Servers that each proxy is told of.
    pub servers: usize,
    /// Requests a second that each proxy takes, drawn.
    pub request_rate: f64,
    /// How long a vote stands.
    pub vote_life: Micros,
    /// Who says where the newest build stands, and hears the votes.
    pub releases: Releases,
    /// Seed of all draws.
    pub seed: u64,
}

/// Messages and bytes one way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flow {
    /// Messages.
    pub messages: u64,
    /// Their bytes, without the headers of UDP and IP.
    pub bytes: u64,
}

impl Flow {
    fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }
}

/// What a proxy has sent and received since the counters were last set to zero.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Datagrams from peers.
    pub received: Flow,
    /// Datagrams to peers.
    pub sent: Flow,
    /// Datagrams that went to all peers: above the mesh's size only collectors send such.
    pub broadcasts: u64,
    /// Votes, by their JSON bodies.
    pub votes: Flow,
    /// Attempts at servers.
    pub attempts: u64,
}

/// A datagram on its way.
#[derive(Clone, Debug)]
pub struct Datagram {
    /// The sender's number.
    pub from: usize,
    /// The receiver's number.
    pub to: usize,
    /// Header, payload and checksum.
    pub bytes: Rc<[u8]>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Engine,
    Request,
    Answer(RequestId, usize),
    VoteReply,
}

struct HollowProxy {
    engine: Engine,
    /// The earliest entry in the queue for the engine's own due time; 0: none.
    armed: Micros,
    traffic: Traffic,
}

/// A fleet of hollow proxies.
pub struct EngineFleet {
    shape: Shape,
    proxies: Vec<HollowProxy>,
    queue: BinaryHeap<Reverse<(Micros, usize, Due)>>,
    outbox: Vec<Datagram>,
    votes: Vec<CastVote>,
    rng: Pcg64,
}

/// Settings of one proxy: two classes, stages that move by a share of all votes.
fn settings(shape: &Shape, position: usize) -> Settings {
    let class = |effect| RequestClass {
        latency_objective: 200_000,
        deadline: 1_000_000,
        idempotency: effect,
        priority_weight: 1.0,
        late_weight: 0.5,
        ..RequestClass::default()
    };
    let half = (shape.proxies as f64 / 2.0).max(1.0);
    Settings {
        classes: vec![class(Idempotency::Idempotent), class(Idempotency::NonIdempotent)],
        rollout: Rollout {
            gate: GateMode::Share,
            stage_caps: vec![0.25, 1.0],
            exposure_window: 2_000_000,
            exposure_slack: 2.0,
            vote_ttl: shape.vote_life,
            vote_timeout: 1_000_000,
            votes_to_promote: half,
            votes_to_roll_back: half,
            vote_rate_limit: 1e6,
            ..Rollout::default()
        },
        limits: Limits { max_attempts: 3, cancel: true, gossip: true, ..Limits::default() },
        rules: ServiceRules {
            deadline_grace: 20_000,
            poll_interval_max: 10_000_000,
            slow_start_floor: 0.5,
            slow_start_span: 1_000_000,
            drain_grace: 2_000_000,
            overload_multiple: 3.0,
            overload_span: 1_000_000,
        },
        fleet_size: shape.proxies,
        position,
        tick: 5_000,
        ..Settings::default()
    }
}

/// The list that each proxy holds: every fourth server runs the build on trial.
fn servers(count: usize) -> Vec<ServerEntry> {
    let entry = |n: usize| ServerEntry {
        id: n as ServerId + 1,
        zone: 0,
        build: if n.is_multiple_of(TRIAL_EVERY) { TRIAL } else { TRIAL - 1 },
        cell: 0,
        status: ServerStatus::Ready,
        size: 1.0,
        started_at: 0,
    };
    (0..count).map(entry).collect()
}

impl EngineFleet {
    /// A fleet that has its server list and the news of a build.
    pub fn new(shape: Shape) -> Self {
        let mut rng = Pcg64::seed_from_u64(shape.seed);
        let mut proxy = |position| HollowProxy {
            engine: Engine::new(settings(&shape, position), rng.random(), None),
            armed: 0,
            traffic: Traffic::default(),
        };
        let proxies = (0..shape.proxies).map(&mut proxy).collect();
        let (queue, outbox, votes) = (BinaryHeap::new(), Vec::new(), Vec::new());
        let mut fleet = EngineFleet { shape, proxies, queue, outbox, votes, rng };
        fleet.begin();
        fleet
    }

    fn begin(&mut self) {
        let list = servers(self.shape.servers);
        let news = |phase, cap| ReleaseStatus { build: TRIAL, stage: 0, phase, cap };
        let news = match self.shape.releases {
            Releases::OnTrial => Some(news(Phase::Trial, 0.25)),
            Releases::Released => Some(news(Phase::Released, 1.0)),
            Releases::Outside => None,
        };
        for number in 0..self.proxies.len() {
            let engine = &mut self.proxies[number].engine;
            engine.on_server_list(BEGIN, ListKind::Full, &list);
            news.into_iter().for_each(|news| engine.on_release_status(BEGIN, news));
            self.follow_orders(BEGIN, number);
            self.schedule_request(BEGIN, number);
        }
    }

    /// Measures from now on how long the decisions take.
    pub fn time_module(&mut self) {
        self.proxies.iter_mut().for_each(|proxy| proxy.engine.measure_module_time());
    }

    /// Seconds that one proxy's decisions have taken since [`EngineFleet::time_module`].
    pub fn module_seconds(&self, number: usize) -> f64 {
        self.proxies[number].engine.module_time().as_secs_f64()
    }

    /// Sets all counters to zero.
    pub fn reset_traffic(&mut self) {
        self.proxies.iter_mut().for_each(|proxy| proxy.traffic = Traffic::default());
    }

    /// Each proxy's counters.
    pub fn traffic(&self) -> Vec<Traffic> {
        self.proxies.iter().map(|proxy| proxy.traffic).collect()
    }

    /// When [`EngineFleet::advance`] must be called next.
    pub fn due(&self) -> Option<Micros> {
        self.queue.peek().map(|Reverse((at, ..))| *at)
    }

    /// Datagrams that left since the last call.
    pub fn take_outbox(&mut self) -> Vec<Datagram> {
        std::mem::take(&mut self.outbox)
    }

    /// Votes cast since the last call, for a controller outside.
    pub fn take_votes(&mut self) -> Vec<CastVote> {
        std::mem::take(&mut self.votes)
    }

    /// A vote's reply reaches a proxy.
    pub fn vote_reply(&mut self, now: Micros, number: usize, outcome: Outcome, news: Option<ReleaseStatus>) {
        self.proxies[number].engine.on_vote_reply(now, outcome, news);
        self.follow_orders(now, number);
    }

    /// News of the newest build reach a proxy.
    pub fn stage(&mut self, now: Micros, number: usize, news: ReleaseStatus) {
        self.proxies[number].engine.on_release_status(now, news);
        self.follow_orders(now, number);
    }

    /// Plays all that is due.
    pub fn advance(&mut self, now: Micros) {
        while let Some(&Reverse((_, number, due))) = self.queue.peek().filter(|entry| entry.0.0 <= now) {
            self.queue.pop();
            self.play(now, number, due);
        }
    }

    fn play(&mut self, now: Micros, number: usize, due: Due) {
        let engine = &mut self.proxies[number].engine;
        match due {
            Due::Engine => {
                self.proxies[number].armed = 0;
                self.proxies[number].engine.run_deadlines(now);
            }
            Due::Request => {
                let class = self.rng.random_range(0..2);
                let request = Request { deadline: now + 1_000_000, class, ..Request::default() };
                engine.on_request(now, request, true);
                self.schedule_request(now, number);
            }
            Due::Answer(request, attempt) => {
                engine.on_attempt_ended(now, request, attempt, Outcome::Ok);
            }
            Due::VoteReply => engine.on_vote_reply(now, Outcome::Ok, None),
        }
        self.follow_orders(now, number);
    }

    /// A datagram reaches a proxy. One that does not read as a peer's is dropped, as the product does.
    pub fn deliver(&mut self, now: Micros, to: usize, datagram: &[u8]) {
        let proxy = &mut self.proxies[to];
        proxy.traffic.received.add(datagram.len());
        if let Ok(message) = peer_datagram::decode(SITE, datagram)
            && message.kind == PayloadKind::Gossip
        {
            proxy.engine.on_peer_message(now, usize::from(message.sender), message.payload);
            self.follow_orders(now, to);
        }
    }

    /// Does what an engine ordered, and sees to its next due time.
    fn follow_orders(&mut self, now: Micros, number: usize) {
        while let Some(action) = self.proxies[number].engine.next_action() {
            match action {
                EngineAction::StartAttempt { request, attempt, .. } => {
                    self.proxies[number].traffic.attempts += 1;
                    let after = ANSWER_LEAST + self.rng.random_range(0..ANSWER_SPREAD);
                    self.queue.push(Reverse((now + after, number, Due::Answer(request, attempt))));
                }
                EngineAction::Vote { build, stage, verdict } => {
                    let vote = Vote::new(number, build, stage, verdict);
                    self.proxies[number].traffic.votes.add(vote.write().len());
                    match self.shape.releases {
                        Releases::Outside => self.votes.push(CastVote { from: number, vote }),
                        _ => self.queue.push(Reverse((now + REPLY_AFTER, number, Due::VoteReply))),
                    }
                }
                EngineAction::Gossip { to, payload } => self.send(number, to, &payload),
                EngineAction::CloseAttempt { .. }
                | EngineAction::Respond { .. }
                | EngineAction::Forget { .. }
                | EngineAction::WatchServerList
                | EngineAction::FetchServerList
                | EngineAction::BudgetMessage { .. }
                | EngineAction::Log(_) => {}
            }
        }
        self.arm(now, number);
    }

    fn send(&mut self, from: usize, to: Option<usize>, payload: &[u8]) {
        let sender = u16::try_from(from).ok();
        let Some(bytes) =
            sender.and_then(|sender| peer_datagram::encode(SITE, sender, PayloadKind::Gossip, payload))
        else {
            return;
        };
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

    fn arm(&mut self, now: Micros, number: usize) {
        let proxy = &mut self.proxies[number];
        let Some(due) = proxy.engine.next_deadline().map(|due| due.max(now)) else { return };
        if proxy.armed == 0 || due < proxy.armed {
            proxy.armed = due;
            self.queue.push(Reverse((due, number, Due::Engine)));
        }
    }

    fn schedule_request(&mut self, now: Micros, number: usize) {
        if self.shape.request_rate > 0.0 {
            let drawn: f64 = self.rng.random();
            let wait = -(1.0 - drawn).ln() / self.shape.request_rate;
            self.queue.push(Reverse((now + (wait * 1e6) as Micros + 1, number, Due::Request)));
        }
    }
}

/// Runs a fleet in simulated time, every datagram `latency` on its way, until `until`; the moment it stands at then.
pub fn simulate(fleet: &mut EngineFleet, from: Micros, until: Micros, latency: Micros) -> Micros {
    let mut network: BTreeMap<(Micros, u64), Datagram> = BTreeMap::new();
    let (mut now, mut sent) = (from, 0);
    loop {
        for datagram in fleet.take_outbox() {
            sent += 1;
            network.insert((now + latency, sent), datagram);
        }
        let arrival = network.first_key_value().map(|(key, _)| key.0);
        let Some(next) = arrival.into_iter().chain(fleet.due()).min().filter(|&next| next <= until) else {
            return until;
        };
        now = next.max(now);
        while let Some(entry) = network.first_entry().filter(|entry| entry.key().0 <= now) {
            let datagram = entry.remove();
            fleet.deliver(now, datagram.to, &datagram.bytes);
        }
        fleet.advance(now);
    }
}
