//! Clients: an open loop of requests over kept connections, with deadlines, retries, early leaving and
//! reports of wrong answers.

use super::headers::{BUILD, CLASS, KEY, REQUEST, WORK, WRONG};
use super::{AddressPlan, NetworkError};
use crate::Clock;
use crate::model::RandomSource;
use crate::model::traffic::{ClientRequest, TrafficGenerator};
use crate::scenario::{Idempotency, Scenario};
use calloop::{EventLoop, Interest, LoopHandle, Readiness};
use http::StatusCode;
use rand::{RngExt, SeedableRng};
use slab::Slab;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use violetseam_event_io::{ReadOutcome, Socket, connect};
use violetseam_http1::Limits;
use violetseam_http1::client::{ClientConnection, ClientEvent};
use violetseam_invariants::{EventRecord, FinalResponse, ObservedEvent};

/// How long past its deadline a client still waits, so that a late answer is seen as late.
const PATIENCE: u64 = 400_000;

/// A request from its first try to its last.
#[derive(Clone, Debug)]
struct Op {
    wish: ClientRequest,
    tries: u32,
}

/// A connection to a proxy, with at most one try on it.
struct Conn {
    generation: u64,
    proxy: usize,
    socket: Socket,
    http: ClientConnection,
    work: Work,
    connected: bool,
}

enum Work {
    Idle,
    Try(Box<Try>),
    Flag,
}

struct Try {
    request: u64,
    op: usize,
    started: u64,
    deadline: u64,
    sent: bool,
    /// Status, outcome and flags of the answer's head.
    head: Option<Head>,
}

#[derive(Clone, Debug)]
struct Head {
    status: StatusCode,
    outcome: Option<FinalResponse>,
    build: u16,
    wrong: bool,
    id: Option<String>,
    come_back: u64,
}

#[derive(Clone, Debug)]
enum Later {
    Start(usize),
    GiveUp(usize, u64),
    Leave(usize, u64),
    Flag(usize, String),
}

/// Requests of one class by what became of them.
#[derive(Clone, Debug, Default)]
pub struct ClassCounts {
    /// Requests that clients made.
    pub requests: u64,
    /// Served correctly within the latency objective.
    pub in_time: u64,
    /// Served correctly, but later.
    pub late: u64,
    /// Served with a wrong answer.
    pub wrong: u64,
    /// Never served.
    pub unserved: u64,
    /// Priority weight of all requests.
    pub requested_weight: f64,
    /// Priority weight earned by responses.
    pub served_weight: f64,
}

/// Clients' attempts by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Served.
    pub served: u64,
    /// Rejected by the proxy.
    pub rejected: u64,
    /// Failed, as the proxy's response says.
    pub failed: u64,
    /// The connection broke before the response was complete.
    pub broken: u64,
    /// No connection to a proxy.
    pub unreachable: u64,
    /// The client disconnected before a response.
    pub disconnected: u64,
}

/// What the clients observed.
#[derive(Debug, Default)]
pub struct ClientReport {
    /// Records for the checker of the invariants.
    pub entries: Vec<EventRecord>,
    /// By class.
    pub classes: Vec<ClassCounts>,
    /// Attempts of all classes.
    pub attempts: AttemptCounts,
    /// Served responses by build.
    pub responses_by_build: BTreeMap<u16, u64>,
    /// Latencies of served attempts, in microseconds.
    pub latencies_us: Vec<u64>,
    /// Reports of wrong answers that a proxy accepted.
    pub accepted_reports: u64,
}

/// Counters that may be read while the clients run.
#[derive(Debug, Default)]
pub struct Progress {
    /// Requests that clients made.
    pub requests: AtomicU64,
    /// Requests served within the latency objective.
    pub in_time: AtomicU64,
    /// Rejected attempts.
    pub rejected: AtomicU64,
    /// Failed attempts.
    pub failed: AtomicU64,
}

/// All clients.
pub struct Clients {
    clock: Clock,
    scenario: Rc<Scenario>,
    net: AddressPlan,
    handle: LoopHandle<'static, Clients>,
    rng: RandomSource,
    traffic: std::iter::Peekable<TrafficGenerator>,
    ops: Slab<Op>,
    conns: Slab<Conn>,
    idle: HashMap<usize, Vec<usize>>,
    later: BTreeMap<(u64, u64), Later>,
    generation: u64,
    next_request: u64,
    entries: Vec<EventRecord>,
    report: ClientReport,
    /// Proxies noticed dead, until when.
    shunned: BTreeMap<usize, u64>,
    /// When each was first found dead.
    dead_since: BTreeMap<usize, u64>,
    progress: Arc<Progress>,
}

/// Runs the clients until the scenario is over and nothing is out any more, or until told to stop.
///
/// # Errors
/// Errors of setting up the event loop or its sockets.
pub fn run(
    scenario: &Scenario,
    net: AddressPlan,
    clock: Clock,
    begin: u64,
    stop: &Arc<AtomicBool>,
    progress: Arc<Progress>,
) -> Result<ClientReport, NetworkError> {
    let mut event_loop: EventLoop<'static, Clients> =
        EventLoop::try_new().map_err(NetworkError::EventLoop)?;
    let mut clients = Clients {
        clock,
        net,
        handle: event_loop.handle(),
        rng: RandomSource::seed_from_u64(scenario.seed ^ 0xc1e7),
        traffic: TrafficGenerator::new(scenario).peekable(),
        ops: Slab::new(),
        conns: Slab::new(),
        idle: HashMap::new(),
        later: BTreeMap::new(),
        generation: 0,
        next_request: 0,
        entries: Vec::new(),
        report: ClientReport {
            classes: vec![ClassCounts::default(); scenario.classes.len()],
            ..ClientReport::default()
        },
        shunned: BTreeMap::new(),
        dead_since: BTreeMap::new(),
        progress,
        scenario: Rc::new(scenario.clone()),
    };
    loop {
        let now = clock.now();
        let due = clients.due(begin).unwrap_or(now + 50_000);
        let wait = Duration::from_micros(due.saturating_sub(now).min(50_000));
        event_loop.dispatch(wait, &mut clients).map_err(NetworkError::EventLoop)?;
        clients.advance(begin);
        if clients.is_over() || stop.load(Ordering::Relaxed) {
            return Ok(ClientReport { entries: clients.entries, ..clients.report });
        }
    }
}

impl Clients {
    fn see(&mut self, event: ObservedEvent) {
        let at = self.clock.now();
        self.entries.push(EventRecord { at, event });
    }

    fn due(&mut self, begin: u64) -> Option<u64> {
        let arrival = self.traffic.peek().map(|w| w.at + begin);
        arrival.into_iter().chain(self.later.keys().next().map(|k| k.0)).min()
    }

    fn is_over(&mut self) -> bool {
        self.traffic.peek().is_none() && self.ops.is_empty() && self.later.is_empty()
    }

    fn at(&mut self, at: u64, what: Later) {
        self.generation += 1;
        self.later.insert((at, self.generation), what);
    }

    fn advance(&mut self, begin: u64) {
        let now = self.clock.now();
        while let Some(wish) = self.traffic.next_if(|w| w.at + begin <= now) {
            let class = &self.scenario.classes[wish.class];
            let tally = &mut self.report.classes[wish.class];
            tally.requests += 1;
            tally.requested_weight += class.priority_weight;
            self.progress.requests.fetch_add(1, Ordering::Relaxed);
            let op = self.ops.insert(Op { wish: ClientRequest { at: wish.at + begin, ..wish }, tries: 0 });
            self.start(op);
        }
        while let Some((&at, _)) = self.later.first_key_value().filter(|(k, _)| k.0 <= now) {
            match self.later.remove(&at) {
                Some(Later::Start(op)) => self.start(op),
                Some(Later::GiveUp(key, generation)) => self.give_up(key, generation, false),
                Some(Later::Leave(key, generation)) => self.give_up(key, generation, true),
                Some(Later::Flag(proxy, id)) => self.flag(proxy, &id),
                None => {}
            }
        }
    }

    /// The proxy of a try. A plain front spreads over those not known to be dead.
    fn choose(&mut self) -> usize {
        let now = self.clock.now();
        self.shunned.retain(|_, until| *until > now);
        let weights: Vec<f64> = self
            .scenario
            .proxies
            .iter()
            .enumerate()
            .map(|(n, p)| match (self.shunned.contains_key(&n), self.scenario.clients.own_proxy) {
                (true, _) => 0.0,
                (false, true) => p.weight,
                (false, false) => 1.0,
            })
            .collect();
        let total: f64 = weights.iter().sum();
        if total <= 0.0 {
            return self.rng.random_range(0..weights.len());
        }
        let mut left = self.rng.random::<f64>() * total;
        for (n, w) in weights.iter().enumerate() {
            left -= w;
            if left < 0.0 {
                return n;
            }
        }
        weights.len() - 1
    }

    fn start(&mut self, op: usize) {
        let now = self.clock.now();
        let Some(o) = self.ops.get_mut(op) else { return };
        let class = self.scenario.classes[o.wish.class].clone();
        let ends = o.wish.at + class.deadline;
        if now + 20_000 >= ends {
            return self.over(op, None);
        }
        o.tries += 1;
        let patience = (class.deadline as f64 * self.scenario.clients.attempt_timeout_share) as u64;
        let deadline = ends.min(now + patience.max(50_000));
        let proxy = self.choose();
        self.next_request += 1;
        let request = self.next_request;
        let work = Work::Try(Box::new(Try { request, op, started: now, deadline, sent: false, head: None }));
        let idle = self.idle.get_mut(&proxy).and_then(Vec::pop);
        match idle {
            Some(key) => {
                self.conns[key].work = work;
                self.send(key);
            }
            None => {
                let to = self.net.proxy(proxy);
                let Ok(stream) = connect(to) else { return self.unreachable(op, proxy) };
                self.generation += 1;
                let generation = self.generation;
                let entry = self.conns.vacant_entry();
                let key = entry.key();
                let on_ready = move |readiness: Readiness, c: &mut Clients| c.on_ready(key, readiness);
                let Ok(socket) = Socket::register(&self.handle, stream, Interest::BOTH, on_ready) else {
                    return self.unreachable(op, proxy);
                };
                let http = ClientConnection::new(Limits::default());
                entry.insert(Conn { generation, proxy, socket, http, work, connected: false });
                self.at(deadline + PATIENCE, Later::GiveUp(key, generation));
            }
        }
    }

    /// Writes the try's request on a connection that is up.
    fn send(&mut self, key: usize) {
        let now = self.clock.now();
        let generation = self.conns[key].generation;
        let conn = &mut self.conns[key];
        let Work::Try(t) = &mut conn.work else { return };
        let (op, deadline, request) = (&self.ops[t.op], t.deadline, t.request);
        t.sent = true;
        let (wish, retried) = (op.wish, op.tries > 1);
        let class = &self.scenario.classes[wish.class];
        let method = if class.idempotency == Idempotency::Idempotent { "GET" } else { "POST" };
        let tenant = self.scenario.tenants.get(wish.tenant).map_or("", |t| t.0.as_str());
        let left = deadline.saturating_sub(now) / 1_000;
        let mut text = format!(
            "{method} /c{}/{} HTTP/1.1\r\nhost: lab\r\n{REQUEST}: {request}\r\n{CLASS}: {}\r\n{WORK}: {}\r\n\
             x-tenant: {tenant}\r\nrequest-timeout-ms: {left}\r\n",
            wish.class, wish.key, wish.class, wish.work
        );
        if wish.key != 0 {
            text += &format!("{KEY}: {}\r\n", wish.key);
        }
        if let Some(hint) = wish.cost_hint {
            text += &format!("x-cost-us: {hint}\r\n");
        }
        if retried {
            text += "x-retry: 1\r\n";
        }
        text += if method == "POST" { "content-length: 4\r\n\r\nwork" } else { "\r\n" };
        conn.socket.write_buffer().extend_from_slice(text.as_bytes());
        conn.http.expect_response(false);
        // The deadline as told: what the milliseconds cut off is not the proxy's to lose.
        let (proxy, class_index) = (conn.proxy as u32, wish.class);
        self.see(ObservedEvent::RequestSent {
            request,
            proxy,
            class: class_index,
            deadline: now + left * 1_000,
        });
        self.at(deadline + PATIENCE, Later::GiveUp(key, generation));
        if self.rng.random::<f64>() < self.scenario.clients.disconnect_share {
            let at = now + (self.rng.random::<f64>() * (deadline - now) as f64 * 0.8) as u64;
            self.at(at, Later::Leave(key, generation));
        }
        self.flush(key);
    }

    fn flush(&mut self, key: usize) {
        let Some(conn) = self.conns.get_mut(key) else { return };
        if conn.socket.flush().is_err() {
            return self.lost(key);
        }
        conn.socket.set_read_interest(&self.handle, true);
    }

    fn on_ready(&mut self, key: usize, readiness: Readiness) {
        let Some(conn) = self.conns.get_mut(key) else { return };
        if !conn.connected {
            if conn.socket.connect_error().is_some() {
                return self.lost(key);
            }
            if !readiness.writable {
                return;
            }
            conn.connected = true;
            self.dead_since.remove(&conn.proxy);
            let conn = &mut self.conns[key];
            match &conn.work {
                Work::Try(_) => self.send(key),
                Work::Flag => self.flush(key),
                Work::Idle => {}
            }
            return;
        }
        if readiness.writable {
            self.flush(key);
        }
        if readiness.readable || readiness.error {
            self.read(key);
        }
    }

    fn read(&mut self, key: usize) {
        let mut bytes = [0; 16 * 1024];
        let Some(conn) = self.conns.get_mut(key) else { return };
        match conn.socket.read(&mut bytes) {
            ReadOutcome::Bytes(n) => {
                if matches!(conn.work, Work::Idle) {
                    let proxy = conn.proxy as u32;
                    self.see(ObservedEvent::UnexpectedBytes { proxy });
                    return self.close(key);
                }
                conn.http.feed(&bytes[..n]);
                self.events(key);
            }
            ReadOutcome::WouldBlock => {}
            ReadOutcome::Closed | ReadOutcome::Failed => self.lost(key),
        }
    }

    fn events(&mut self, key: usize) {
        while let Some(conn) = self.conns.get_mut(key) {
            match conn.http.next_event() {
                None => return,
                Some(ClientEvent::Head(head)) => {
                    let text = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
                    let outcome = match text("violetseam-answer") {
                        Some("served") => Some(FinalResponse::Served),
                        Some("refused") => Some(FinalResponse::Rejected),
                        Some("failed") => Some(FinalResponse::Failed),
                        _ => None,
                    };
                    let read = Head {
                        status: head.status,
                        outcome,
                        build: text(BUILD).and_then(|b| b.parse().ok()).unwrap_or(0),
                        wrong: text(WRONG).is_some(),
                        id: text("answer-id").map(str::to_owned),
                        come_back: text("retry-after").and_then(|s| s.parse().ok()).unwrap_or(0),
                    };
                    if let Work::Try(t) = &mut conn.work {
                        t.head = Some(read);
                    } else {
                        self.report.accepted_reports += u64::from(read.status == StatusCode::ACCEPTED);
                    }
                }
                Some(ClientEvent::Body(_)) => {}
                Some(ClientEvent::End { reusable }) => {
                    self.complete(key, reusable);
                    return;
                }
                Some(ClientEvent::Error(_)) => return self.lost(key),
            }
        }
    }

    /// An answer has come whole.
    fn complete(&mut self, key: usize, reusable: bool) {
        let conn = &mut self.conns[key];
        let work = std::mem::replace(&mut conn.work, Work::Idle);
        let (proxy, surplus) = (conn.proxy, conn.http.buffered_bytes() > 0);
        // Its time-outs are of the try before: a new generation makes them void.
        self.generation += 1;
        self.conns[key].generation = self.generation;
        if surplus {
            self.see(ObservedEvent::UnexpectedBytes { proxy: proxy as u32 });
        }
        if reusable {
            self.idle.entry(proxy).or_default().push(key);
        } else {
            self.close(key);
        }
        if let Work::Try(t) = work
            && let Some(head) = t.head.clone()
        {
            self.answered(proxy, &t, &head);
        }
    }

    fn answered(&mut self, proxy: usize, t: &Try, head: &Head) {
        let now = self.clock.now();
        // An answer of the proxy's own that is neither refused nor failed: a fault of the request.
        let answer = head.outcome.unwrap_or(FinalResponse::Failed);
        self.see(ObservedEvent::ResponseReceived { request: t.request, response: answer });
        if answer == FinalResponse::Served {
            self.report.attempts.served += 1;
            *self.report.responses_by_build.entry(head.build).or_default() += 1;
            self.report.latencies_us.push(now - t.started);
            let flags = self.scenario.rollout.clone();
            let chance = if head.wrong { flags.report_share } else { flags.false_report_share };
            if let Some(id) = head.id.clone().filter(|_| self.rng.random::<f64>() < chance) {
                self.at(now + flags.report_delay, Later::Flag(proxy, id));
            }
            return self.over(t.op, Some((now, head.wrong)));
        }
        let refused = answer == FinalResponse::Rejected;
        if refused {
            self.report.attempts.rejected += 1;
            self.progress.rejected.fetch_add(1, Ordering::Relaxed);
        } else {
            self.report.attempts.failed += 1;
            self.progress.failed.fetch_add(1, Ordering::Relaxed);
        }
        let advised = refused && self.rng.random::<f64>() < self.scenario.clients.retry_after_compliance;
        let advice = if advised { head.come_back * 1_000_000 } else { 0 };
        self.again(t.op, refused, advice);
    }

    /// After a try that was not served: another one, where its class allows.
    fn again(&mut self, op: usize, harmless: bool, advice: u64) {
        let now = self.clock.now();
        let Some(o) = self.ops.get(op) else { return };
        let class = &self.scenario.classes[o.wish.class];
        let keyed = class.idempotency == Idempotency::KeyedAll && now < o.wish.at + class.dedup_window;
        let allowed = harmless || class.idempotency == Idempotency::Idempotent || keyed;
        if allowed && o.tries <= self.scenario.clients.retries {
            let wait = self.scenario.clients.backoff.max(advice);
            self.at(now + wait, Later::Start(op));
        } else {
            self.over(op, None);
        }
    }

    /// The request is over: served at a moment, rightly or not, or not at all.
    fn over(&mut self, op: usize, served: Option<(u64, bool)>) {
        let Some(o) = self.ops.try_remove(op) else { return };
        let class = &self.scenario.classes[o.wish.class];
        let tally = &mut self.report.classes[o.wish.class];
        match served {
            Some((_, true)) => tally.wrong += 1,
            Some((at, false)) if at <= o.wish.at + class.latency_objective => {
                tally.in_time += 1;
                tally.served_weight += class.priority_weight;
                self.progress.in_time.fetch_add(1, Ordering::Relaxed);
            }
            Some(_) => {
                tally.late += 1;
                tally.served_weight += class.priority_weight * class.late_weight;
            }
            None => tally.unserved += 1,
        }
    }

    /// No connection: clients notice after a while and stay away from that proxy.
    fn unreachable(&mut self, op: usize, proxy: usize) {
        let now = self.clock.now();
        self.report.attempts.unreachable += 1;
        let since = *self.dead_since.entry(proxy).or_insert(now);
        if now >= since + self.scenario.clients.dead_proxy_detection {
            self.shunned.insert(proxy, now + 500_000);
        }
        self.again(op, true, 0);
    }

    /// The connection is gone.
    fn lost(&mut self, key: usize) {
        let Some(conn) = self.conns.get_mut(key) else { return };
        let (proxy, connected) = (conn.proxy, conn.connected);
        // An answer that ends with the connection is whole now.
        if let Some(ClientEvent::End { .. }) = conn.http.close() {
            return self.complete(key, false);
        }
        let work = std::mem::replace(&mut conn.work, Work::Idle);
        self.close(key);
        let Work::Try(t) = work else { return };
        if !connected || !t.sent {
            return self.unreachable(t.op, proxy);
        }
        self.see(ObservedEvent::ResponseReceived {
            request: t.request,
            response: FinalResponse::ConnectionClosed,
        });
        self.report.attempts.broken += 1;
        self.again(t.op, false, 0);
    }

    fn close(&mut self, key: usize) {
        let conn = self.conns.remove(key);
        conn.socket.remove(&self.handle);
        if let Some(idle) = self.idle.get_mut(&conn.proxy) {
            idle.retain(|k| *k != key);
        }
    }

    /// The client closes without an answer: early of its own will, or long past its deadline.
    fn give_up(&mut self, key: usize, generation: u64, early: bool) {
        let Some(conn) = self.conns.get_mut(key).filter(|c| c.generation == generation) else { return };
        let work = std::mem::replace(&mut conn.work, Work::Idle);
        let proxy = conn.proxy;
        self.close(key);
        let Work::Try(t) = work else { return };
        if !t.sent {
            return self.unreachable(t.op, proxy);
        }
        self.see(ObservedEvent::ClientDisconnected { request: t.request });
        self.report.attempts.disconnected += 1;
        if early {
            self.over(t.op, None);
        } else {
            self.again(t.op, false, 0);
        }
    }

    /// Reports an answer wrong to the proxy that passed it on.
    fn flag(&mut self, proxy: usize, id: &str) {
        let Ok(stream) = connect(self.net.proxy(proxy)) else { return };
        self.generation += 1;
        let generation = self.generation;
        let entry = self.conns.vacant_entry();
        let key = entry.key();
        let on_ready = move |readiness: Readiness, c: &mut Clients| c.on_ready(key, readiness);
        let Ok(mut socket) = Socket::register(&self.handle, stream, Interest::BOTH, on_ready) else { return };
        let body = format!("{{\"answer\":\"{id}\"}}");
        let text = format!(
            "POST /.well-known/wrong-answer HTTP/1.1\r\nhost: lab\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        socket.write_buffer().extend_from_slice(text.as_bytes());
        let mut http = ClientConnection::new(Limits::default());
        http.expect_response(false);
        entry.insert(Conn { generation, proxy, socket, http, work: Work::Flag, connected: false });
        self.at(self.clock.now() + 1_000_000, Later::GiveUp(key, generation));
    }
}
