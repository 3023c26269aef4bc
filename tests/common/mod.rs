//! A small driver for module tests: builds settings, feeds events, collects actions.
#![allow(dead_code)]

use violetseam::balancer::Balancer;
use violetseam::interface::*;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
pub const IDEMPOTENT: usize = 0;
pub const KEYED: usize = 1;
pub const NON_IDEMPOTENT: usize = 2;

/// Settings with one class of each effect and four stages, the first guarded.
pub fn settings() -> Settings {
    let class = |effect, group| RequestClass {
        latency_objective: 300 * MS,
        deadline: 1_200 * MS,
        idempotency: effect,
        dedup_group: group,
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

/// A warm, ready server.
pub fn server(id: ServerId, build: Build) -> ServerEntry {
    let (zone, cell) = ((id % 2) as u16, 0);
    ServerEntry { id, zone, build, cell, status: ServerStatus::Ready, size: 1.0, started_at: 0 }
}

/// `old` servers of build 1 and `new` servers of build 2.
pub fn fleet(old: u64, new: u64) -> Vec<ServerEntry> {
    (0..old).map(|i| server(10 + i, 1)).chain((0..new).map(|i| server(100 + i, 2))).collect()
}

pub fn release(build: Build, stage: u8, phase: Phase, cap: f64) -> ReleaseStatus {
    ReleaseStatus { build, stage, phase, cap }
}

/// One balancer under test and its clock.
pub struct Rig {
    pub now: Micros,
    pub balancer: Balancer,
    next: RequestId,
}

impl Rig {
    pub fn new(settings: Settings, entries: &[ServerEntry], stage: ReleaseStatus) -> Rig {
        let mut rig = Rig { now: 100 * S, balancer: Balancer::new(settings, 7), next: 1 };
        rig.feed(Event::ServerList { kind: ListKind::Cached, entries });
        rig.feed(Event::Release(stage));
        rig
    }

    pub fn feed(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.balancer.on_event(self.now, event, &mut out);
        out
    }

    /// Lets time pass, tick by tick.
    pub fn run(&mut self, span: Micros) -> Vec<Action> {
        let end = self.now + span;
        let mut out = Vec::new();
        while self.now < end {
            self.now += 5 * MS;
            out.extend(self.feed(Event::Timer { token: 0 }));
        }
        out
    }

    pub fn request(&mut self, class: usize) -> (RequestId, Vec<Action>) {
        self.keyed(class, None)
    }

    pub fn keyed(&mut self, class: usize, key: Option<u64>) -> (RequestId, Vec<Action>) {
        let id = self.next;
        self.next += 1;
        let deadline = self.now + 1_200 * MS;
        let request = Request { id, deadline, class, key, ..Request::default() };
        (id, self.feed(Event::Request(request)))
    }

    pub fn end(
        &mut self,
        request: RequestId,
        attempt: usize,
        server: ServerId,
        outcome: Outcome,
        elapsed: Micros,
    ) -> Vec<Action> {
        let settled = outcome == Outcome::Ok;
        self.feed(Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            server,
            outcome,
            elapsed,
            finishes_request: settled,
        }))
    }

    /// Plays requests of the class, ten a tick apart, each answered 50 ms later by `outcome_of`.
    pub fn traffic(
        &mut self,
        classes: &[usize],
        n: usize,
        outcome_of: impl Fn(ServerId, usize) -> (Outcome, Micros),
    ) -> Vec<Action> {
        let mut all = Vec::new();
        for i in 0..n {
            let (id, actions) = self.request(classes[i % classes.len()]);
            let sent = sends(&actions);
            all.extend(actions);
            all.extend(self.run(5 * MS));
            let mut todo: Vec<(usize, ServerId)> =
                sent.iter().copied().enumerate().map(|(k, s)| (k, s.1)).collect();
            while let Some((attempt, to)) = todo.pop() {
                let (outcome, elapsed) = outcome_of(to, i);
                let more = self.end(id, attempt, to, outcome, elapsed);
                todo.extend(sends(&more).iter().map(|s| (attempt + 1, s.1)));
                all.extend(more);
            }
        }
        all
    }
}

/// Requests and servers of the sends among the actions.
pub fn sends(actions: &[Action]) -> Vec<(RequestId, ServerId)> {
    let send = |a: &Action| match a {
        Action::Send { request, server, .. } => Some((*request, *server)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

/// Verdicts voted for among the actions.
pub fn votes(actions: &[Action]) -> Vec<Verdict> {
    let vote = |a: &Action| match a {
        Action::Vote { verdict, .. } => Some(*verdict),
        _ => None,
    };
    actions.iter().filter_map(vote).collect()
}

/// Final answers given to the request: refused or failed.
pub fn finals(actions: &[Action], id: RequestId) -> (usize, usize) {
    let refused = actions.iter().filter(|a| matches!(a, Action::Reject { request, .. } if *request == id));
    let failed = actions.iter().filter(|a| matches!(a, Action::Fail { request } if *request == id));
    (refused.count(), failed.count())
}
