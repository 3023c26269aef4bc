//! Tests of what a process may use for a limited time only: its lifetime after SIGTERM, and a server list
//! that discovery does not confirm. Both incidents of December 2026 (docs/incidents/) are reproduced here.

mod common;

use common::platform::{
    Client, Heard, PATIENCE, Proxy, Say, Server, encode_command, good, launch, look, server, start, value,
    wait_until,
};
use common::services::{
    Behaviour, Member, OVERLOADED_WAIT, Service, discovery, list_json, member, pipeline, service_config,
};
use common::steps::ManualListener;
use common::world::respond;
use rustix::process::Signal;
use serde_json::{Value, json};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const RELEASED: &str = r#"{"Revision":7,"Wave":2,"State":"stable","MaxShare":1.0,"AgeMs":5}"#;
/// The platform kills a process this long after SIGTERM, in addition to the longest deadline of its settings,
/// of which at most three seconds count.
const KILL_MARGIN: Duration = Duration::from_millis(700);
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);

fn configuration(discovery_service: &Service, release_service: &Service, known: &[Member]) -> Value {
    serde_json::from_str(&service_config([discovery_service, release_service], known, RELEASED)).unwrap()
}

/// A deduplicated call, which may not be repeated without its key. Its client waits for long.
fn keyed_call(id: &str) -> Vec<u8> {
    encode_command(&["CALL.POST", &format!("key-{id}"), id, "c=book,t=one,d=60000,k=5c0f", "BODY"])
}

/// A server that reads every call and never responds.
fn unresponsive_server() -> Server {
    server(|_, _| Say::Nothing)
}

/// Reads the error that ends a call; it must come before the process would be killed.
fn expect_refusal_before_kill(client: &mut Client, occasion: &str, killed_at: Instant) {
    let remaining = killed_at.saturating_duration_since(Instant::now());
    assert!(!remaining.is_zero(), "{occasion}: the process would have been killed by now");
    client.stream.set_read_timeout(Some(remaining)).unwrap();
    match client.read_reply() {
        Heard::Line(text) => assert!(text.starts_with('-'), "{occasion}: {text}"),
        other => panic!("{occasion}: {other:?}"),
    }
}

/// Requests arrive before, with and after SIGTERM while the servers do not respond, with various longest
/// deadlines in the settings. Each request must be answered, and the process must have exited by itself,
/// before it would be killed.
#[test]
fn shutdown_answers_every_accepted_request_before_the_process_is_killed() {
    std::thread::scope(|scope| {
        for longest in [300, 1_200, 3_000, 7_933, 26_000, 70_000] {
            scope.spawn(move || check_shutdown(Duration::from_millis(longest)));
        }
    });
}

fn check_shutdown(longest: Duration) {
    let name = format!("ends-{}", longest.as_millis());
    let unresponsive = unresponsive_server();
    let known = [member("s-1", unresponsive.addr, 7)];
    let (discovery_service, release_service) = (discovery(list_json(2, &known)), pipeline(RELEASED.into()));
    let mut config = configuration(&discovery_service, &release_service, &known);
    for class in config["settings"]["Classes"].as_array_mut().unwrap() {
        class["HardLimit"] = json!(longest.as_micros() as u64);
    }
    let proxy = start(&name, &config.to_string());
    let (mut early, mut late) = (proxy.open(), proxy.open());
    early.send(&keyed_call("early"));
    wait_until(&format!("{name}: the first request does not reach the server"), || {
        !unresponsive.received.lock().unwrap().is_empty()
    });
    proxy.signal(Signal::TERM);
    let killed_at = Instant::now() + longest.min(MAX_COUNTED_DEADLINE) + KILL_MARGIN;
    // Clients continue on open connections: with a first request, and with one behind a request that is not
    // answered yet.
    late.send(&keyed_call("late"));
    std::thread::sleep(longest.min(MAX_COUNTED_DEADLINE) / 4);
    let behind = early.try_send(&keyed_call("behind"));
    expect_refusal_before_kill(&mut early, &format!("{name}: taken before SIGTERM"), killed_at);
    expect_refusal_before_kill(&mut late, &format!("{name}: taken with SIGTERM"), killed_at);
    if behind && longest > Duration::from_secs(1) {
        expect_refusal_before_kill(&mut early, &format!("{name}: taken after SIGTERM"), killed_at);
    }
    drop((early, late));
    let status = proxy.wait_for_exit();
    assert!(status.success(), "{name}: {status}");
    assert!(Instant::now() < killed_at, "{name}: the process would have been killed");
}

/// A server that records when each call arrived.
struct TimedServer {
    server: Server,
    calls: Arc<Mutex<Vec<Instant>>>,
}

fn timed_server() -> TimedServer {
    let calls: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let call_times = calls.clone();
    let server = server(move |words, _| {
        call_times.lock().unwrap().push(Instant::now());
        Say::Bytes(good(words))
    });
    TimedServer { server, calls }
}

impl TimedServer {
    fn count(&self) -> usize {
        self.calls.lock().unwrap().len()
    }
}

/// Sends one request after another until the condition holds. Each must get a final response.
fn ask_until(proxy: &Proxy, name: &str, mut condition: impl FnMut(&Heard) -> bool) {
    let until = Instant::now() + PATIENCE;
    let (mut client, mut n) = (proxy.open(), 0);
    loop {
        assert!(Instant::now() < until, "{name}: the condition does not hold within {PATIENCE:?}");
        n += 1;
        let id = format!("{name}-{n}");
        let reply = client.ask(&look(&id, 1000));
        match &reply {
            Heard::Value(received) => assert_eq!(*received, value(&id)),
            Heard::Line(text) => assert!(text.starts_with('-'), "{text}"),
            Heard::Closed => client = proxy.open(),
        }
        if condition(&reply) {
            return;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A process starts while discovery is overloaded. The list that it holds from before its start may be of any
/// age, so it must send nothing until discovery has confirmed that list or sent another one.
#[test]
fn a_list_from_before_the_start_is_not_used_until_confirmed() {
    let (departed, listed) = (timed_server(), timed_server());
    let known = [member("s-1", departed.server.addr, 7)];
    let (discovery_service, release_service) =
        (discovery(list_json(2, &[member("s-2", listed.server.addr, 7)])), pipeline(RELEASED.into()));
    discovery_service.set(Behaviour::Overloaded);
    let mut config = configuration(&discovery_service, &release_service, &known);
    config["settings"]["Contract"]["AskWithin"] = json!(1_000_000);
    config["settings"]["Contract"]["DrainGrace"] = json!(600_000);
    let proxy = launch("unconfirmed", &config.to_string());
    wait_until("the proxy does not listen", || proxy.ping().is_some());
    let started = Instant::now();
    ask_until(&proxy, "unconfirmed", |reply| {
        assert!(!matches!(reply, Heard::Value(_)), "served by a list that discovery has not confirmed");
        started.elapsed() > Duration::from_secs(2)
    });
    discovery_service.set(Behaviour::Healthy);
    ask_until(&proxy, "confirmed", |reply| matches!(reply, Heard::Value(_)));
    assert_eq!(departed.count(), 0, "a request went to a server that has left");
    assert!(listed.count() > 0);
    proxy.end();
}

/// Discovery does not keep up with its callers for a long time. An unconfirmed list may be used until a
/// change would count as told, and for the drain grace after that; later calls are refused, and calls are
/// served again once the list is confirmed.
#[test]
fn an_unconfirmed_list_is_used_for_its_permitted_time_only() {
    std::thread::scope(|scope| {
        for behaviour in
            [Behaviour::Overloaded, Behaviour::OverloadedResets, Behaviour::Closed, Behaviour::Unavailable]
        {
            scope.spawn(move || outlast_the_list(behaviour));
        }
    });
}

fn outlast_the_list(behaviour: Behaviour) {
    let server_a = timed_server();
    let known = [member("s-1", server_a.server.addr, 7)];
    let (discovery_service, release_service) = (discovery(list_json(2, &known)), pipeline(RELEASED.into()));
    let mut config = configuration(&discovery_service, &release_service, &known);
    let (ask_within, grace) = (Duration::from_millis(1_000), Duration::from_millis(600));
    config["settings"]["Contract"]["AskWithin"] = json!(ask_within.as_micros() as u64);
    config["settings"]["Contract"]["DrainGrace"] = json!(grace.as_micros() as u64);
    let proxy = start(&format!("starved-{behaviour:?}"), &config.to_string());
    ask_until(&proxy, "before", |reply| matches!(reply, Heard::Value(_)));
    discovery_service.set(behaviour);
    // The open watch is declined after the overloaded service's wait, and counts as alive until then.
    let bound = Instant::now() + OVERLOADED_WAIT + ask_within + grace;
    ask_until(&proxy, "starved", |_| Instant::now() > bound + Duration::from_secs(2));
    let last = *server_a.calls.lock().unwrap().last().unwrap();
    assert!(last <= bound, "{behaviour:?}: the list was used for {:?} too long", last - bound);
    discovery_service.set(Behaviour::Healthy);
    ask_until(&proxy, "again", |reply| matches!(reply, Heard::Value(_)));
    proxy.end();
}

/// A discovery service that refuses connections tells no proxy of changes, so the list held stays in force
/// for as long as that lasts. A service that declines calls may still tell others of changes: see the test
/// before.
#[test]
fn a_discovery_that_refuses_connections_leaves_the_list_in_force() {
    let server_a = timed_server();
    let known = [member("s-1", server_a.server.addr, 7)];
    let (discovery_service, release_service) = (ManualListener::new(), pipeline(RELEASED.into()));
    let mut config: Value = serde_json::from_str(&service_config(
        [&discovery(list_json(1, &known)), &release_service],
        &known,
        RELEASED,
    ))
    .unwrap();
    config["discovery"] = json!(discovery_service.addr.to_string());
    config["settings"]["Contract"]["AskWithin"] = json!(1_000_000);
    config["settings"]["Contract"]["DrainGrace"] = json!(600_000);
    let proxy = launch("away", &config.to_string());
    let mut watch = discovery_service.accept();
    assert!(watch.expect_request_line().contains("index=1&wait="));
    respond(&mut watch, &list_json(2, &known));
    assert!(watch.expect_request_line().contains("index=2&wait="));
    ask_until(&proxy, "before", |reply| matches!(reply, Heard::Value(_)));
    drop((watch, discovery_service));
    let started = Instant::now();
    ask_until(&proxy, "away", |reply| {
        assert!(matches!(reply, Heard::Value(_)), "after {:?}: {reply:?}", started.elapsed());
        started.elapsed() > Duration::from_secs(4)
    });
    proxy.end();
}
