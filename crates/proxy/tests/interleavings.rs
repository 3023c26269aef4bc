//! Every order of events, whole: up to six of them for one or two requests, against an oracle that shares no code with
//! the engine and knows only what its orders say and what the test let happen.

use std::collections::BTreeMap;
use violetseam::interface::*;
use violetseam_proxy::engine::{Engine, EngineAction};

const MS: Micros = 1_000;
const START: Micros = 1_000 * MS;
const DEADLINE: Micros = 1_000 * MS;
const GRACE: Micros = 20 * MS;
const WINDOW: Micros = 500 * MS;
const MOST: usize = 3;
/// Classes: may be repeated, never, within a window.
const EFFECTS: [Idempotency; 3] = [Idempotency::Idempotent, Idempotency::NonIdempotent, Idempotency::Keyed];

fn settings(cancel: bool) -> Settings {
    let class = |effect| RequestClass {
        latency_objective: 400 * MS,
        deadline: DEADLINE,
        idempotency: effect,
        dedup_window: WINDOW,
        ..RequestClass::default()
    };
    Settings {
        classes: EFFECTS.map(class).into(),
        limits: Limits { max_attempts: MOST, cancel, ..Limits::default() },
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

/// What can happen next. Attempts are named by their place in the oracle's list.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    /// A request of this class arrives.
    Arrive(usize),
    /// An attempt's connection comes up, and its request is written if it still may be.
    Up(usize),
    /// A connection that was coming up fails.
    NoConnection(usize),
    /// A written request is answered, or its connection breaks.
    Answered(usize),
    Broken(usize),
    /// A client leaves.
    Leaves(RequestId),
    /// All servers drain, and others are listed.
    Replaced,
    /// Half a window passes.
    Wait,
    /// What comes due next comes due.
    Due,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stand {
    Dialing,
    Written,
    Over,
}

#[derive(Debug)]
struct Try {
    request: RequestId,
    number: usize,
    server: ServerId,
    stand: Stand,
    /// When its request was written, if that may have had an effect.
    ran_at: Option<Micros>,
}

#[derive(Debug, Default)]
struct Asked {
    class: usize,
    deadline: Micros,
    gone: bool,
    finals: usize,
    forgotten: bool,
}

struct World {
    engine: Engine,
    now: Micros,
    generation: u64,
    tries: Vec<Try>,
    asked: BTreeMap<RequestId, Asked>,
}

impl World {
    fn new(cancel: bool) -> World {
        let engine = Engine::new(settings(cancel), 5, None);
        let mut world =
            World { engine, now: START, generation: 0, tries: Vec::new(), asked: BTreeMap::new() };
        world.list(ListKind::Cached);
        world
    }

    fn list(&mut self, kind: ListKind) {
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

    /// What can happen now, without what would be the same as something else.
    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.asked.len() < 2 {
            // The second's class differs, so that both orders of two are seen.
            let taken = self.asked.values().next().map(|a| a.class);
            steps.extend((0..EFFECTS.len()).filter(|c| Some(*c) != taken).map(Step::Arrive));
        }
        for (at, one) in self.tries.iter().enumerate() {
            match one.stand {
                Stand::Dialing => steps.extend([Step::Up(at), Step::NoConnection(at)]),
                Stand::Written => steps.extend([Step::Answered(at), Step::Broken(at)]),
                Stand::Over => {}
            }
        }
        let open = |a: &Asked| !a.gone && a.finals == 0;
        steps.extend(self.asked.iter().filter(|(_, a)| open(a)).map(|(id, _)| Step::Leaves(*id)));
        if !self.asked.is_empty() {
            steps.extend([Step::Replaced, Step::Wait, Step::Due]);
        }
        steps
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Arrive(class) => {
                let deadline = self.now + DEADLINE;
                let request = Request { deadline, class, ..Request::default() };
                let id = self.engine.on_request(self.now, request, true);
                assert!(self.asked.insert(id, Asked { class, deadline, ..Asked::default() }).is_none());
            }
            Step::Up(at) => {
                let (request, number) = (self.tries[at].request, self.tries[at].number);
                let may = self.engine.may_send(self.now, request, number);
                if may {
                    self.written(at);
                }
                // What may not leave has its connection closed.
                self.perform_actions();
                assert!(may || self.tries[at].stand == Stand::Over, "withheld and still open");
            }
            Step::NoConnection(at) => self.ended(at, Outcome::ConnectFailed),
            Step::Answered(at) => self.ended(at, Outcome::Ok),
            Step::Broken(at) => self.ended(at, Outcome::Reset),
            Step::Leaves(id) => {
                self.asked.get_mut(&id).unwrap().gone = true;
                self.engine.on_client_disconnected(self.now, id);
            }
            Step::Replaced => self.list(ListKind::Full),
            Step::Wait => self.pass(self.now + WINDOW / 2),
            Step::Due => self.pass(self.engine.next_deadline().unwrap_or(self.now)),
        }
        self.perform_actions();
    }

    /// Time passes up to then; what comes due on the way is played in its turn.
    fn pass(&mut self, until: Micros) {
        while let Some(due) = self.engine.next_deadline().filter(|due| *due <= until) {
            self.now = self.now.max(due);
            self.engine.run_deadlines(self.now);
            self.perform_actions();
        }
        self.now = self.now.max(until);
    }

    fn ended(&mut self, at: usize, outcome: Outcome) {
        self.tries[at].stand = Stand::Over;
        let (request, number) = (self.tries[at].request, self.tries[at].number);
        if self.engine.on_attempt_ended(self.now, request, number, outcome) {
            self.finished(request);
        }
    }

    fn finished(&mut self, request: RequestId) {
        let asked = self.asked.get_mut(&request).unwrap();
        asked.finals += 1;
        assert!(asked.finals == 1 && !asked.gone, "an answer too many, or to nobody");
        assert!(self.now <= asked.deadline + GRACE, "answered late");
    }

    /// Rules 2 and 3, as its last byte leaves.
    fn written(&mut self, at: usize) {
        let (request, server) = (self.tries[at].request, self.tries[at].server);
        assert!(self.is_listed(server), "written to a server that drains");
        let asked = &self.asked[&request];
        assert!(asked.finals == 0 && !asked.gone, "written for nobody");
        let earlier = |t: &&Try| t.request == request && t.ran_at.is_some();
        if let Some(first) = self.tries.iter().find(earlier) {
            match EFFECTS[asked.class] {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => panic!("written twice"),
                Idempotency::Keyed => {
                    assert!(self.now < first.ran_at.unwrap() + WINDOW, "written again after its window");
                }
            }
        }
        let out = |t: &Try| t.request == request && t.stand == Stand::Written;
        assert!(!self.tries.iter().any(out), "written beside one that is out");
        let this = &mut self.tries[at];
        (this.stand, this.ran_at) = (Stand::Written, Some(self.now));
    }

    fn perform_actions(&mut self) {
        while let Some(action) = self.engine.next_action() {
            match action {
                EngineAction::StartAttempt { request, attempt, server } => {
                    let asked = &self.asked[&request];
                    assert!(asked.finals == 0 && !asked.gone && !asked.forgotten, "started for nobody");
                    assert!(attempt < MOST, "too many attempts");
                    let of = |t: &&Try| t.request == request;
                    assert_eq!(self.tries.iter().filter(of).count(), attempt, "numbers in their order");
                    let dialing = Stand::Dialing;
                    self.tries.push(Try { request, number: attempt, server, stand: dialing, ran_at: None });
                }
                EngineAction::CloseAttempt { request, attempt } => {
                    let is = |t: &&mut Try| (t.request, t.number) == (request, attempt);
                    let one = self.tries.iter_mut().find(is).expect("dropped and never started");
                    assert!(one.stand != Stand::Over, "dropped and ended before");
                    one.stand = Stand::Over;
                }
                EngineAction::Respond { request, .. } => self.finished(request),
                EngineAction::Forget { request } => {
                    let asked = self.asked.get_mut(&request).unwrap();
                    assert!((asked.finals == 1 || asked.gone) && !asked.forgotten, "forgotten too soon");
                    asked.forgotten = true;
                }
                EngineAction::WatchServerList | EngineAction::FetchServerList | EngineAction::Log(_) => {}
                other => panic!("not asked for: {other:?}"),
            }
        }
    }

    /// Nothing more happens but time: each request has had its one answer, or its client had left.
    fn finish(mut self) {
        self.pass(self.now + 3 * DEADLINE);
        for at in 0..self.tries.len() {
            if self.tries[at].stand != Stand::Over {
                self.ended(at, Outcome::Reset);
                self.perform_actions();
            }
        }
        for (id, asked) in &self.asked {
            assert!(asked.gone || asked.finals == 1, "{id} has no answer");
            assert!(asked.forgotten, "{id} is still held");
        }
    }
}

fn play(cancel: bool, steps: &[Step]) -> World {
    let mut world = World::new(cancel);
    steps.iter().for_each(|step| world.take(*step));
    world
}

/// All continuations, depth first; how many orders were played to their end.
fn search(cancel: bool, depth: usize, steps: &mut Vec<Step>) -> usize {
    let world = play(cancel, steps);
    let next = if steps.len() < depth { world.steps() } else { Vec::new() };
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| world.finish()));
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
