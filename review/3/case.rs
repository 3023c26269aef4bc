//! Case 3: the proxy is held up for a moment while its vote is answered and the build is then taken back.

use crate::platform::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock};

/// The parts of the time for which the proxy is held up: until a sign of life, until the answer to the vote,
/// until the news that the build goes back, and until the proxy goes on.
const HELD_UP_MS: [u64; 4] = [15, 15, 15, 35];
/// A vote is answered within this time (the settings allow 0.8 s).
const MAX_ANSWER_MS: u64 = 600;
const REPEAT_MS: u64 = 4_000;
/// From this long after the news on, the lower cap binds: the grace of the settings, 150 ms that the protocol
/// page adds to a lower cap, and the 50 ms that it adds to every time limit.
const BINDS_AFTER_US: u64 = 2_000_000 + 150_000 + 50_000;
/// Attempts over the cap that pass: those that the settings leave uncounted, those of the protocol page, and
/// its share of the requests.
const PASSING_ATTEMPTS: f64 = 2.0 + 2.0;
const PASSING_SHARE: f64 = 0.04;
const CLIENTS: usize = 8;

pub fn run() -> bool {
    let old = ["old-1", "old-2"].map(|name| Server::start(name, 10));
    // The build on trial is a bad one: it gives wrong answers to one request in ten.
    let habits = Habits { wrong_every: 10, ..Habits::default() };
    let new = ["new-1", "new-2"].map(|name| Server::with_habits(name, 10, habits));
    let members = [
        Member { id: "s-1", address: old[0].address, build: 41 },
        Member { id: "s-2", address: old[1].address, build: 41 },
        Member { id: "s-3", address: new[0].address, build: 42 },
        Member { id: "s-4", address: new[1].address, build: 42 },
    ];
    let discovery = discovery(41, &members);
    let proxy_cell: Arc<OnceLock<Arc<Proxy>>> = Arc::default();
    let told_at: Arc<Mutex<Option<u64>>> = Arc::default();
    let (cell, told) = (proxy_cell.clone(), told_at.clone());
    let canary = Status { build: 42, wave: 1, state: "canary", cap: 0.5 };
    let release = ReleaseService::start(canary, REPEAT_MS, move |service, mut vote| {
        if vote.decision != "promote" || told.lock().unwrap().is_some() {
            return service.accept(&mut vote);
        }
        // The sign of life comes once a second. This vote is answered just after the next one, if that comes in time.
        let to_ping_ms = PING_MS.saturating_sub(service.ms_since_ping());
        if !(30..=MAX_ANSWER_MS).contains(&to_ping_ms) {
            return service.accept(&mut vote);
        }
        sleep_ms(to_ping_ms - HELD_UP_MS[0]);
        let proxy = cell.get().unwrap();
        let held_up_from = elapsed_us();
        if trouble() {
            note("the proxy is held up");
            proxy.signal(SIGSTOP);
        }
        while service.ms_since_ping() > PING_MS / 2 {
            sleep_ms(1);
        }
        sleep_ms(HELD_UP_MS[1]);
        service.accept(&mut vote);
        sleep_ms(HELD_UP_MS[2]);
        // The vote of another proxy takes the build off.
        service.change(Status { state: "reverting", cap: 0.0, ..canary });
        *told.lock().unwrap() = Some(elapsed_us());
        sleep_ms(HELD_UP_MS[3]);
        if trouble() {
            proxy.signal(SIGCONT);
            note("the proxy goes on");
            check_hold_up(held_up_from);
        }
    });
    let known = list(41, &members);
    let around = Around { discovery, release: &release, known, memory_mb: 64, sockets: 512 };
    let proxy = Arc::new(Proxy::start(&around));
    let _ = proxy_cell.set(proxy.clone());

    let stop = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<Vec<(u64, u64, Answer)>>> = Arc::default();
    let threads: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (address, stop, answers) = (proxy.address, stop.clone(), answers.clone());
            std::thread::spawn(move || {
                let mut client = Client::open(address).unwrap();
                while !stop.load(Ordering::Relaxed) {
                    let call = next_number();
                    let id = format!("call-{call}");
                    let sent_at = elapsed_us();
                    note(&format!("{id} is sent"));
                    client.send(&look(&format!("key-{call}"), &id, 1200)).unwrap();
                    let answer = client.answer(2500);
                    note(&format!("{id} is answered: {answer:?}"));
                    answers.lock().unwrap().push((sent_at, elapsed_us(), answer));
                    sleep_ms(60);
                }
            })
        })
        .collect();
    let give_up_at = elapsed_us() + 60_000_000;
    while told_at.lock().unwrap().is_none() {
        assert!(elapsed_us() < give_up_at, "the proxy has not voted");
        sleep_ms(10);
    }
    let told_at = told_at.lock().unwrap().unwrap();
    sleep_ms(REPEAT_MS + 2_000);
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        thread.join().unwrap();
    }
    proxy.record_log();

    let binds_at = told_at + BINDS_AFTER_US;
    let runs = new.iter().flat_map(|server| server.runs.lock().unwrap().clone());
    let late: Vec<u64> = runs.map(|run| run.at_us).filter(|at| *at > binds_at).collect();
    let answers = answers.lock().unwrap();
    let taken = answers.iter().filter(|(sent_at, _, _)| *sent_at > binds_at).count();
    let is_wrong = |answer: &Answer| matches!(answer, Answer::Value(value) if value.ends_with(":wrong"));
    let wrong = answers.iter().filter(|(_, at, answer)| *at > binds_at && is_wrong(answer)).count();
    let allowed = PASSING_ATTEMPTS + PASSING_SHARE * taken as f64;
    let ms_after = |at: Option<&u64>| at.map_or(0, |at| (at - told_at) / 1000);
    say(&format!(
        "told that build 42 goes back, cap 0; from {} ms after that: {} attempts at it, {allowed:.1} allowed for \
         {taken} requests; from {} to {} ms after the news; {wrong} wrong answers of it reached clients",
        BINDS_AFTER_US / 1000,
        late.len(),
        ms_after(late.iter().min()),
        ms_after(late.iter().max()),
    ));
    late.len() as f64 > allowed
}
