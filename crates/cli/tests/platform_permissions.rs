//! What a process holds for a limited time only, as processes: its life after SIGTERM, and a server list that nobody
//! confirms. Both incidents of December 2026 are played here (docs/incidents/).

mod common;

use common::platform::{
    Client, Heard, PATIENCE, Proxy, Say, Server, good, launch, look, server, start, value, wait_until, words,
};
use common::services::{CROWDED_WAIT, Member, Mood, Service, discovery, list, member, pipeline, told};
use common::steps::Peer;
use common::world::tell;
use rustix::process::Signal;
use serde_json::{Value, json};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const RELEASED: &str = r#"{"Revision":7,"Wave":2,"State":"stable","MaxShare":1.0,"AgeMs":5}"#;
/// A killed process's life after SIGTERM is the longest deadline of its settings, of which three seconds count, and this.
const AFTER_LONGEST: Duration = Duration::from_millis(700);
const LONGEST_COUNTED: Duration = Duration::from_secs(3);

fn configuration(hosts: &Service, releases: &Service, known: &[Member]) -> Value {
    serde_json::from_str(&told([hosts, releases], known, RELEASED)).unwrap()
}

/// A call that may not simply be repeated, whose client waits for long.
fn book(id: &str) -> Vec<u8> {
    words(&["CALL.POST", &format!("key-{id}"), id, "c=book,t=one,d=60000,k=5c0f", "BODY"])
}

/// A server that takes everything and never answers.
fn hanging() -> Server {
    server(|_, _| Say::Nothing)
}

/// Takes the answer's line before the process would be killed.
fn final_answer(client: &mut Client, what: &str, killed_at: Instant) {
    let left = killed_at.saturating_duration_since(Instant::now());
    assert!(!left.is_zero(), "{what}: the process would have been killed by now");
    client.stream.set_read_timeout(Some(left)).unwrap();
    match client.hear() {
        Heard::Line(text) => assert!(text.starts_with('-'), "{what}: {text}"),
        other => panic!("{what}: {other:?}"),
    }
}

/// Requests taken before, with and after SIGTERM, at servers that hang, whatever the deadlines of the settings are: each is
/// answered before the process would be killed, and the process has ended by itself then.
#[test]
fn a_shutdown_answers_all_that_it_took_before_the_process_is_killed() {
    std::thread::scope(|scope| {
        for longest in [300, 1_200, 3_000, 7_933, 26_000, 70_000] {
            scope.spawn(move || shut_down(Duration::from_millis(longest)));
        }
    });
}

fn shut_down(longest: Duration) {
    let name = format!("ends-{}", longest.as_millis());
    let hung = hanging();
    let known = [member("s-1", hung.addr, 7)];
    let (hosts, releases) = (discovery(list(2, &known)), pipeline(RELEASED.into()));
    let mut config = configuration(&hosts, &releases, &known);
    for class in config["settings"]["Classes"].as_array_mut().unwrap() {
        class["HardLimit"] = json!(longest.as_micros() as u64);
    }
    let proxy = start(&name, &config.to_string());
    let (mut early, mut late) = (proxy.open(), proxy.open());
    early.send(&book("early"));
    wait_until(&format!("{name}: the first request is at the server"), || {
        !hung.got.lock().unwrap().is_empty()
    });
    proxy.signal(Signal::TERM);
    let killed_at = Instant::now() + longest.min(LONGEST_COUNTED) + AFTER_LONGEST;
    // Clients go on with what stays open: with a first request, and behind one that has no answer yet.
    late.send(&book("late"));
    std::thread::sleep(longest.min(LONGEST_COUNTED) / 4);
    let behind = early.try_send(&book("behind"));
    final_answer(&mut early, &format!("{name}: taken before SIGTERM"), killed_at);
    final_answer(&mut late, &format!("{name}: taken with SIGTERM"), killed_at);
    if behind && longest > Duration::from_secs(1) {
        final_answer(&mut early, &format!("{name}: taken after SIGTERM"), killed_at);
    }
    drop((early, late));
    let status = proxy.ended();
    assert!(status.success(), "{name}: {status}");
    assert!(Instant::now() < killed_at, "{name}: the process would have been killed");
}

/// Two servers in turn: what they got, and when.
struct Watched {
    server: Server,
    calls: Arc<Mutex<Vec<Instant>>>,
}

fn watched() -> Watched {
    let calls: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let seen = calls.clone();
    let server = server(move |words, _| {
        seen.lock().unwrap().push(Instant::now());
        Say::Bytes(good(words))
    });
    Watched { server, calls }
}

impl Watched {
    fn count(&self) -> usize {
        self.calls.lock().unwrap().len()
    }
}

/// Asks one request after another until the condition holds. Each gets a final answer.
fn ask_until(proxy: &Proxy, name: &str, mut is: impl FnMut(&Heard) -> bool) {
    let until = Instant::now() + PATIENCE;
    let (mut client, mut n) = (proxy.open(), 0);
    loop {
        assert!(Instant::now() < until, "{name}: it never came so far");
        n += 1;
        let id = format!("{name}-{n}");
        let heard = client.ask(&look(&id, 1000));
        match &heard {
            Heard::Value(got) => assert_eq!(*got, value(&id)),
            Heard::Line(text) => assert!(text.starts_with('-'), "{text}"),
            Heard::Closed => client = proxy.open(),
        }
        if is(&heard) {
            return;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A process that starts while discovery has too many callers: the list that it holds from before its start may be of any
/// age, and nothing is sent by it until discovery has confirmed it or told another.
#[test]
fn a_list_from_before_a_start_is_not_used_until_it_is_confirmed() {
    let (left, stays) = (watched(), watched());
    let known = [member("s-1", left.server.addr, 7)];
    let (hosts, releases) =
        (discovery(list(2, &[member("s-2", stays.server.addr, 7)])), pipeline(RELEASED.into()));
    hosts.set(Mood::Crowded);
    let mut config = configuration(&hosts, &releases, &known);
    config["settings"]["Contract"]["AskWithin"] = json!(1_000_000);
    config["settings"]["Contract"]["DrainGrace"] = json!(600_000);
    let proxy = launch("unconfirmed", &config.to_string());
    wait_until("it listens", || proxy.ping().is_some());
    let began = Instant::now();
    ask_until(&proxy, "unconfirmed", |heard| {
        assert!(!matches!(heard, Heard::Value(_)), "served by a list that nobody has confirmed");
        began.elapsed() > Duration::from_secs(2)
    });
    hosts.set(Mood::Good);
    ask_until(&proxy, "confirmed", |heard| matches!(heard, Heard::Value(_)));
    assert_eq!(left.count(), 0, "a request went to a server that has left");
    assert!(stays.count() > 0);
    proxy.end();
}

/// Discovery falls behind its callers for long: a list that goes unconfirmed is used for as long as no change can count as
/// told, and its grace; what comes then is refused, and served again once the list is confirmed.
#[test]
fn a_list_that_goes_unconfirmed_is_used_no_longer_than_it_may_be() {
    std::thread::scope(|scope| {
        for mood in [Mood::Crowded, Mood::CrowdedResets, Mood::Closed, Mood::Unavailable] {
            scope.spawn(move || starve(mood));
        }
    });
}

fn starve(mood: Mood) {
    let one = watched();
    let known = [member("s-1", one.server.addr, 7)];
    let (hosts, releases) = (discovery(list(2, &known)), pipeline(RELEASED.into()));
    let mut config = configuration(&hosts, &releases, &known);
    let (ask_within, grace) = (Duration::from_millis(1_000), Duration::from_millis(600));
    config["settings"]["Contract"]["AskWithin"] = json!(ask_within.as_micros() as u64);
    config["settings"]["Contract"]["DrainGrace"] = json!(grace.as_micros() as u64);
    let proxy = start(&format!("starved-{mood:?}"), &config.to_string());
    ask_until(&proxy, "before", |heard| matches!(heard, Heard::Value(_)));
    hosts.set(mood);
    // The watch that is out is declined after the crowd's wait, and was alive until then.
    let bound = Instant::now() + CROWDED_WAIT + ask_within + grace;
    ask_until(&proxy, "starved", |_| Instant::now() > bound + Duration::from_secs(2));
    let last = *one.calls.lock().unwrap().last().unwrap();
    assert!(last <= bound, "{mood:?}: used for {:?} too long", last - bound);
    hosts.set(Mood::Good);
    ask_until(&proxy, "again", |heard| matches!(heard, Heard::Value(_)));
    proxy.end();
}

/// A discovery that refuses connections tells no change to anybody: the list held stays in force for as long as that
/// lasts. One that declines calls may be there: see the test before.
#[test]
fn an_outage_of_discovery_leaves_the_list_in_force() {
    let one = watched();
    let known = [member("s-1", one.server.addr, 7)];
    let (hosts, releases) = (Peer::new(), pipeline(RELEASED.into()));
    let mut config: Value =
        serde_json::from_str(&told([&discovery(list(1, &known)), &releases], &known, RELEASED)).unwrap();
    config["discovery"] = json!(hosts.addr.to_string());
    config["settings"]["Contract"]["AskWithin"] = json!(1_000_000);
    config["settings"]["Contract"]["DrainGrace"] = json!(600_000);
    let proxy = launch("away", &config.to_string());
    let mut watch = hosts.accept();
    assert!(watch.http().contains("index=1&wait="));
    tell(&mut watch, &list(2, &known));
    assert!(watch.http().contains("index=2&wait="));
    ask_until(&proxy, "before", |heard| matches!(heard, Heard::Value(_)));
    drop((watch, hosts));
    let began = Instant::now();
    ask_until(&proxy, "away", |heard| {
        assert!(matches!(heard, Heard::Value(_)), "after {:?}: {heard:?}", began.elapsed());
        began.elapsed() > Duration::from_secs(4)
    });
    proxy.end();
}
