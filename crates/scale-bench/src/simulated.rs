//! One proxy's decisions on a simulated clock: requests, their answers and timers, without sockets.

use super::ScaleError;
use super::server_list::whole_list;
use std::collections::{BTreeSet, VecDeque};
use std::time::{Duration, Instant};
use violetseam::balancer::Balancer;
use violetseam::interface::{
    Action, AttemptEnd, Event, GateMode, Idempotency, Limits, ListKind, Micros, Outcome, Phase,
    ReleaseStatus, Request, RequestClass, RequestId, Rollout, ServerEntry, ServerId, ServiceRules, Settings,
    Tenant,
};
use violetseam_site_protocol::endpoint_list::EndpointList;

/// One millisecond of simulated time.
pub const MILLISECOND: Micros = 1_000;
/// One second of simulated time.
pub const SECOND: Micros = 1_000_000;
/// How long each simulated attempt takes.
const ANSWER_AFTER: Micros = 20 * MILLISECOND;
/// Simulated time moves by this much.
const STEP: Micros = 5 * MILLISECOND;
const DEADLINE: Micros = SECOND;
/// The build on trial; [`whole_list`] lists it and the one before.
const TRIAL_BUILD: u16 = 101;

/// What one proxy's decisions are told at their start.
pub fn settings(proxies: usize, position: usize, tenants: usize) -> Settings {
    let class = RequestClass {
        latency_objective: 300 * MILLISECOND,
        deadline: DEADLINE,
        idempotency: Idempotency::Idempotent,
        priority_weight: 1.0,
        ..RequestClass::default()
    };
    let rollout = Rollout {
        gate: GateMode::Share,
        stage_caps: vec![0.1, 0.5, 1.0],
        exposure_window: 6 * SECOND,
        exposure_slack: 2.0,
        vote_ttl: 4 * SECOND,
        vote_timeout: SECOND,
        votes_to_promote: proxies as f64 / 2.0,
        votes_to_roll_back: 2.0,
        vote_rate_limit: f64::MAX,
        ..Rollout::default()
    };
    let limits = Limits { max_attempts: 3, cancel: true, gossip: true, ..Limits::default() };
    let contract = ServiceRules {
        deadline_grace: 20 * MILLISECOND,
        poll_interval_max: 10 * SECOND,
        slow_start_floor: 0.31,
        slow_start_span: 4 * SECOND,
        drain_grace: 2 * SECOND,
        overload_multiple: 3.0,
        overload_span: 3 * SECOND,
    };
    Settings {
        classes: vec![class],
        tenants: vec![Tenant { quota_per_s: 10.0 }; tenants],
        rollout,
        limits,
        rules: contract,
        subscribes_to_list: true,
        fleet_size: proxies,
        position,
        tick: STEP,
        over_quota_weight: 1.0,
        ..Settings::default()
    }
}

/// The servers of a whole list, as the decisions are told of them.
///
/// # Errors
/// [`ScaleError`] if the list does not read.
pub fn entries(servers: u64, seed: u64) -> Result<Vec<ServerEntry>, ScaleError> {
    let applied = EndpointList::default().apply(1, &whole_list(servers, seed));
    applied.map(|applied| applied.entries).map_err(|e| ScaleError::Failed(e.to_string()))
}

/// A message that the decisions asked to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    /// One peer, or all of them.
    pub to: Option<usize>,
    /// The bytes.
    pub payload: Vec<u8>,
}

struct Out {
    due: Micros,
    request: RequestId,
    server: ServerId,
}

/// One proxy's decisions, with the clock and the servers that they see.
pub struct Proxy {
    balancer: Balancer,
    now: Micros,
    timers: BTreeSet<Micros>,
    next_request: RequestId,
    /// Requests owed at the rate of [`Proxy::run`], a part of one at most.
    owed: f64,
    out: VecDeque<Out>,
    actions: Vec<Action>,
    /// Messages to peers so far.
    pub told: Vec<Told>,
    /// Votes so far.
    pub votes: u64,
    /// Attempts so far.
    pub sends: u64,
    /// Time spent in the decisions.
    pub spent: Duration,
}

impl Proxy {
    /// A proxy that has heard of its servers and of a build on trial.
    pub fn new(settings: Settings, servers: &[ServerEntry], seed: u64) -> Proxy {
        let mut proxy = Proxy {
            balancer: Balancer::new(settings, seed),
            now: SECOND,
            timers: BTreeSet::new(),
            next_request: 1,
            owed: 0.0,
            out: VecDeque::new(),
            actions: Vec::new(),
            told: Vec::new(),
            votes: 0,
            sends: 0,
            spent: Duration::ZERO,
        };
        proxy.tell(Event::ServerList { kind: ListKind::Full, entries: servers });
        let news = ReleaseStatus { build: TRIAL_BUILD, stage: 0, phase: Phase::Trial, cap: 0.1 };
        proxy.tell(Event::Release(news));
        proxy
    }

    /// Tells the decisions of an event and does what they ask for; the time that they took.
    pub fn tell(&mut self, event: Event<'_>) -> Duration {
        let start = Instant::now();
        self.balancer.on_event(self.now, event, &mut self.actions);
        let taken = start.elapsed();
        self.spent += taken;
        for action in std::mem::take(&mut self.actions) {
            self.perform(action);
        }
        taken
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send { request, server, .. } => {
                self.sends += 1;
                self.out.push_back(Out { due: self.now + ANSWER_AFTER, request, server });
            }
            Action::SetTimer { after, .. } => {
                self.timers.insert(self.now + after);
            }
            Action::GossipToAll { payload } => self.told.push(Told { to: None, payload }),
            Action::GossipToPeer { to, payload } => self.told.push(Told { to: Some(to), payload }),
            Action::Vote { .. } => {
                self.votes += 1;
                self.tell(Event::VoteReply { outcome: Outcome::Ok, release: None });
            }
            _ => {}
        }
    }

    /// A client's request; the time that its decision took.
    pub fn request(&mut self, tenant: usize) -> Duration {
        let id = self.next_request;
        self.next_request += 1;
        let request = Request { id, deadline: self.now + DEADLINE, tenant, ..Request::default() };
        self.tell(Event::Request(request))
    }

    /// Moves the clock by one step: answers and timers that have come due.
    pub fn step(&mut self) {
        self.now += STEP;
        while let Some(out) = self.out.pop_front_if(|out| out.due <= self.now) {
            self.tell(Event::AttemptEnded(AttemptEnd {
                request: out.request,
                attempt: 0,
                server: out.server,
                outcome: Outcome::Ok,
                elapsed: ANSWER_AFTER,
                finishes_request: true,
            }));
        }
        while self.timers.first().is_some_and(|due| *due <= self.now) {
            self.timers.pop_first();
            self.tell(Event::Timer { token: 0 });
        }
    }

    /// Runs for a span at a rate of requests a second.
    pub fn run(&mut self, span: Micros, requests_per_second: f64) {
        for _ in 0..span / STEP {
            self.owed += requests_per_second * STEP as f64 / SECOND as f64;
            while self.owed >= 1.0 {
                self.owed -= 1.0;
                self.request(0);
            }
            self.step();
        }
    }

    /// Bytes of all that the decisions hold, in a compact serialized form: the same on every machine.
    ///
    /// # Errors
    /// [`ScaleError`] if the state cannot be encoded.
    pub fn state_bytes(&self) -> Result<u64, ScaleError> {
        let bytes = postcard::to_stdvec(&self.balancer).map_err(|e| ScaleError::Failed(e.to_string()))?;
        Ok(bytes.len() as u64)
    }
}
