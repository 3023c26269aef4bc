//! Runs the engine through every order of up to six events for one or two requests. An oracle checks each
//! order; it shares no code with the engine and knows only the engine's actions and the events that the test
//! caused.

use std::collections::BTreeMap;
use violetseam::interface::*;
use violetseam_proxy::engine::{Engine, EngineAction};

const MS: Micros = 1_000;
const START: Micros = 1_000 * MS;
const DEADLINE: Micros = 1_000 * MS;
const GRACE: Micros = 20 * MS;
const WINDOW: Micros = 500 * MS;
const MAX_ATTEMPTS: usize = 3;
/// The idempotency of each request class; there is one class of each kind.
const IDEMPOTENCY_BY_CLASS: [Idempotency; 3] =
    [Idempotency::Idempotent, Idempotency::NonIdempotent, Idempotency::Keyed];

fn settings(cancel: bool) -> Settings {
    let class = |idempotency| RequestClass {
        latency_objective: 400 * MS,
        deadline: DEADLINE,
        idempotency,
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

/// An event that can happen next. Attempts are identified by their index in the oracle's list.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    /// A request of this class arrives.
    Arrive(usize),
    /// An attempt's connection is established, and its request is written if the engine still permits it.
    Connected(usize),
    /// An attempt's connection cannot be established.
    ConnectFailed(usize),
    /// The server responds to a request that was written.
    Responded(usize),
    /// The connection of a request that was written is reset.
    Reset(usize),
    /// A client disconnects.
    ClientDisconnects(RequestId),
    /// All servers drain, and a full list with other servers arrives.
    ServersReplaced,
    /// Half a dedup window passes.
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
    /// When the request was written; `None` if it was not.
    sent_at: Option<Micros>,
}

/// A request and its state as the oracle knows it.
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
    list_generation: u64,
    attempts: Vec<Attempt>,
    requests: BTreeMap<RequestId, ClientRequest>,
}

impl Harness {
    fn new(cancel: bool) -> Harness {
        let engine = Engine::new(settings(cancel), 5, None);
        let mut harness = Harness {
            engine,
            now: START,
            list_generation: 0,
            attempts: Vec::new(),
            requests: BTreeMap::new(),
        };
        harness.list_servers(ListKind::Cached);
        harness
    }

    /// Replaces the server list: each list has two servers with ids that no earlier list had.
    fn list_servers(&mut self, kind: ListKind) {
        self.list_generation += 1;
        let entry = |id| ServerEntry {
            id,
            zone: 0,
            build: 1,
            cell: 0,
            status: ServerStatus::Ready,
            size: 1.0,
            started_at: 0,
        };
        let entries: Vec<ServerEntry> = (1..=2).map(|n| entry(self.list_generation * 10 + n)).collect();
        self.engine.on_server_list(self.now, kind, &entries);
    }

    /// Whether the current list has the server, as ready.
    fn is_listed(&self, server: ServerId) -> bool {
        server / 10 == self.list_generation
    }

    /// All steps that can happen now. Steps that would be equivalent to another one are left out.
    fn possible_steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.requests.len() < 2 {
            // The second request has another class than the first, so that both orders of two classes are
            // covered.
            let first_class = self.requests.values().next().map(|request| request.class);
            steps.extend(
                (0..IDEMPOTENCY_BY_CLASS.len()).filter(|class| Some(*class) != first_class).map(Step::Arrive),
            );
        }
        for (i, attempt) in self.attempts.iter().enumerate() {
            match attempt.state {
                AttemptState::Connecting => steps.extend([Step::Connected(i), Step::ConnectFailed(i)]),
                AttemptState::Sent => steps.extend([Step::Responded(i), Step::Reset(i)]),
                AttemptState::Ended => {}
            }
        }
        let is_open = |request: &ClientRequest| !request.disconnected && request.responses == 0;
        steps.extend(
            self.requests
                .iter()
                .filter(|(_, request)| is_open(request))
                .map(|(id, _)| Step::ClientDisconnects(*id)),
        );
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
            Step::Connected(index) => {
                let request = self.attempts[index].request;
                let number = self.attempts[index].number;
                let permitted = self.engine.may_send(self.now, request, number);
                if permitted {
                    self.on_sent(index);
                }
                // The engine closes the connection of an attempt that may not be sent.
                self.perform_actions();
                assert!(
                    permitted || self.attempts[index].state == AttemptState::Ended,
                    "an attempt was denied and its connection left open"
                );
            }
            Step::ConnectFailed(index) => self.end_attempt(index, Outcome::ConnectFailed),
            Step::Responded(index) => self.end_attempt(index, Outcome::Ok),
            Step::Reset(index) => self.end_attempt(index, Outcome::Reset),
            Step::ClientDisconnects(id) => {
                self.requests.get_mut(&id).unwrap().disconnected = true;
                self.engine.on_client_disconnected(self.now, id);
            }
            Step::ServersReplaced => self.list_servers(ListKind::Full),
            Step::Wait => self.advance_to(self.now + WINDOW / 2),
            Step::NextDeadline => self.advance_to(self.engine.next_deadline().unwrap_or(self.now)),
        }
        self.perform_actions();
    }

    /// Lets time pass until `until` and runs the deadlines on the way in their order.
    fn advance_to(&mut self, until: Micros) {
        while let Some(due) = self.engine.next_deadline().filter(|due| *due <= until) {
            self.now = self.now.max(due);
            self.engine.run_deadlines(self.now);
            self.perform_actions();
        }
        self.now = self.now.max(until);
    }

    fn end_attempt(&mut self, index: usize, outcome: Outcome) {
        self.attempts[index].state = AttemptState::Ended;
        let request = self.attempts[index].request;
        let number = self.attempts[index].number;
        if self.engine.on_attempt_ended(self.now, request, number, outcome) {
            self.on_response(request);
        }
    }

    /// Checks that a final response is the request's first, in time, and has a client to go to.
    fn on_response(&mut self, request: RequestId) {
        let client_request = self.requests.get_mut(&request).unwrap();
        client_request.responses += 1;
        assert!(
            client_request.responses == 1 && !client_request.disconnected,
            "a second response, or a response to a client that has disconnected"
        );
        assert!(self.now <= client_request.deadline + GRACE, "a response after the deadline and its grace");
    }

    /// Checks, when a request has been written to a server, that it was permitted: rule 2, no effect happens
    /// twice, and rule 3, drains are respected.
    fn on_sent(&mut self, index: usize) {
        let request = self.attempts[index].request;
        let server = self.attempts[index].server;
        assert!(self.is_listed(server), "a request was written to a draining server");
        let client_request = &self.requests[&request];
        assert!(
            client_request.responses == 0 && !client_request.disconnected,
            "a request was written that has its response or no client"
        );
        let is_earlier = |attempt: &&Attempt| attempt.request == request && attempt.sent_at.is_some();
        if let Some(first) = self.attempts.iter().find(is_earlier) {
            match IDEMPOTENCY_BY_CLASS[client_request.class] {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => panic!("a request that is not idempotent was written twice"),
                Idempotency::Keyed => {
                    assert!(
                        self.now < first.sent_at.unwrap() + WINDOW,
                        "a keyed request was written again after its dedup window"
                    );
                }
            }
        }
        let is_sent = |attempt: &Attempt| attempt.request == request && attempt.state == AttemptState::Sent;
        assert!(
            !self.attempts.iter().any(is_sent),
            "a request was written while another attempt of it was pending"
        );
        let attempt = &mut self.attempts[index];
        attempt.state = AttemptState::Sent;
        attempt.sent_at = Some(self.now);
    }

    fn perform_actions(&mut self) {
        while let Some(action) = self.engine.next_action() {
            match action {
                EngineAction::StartAttempt { request, attempt, server } => {
                    let client_request = &self.requests[&request];
                    assert!(
                        client_request.responses == 0
                            && !client_request.disconnected
                            && !client_request.forgotten,
                        "an attempt was started for a request that has ended"
                    );
                    assert!(
                        attempt < MAX_ATTEMPTS,
                        "attempt {attempt} of at most {MAX_ATTEMPTS} was started"
                    );
                    let is_of_request = |attempt: &&Attempt| attempt.request == request;
                    assert_eq!(
                        self.attempts.iter().filter(is_of_request).count(),
                        attempt,
                        "attempts are numbered in order"
                    );
                    let state = AttemptState::Connecting;
                    self.attempts.push(Attempt { request, number: attempt, server, state, sent_at: None });
                }
                EngineAction::CloseAttempt { request, attempt } => {
                    let is_closed =
                        |other: &&mut Attempt| (other.request, other.number) == (request, attempt);
                    let closed = self
                        .attempts
                        .iter_mut()
                        .find(is_closed)
                        .expect("an attempt was closed and never started");
                    assert!(closed.state != AttemptState::Ended, "an attempt was closed after its end");
                    closed.state = AttemptState::Ended;
                }
                EngineAction::Respond { request, .. } => self.on_response(request),
                EngineAction::Forget { request } => {
                    let client_request = self.requests.get_mut(&request).unwrap();
                    assert!(
                        (client_request.responses == 1 || client_request.disconnected)
                            && !client_request.forgotten,
                        "a request was forgotten twice or before its end"
                    );
                    client_request.forgotten = true;
                }
                EngineAction::WatchServerList | EngineAction::FetchServerList | EngineAction::Log(_) => {}
                other => panic!("unexpected action: {other:?}"),
            }
        }
    }

    /// Lets time pass and checks that each request has had one response, unless its client has disconnected,
    /// and has been forgotten.
    fn finish(mut self) {
        self.advance_to(self.now + 3 * DEADLINE);
        for index in 0..self.attempts.len() {
            if self.attempts[index].state != AttemptState::Ended {
                self.end_attempt(index, Outcome::Reset);
                self.perform_actions();
            }
        }
        for (id, client_request) in &self.requests {
            assert!(
                client_request.disconnected || client_request.responses == 1,
                "request {id} has no response"
            );
            assert!(client_request.forgotten, "request {id} was not forgotten");
        }
    }
}

/// A harness that has performed these steps.
fn replay(cancel: bool, steps: &[Step]) -> Harness {
    let mut harness = Harness::new(cancel);
    for step in steps {
        harness.perform_step(*step);
    }
    harness
}

/// Checks `steps` and all its continuations, depth first. Returns the number of orders that were checked.
fn search(cancel: bool, depth: usize, steps: &mut Vec<Step>) -> usize {
    let harness = replay(cancel, steps);
    let next_steps = if steps.len() < depth { harness.possible_steps() } else { Vec::new() };
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| harness.finish()));
    assert!(result.is_ok(), "after {steps:?}");
    let mut checked = 1;
    for step in next_steps {
        steps.push(step);
        checked += search(cancel, depth, steps);
        steps.pop();
    }
    checked
}

#[test]
fn every_order_of_six_events_upholds_the_engines_guarantees() {
    let checked = search(true, 6, &mut Vec::new());
    assert!(checked > 20_000, "only {checked} orders were checked");
}

#[test]
fn every_order_of_six_events_upholds_the_guarantees_without_cancelling() {
    let checked = search(false, 6, &mut Vec::new());
    assert!(checked > 20_000, "only {checked} orders were checked");
}
