//! What a process may send while discovery is away or loses responses, and for how long it serves requests in
//! an outage. The tests play discovery step by step and record when servers are called.

mod common;

use common::platform::{Client, Heard, Proxy, Say, good, launch, look, timed_server, value, wait_until};
use common::services::{DECLINED_RESPONSE, Member, list_json, member, set_reset_on_close};
use common::steps::{ManualConnection, ManualListener};
use common::world::{RELEASED_TO_ALL, environment, respond};
use rustix::process::Signal;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// `AskWithin` and `DrainGrace` of the settings.
const ASK_WITHIN: Duration = Duration::from_secs(10);
const DRAIN_GRACE: Duration = Duration::from_secs(2);
/// Every limit of the platform is this much longer on sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// A missed change counts as told this long after discovery had it.
const MAX_NOTIFICATION_DELAY: Duration = Duration::from_secs(6);
/// What discovery has to tell counts as told this long after the order to reload.
const NOTIFICATION_DELAY_AFTER_RELOAD: Duration = Duration::from_secs(4);
/// How long an outage of discovery lasts on the platform's days.
const OUTAGE: Duration = Duration::from_secs(8);
/// The time between two requests of the test's client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

/// Whether the proxy asks for lists, or is pushed them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lists {
    Requested,
    Pushed,
}

const BOTH: [Lists; 2] = [Lists::Requested, Lists::Pushed];

/// A server that records when calls arrived at its machine.
struct TimedServer {
    addr: SocketAddr,
    calls: Arc<Mutex<Vec<Instant>>>,
}

impl TimedServer {
    fn start() -> TimedServer {
        let calls: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let recorded = calls.clone();
        let addr = timed_server(move |words, arrived_at| {
            recorded.lock().unwrap().push(arrived_at);
            Say::Bytes(good(words))
        });
        TimedServer { addr, calls }
    }

    /// The server as an entry of the list.
    fn listed(&self) -> Member {
        member("s-1", self.addr, 7)
    }

    fn last_call_after(&self, start: Instant) -> Option<Instant> {
        self.calls.lock().unwrap().last().copied().filter(|at| *at > start)
    }
}

/// The configuration of a proxy that holds this server from before its start.
fn configuration(lists: Lists, discovery: SocketAddr, listed: &Member) -> Value {
    let mut config = environment(std::slice::from_ref(listed), RELEASED_TO_ALL).config;
    config["discovery"] = json!(discovery.to_string());
    config["settings"]["Contract"]["DrainGrace"] = json!(DRAIN_GRACE.as_micros() as u64);
    config["settings"]["Contract"]["AskWithin"] = json!(ASK_WITHIN.as_micros() as u64);
    if lists == Lists::Pushed {
        config["settings"]["Discovery"] = json!("pushed");
        config["settings"]["Contract"].as_object_mut().unwrap().remove("AskWithin");
    }
    config
}

/// Starts a proxy, confirms its list, and returns it with the watch that it then opens.
fn start_with_watch(
    name: &str,
    lists: Lists,
    discovery: &ManualListener,
    listed: &Member,
) -> (Proxy, ManualConnection) {
    let proxy = launch(name, &configuration(lists, discovery.addr, listed).to_string());
    let mut watch = discovery.accept();
    watch.expect_request_line();
    respond(&mut watch, &list_json(2, std::slice::from_ref(listed)));
    assert!(watch.expect_request_line().contains("index=2&wait="));
    wait_until("the proxy is not ready", || proxy.ping().is_some_and(|reply| reply == b"+PONG\r\n"));
    (proxy, watch)
}

/// The requests of a client that asks all the time: when each was answered, and whether it was served.
#[derive(Clone, Default)]
struct Answers(Arc<Mutex<Vec<(Instant, bool)>>>);

impl Answers {
    /// Sends one request after another while `action` runs.
    fn record_during(&self, proxy: &Proxy, name: &str, action: impl FnOnce()) {
        let stop = AtomicBool::new(false);
        std::thread::scope(|scope| {
            scope.spawn(|| self.ask_until(proxy, name, &stop));
            action();
            stop.store(true, Ordering::SeqCst);
        });
    }

    fn ask_until(&self, proxy: &Proxy, name: &str, stop: &AtomicBool) {
        let mut client: Client = proxy.open();
        let mut number = 0;
        while !stop.load(Ordering::SeqCst) {
            number += 1;
            let id = format!("{name}-{number}");
            let reply = client.ask(&look(&id, 500));
            let is_served = match &reply {
                Heard::Value(received) => *received == value(&id),
                _ => false,
            };
            if reply == Heard::Closed {
                client = proxy.open();
            }
            self.0.lock().unwrap().push((Instant::now(), is_served));
            std::thread::sleep(REQUEST_INTERVAL);
        }
    }

    /// The number of requests that were answered between these times, and how many of them were served.
    fn count(&self, from: Instant, until: Instant) -> (usize, usize) {
        let answers = self.0.lock().unwrap();
        let within: Vec<bool> =
            answers.iter().filter(|(at, _)| *at >= from && *at < until).map(|(_, served)| *served).collect();
        (within.len(), within.iter().filter(|served| **served).count())
    }
}

/// Guards against a list that is used on after the connection was reset under the response that changes it: the
/// change counts as received when it is written. Discovery accepts the queries that follow and does not answer
/// them, so nothing confirms the list.
#[test]
fn a_response_that_is_lost_with_its_connection_counts_as_received() {
    std::thread::scope(|scope| {
        for lists in BOTH {
            scope.spawn(move || lose_a_response(lists));
        }
    });
}

fn lose_a_response(lists: Lists) {
    let (server, discovery) = (TimedServer::start(), ManualListener::new());
    let name = format!("lost-{lists:?}");
    let (proxy, watch) = start_with_watch(&name, lists, &discovery, &server.listed());
    let answers = Answers::default();
    let mut lost_at = Instant::now();
    answers.record_during(&proxy, &name, || {
        std::thread::sleep(Duration::from_millis(500));
        lost_at = Instant::now();
        watch.reset();
        std::thread::sleep(MAX_NOTIFICATION_DELAY);
    });
    let last = server.last_call_after(lost_at).expect("the server is not called after the loss");
    let allowed = DRAIN_GRACE + SOCKET_SLACK;
    assert!(
        last - lost_at <= allowed,
        "{lists:?}: the list was used for {:?} after the loss",
        last - lost_at
    );
    proxy.end();
}

/// Guards against requests that are refused because a response was lost, although discovery answers the next
/// query: the proxy asks again in time.
#[test]
fn a_lost_response_is_asked_for_again_before_the_list_may_no_longer_be_used() {
    std::thread::scope(|scope| {
        for lists in BOTH {
            scope.spawn(move || recover_a_lost_response(lists));
        }
    });
}

fn recover_a_lost_response(lists: Lists) {
    let (server, discovery) = (TimedServer::start(), ManualListener::new());
    let name = format!("again-{lists:?}");
    let (proxy, mut watch) = start_with_watch(&name, lists, &discovery, &server.listed());
    let answers = Answers::default();
    let started = Instant::now();
    answers.record_during(&proxy, &name, || {
        for revision in 3..7 {
            std::thread::sleep(Duration::from_millis(300));
            watch.reset();
            // The next response is lost as well.
            discovery.accept().reset();
            watch = discovery.accept();
            watch.expect_request_line();
            respond(&mut watch, &list_json(revision, &[server.listed()]));
            assert!(watch.expect_request_line().contains(&format!("index={revision}&wait=")));
        }
    });
    let (all, served) = answers.count(started, Instant::now());
    assert!(all > 50 && served == all, "{lists:?}: {served} of {all} requests were served");
    proxy.end();
}

/// How discovery behaves in an outage, once it has ended the open watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outage {
    /// The watch is reset and new connections are refused, as when a process dies.
    Refuses,
    /// The watch is reset and each new query is declined at once.
    Declines,
    /// The watch is reset, and so is each new query.
    Resets,
}

/// Plays an outage from now on, and returns the answers to clients and when it began.
fn play_outage(lists: Lists, outage: Outage) -> (Answers, Instant) {
    let (server, discovery) = (TimedServer::start(), ManualListener::new());
    let name = format!("outage-{lists:?}-{outage:?}");
    let (proxy, watch) = start_with_watch(&name, lists, &discovery, &server.listed());
    let answers = Answers::default();
    let mut began_at = Instant::now();
    answers.record_during(&proxy, &name, || {
        std::thread::sleep(Duration::from_millis(500));
        began_at = Instant::now();
        set_reset_on_close(&watch.stream);
        if outage == Outage::Refuses {
            drop((watch, discovery));
            return std::thread::sleep(OUTAGE);
        }
        drop(watch);
        while began_at.elapsed() < OUTAGE {
            std::thread::sleep(Duration::from_millis(2));
            let Some(mut connection) = discovery.try_accept() else { continue };
            if outage == Outage::Declines && connection.next_request_line().is_some() {
                connection.send(DECLINED_RESPONSE);
            }
            set_reset_on_close(&connection.stream);
        }
    });
    proxy.end();
    (answers, began_at)
}

/// Guards against service that stops while discovery refuses connections: nobody is told of any change then.
#[test]
fn an_outage_that_refuses_connections_stops_no_service() {
    std::thread::scope(|scope| {
        for lists in BOTH {
            scope.spawn(move || {
                let (answers, began_at) = play_outage(lists, Outage::Refuses);
                let (all, served) = answers.count(began_at, began_at + OUTAGE);
                assert!(all > 100 && served == all, "{lists:?}: {served} of {all} requests were served");
            });
        }
    });
}

/// Guards against service that stops early when an outage begins with a reset and queries then fail at once: a
/// list that is asked for may be used until a change could count as told, six seconds after the list was
/// confirmed.
#[test]
fn an_outage_that_fails_queries_leaves_a_requested_list_in_use_for_its_time() {
    std::thread::scope(|scope| {
        for outage in [Outage::Declines, Outage::Resets] {
            scope.spawn(move || {
                let (answers, began_at) = play_outage(Lists::Requested, outage);
                // The list was confirmed a second before the outage at the earliest.
                let until = began_at + MAX_NOTIFICATION_DELAY - Duration::from_secs(1);
                let (all, served) = answers.count(began_at, until);
                assert!(all > 100 && served == all, "{outage:?}: {served} of {all} requests were served");
            });
        }
    });
}

/// Guards against a process that starts in an outage and uses the list of its configuration, which may lack any
/// change from before the outage: a refused connection confirms nothing.
#[test]
fn a_process_that_starts_in_an_outage_waits_until_its_list_is_confirmed() {
    std::thread::scope(|scope| {
        for lists in BOTH {
            scope.spawn(move || start_in_an_outage(lists));
        }
    });
}

fn start_in_an_outage(lists: Lists) {
    let (departed, listed) = (TimedServer::start(), TimedServer::start());
    let address = ManualListener::new().addr;
    let name = format!("started-{lists:?}");
    let proxy = launch(&name, &configuration(lists, address, &departed.listed()).to_string());
    wait_until("the proxy does not listen", || proxy.ping().is_some());
    let answers = Answers::default();
    let started = Instant::now();
    answers.record_during(&proxy, &name, || {
        std::thread::sleep(OUTAGE);
        let discovery = ManualListener::at(address);
        let mut connection = discovery.accept();
        connection.expect_request_line();
        respond(&mut connection, &list_json(2, &[member("s-2", listed.addr, 7)]));
        connection.expect_request_line();
        wait_until("no request is served after the outage", || listed.last_call_after(started).is_some());
    });
    let stale_calls = departed.calls.lock().unwrap().len();
    assert_eq!(stale_calls, 0, "{lists:?}: requests went to a server of a list that nothing confirmed");
    proxy.end();
}

/// Guards against an outage that prolongs the use of a list whose watch had fallen silent before: the change
/// that the watch missed counts as told six seconds after discovery had it.
#[test]
fn an_outage_after_a_silent_watch_does_not_prolong_the_use_of_the_list() {
    std::thread::scope(|scope| {
        for lists in BOTH {
            scope.spawn(move || fall_silent_before_an_outage(lists));
        }
    });
}

fn fall_silent_before_an_outage(lists: Lists) {
    let (server, discovery) = (TimedServer::start(), ManualListener::new());
    let name = format!("silent-{lists:?}");
    let (proxy, watch) = start_with_watch(&name, lists, &discovery, &server.listed());
    let answers = Answers::default();
    let silent_at = Instant::now();
    answers.record_during(&proxy, &name, || {
        // The proxy gives the silent watch up and asks again. Discovery goes down before it answers.
        let query = discovery.accept();
        assert!(silent_at.elapsed() < MAX_NOTIFICATION_DELAY, "{lists:?}: the watch was replaced too late");
        set_reset_on_close(&query.stream);
        drop((query, watch, discovery));
        std::thread::sleep(OUTAGE);
    });
    let last = server.last_call_after(silent_at).expect("the server is not called");
    let allowed = MAX_NOTIFICATION_DELAY + DRAIN_GRACE + SOCKET_SLACK;
    assert!(last - silent_at <= allowed, "{lists:?}: the list was used for {:?} after", last - silent_at);
    proxy.end();
}

/// What happens to a reload whose configuration is half written when it is ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HalfWritten {
    /// The rest is never written, and the old address refuses connections.
    ForGood,
    /// The rest is written later. The new address accepts queries and does not answer them.
    AtFirst,
}

/// Guards against a list that is used on because its process could not read at once to where discovery moved:
/// what discovery tells after a reload counts as told four seconds after the order.
#[test]
fn a_reload_whose_configuration_is_half_written_ends_the_use_of_the_list_in_time() {
    std::thread::scope(|scope| {
        for lists in BOTH {
            for half_written in [HalfWritten::ForGood, HalfWritten::AtFirst] {
                scope.spawn(move || reload_half_written(lists, half_written));
            }
        }
    });
}

fn reload_half_written(lists: Lists, half_written: HalfWritten) {
    let (server, discovery) = (TimedServer::start(), ManualListener::new());
    let new_discovery = ManualListener::new();
    let name = format!("reload-{lists:?}-{half_written:?}");
    let (proxy, watch) = start_with_watch(&name, lists, &discovery, &server.listed());
    let whole = configuration(lists, new_discovery.addr, &server.listed()).to_string();
    let answers = Answers::default();
    let mut ordered_at = Instant::now();
    answers.record_during(&proxy, &name, || {
        std::fs::write(&proxy.config_file, &whole[..whole.len() / 2]).unwrap();
        ordered_at = Instant::now();
        proxy.signal(Signal::HUP);
        wait_until("the proxy does not read the file", || proxy.log().contains("stays for now"));
        if half_written == HalfWritten::ForGood {
            set_reset_on_close(&watch.stream);
            drop((watch, discovery));
        } else {
            std::thread::sleep(Duration::from_secs(3));
            std::fs::write(&proxy.config_file, &whole).unwrap();
        }
        std::thread::sleep(OUTAGE);
    });
    let last = server.last_call_after(ordered_at).expect("the server is not called");
    let allowed = NOTIFICATION_DELAY_AFTER_RELOAD + DRAIN_GRACE + SOCKET_SLACK;
    let used_for = last - ordered_at;
    assert!(
        used_for <= allowed,
        "{lists:?}, {half_written:?}: the list was used for {used_for:?} after the order"
    );
    proxy.end();
}

/// Guards against a list that counts as confirmed because the watch after it was declined: that watch is the
/// first, and may never have begun.
#[test]
fn a_declined_watch_after_a_full_list_does_not_confirm_the_list() {
    let (server, discovery) = (TimedServer::start(), ManualListener::new());
    let mut config = configuration(Lists::Requested, discovery.addr, &server.listed());
    config.as_object_mut().unwrap().remove("known");
    let proxy = launch("declined", &config.to_string());
    let mut connection = discovery.accept();
    assert_eq!(connection.expect_request_line(), "GET /discovery/hosts HTTP/1.1");
    respond(&mut connection, &list_json(2, &[server.listed()]));
    let listed_at = Instant::now();
    assert!(connection.expect_request_line().contains("index=2&wait="));
    let answers = Answers::default();
    answers.record_during(&proxy, "declined", || {
        std::thread::sleep(Duration::from_secs(2));
        connection.send(DECLINED_RESPONSE);
        // Discovery accepts the next queries and does not answer them.
        std::thread::sleep(OUTAGE);
    });
    let last = server.last_call_after(listed_at).expect("the server is not called");
    let allowed = MAX_NOTIFICATION_DELAY + DRAIN_GRACE + SOCKET_SLACK;
    assert!(last - listed_at <= allowed, "the list was used for {:?} after its answer", last - listed_at);
    proxy.end();
}
