//! A test harness for the balancer: it builds settings, feeds events and collects the resulting actions.
#![allow(dead_code)]

use violetseam::balancer::Balancer;
use violetseam::interface::*;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
pub const IDEMPOTENT: usize = 0;
pub const KEYED: usize = 1;
pub const NON_IDEMPOTENT: usize = 2;

/// Settings with one class of each kind of idempotency and four stages. The first stage admits only
/// idempotent requests to the new build.
pub fn settings() -> Settings {
    let class = |idempotency, dedup_group| RequestClass {
        latency_objective: 300 * MS,
        deadline: 1_200 * MS,
        idempotency,
        dedup_group,
        dedup_window: 2 * S,
        priority_weight: 1.0,
        ..RequestClass::default()
    };
    Settings {
        classes: vec![
            class(Idempotency::Idempotent, DedupGroup::All),
            class(Idempotency::Keyed, DedupGroup::Zone),
            class(Idempotency::NonIdempotent, DedupGroup::All),
        ],
        rollout: Rollout {
            gate: GateMode::Any,
            in_place: true,
            stage_caps: vec![0.16, 0.5, 1.0, 1.0],
            idempotent_only_stages: 1,
            exposure_window: 6 * S,
            exposure_slack: 2.0,
            vote_ttl: 4 * S,
            vote_timeout: 800 * MS,
            flag_share: 0.3,
            vote_rate_limit: 100.0,
            ..Rollout::default()
        },
        limits: Limits {
            max_attempts: 4,
            cancel: true,
            retry_after: true,
            max_retry_after: S,
            ..Limits::default()
        },
        rules: ServiceRules {
            deadline_grace: 20 * MS,
            poll_interval_max: 10 * S,
            slow_start_floor: 0.3,
            slow_start_span: 4 * S,
            drain_grace: 2 * S,
            overload_multiple: 3.0,
            overload_span: 3 * S,
        },
        fleet_size: 1,
        tick: 5 * MS,
        ..Settings::default()
    }
}

/// A server that is warm and ready.
pub fn server(id: ServerId, build: Build) -> ServerEntry {
    let (zone, cell) = ((id % 2) as u16, 0);
    ServerEntry { id, zone, build, cell, status: ServerStatus::Ready, size: 1.0, started_at: 0 }
}

/// A list of `earlier` servers of build 1, with ids from 10, and `new` servers of build 2, with ids from 100.
pub fn server_list(earlier: u64, new: u64) -> Vec<ServerEntry> {
    (0..earlier).map(|i| server(10 + i, 1)).chain((0..new).map(|i| server(100 + i, 2))).collect()
}

pub fn release_status(build: Build, stage: u8, phase: Phase, cap: f64) -> ReleaseStatus {
    ReleaseStatus { build, stage, phase, cap }
}

/// A balancer under test and its clock.
pub struct Harness {
    pub now: Micros,
    pub balancer: Balancer,
    next_request: RequestId,
}

impl Harness {
    pub fn new(settings: Settings, entries: &[ServerEntry], release: ReleaseStatus) -> Harness {
        let mut harness = Harness { now: 100 * S, balancer: Balancer::new(settings, 7), next_request: 1 };
        harness.feed(Event::ServerList { kind: ListKind::Cached, entries });
        harness.feed(Event::Release(release));
        harness
    }

    pub fn feed(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.on_event(self.now, event, &mut actions);
        actions
    }

    /// Advances the clock by `span`, with a timer event at each tick.
    pub fn advance(&mut self, span: Micros) -> Vec<Action> {
        let end = self.now + span;
        let mut actions = Vec::new();
        while self.now < end {
            self.now += 5 * MS;
            actions.extend(self.feed(Event::Timer { token: 0 }));
        }
        actions
    }

    pub fn request(&mut self, class: usize) -> (RequestId, Vec<Action>) {
        self.request_with_key(class, None)
    }

    pub fn request_with_key(&mut self, class: usize, key: Option<u64>) -> (RequestId, Vec<Action>) {
        let id = self.next_request;
        self.next_request += 1;
        let deadline = self.now + 1_200 * MS;
        let request = Request { id, deadline, class, key, ..Request::default() };
        (id, self.feed(Event::Request(request)))
    }

    pub fn end_attempt(
        &mut self,
        request: RequestId,
        attempt: usize,
        server: ServerId,
        outcome: Outcome,
        elapsed: Micros,
    ) -> Vec<Action> {
        let finishes_request = outcome == Outcome::Ok;
        self.feed(Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            server,
            outcome,
            elapsed,
            finishes_request,
        }))
    }

    /// Sends `n` requests one tick apart, with the classes in turn. All attempts of a request end before the
    /// next request, each with the outcome and the elapsed time that `outcome_of` returns for the server and
    /// the number of the request.
    pub fn run_traffic(
        &mut self,
        classes: &[usize],
        n: usize,
        outcome_of: impl Fn(ServerId, usize) -> (Outcome, Micros),
    ) -> Vec<Action> {
        let mut all_actions = Vec::new();
        for i in 0..n {
            let (id, actions) = self.request(classes[i % classes.len()]);
            let sent = sends(&actions);
            all_actions.extend(actions);
            all_actions.extend(self.advance(5 * MS));
            let mut in_flight: Vec<(usize, ServerId)> =
                sent.iter().copied().enumerate().map(|(number, send)| (number, send.1)).collect();
            while let Some((attempt, to)) = in_flight.pop() {
                let (outcome, elapsed) = outcome_of(to, i);
                let more = self.end_attempt(id, attempt, to, outcome, elapsed);
                in_flight.extend(sends(&more).iter().map(|send| (attempt + 1, send.1)));
                all_actions.extend(more);
            }
        }
        all_actions
    }
}

/// The request and the server of each send among the actions.
pub fn sends(actions: &[Action]) -> Vec<(RequestId, ServerId)> {
    let send = |a: &Action| match a {
        Action::Send { request, server, .. } => Some((*request, *server)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

/// The verdict of each vote among the actions.
pub fn votes(actions: &[Action]) -> Vec<Verdict> {
    let vote = |a: &Action| match a {
        Action::Vote { verdict, .. } => Some(*verdict),
        _ => None,
    };
    actions.iter().filter_map(vote).collect()
}

/// How often the request was rejected and how often it was failed among the actions.
pub fn final_responses(actions: &[Action], id: RequestId) -> (usize, usize) {
    let rejected = actions.iter().filter(|a| matches!(a, Action::Reject { request, .. } if *request == id));
    let failed = actions.iter().filter(|a| matches!(a, Action::Fail { request } if *request == id));
    (rejected.count(), failed.count())
}
