//! Race tests around the server list: watches that fall silent, responses in the wrong order, and discovery
//! services that move or restart their version count. The proxy runs as a process, and the test plays
//! discovery step by step.

mod common;

use common::platform::{Client, Heard, Proxy, good, launch, value, wait_until};
use common::services::{list_json, member};
use common::steps::{ManualConnection, ManualListener};
use common::world::{
    Environment, RELEASED_TO_ALL, environment, get, respond, respond_unchanged, respond_with_changes,
};
use rustix::process::Signal;
use serde_json::json;
use std::io::Write;
use std::time::{Duration, Instant};

const FULL_LIST_REQUEST: &str = "GET /discovery/hosts HTTP/1.1";

/// Sends a call, which must be served by this server.
fn expect_served_by(proxy: &Proxy, server: &ManualListener, id: &str) {
    let mut client: Client = proxy.open();
    client.send(&get(id));
    let (mut connection, received) = server.accept_command();
    assert_eq!(received[2], id);
    connection.send(&good(&received));
    assert_eq!(client.read_reply(), Heard::Value(value(id)));
}

/// Two servers, of which the first is in the list held at the start. The proxy replaces a watch that was
/// silent for 0.7 s.
fn two_servers() -> (ManualListener, ManualListener, Environment) {
    let (server_a, server_b) = (ManualListener::new(), ManualListener::new());
    let mut environment = environment(&[member("s-1", server_a.addr, 7)], RELEASED_TO_ALL);
    environment.config["settings"]["Contract"]["AskWithin"] = json!(1_000_000);
    (server_a, server_b, environment)
}

/// A watch that falls silent is replaced, both before its response and in the middle of it. The next watch
/// asks for changes since the version held, and its response takes effect.
#[test]
fn a_watch_that_falls_silent_is_replaced() {
    for (n, partial_response) in
        ["", "HTTP/1.1 200 OK\r\ncontent-length: 4000\r\n\r\n{\"revision\":3,"].into_iter().enumerate()
    {
        let (server_a, server_b, environment) = two_servers();
        let known = [member("s-1", server_a.addr, 7)];
        let (proxy, mut silent) = environment.start(&format!("silent{n}"), &known);
        silent.send(partial_response.as_bytes());
        let mut fresh = environment.discovery.accept();
        assert!(fresh.expect_request_line().contains("index=2&wait="));
        assert_eq!(silent.read_to_end(), b"");
        respond(&mut fresh, &list_json(3, &[member("s-2", server_b.addr, 7)]));
        assert!(fresh.expect_request_line().contains("index=3&wait="));
        expect_served_by(&proxy, &server_b, "after");
        respond_with_changes(&mut fresh, 4, &[member("s-3", server_a.addr, 7)]);
        proxy.end();
    }
}

/// The proxy keeps a watch that is answered in time, with or without changes: it opens no other connection
/// and does not ask for the full list, however long nothing changes.
#[test]
fn an_answered_watch_is_the_only_call_to_discovery() {
    let (server_a, _server_b, mut environment) = two_servers();
    // Without a response the proxy would ask again after 4.2 s. All rounds together take longer, each round
    // far less.
    environment.config["settings"]["Contract"]["AskWithin"] = json!(6_000_000);
    let known = [member("s-1", server_a.addr, 7)];
    let (proxy, mut watch) = environment.start("only", &known);
    for _ in 0..10 {
        std::thread::sleep(Duration::from_millis(500));
        respond_unchanged(&mut watch, 2);
        assert!(watch.expect_request_line().contains("index=2&wait="));
    }
    assert!(environment.discovery.try_accept().is_none(), "a second connection beside the watch");
    expect_served_by(&proxy, &server_a, "after");
    proxy.end();
}

/// A response on a watch that was replaced must have no effect. The process is stopped until both that
/// response and the one on the new watch have arrived.
#[test]
fn a_response_on_a_replaced_watch_has_no_effect() {
    let (server_a, server_b, environment) = two_servers();
    let known = [member("s-1", server_a.addr, 7)];
    let (proxy, mut old) = environment.start("replaced", &known);
    let mut fresh = environment.discovery.accept();
    assert!(fresh.expect_request_line().contains("index=2&wait="));
    proxy.signal(Signal::STOP);
    let late = list_json(9, &[member("s-9", server_a.addr, 7)]);
    // The proxy may have closed the connection already, and then nothing of this arrives.
    let _ = old.stream.write_all(late.as_bytes());
    respond(&mut fresh, &list_json(3, &[member("s-2", server_b.addr, 7)]));
    proxy.signal(Signal::CONT);
    assert!(fresh.expect_request_line().contains("index=3&wait="));
    expect_served_by(&proxy, &server_b, "after");
    respond_with_changes(&mut fresh, 4, &[member("s-3", server_a.addr, 7)]);
    proxy.end();
}

/// Discovery restarts and counts versions from a lower number; its lists take effect, also when their JSON is
/// indented. The same holds for a process that starts with a list of the earlier count, and where a watch
/// shows the lower version without a full list.
#[test]
fn lists_of_a_service_that_restarts_its_version_count_take_effect() {
    let (server_a, server_b, environment) = two_servers();
    let known = [member("s-1", server_a.addr, 7)];
    let (proxy, mut discovery_conn) = environment.start("anew", &known);
    respond(&mut discovery_conn, &list_json(70, &known));
    assert!(discovery_conn.expect_request_line().contains("index=70&wait="));
    discovery_conn.reset();
    let mut reconnected = environment.discovery.accept();
    assert!(reconnected.expect_request_line().contains("index=70&wait="));
    let text: serde_json::Value =
        serde_json::from_str(&list_json(5, &[member("s-2", server_b.addr, 7)])).unwrap();
    respond(&mut reconnected, &serde_json::to_string_pretty(&text).unwrap());
    assert!(reconnected.expect_request_line().contains("index=5&wait="));
    expect_served_by(&proxy, &server_b, "after");
    proxy.end();
    let mut late = environment.config.clone();
    late["known"]["revision"] = json!(90);
    let proxy = launch("anew-start", &late.to_string());
    let mut discovery_conn = environment.discovery.accept();
    assert!(discovery_conn.expect_request_line().contains("index=90&wait="));
    respond_unchanged(&mut discovery_conn, 5);
    assert_eq!(discovery_conn.read_to_end(), b"", "changes were accepted on top of another version count");
    let mut discovery_conn = environment.discovery.accept();
    assert_eq!(discovery_conn.expect_request_line(), FULL_LIST_REQUEST);
    respond(&mut discovery_conn, &list_json(5, &[member("s-2", server_b.addr, 7)]));
    assert!(discovery_conn.expect_request_line().contains("index=5&wait="));
    expect_served_by(&proxy, &server_b, "started");
    proxy.end();
}

/// SIGHUP names another discovery service, whose version is lower, while a response of the old service is
/// unread: the process is stopped until both have arrived. In the end the list of the new service must be in
/// force.
#[test]
fn a_new_discovery_address_overrides_the_last_response_of_the_old_one() {
    let (server_a, server_b, mut environment) = two_servers();
    let known = [member("s-1", server_a.addr, 7)];
    let (proxy, mut old) = environment.start("moved", &known);
    let moved_discovery = ManualListener::new();
    environment.config["discovery"] = json!(moved_discovery.addr.to_string());
    proxy.await_input_read();
    proxy.signal(Signal::STOP);
    std::fs::write(&proxy.config_file, environment.config.to_string()).unwrap();
    proxy.signal(Signal::HUP);
    respond(&mut old, &list_json(80, &[member("s-9", server_a.addr, 7)]));
    proxy.signal(Signal::CONT);
    // The proxy may or may not have read the last response of the old service; the new service counts from a
    // lower version, or goes on from the version held.
    let mut discovery_conn = moved_discovery.accept();
    let asked = discovery_conn.expect_request_line();
    assert!(asked.contains("index=80&wait=") || asked.contains("index=2&wait="), "{asked}");
    respond(&mut discovery_conn, &list_json(3, &[member("s-2", server_b.addr, 7)]));
    assert!(discovery_conn.expect_request_line().contains("index=3&wait="));
    expect_served_by(&proxy, &server_b, "moved");
    proxy.end();
}

/// SIGHUP names an address where another list has the same version, so that watches there show no change.
/// Some time after such a move the proxy asks for the full list once more, and finds the difference.
#[test]
fn a_different_list_of_the_same_version_at_a_new_address_is_detected() {
    let (server_a, server_b, mut environment) = two_servers();
    let known = [member("s-1", server_a.addr, 7)];
    let (proxy, _old) = environment.start("verified", &known);
    let moved_discovery = ManualListener::new();
    environment.config["discovery"] = json!(moved_discovery.addr.to_string());
    proxy.await_input_read();
    std::fs::write(&proxy.config_file, environment.config.to_string()).unwrap();
    proxy.signal(Signal::HUP);
    let mut discovery_conn = moved_discovery.accept();
    // The full list is asked for after at most forty times `AskWithin`, which is 1 s here.
    let until = Instant::now() + Duration::from_secs(45);
    loop {
        match discovery_conn.next_request_line() {
            Some(asked) if asked == FULL_LIST_REQUEST => break,
            Some(asked) => assert!(asked.contains("index=2&wait="), "{asked}"),
            // The proxy replaced the watch because the response was late; the next watch asks the same.
            None => {
                discovery_conn = moved_discovery.accept();
                continue;
            }
        }
        assert!(Instant::now() < until, "the proxy does not ask for the full list");
        // A response within less than this time counts as one that came at once.
        std::thread::sleep(Duration::from_millis(150));
        respond_unchanged(&mut discovery_conn, 2);
    }
    respond(&mut discovery_conn, &list_json(2, &[member("s-2", server_b.addr, 7)]));
    assert!(discovery_conn.expect_request_line().contains("index=2&wait="));
    expect_served_by(&proxy, &server_b, "verified");
    proxy.end();
}

/// A discovery service that responds to watches at once without changes must not be called without pause:
/// each such response counts as a failure, and the next call waits.
#[test]
fn watches_that_return_at_once_are_not_repeated_without_pause() {
    let (server_a, _server_b, environment) = two_servers();
    let known = [member("s-1", server_a.addr, 7)];
    let (proxy, mut discovery_conn) = environment.start("storm", &known);
    respond(&mut discovery_conn, &list_json(2, &[]).replace(r#""complete":true"#, r#""complete":false"#));
    assert_eq!(discovery_conn.read_to_end(), b"", "the proxy called again at once");
    let mut next = environment.discovery.accept();
    assert!(next.expect_request_line().contains("index=2&wait="));
    proxy.end();
}

/// With pushed lists this proxy uses calls and watches as well. The state of the service counts from the
/// start of the process, so a process must not report that it is ready before it has called discovery.
#[test]
fn pushed_lists_are_followed_from_the_start() {
    let (server_a, server_b) = (ManualListener::new(), ManualListener::new());
    let known = [member("s-1", server_a.addr, 7)];
    let mut environment = environment(&known, RELEASED_TO_ALL);
    environment.config["settings"]["Discovery"] = json!("pushed");
    let proxy = launch("pushed", &environment.config.to_string());
    let mut discovery_conn = environment.discovery.accept();
    assert_eq!(discovery_conn.expect_request_line(), "GET /discovery/hosts HTTP/1.1");
    wait_until("the proxy does not listen", || proxy.ping().is_some());
    assert_eq!(proxy.ping().unwrap(), b"-LOADING no server list yet\r\n");
    respond(&mut discovery_conn, &list_json(2, &known));
    assert!(discovery_conn.expect_request_line().contains("index=2&wait="));
    wait_until("the proxy is not ready", || proxy.ping().unwrap() == b"+PONG\r\n");
    // Two changes, one after the other.
    for (revision, listed_server) in [(3, &server_b), (4, &server_a)] {
        respond(&mut discovery_conn, &list_json(revision, &[member("s-9", listed_server.addr, 7)]));
        assert!(discovery_conn.expect_request_line().contains(&format!("index={revision}&wait=")));
        let mut client = proxy.open();
        let id = format!("r{revision}");
        client.send(&get(&id));
        let (mut connection, received) = listed_server.accept_command();
        assert_eq!(received[2], id);
        connection.send(&good(&received));
        assert_eq!(client.read_reply(), Heard::Value(value(&id)));
    }
    proxy.end();
}

/// While a service of pushed lists is silent, the proxy learns nothing from it; its list must take effect as
/// soon as it is back. The calls are therefore repeated at a constant pace, without a growing back-off.
#[test]
fn failed_calls_for_a_pushed_list_are_retried_at_a_constant_pace() {
    let (server_a, server_b, mut environment) = two_servers();
    environment.config["settings"]["Discovery"] = json!("pushed");
    // Settings with pushed lists do not have this value.
    environment.config["settings"]["Contract"].as_object_mut().unwrap().remove("AskWithin");
    let proxy = launch("pushed-again", &environment.config.to_string());
    let started = std::time::Instant::now();
    for _ in 0..8 {
        let connection = environment.discovery.accept();
        connection.reset();
    }
    // With the balancer's back-off these calls would take 20 s or more: 0.4, 0.8, 1.6, 3.2, 6.4, 6.4 and 6.4
    // s on average.
    assert!(started.elapsed() < Duration::from_secs(8), "{:?}", started.elapsed());
    let mut discovery_conn: ManualConnection = environment.discovery.accept();
    assert_eq!(discovery_conn.expect_request_line(), FULL_LIST_REQUEST);
    respond(&mut discovery_conn, &list_json(3, &[member("s-2", server_b.addr, 7)]));
    assert!(discovery_conn.expect_request_line().contains("index=3&wait="));
    expect_served_by(&proxy, &server_b, "back");
    drop(server_a);
    proxy.end();
}
