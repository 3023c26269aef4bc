//! Every order of up to six events for one or two requests, checked against an oracle that shares no code
//! with the engine and knows only its actions and the events that the test caused.

use std::collections::BTreeMap;
use violetseam::interface::*;
use violetseam_proxy::engine::{Engine, EngineAction};

const MS: Micros = 1_000;
const START: Micros = 1_000 * MS;
const DEADLINE: Micros = 1_000 * MS;
const GRACE: Micros = 20 * MS;
const WINDOW: Micros = 500 * MS;
const MAX_ATTEMPTS: usize = 3;
/// One class of each idempotency.
const IDEMPOTENCY_BY_CLASS: [Idempotency; 3] =
    [Idempotency::Idempotent, Idempotency::NonIdempotent, Idempotency::Keyed];

fn settings(cancel: bool) -> Settings {
    let class = |effect| RequestClass {
        latency_objective: 400 * MS,
        deadline: DEADLINE,
        idempotency: effect,
        dedup_window: WINDOW,
        ..RequestClass::default()
    };
    Settings {
        classes: IDEMPOTENCY_BY_CLASS.map(class).into(),
        limits: Limits { max_attempts: MAX_ATTEMPTS, cancel, ..Limits::default() },
        rules: ServiceRules {
            deadline_grace: GRACE,
            poll_interval_max: u64::MAX,
            slow_start_floor: 1.0,
            ..ServiceRules::default()
        },
        fleet_size: 1,
        tick: 5 * MS,
        subscribes_to_list: true,
        ..Settings::default()
    }
}

/// An event that can happen next. Attempts are named by their place in the oracle's list.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    /// A request of this class arrives.
    Arrive(usize),
    /// An attempt's connection is established, and its request is written if it still may be.
    Connected(usize),
    /// A connection that was being established fails.
    ConnectFailed(usize),
    /// A written request is answered.
    Answered(usize),
    /// The connection of a written request is reset.
    Reset(usize),
    /// A client leaves.
    ClientLeaves(RequestId),
    /// All servers drain, and others are listed.
    ServersReplaced,
    /// Half a window passes.
    Wait,
    /// Time passes up to the engine's next deadline.
    NextDeadline,
}

/// The state of an attempt, as the oracle knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum AttemptState {
    Connecting,
    Sent,
    Ended,
}

/// An attempt that the engine has started.
#[derive(Debug)]
struct Attempt {
    request: RequestId,
    number: usize,
    server: ServerId,
    state: AttemptState,
    /// When its request was written, if that may have had an effect.
    sent_at: Option<Micros>,
}

/// A request and what has become of it.
#[derive(Debug, Default)]
struct ClientRequest {
    class: usize,
    deadline: Micros,
    disconnected: bool,
    responses: usize,
    forgotten: bool,
}

/// The engine under test, and the oracle's record of requests and attempts.
struct Harness {
    engine: Engine,
    now: Micros,
    generation: u64,
    attempts: Vec<Attempt>,
    requests: BTreeMap<RequestId, ClientRequest>,
}

impl Harness {
    fn new(cancel: bool) -> Harness {
        let engine = Engine::new(settings(cancel), 5, None);
        let mut harness =
            Harness { engine, now: START, generation: 0, attempts: Vec::new(), requests: BTreeMap::new() };
        harness.list_servers(ListKind::Cached);
        harness
    }

    fn list_servers(&mut self, kind: ListKind) {
        self.generation += 1;
        let entry = |id| ServerEntry {
            id,
            zone: 0,
            build: 1,
            cell: 0,
            status: ServerStatus::Ready,
            size: 1.0,
            started_at: 0,
        };
        let entries: Vec<ServerEntry> = (1..=2).map(|n| entry(self.generation * 10 + n)).collect();
        self.engine.on_server_list(self.now, kind, &entries);
    }

    /// Whether a server is listed as ready now.
    fn is_listed(&self, server: ServerId) -> bool {
        server / 10 == self.generation
    }

    /// All steps that can happen now, without those that would be equal to another one.
    fn possible_steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.requests.len() < 2 {
            // The second's class differs, so that both orders of two are seen.
            let taken = self.requests.values().next().map(|a| a.class);
            steps.extend((0..IDEMPOTENCY_BY_CLASS.len()).filter(|c| Some(*c) != taken).map(Step::Arrive));
        }
        for (at, one) in self.attempts.iter().enumerate() {
            match one.state {
                AttemptState::Connecting => steps.extend([Step::Connected(at), Step::ConnectFailed(at)]),
                AttemptState::Sent => steps.extend([Step::Answered(at), Step::Reset(at)]),
                AttemptState::Ended => {}
            }
        }
        let open = |a: &ClientRequest| !a.disconnected && a.responses == 0;
        steps.extend(self.requests.iter().filter(|(_, a)| open(a)).map(|(id, _)| Step::ClientLeaves(*id)));
        if !self.requests.is_empty() {
            steps.extend([Step::ServersReplaced, Step::Wait, Step::NextDeadline]);
        }
        steps
    }

    fn perform_step(&mut self, step: Step) {
        match step {
            Step::Arrive(class) => {
                let deadline = self.now + DEADLINE;
                let request = Request { deadline, class, ..Request::default() };
                let id = self.engine.on_request(self.now, request, true);
                assert!(
                    self.requests
                        .insert(id, ClientRequest { class, deadline, ..ClientRequest::default() })
                        .is_none()
                );
            }
            Step::Connected(at) => {
                let request = self.attempts[at].request;
                let number = self.attempts[at].number;
                let may = self.engine.may_send(self.now, request, number);
                if may {
                    self.on_sent(at);
                }
                // An attempt that may not be sent has its connection closed.
                self.perform_actions();
                assert!(may || self.attempts[at].state == AttemptState::Ended, "withheld and still open");
            }
            Step::ConnectFailed(at) => self.end_attempt(at, Outcome::ConnectFailed),
            Step::Answered(at) => self.end_attempt(at, Outcome::Ok),
            Step::Reset(at) => self.end_attempt(at, Outcome::Reset),
            Step::ClientLeaves(id) => {
                self.requests.get_mut(&id).unwrap().disconnected = true;
                self.engine.on_client_disconnected(self.now, id);
            }
            Step::ServersReplaced => self.list_servers(ListKind::Full),
            Step::Wait => self.advance_to(self.now + WINDOW / 2),
            Step::NextDeadline => self.advance_to(self.engine.next_deadline().unwrap_or(self.now)),
        }
        self.perform_actions();
    }

    /// Time passes; the deadlines on the way run in their order.
    fn advance_to(&mut self, until: Micros) {
        while let Some(due) = self.engine.next_deadline().filter(|due| *due <= until) {
            self.now = self.now.max(due);
            self.engine.run_deadlines(self.now);
            self.perform_actions();
        }
        self.now = self.now.max(until);
    }

    fn end_attempt(&mut self, at: usize, outcome: Outcome) {
        self.attempts[at].state = AttemptState::Ended;
        let request = self.attempts[at].request;
        let number = self.attempts[at].number;
        if self.engine.on_attempt_ended(self.now, request, number, outcome) {
            self.on_response(request);
        }
    }

    fn on_response(&mut self, request: RequestId) {
        let asked = self.requests.get_mut(&request).unwrap();
        asked.responses += 1;
        assert!(asked.responses == 1 && !asked.disconnected, "an answer too many, or to nobody");
        assert!(self.now <= asked.deadline + GRACE, "answered late");
    }

    /// Checks rules 2 and 3 when the last byte of a request has been written.
    fn on_sent(&mut self, at: usize) {
        let request = self.attempts[at].request;
        let server = self.attempts[at].server;
        assert!(self.is_listed(server), "written to a server that drains");
        let asked = &self.requests[&request];
        assert!(asked.responses == 0 && !asked.disconnected, "written for nobody");
        let earlier = |t: &&Attempt| t.request == request && t.sent_at.is_some();
        if let Some(first) = self.attempts.iter().find(earlier) {
            match IDEMPOTENCY_BY_CLASS[asked.class] {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => panic!("written twice"),
                Idempotency::Keyed => {
                    assert!(self.now < first.sent_at.unwrap() + WINDOW, "written again after its window");
                }
            }
        }
        let out = |t: &Attempt| t.request == request && t.state == AttemptState::Sent;
        assert!(!self.attempts.iter().any(out), "written beside one that is out");
        let this = &mut self.attempts[at];
        this.state = AttemptState::Sent;
        this.sent_at = Some(self.now);
    }

    fn perform_actions(&mut self) {
        while let Some(action) = self.engine.next_action() {
            match action {
                EngineAction::StartAttempt { request, attempt, server } => {
                    let asked = &self.requests[&request];
                    assert!(
                        asked.responses == 0 && !asked.disconnected && !asked.forgotten,
                        "started for nobody"
                    );
                    assert!(attempt < MAX_ATTEMPTS, "too many attempts");
                    let of = |t: &&Attempt| t.request == request;
                    assert_eq!(self.attempts.iter().filter(of).count(), attempt, "numbers in their order");
                    let dialing = AttemptState::Connecting;
                    self.attempts.push(Attempt {
                        request,
                        number: attempt,
                        server,
                        state: dialing,
                        sent_at: None,
                    });
                }
                EngineAction::CloseAttempt { request, attempt } => {
                    let is = |t: &&mut Attempt| (t.request, t.number) == (request, attempt);
                    let one = self.attempts.iter_mut().find(is).expect("dropped and never started");
                    assert!(one.state != AttemptState::Ended, "dropped and ended before");
                    one.state = AttemptState::Ended;
                }
                EngineAction::Respond { request, .. } => self.on_response(request),
                EngineAction::Forget { request } => {
                    let asked = self.requests.get_mut(&request).unwrap();
                    assert!(
                        (asked.responses == 1 || asked.disconnected) && !asked.forgotten,
                        "forgotten too soon"
                    );
                    asked.forgotten = true;
                }
                EngineAction::WatchServerList | EngineAction::FetchServerList | EngineAction::Log(_) => {}
                other => panic!("not asked for: {other:?}"),
            }
        }
    }

    /// Lets time pass and checks that each request has had its one response, or its client had left.
    fn finish(mut self) {
        self.advance_to(self.now + 3 * DEADLINE);
        for at in 0..self.attempts.len() {
            if self.attempts[at].state != AttemptState::Ended {
                self.end_attempt(at, Outcome::Reset);
                self.perform_actions();
            }
        }
        for (id, asked) in &self.requests {
            assert!(asked.disconnected || asked.responses == 1, "{id} has no answer");
            assert!(asked.forgotten, "{id} is still held");
        }
    }
}

fn replay(cancel: bool, steps: &[Step]) -> Harness {
    let mut harness = Harness::new(cancel);
    for step in steps {
        harness.perform_step(*step);
    }
    harness
}

/// Checks all continuations of `steps`, depth first; returns how many orders were checked.
fn search(cancel: bool, depth: usize, steps: &mut Vec<Step>) -> usize {
    let harness = replay(cancel, steps);
    let next = if steps.len() < depth { harness.possible_steps() } else { Vec::new() };
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| harness.finish()));
    assert!(result.is_ok(), "after {steps:?}");
    let mut played = 1;
    for step in next {
        steps.push(step);
        played += search(cancel, depth, steps);
        steps.pop();
    }
    played
}

#[test]
fn every_order_of_six_events_keeps_the_engines_word() {
    let played = search(true, 6, &mut Vec::new());
    assert!(played > 20_000, "{played} orders only");
}

#[test]
fn every_order_of_six_events_does_so_without_cancelling() {
    let played = search(false, 6, &mut Vec::new());
    assert!(played > 20_000, "{played} orders only");
}
