//! A soak test: 24 proxy processes run under random, overlapping faults, and the invariants are checked on
//! what their clients, servers and discovery service recorded.
//!
//! Every third seed has a crowd of bad clients at some proxies.
//!
//! `VIOLETSEAM_SOAK_SEEDS="1 2 3"` and `VIOLETSEAM_SOAK_SECONDS=60` choose other seeds and a longer run.

#[path = "../common/mod.rs"]
mod common;

mod clients;
mod crowd;
mod discovery;
mod draw;
mod fleet;
mod judge;
mod servers;

use clients::{ClientLog, Outcome, RequestRecord, run_client};
use common::services::{pipeline, release_status};
use crowd::run_crowd;
use discovery::{Behaviour, Discovery, FAULTY_BEHAVIOURS, Phase};
use draw::Rng;
use fleet::ProxySlot;
use judge::{Crash, DrainBounds, Observations, check_invariants};
use rustix::process::Signal;
use servers::{Arrival, FAULTY_SERVER_BEHAVIOURS, ServerBehaviour, Servers};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const PROXIES: usize = 24;
const SERVERS: usize = 8;
const CLIENTS: u64 = 2;
/// The lowest number of servers that are up at any time while faults are injected.
const MIN_SERVERS_UP: usize = 3;
const DEFAULT_SECONDS: u64 = 12;
const DEFAULT_SEEDS: &str = "1 2 3";
/// How many proxies are held up at once, as on a machine that they share.
const PAUSED_AT_ONCE: usize = 8;
/// Every run whose seed is a multiple of this has a crowd, at the first proxies.
const CROWD_SEEDS: u64 = 3;
const CROWDED_PROXIES: usize = 2;
/// How many threads of bad clients there are at each of them.
const CROWD_MEMBERS: u64 = 4;
/// The descriptors of these proxies and of all others.
const MOST_DESCRIPTORS: usize = 1024;
const FEWEST_DESCRIPTORS: usize = 256;
/// Signals that may follow SIGTERM in a series.
const FURTHER_SIGNALS: [&[Signal]; 4] = [
    &[],
    &[Signal::TERM],
    &[Signal::HUP, Signal::TERM],
    &[Signal::HUP, Signal::HUP, Signal::TERM, Signal::INT],
];
const DRAIN_BOUNDS: DrainBounds =
    DrainBounds { ask_within: Duration::from_millis(1_500), drain_grace: Duration::from_millis(700) };
/// How many of the last requests of a proxy are reported that does not serve again.
const REPORTED_REQUESTS: usize = 6;
/// Every proxy must serve again within this time after the last fault.
const RECOVERY: Duration = Duration::from_secs(20);

#[test]
fn overlapping_faults_violate_no_invariant() {
    let seeds = std::env::var("VIOLETSEAM_SOAK_SEEDS").unwrap_or_else(|_| DEFAULT_SEEDS.into());
    let seconds =
        std::env::var("VIOLETSEAM_SOAK_SECONDS").map_or(DEFAULT_SECONDS, |text| text.parse().unwrap());
    let mut violations = Vec::new();
    for seed in seeds.split_whitespace().map(|seed| seed.parse().unwrap()) {
        let found = run_seed(seed, Duration::from_secs(seconds));
        violations.extend(found.into_iter().map(|what| format!("seed {seed}: {what}")));
    }
    assert!(
        violations.is_empty(),
        "{} violations:\n{}",
        violations.len(),
        violations[..violations.len().min(20)].join("\n")
    );
}

/// Records made while the test runs.
#[derive(Default)]
struct RunLog {
    clients: ClientLog,
    crashes: Mutex<Vec<Crash>>,
    shutdowns: Mutex<Vec<Crash>>,
    reloads: Mutex<Vec<Crash>>,
    failures: Mutex<Vec<String>>,
}

impl RunLog {
    /// Restarts a process and records when, and what went wrong.
    fn restart(&self, slot: &ProxySlot, known: &str, further_signals: &[Signal]) {
        let shutdown = Crash { proxy: slot.number(), at: Instant::now() };
        self.shutdowns.lock().unwrap().push(shutdown);
        let failure = slot.restart(known, further_signals);
        self.failures.lock().unwrap().extend(failure);
    }
}

fn run_seed(seed: u64, span: Duration) -> Vec<String> {
    let servers = Servers::new(SERVERS);
    let addresses = (0..SERVERS).map(|server| servers.address(server)).collect();
    let discovery = Discovery::new(addresses, PROXIES);
    let release_service = pipeline(release_status(7, 2, "stable", 1.0));
    let slot = |number| {
        let descriptors = if number < CROWDED_PROXIES { MOST_DESCRIPTORS } else { FEWEST_DESCRIPTORS };
        ProxySlot::new(number, &discovery, release_service.addr, DRAIN_BOUNDS, seed, descriptors)
    };
    let slots: Vec<ProxySlot> = (0..PROXIES).map(slot).collect();
    let (run_log, stop) = (RunLog::default(), AtomicBool::new(false));
    let crowd_stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for (proxy, slot) in slots.iter().enumerate() {
            for number in 0..CLIENTS {
                let (stop, client_log) = (&stop, &run_log.clients);
                scope.spawn(move || run_client(proxy, number, slot.addr, seed, stop, client_log));
            }
        }
        if seed.is_multiple_of(CROWD_SEEDS) {
            for (proxy, slot) in slots[..CROWDED_PROXIES].iter().enumerate() {
                for member in 0..CROWD_MEMBERS {
                    let crowd_stop = &crowd_stop;
                    scope.spawn(move || run_crowd(proxy, member, slot.addr, seed, crowd_stop));
                }
            }
        }
        std::thread::scope(|scope| inject_faults(scope, seed, span, &slots, &servers, &discovery, &run_log));
        crowd_stop.store(true, Ordering::Relaxed);
        run_log.failures.lock().unwrap().extend(slots.iter().filter_map(ProxySlot::check_memory));
        end_faults_and_await_recovery(&slots, &servers, &discovery, &run_log);
        stop.store(true, Ordering::Relaxed);
    });
    let ended: Vec<String> = std::thread::scope(|scope| {
        let ends: Vec<_> = slots.iter().map(|slot| scope.spawn(|| slot.end())).collect();
        ends.into_iter().filter_map(|end| end.join().unwrap()).collect()
    });
    let requests = run_log.clients.requests.into_inner().unwrap();
    let arrivals = servers.arrivals();
    report(seed, &requests, &arrivals);
    let crashes = run_log.crashes.into_inner().unwrap();
    let observations = Observations {
        requests,
        replays: run_log.clients.replays.into_inner().unwrap(),
        shutdowns: run_log.shutdowns.into_inner().unwrap(),
        reloads: run_log.reloads.into_inner().unwrap(),
        arrivals,
        out_of_service: discovery.out_of_service(),
        crashes,
    };
    let mut violations = check_invariants(&observations, DRAIN_BOUNDS);
    violations.extend(run_log.failures.into_inner().unwrap());
    violations.extend(ended);
    violations
}

/// Injects one random fault after another; many last while the next ones begin.
fn inject_faults<'scope, 'env>(
    scope: &'scope std::thread::Scope<'scope, 'env>,
    seed: u64,
    span: Duration,
    slots: &'env [ProxySlot],
    servers: &'env Servers,
    discovery: &'env Discovery,
    run_log: &'env RunLog,
) {
    let mut rng = Rng::new(seed, 0);
    let until = Instant::now() + span;
    while Instant::now() < until {
        std::thread::sleep(rng.ms(20, 120));
        let slot = rng.pick(slots);
        match rng.below(16) {
            0..=2 => {
                // The list that a process starts with may be up to a second old.
                let (known, wait) = (discovery.list_json(), rng.ms(0, 1_000));
                let further_signals = *rng.pick(&FURTHER_SIGNALS);
                scope.spawn(move || {
                    std::thread::sleep(wait);
                    run_log.restart(slot, &known, further_signals);
                });
            }
            3 => {
                let (downtime, times, interval) = (rng.ms(0, 600), rng.below(4), rng.ms(100, 700));
                scope.spawn(move || {
                    run_log.crashes.lock().unwrap().extend(slot.crash(downtime));
                    let series = slot.crash_in_series(times, interval);
                    run_log.crashes.lock().unwrap().extend(series);
                });
            }
            4..=6 => hold_up_several(scope, &mut rng, slots),
            7 => {
                let (times, interval) = (1 + rng.below(3), rng.ms(5, 400));
                scope.spawn(move || run_log.reloads.lock().unwrap().extend(slot.reload(times, interval)));
            }
            8..=9 => {
                let (behaviour, lasts) = (*rng.pick(&FAULTY_BEHAVIOURS), rng.ms(200, 3_000));
                scope.spawn(move || {
                    discovery.set(behaviour);
                    std::thread::sleep(lasts);
                    discovery.set(Behaviour::Healthy);
                });
            }
            10..=12 => {
                let server = rng.below(SERVERS as u64) as usize;
                let phase = match discovery.phase(server) {
                    Phase::Up if discovery.up() > MIN_SERVERS_UP => Phase::Draining,
                    Phase::Up => Phase::Up,
                    Phase::Draining => Phase::Gone,
                    Phase::Gone => Phase::Up,
                };
                discovery.set_phase(server, phase);
            }
            _ => {
                let server = rng.below(SERVERS as u64) as usize;
                let (behaviour, lasts) = (*rng.pick(&FAULTY_SERVER_BEHAVIOURS), rng.ms(100, 6_000));
                scope.spawn(move || {
                    servers.set(server, behaviour);
                    std::thread::sleep(lasts);
                    servers.set(server, ServerBehaviour::Healthy);
                });
            }
        }
    }
}

/// Stops several processes for a moment each.
fn hold_up_several<'scope, 'env>(
    scope: &'scope std::thread::Scope<'scope, 'env>,
    rng: &mut Rng,
    slots: &'env [ProxySlot],
) {
    let first = rng.below(PROXIES as u64) as usize;
    for number in first..first + PAUSED_AT_ONCE {
        let (slot, pause) = (&slots[number % PROXIES], rng.ms(20, 150).max(rng.ms(20, 150)));
        scope.spawn(move || slot.pause(pause));
    }
}

/// Ends all faults and waits until every proxy serves again.
fn end_faults_and_await_recovery(
    slots: &[ProxySlot],
    servers: &Servers,
    discovery: &Discovery,
    run_log: &RunLog,
) {
    servers.set_all_healthy();
    discovery.set(Behaviour::Healthy);
    (0..SERVERS).for_each(|server| discovery.set_phase(server, Phase::Up));
    let (began, mut waiting) = (Instant::now(), (0..PROXIES).collect::<Vec<_>>());
    while !waiting.is_empty() && began.elapsed() < RECOVERY {
        std::thread::sleep(Duration::from_millis(20));
        let requests = run_log.clients.requests.lock().unwrap();
        let serves = |proxy: usize| {
            requests.iter().rev().any(|request| {
                request.proxy == proxy && request.sent > began && request.outcome == Outcome::Served
            })
        };
        waiting.retain(|&proxy| !serves(proxy));
    }
    let requests = run_log.clients.requests.lock().unwrap();
    let left = waiting.into_iter().map(|proxy| {
        let ready = slots[proxy].is_ready();
        let last = requests.iter().rev().filter(|request| request.proxy == proxy).take(REPORTED_REQUESTS);
        let last: Vec<String> = last.map(RequestRecord::describe).collect();
        format!("proxy {proxy} served no request within {RECOVERY:?} after the last fault, ready: {ready}, {last:?}")
    });
    run_log.failures.lock().unwrap().extend(left);
}

/// Prints the number of requests by outcome and how late a server's thread read a command at the most, and fails
/// where hardly any request was served: such a run proves nothing.
fn report(seed: u64, requests: &[RequestRecord], arrivals: &[Arrival]) {
    let count =
        |matches: fn(&Outcome) -> bool| requests.iter().filter(|request| matches(&request.outcome)).count();
    let served = count(|end| *end == Outcome::Served);
    let (declined, left) =
        (count(|end| *end == Outcome::Declined), count(|end| matches!(end, Outcome::Disconnected(_))));
    let closed = count(|end| *end == Outcome::Closed);
    let read_delay = arrivals.iter().map(|arrival| arrival.read_delay).max().unwrap_or_default();
    println!(
        "seed {seed}: {} requests, {served} served, {declined} declined, {left} abandoned, {closed} closed; \
         servers read up to {read_delay:?} late",
        requests.len()
    );
    assert!(
        served > requests.len() / 10,
        "seed {seed}: only {served} of {} requests were served",
        requests.len()
    );
}
