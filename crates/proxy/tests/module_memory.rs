//! The memory of the decision module does not grow with the number of requests. The module's stored form
//! contains all its state, so its size shows what it holds.

use violetseam::balancer::Balancer;
use violetseam::interface::*;

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// The interval between two requests: a client that insists sends thousands in a second.
const REQUEST_INTERVAL: Micros = 100;
/// The bound on the stored module, in bytes: several entries for each of the few hundred slots of its sums.
const MAX_STORED_BYTES: usize = 32_768;

/// Settings with one class, and rules under which servers start slowly.
fn settings() -> Settings {
    let class = RequestClass { deadline: SECOND, ..RequestClass::default() };
    let rules = ServiceRules {
        drain_grace: 2 * SECOND,
        poll_interval_max: 10 * SECOND,
        slow_start_floor: 0.3,
        slow_start_span: 4 * SECOND,
        overload_multiple: 3.0,
        overload_span: 3 * SECOND,
        ..ServiceRules::default()
    };
    Settings {
        classes: vec![class],
        limits: Limits { max_attempts: 1, ..Limits::default() },
        rules,
        fleet_size: 1,
        ..Settings::default()
    }
}

fn server(id: ServerId, status: ServerStatus) -> ServerEntry {
    ServerEntry { id, zone: 0, build: 1, cell: 0, status, size: 1.0, started_at: 0 }
}

/// A module under test and its clock.
struct Module {
    balancer: Balancer,
    now: Micros,
    last_request: RequestId,
}

impl Module {
    fn new(servers: &[ServerEntry]) -> Self {
        let mut module =
            Module { balancer: Balancer::new(settings(), 7), now: 100 * SECOND, last_request: 0 };
        module.feed(Event::ServerList { kind: ListKind::Full, entries: servers });
        module
    }

    fn feed(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.on_event(self.now, event, &mut actions);
        actions
    }

    fn stored_bytes(&self) -> usize {
        postcard::to_allocvec(&self.balancer).unwrap().len()
    }

    /// Feeds one request that waits for `wait`, and ends its attempt, if it has one, with this outcome.
    fn play_request(&mut self, wait: Micros, outcome: Outcome) {
        self.now += REQUEST_INTERVAL;
        self.last_request += 1;
        let id = self.last_request;
        let request = Request { id, deadline: self.now + wait, ..Request::default() };
        let mut actions = self.feed(Event::Request(request));
        if let Some(Action::Send { server, .. }) =
            actions.iter().find(|action| matches!(action, Action::Send { .. }))
        {
            let elapsed = 20 * MILLISECOND;
            let finishes_request = outcome == Outcome::Ok;
            let end =
                AttemptEnd { request: id, attempt: 0, server: *server, outcome, elapsed, finishes_request };
            actions = self.feed(Event::AttemptEnded(end));
        }
        if !actions.iter().any(|action| matches!(action, Action::Reject { .. } | Action::Fail { .. })) {
            self.feed(Event::ClientDisconnected { request: id });
        }
        if id.is_multiple_of(500) {
            self.feed(Event::Timer { token: 0 });
        }
    }
}

/// Guards against sums that keep an entry for each request while no server starts, because only the slow start
/// of a server reads them.
#[test]
fn requests_that_are_refused_at_once_leave_no_memory_behind() {
    let mut module = Module::new(&[server(1, ServerStatus::Draining)]);
    for _ in 0..100_000 {
        module.play_request(MILLISECOND, Outcome::Rejected);
    }
    assert!(module.stored_bytes() < MAX_STORED_BYTES, "{} bytes are held", module.stored_bytes());
}

/// Guards against the same growth, of each server's sum, by attempts that end well and by those that do not.
#[test]
fn attempts_at_warm_servers_leave_no_memory_behind() {
    for outcome in [Outcome::Ok, Outcome::Rejected, Outcome::NotSent, Outcome::Timeout] {
        let mut module = Module::new(&[server(1, ServerStatus::Ready), server(2, ServerStatus::Ready)]);
        for _ in 0..100_000 {
            module.play_request(SECOND, outcome);
        }
        let bytes = module.stored_bytes();
        assert!(bytes < MAX_STORED_BYTES, "{bytes} bytes are held after attempts that ended as {outcome:?}");
    }
}

/// Guards against growth of the sum of served work, which only maintenance reads, and only while half of the
/// servers are warm.
#[test]
fn answers_that_arrive_while_no_server_is_listed_leave_no_memory_behind() {
    let mut module = Module::new(&[server(1, ServerStatus::Ready)]);
    let mut sent = Vec::new();
    for id in 1..=50_000 {
        let request = Request { id, deadline: module.now + 60 * SECOND, ..Request::default() };
        let actions = module.feed(Event::Request(request));
        let starts = actions.iter().any(|action| matches!(action, Action::Send { .. }));
        sent.extend(starts.then_some(id));
    }
    module.feed(Event::ServerList { kind: ListKind::Full, entries: &[] });
    assert!(sent.len() > 1_000, "only {} requests were sent", sent.len());
    for request in sent {
        module.now += REQUEST_INTERVAL;
        let (server, elapsed) = (1, 20 * MILLISECOND);
        let outcome = Outcome::Ok;
        let end = AttemptEnd { request, attempt: 0, server, outcome, elapsed, finishes_request: true };
        module.feed(Event::AttemptEnded(end));
    }
    assert!(module.stored_bytes() < MAX_STORED_BYTES, "{} bytes are held", module.stored_bytes());
}
