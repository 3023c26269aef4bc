//! Simulated clients. They send an open-loop load over persistent connections, with deadlines, retries, early
//! disconnects and reports of wrong answers.

mod connection;
mod report;
mod requests;

pub use report::{AttemptCounts, ClassCounts, ClientReport, Progress};

use super::{AddressPlan, NetworkError};
use crate::Clock;
use crate::model::RandomSource;
use crate::model::traffic::{ClientRequest, TrafficGenerator};
use crate::scenario::Scenario;
use calloop::{EventLoop, LoopHandle};
use connection::{Connection, ConnectionId, DisconnectReason};
use rand::SeedableRng;
use requests::PendingRequest;
use slab::Slab;
use std::collections::{BTreeMap, HashMap};
use std::iter::Peekable;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use violetseam_invariants::{EventRecord, ObservedEvent};

/// The longest time that the event loop waits for events, in microseconds.
const MAX_WAIT_US: u64 = 50_000;
/// Combined with the scenario's seed, so that the clients' random draws differ from those of the traffic.
const SEED_MASK: u64 = 0xc1e7;

/// What is done when a timer expires.
#[derive(Clone, Debug)]
enum TimerKind {
    /// Starts the next attempt of a request.
    StartAttempt { request: usize },
    /// Ends an exchange that has taken too long.
    Timeout(ConnectionId),
    /// The client disconnects early.
    Disconnect(ConnectionId),
    /// Reports an answer as wrong.
    ReportWrongAnswer { proxy: usize, answer_id: String },
}

/// The state of all clients of a run.
pub struct Clients {
    clock: Clock,
    scenario: Rc<Scenario>,
    addresses: AddressPlan,
    handle: LoopHandle<'static, Clients>,
    random: RandomSource,
    traffic: Peekable<TrafficGenerator>,
    /// The time at which the scenario starts, in microseconds on `clock`.
    scenario_start: u64,
    requests: Slab<PendingRequest>,
    connections: Slab<Connection>,
    /// The keys of the idle connections, by proxy.
    idle_connections: HashMap<usize, Vec<usize>>,
    /// Timers by the time at which they expire and by the order in which they were scheduled.
    timers: BTreeMap<(u64, u64), TimerKind>,
    sequence: u64,
    last_attempt: u64,
    report: ClientReport,
    /// For each proxy that is known to be unreachable, the time until which clients avoid it.
    avoided_until: BTreeMap<usize, u64>,
    /// For each proxy that cannot be reached, the time of the first attempt that failed to reach it.
    unreachable_since: BTreeMap<usize, u64>,
    progress: Arc<Progress>,
}

/// Runs the clients until all traffic of the scenario has been sent and neither a request nor a timer is
/// pending, or until `stop` is set. The scenario starts at `scenario_start`, in microseconds on `clock`.
///
/// # Errors
/// Returns [`NetworkError::EventLoop`] if the event loop cannot be created, or if waiting for events fails.
pub fn run(
    scenario: &Scenario,
    addresses: AddressPlan,
    clock: Clock,
    scenario_start: u64,
    stop: &AtomicBool,
    progress: Arc<Progress>,
) -> Result<ClientReport, NetworkError> {
    let mut event_loop: EventLoop<'static, Clients> =
        EventLoop::try_new().map_err(NetworkError::EventLoop)?;
    let handle = event_loop.handle();
    let mut clients = Clients::new(scenario, addresses, clock, scenario_start, handle, progress);
    loop {
        let wait = clients.time_to_next_event().min(MAX_WAIT_US);
        event_loop.dispatch(Duration::from_micros(wait), &mut clients).map_err(NetworkError::EventLoop)?;
        clients.advance();
        if clients.is_finished() || stop.load(Ordering::Relaxed) {
            return Ok(clients.report);
        }
    }
}

impl Clients {
    fn new(
        scenario: &Scenario,
        addresses: AddressPlan,
        clock: Clock,
        scenario_start: u64,
        handle: LoopHandle<'static, Clients>,
        progress: Arc<Progress>,
    ) -> Clients {
        Clients {
            clock,
            addresses,
            handle,
            random: RandomSource::seed_from_u64(scenario.seed ^ SEED_MASK),
            traffic: TrafficGenerator::new(scenario).peekable(),
            scenario_start,
            requests: Slab::new(),
            connections: Slab::new(),
            idle_connections: HashMap::new(),
            timers: BTreeMap::new(),
            sequence: 0,
            last_attempt: 0,
            report: ClientReport {
                classes: vec![ClassCounts::default(); scenario.classes.len()],
                ..ClientReport::default()
            },
            avoided_until: BTreeMap::new(),
            unreachable_since: BTreeMap::new(),
            progress,
            scenario: Rc::new(scenario.clone()),
        }
    }

    /// Records an event for the checker of the invariants.
    fn record(&mut self, event: ObservedEvent) {
        let at = self.clock.now();
        self.report.entries.push(EventRecord { at, event });
    }

    /// Returns a number that is larger than all numbers it returned before.
    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    fn schedule(&mut self, at: u64, timer: TimerKind) {
        let sequence = self.next_sequence();
        self.timers.insert((at, sequence), timer);
    }

    fn next_timer(&self) -> Option<u64> {
        self.timers.keys().next().map(|key| key.0)
    }

    fn time_to_next_event(&mut self) -> u64 {
        let now = self.clock.now();
        let next_arrival = self.traffic.peek().map(|request| request.at + self.scenario_start);
        let next_event = next_arrival.into_iter().chain(self.next_timer()).min();
        next_event.map_or(MAX_WAIT_US, |at| at.saturating_sub(now))
    }

    fn is_finished(&mut self) -> bool {
        self.traffic.peek().is_none() && self.requests.is_empty() && self.timers.is_empty()
    }

    /// Sends the requests and runs the timers that are due.
    fn advance(&mut self) {
        let now = self.clock.now();
        let scenario_start = self.scenario_start;
        while let Some(request) = self.traffic.next_if(|request| request.at + scenario_start <= now) {
            self.on_arrival(ClientRequest { at: request.at + scenario_start, ..request });
        }
        while self.next_timer().is_some_and(|at| at <= now) {
            if let Some((_, timer)) = self.timers.pop_first() {
                self.on_timer(timer);
            }
        }
    }

    fn on_timer(&mut self, timer: TimerKind) {
        match timer {
            TimerKind::StartAttempt { request } => self.start_attempt(request),
            TimerKind::Timeout(connection) => self.disconnect(connection, DisconnectReason::Timeout),
            TimerKind::Disconnect(connection) => self.disconnect(connection, DisconnectReason::Early),
            TimerKind::ReportWrongAnswer { proxy, answer_id } => {
                self.report_wrong_answer(proxy, &answer_id);
            }
        }
    }
}
