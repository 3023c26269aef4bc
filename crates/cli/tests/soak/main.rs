//! A soak: some two dozen proxies as processes under random faults that overlap, judged by what their clients, servers and
//! discovery saw.
//!
//! `VIOLETSEAM_SOAK_SEEDS="1 2 3"` and `VIOLETSEAM_SOAK_SECONDS=60` play other and longer ones.

#[path = "../common/mod.rs"]
mod common;

mod clients;
mod discovery;
mod draw;
mod fleet;
mod judge;
mod servers;

use clients::{Ask, End, ask_on};
use common::services::{news, pipeline};
use discovery::{Discovery, MOODS, Mood, Phase};
use draw::Draw;
use fleet::Place;
use judge::{Crash, Seen, Terms, judge};
use servers::{MANNERS, Manner, Servers};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const PROXIES: usize = 24;
const SERVERS: usize = 8;
const CLIENTS: u64 = 2;
/// Servers that stay up.
const UP_LEAST: usize = 3;
const SECONDS: u64 = 12;
const TERMS: Terms =
    Terms { ask_within: Duration::from_millis(1_500), drain_grace: Duration::from_millis(700) };
/// After the last fault everything serves again within this.
const RECOVERY: Duration = Duration::from_secs(20);

#[test]
fn overlapping_faults_break_no_invariant() {
    let seeds = std::env::var("VIOLETSEAM_SOAK_SEEDS").unwrap_or_else(|_| "1".into());
    let seconds = std::env::var("VIOLETSEAM_SOAK_SECONDS").map_or(SECONDS, |text| text.parse().unwrap());
    let mut broken = Vec::new();
    for seed in seeds.split_whitespace().map(|seed| seed.parse().unwrap()) {
        let found = play(seed, Duration::from_secs(seconds));
        broken.extend(found.into_iter().map(|what| format!("seed {seed}: {what}")));
    }
    assert!(broken.is_empty(), "{} broken:\n{}", broken.len(), broken[..broken.len().min(20)].join("\n"));
}

/// What is written down while the faults go on.
#[derive(Default)]
struct Notes {
    asks: Mutex<Vec<Ask>>,
    crashes: Mutex<Vec<Crash>>,
    faults: Mutex<Vec<String>>,
}

fn play(seed: u64, span: Duration) -> Vec<String> {
    let servers = Servers::begin(SERVERS);
    let addresses = (0..SERVERS).map(|server| servers.address(server)).collect();
    let discovery = Discovery::begin(addresses, PROXIES);
    let releases = pipeline(news(7, 2, "stable", 1.0));
    let place = |number| Place::begin(number, &discovery, releases.addr, TERMS, seed);
    let places: Vec<Place> = (0..PROXIES).map(place).collect();
    let (notes, stop) = (Notes::default(), AtomicBool::new(false));
    std::thread::scope(|scope| {
        for (proxy, place) in places.iter().enumerate() {
            for number in 0..CLIENTS {
                let (stop, asks) = (&stop, &notes.asks);
                scope.spawn(move || ask_on(proxy, number, place.addr, seed, stop, asks));
            }
        }
        std::thread::scope(|scope| disturb(scope, seed, span, &places, &servers, &discovery, &notes));
        calm(&places, &servers, &discovery, &notes);
        stop.store(true, Ordering::Relaxed);
    });
    let ended: Vec<String> = std::thread::scope(|scope| {
        let ends: Vec<_> = places.iter().map(|place| scope.spawn(|| place.end())).collect();
        ends.into_iter().filter_map(|end| end.join().unwrap()).collect()
    });
    let asks = notes.asks.into_inner().unwrap();
    report(seed, &asks);
    let crashes = notes.crashes.into_inner().unwrap();
    let seen = Seen { asks, arrivals: servers.arrivals(), away: discovery.away(), crashes };
    let mut broken = judge(&seen, TERMS);
    broken.extend(notes.faults.into_inner().unwrap());
    broken.extend(ended);
    broken
}

/// Draws one fault after another; many last while the next ones come.
fn disturb<'scope, 'env>(
    scope: &'scope std::thread::Scope<'scope, 'env>,
    seed: u64,
    span: Duration,
    places: &'env [Place],
    servers: &'env Servers,
    discovery: &'env Discovery,
    notes: &'env Notes,
) {
    let mut draw = Draw::new(seed, 0);
    let until = Instant::now() + span;
    while Instant::now() < until {
        std::thread::sleep(draw.ms(20, 120));
        let place = draw.of(places);
        match draw.below(16) {
            0..=2 => {
                // The list that a process starts with may be a good while old.
                let (known, wait) = (discovery.list(), draw.ms(0, 1_000));
                scope.spawn(move || {
                    std::thread::sleep(wait);
                    notes.faults.lock().unwrap().extend(place.restart(&known));
                });
            }
            3 => {
                let away = draw.ms(0, 600);
                scope.spawn(move || notes.crashes.lock().unwrap().extend(place.crash(away)));
            }
            4..=6 => {
                let held = draw.ms(20, 150);
                scope.spawn(move || place.hold_up(held));
            }
            7 => {
                let (times, apart) = (1 + draw.below(3), draw.ms(5, 400));
                scope.spawn(move || place.reload(times, apart));
            }
            8..=9 => {
                let (mood, lasts) = (*draw.of(&MOODS), draw.ms(200, 3_000));
                scope.spawn(move || {
                    discovery.set(mood);
                    std::thread::sleep(lasts);
                    discovery.set(Mood::Good);
                });
            }
            10..=12 => {
                let server = draw.below(SERVERS as u64) as usize;
                let phase = match discovery.phase(server) {
                    Phase::Up if discovery.up() > UP_LEAST => Phase::Draining,
                    Phase::Up => Phase::Up,
                    Phase::Draining => Phase::Gone,
                    Phase::Gone => Phase::Up,
                };
                discovery.change(server, phase);
            }
            _ => {
                let server = draw.below(SERVERS as u64) as usize;
                let (manner, lasts) = (*draw.of(&MANNERS), draw.ms(100, 6_000));
                scope.spawn(move || {
                    servers.set(server, manner);
                    std::thread::sleep(lasts);
                    servers.set(server, Manner::Good);
                });
            }
        }
    }
}

/// Ends all faults and waits until every proxy serves again.
fn calm(places: &[Place], servers: &Servers, discovery: &Discovery, notes: &Notes) {
    servers.all_good();
    discovery.set(Mood::Good);
    (0..SERVERS).for_each(|server| discovery.change(server, Phase::Up));
    let (began, mut waiting) = (Instant::now(), (0..PROXIES).collect::<Vec<_>>());
    while !waiting.is_empty() && began.elapsed() < RECOVERY {
        std::thread::sleep(Duration::from_millis(20));
        let asks = notes.asks.lock().unwrap();
        let serves = |proxy: usize| {
            asks.iter().rev().any(|ask| ask.proxy == proxy && ask.sent > began && ask.end == End::Served)
        };
        waiting.retain(|&proxy| !serves(proxy));
    }
    let left = waiting.into_iter().map(|proxy| {
        let ready = places[proxy].is_ready();
        format!("proxy {proxy} serves nothing {RECOVERY:?} after the last fault, ready: {ready}")
    });
    notes.faults.lock().unwrap().extend(left);
}

/// How much was asked, for whoever reads the test's output: a soak that asked nothing has shown nothing.
fn report(seed: u64, asks: &[Ask]) {
    let count = |is: fn(&End) -> bool| asks.iter().filter(|ask| is(&ask.end)).count();
    let served = count(|end| *end == End::Served);
    let (declined, left) = (count(|end| *end == End::Declined), count(|end| matches!(end, End::Left(_))));
    let closed = count(|end| *end == End::Closed);
    println!(
        "seed {seed}: {} asked, {served} served, {declined} declined, {left} left, {closed} closed",
        asks.len()
    );
    assert!(served > asks.len() / 10, "seed {seed}: hardly anything was served, {served} of {}", asks.len());
}
