//! One proxy's decision module on a simulated clock: requests, their answers and timers, without sockets.

use crate::ScaleError;
use crate::server_list::{STABLE_BUILD, full_list};
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
const ATTEMPT_DURATION: Micros = 20 * MILLISECOND;
/// Simulated time moves by this much.
const STEP: Micros = 5 * MILLISECOND;
const REQUEST_DEADLINE: Micros = SECOND;
/// The build on trial; [`full_list`] lists it and the one before.
const TRIAL_BUILD: u16 = STABLE_BUILD + 1;
/// The first stage's cap on attempts at the build on trial.
const FIRST_STAGE_CAP: f64 = 0.1;
/// Requests a second of each tenant.
const TENANT_QUOTA: f64 = 10.0;

/// The place of one balancer in its fleet, and the tenants that it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BalancerSize {
    /// Proxies of the fleet.
    pub proxies: usize,
    /// The balancer's own position among them, from 0.
    pub position: usize,
    /// Tenants with a quota each.
    pub tenants: usize,
}

/// Settings of one balancer.
pub fn balancer_settings(size: BalancerSize) -> Settings {
    Settings {
        classes: vec![request_class()],
        tenants: vec![Tenant { quota_per_s: TENANT_QUOTA }; size.tenants],
        rollout: rollout(size.proxies),
        limits: Limits { max_attempts: 3, cancel: true, gossip: true, ..Limits::default() },
        rules: service_rules(),
        subscribes_to_list: true,
        fleet_size: size.proxies,
        position: size.position,
        tick: STEP,
        over_quota_weight: 1.0,
        ..Settings::default()
    }
}

fn request_class() -> RequestClass {
    RequestClass {
        latency_objective: 300 * MILLISECOND,
        deadline: REQUEST_DEADLINE,
        idempotency: Idempotency::Idempotent,
        priority_weight: 1.0,
        ..RequestClass::default()
    }
}

fn rollout(proxies: usize) -> Rollout {
    Rollout {
        gate: GateMode::Share,
        stage_caps: vec![FIRST_STAGE_CAP, 0.5, 1.0],
        exposure_window: 6 * SECOND,
        exposure_slack: 2.0,
        vote_ttl: 4 * SECOND,
        vote_timeout: SECOND,
        votes_to_promote: proxies as f64 / 2.0,
        votes_to_roll_back: 2.0,
        vote_rate_limit: f64::MAX,
        ..Rollout::default()
    }
}

fn service_rules() -> ServiceRules {
    ServiceRules {
        deadline_grace: 20 * MILLISECOND,
        poll_interval_max: 10 * SECOND,
        slow_start_floor: 0.31,
        slow_start_span: 4 * SECOND,
        drain_grace: 2 * SECOND,
        overload_multiple: 3.0,
        overload_span: 3 * SECOND,
    }
}

/// The servers of a complete list, as the decision module receives them.
///
/// # Errors
/// [`ScaleError`] if the list is not accepted.
pub fn server_entries(servers: u64, seed: u64) -> Result<Vec<ServerEntry>, ScaleError> {
    let (_, entries) = EndpointList::default().apply(1, &full_list(servers, seed))?;
    Ok(entries)
}

/// A gossip message that the decision module asked to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct GossipMessage {
    /// One peer's position; all peers if none is given.
    pub to: Option<usize>,
    /// The message, without the framing of its datagram.
    pub payload: Vec<u8>,
}

/// An attempt whose answer is on its way.
struct InFlightAttempt {
    answer_at: Micros,
    request: RequestId,
    server: ServerId,
}

/// One proxy's decision module, with the clock and the servers that it sees.
pub struct SimulatedProxy {
    balancer: Balancer,
    now: Micros,
    timers: BTreeSet<Micros>,
    next_request: RequestId,
    /// Requests that the rate of [`SimulatedProxy::run`] has earned and that are not sent yet: below one.
    request_credit: f64,
    in_flight: VecDeque<InFlightAttempt>,
    actions: Vec<Action>,
    /// Messages to peers so far.
    pub gossip: Vec<GossipMessage>,
    /// Votes so far.
    pub votes: u64,
    /// Attempts so far.
    pub attempts: u64,
    /// Time spent in the decision module.
    pub decision_time: Duration,
}

impl SimulatedProxy {
    /// A proxy that has its list of servers and the status of a build on trial.
    pub fn new(settings: Settings, servers: &[ServerEntry], seed: u64) -> SimulatedProxy {
        let mut proxy = SimulatedProxy {
            balancer: Balancer::new(settings, seed),
            now: SECOND,
            timers: BTreeSet::new(),
            next_request: 1,
            request_credit: 0.0,
            in_flight: VecDeque::new(),
            actions: Vec::new(),
            gossip: Vec::new(),
            votes: 0,
            attempts: 0,
            decision_time: Duration::ZERO,
        };
        proxy.handle(Event::ServerList { kind: ListKind::Full, entries: servers });
        let status =
            ReleaseStatus { build: TRIAL_BUILD, stage: 0, phase: Phase::Trial, cap: FIRST_STAGE_CAP };
        proxy.handle(Event::Release(status));
        proxy
    }

    /// Reports an event to the decision module and performs its actions; the time that the decision took.
    pub fn handle(&mut self, event: Event<'_>) -> Duration {
        let start = Instant::now();
        self.balancer.on_event(self.now, event, &mut self.actions);
        let elapsed = start.elapsed();
        self.decision_time += elapsed;
        for action in std::mem::take(&mut self.actions) {
            self.perform(action);
        }
        elapsed
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send { request, server, .. } => {
                self.attempts += 1;
                let answer_at = self.now + ATTEMPT_DURATION;
                self.in_flight.push_back(InFlightAttempt { answer_at, request, server });
            }
            Action::SetTimer { after, .. } => {
                self.timers.insert(self.now + after);
            }
            Action::GossipToAll { payload } => self.gossip.push(GossipMessage { to: None, payload }),
            Action::GossipToPeer { to, payload } => {
                self.gossip.push(GossipMessage { to: Some(to), payload });
            }
            Action::Vote { .. } => {
                self.votes += 1;
                self.handle(Event::VoteReply { outcome: Outcome::Ok, release: None });
            }
            _ => {}
        }
    }

    /// A client's request; the time that its decision took.
    pub fn request(&mut self, tenant: usize) -> Duration {
        let id = self.next_request;
        self.next_request += 1;
        let request = Request { id, deadline: self.now + REQUEST_DEADLINE, tenant, ..Request::default() };
        self.handle(Event::Request(request))
    }

    /// Moves the clock by one step: answers and timers that have come due.
    pub fn step(&mut self) {
        self.now += STEP;
        while let Some(attempt) = self.in_flight.pop_front_if(|attempt| attempt.answer_at <= self.now) {
            self.handle(Event::AttemptEnded(AttemptEnd {
                request: attempt.request,
                attempt: 0,
                server: attempt.server,
                outcome: Outcome::Ok,
                elapsed: ATTEMPT_DURATION,
                finishes_request: true,
            }));
        }
        while self.timers.first().is_some_and(|due| *due <= self.now) {
            self.timers.pop_first();
            self.handle(Event::Timer { token: 0 });
        }
    }

    /// Runs for a span at a rate of requests a second.
    pub fn run(&mut self, span: Micros, requests_per_second: f64) {
        for _ in 0..span / STEP {
            self.request_credit += requests_per_second * STEP as f64 / SECOND as f64;
            while self.request_credit >= 1.0 {
                self.request_credit -= 1.0;
                self.request(0);
            }
            self.step();
        }
    }

    /// Bytes of the decision module's state in a compact serialized form: the same on every machine.
    ///
    /// # Errors
    /// [`ScaleError`] if the state cannot be encoded.
    pub fn state_bytes(&self) -> Result<u64, ScaleError> {
        let bytes = postcard::to_stdvec(&self.balancer).map_err(ScaleError::EncodeState)?;
        Ok(bytes.len() as u64)
    }
}
