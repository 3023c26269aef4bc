//! Race tests of the platform proxy as a process. The test plays the servers and services step by step
//! (`common/steps.rs`) and so forces the unfavourable order of events each time. `docs/crossings.md` lists
//! all cases.

mod common;

use common::platform::{Client, Heard, Proxy, Say, encode_command, good, launch, server, value, wait_until};
use common::services::{Member, list_json, member, release_status};
use common::steps::{ManualConnection, ManualListener, timed};
use common::world::{Environment, RELEASED_TO_ALL, environment, get, post, respond, respond_with_changes};
use rustix::process::Signal;
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The proxy assigns a call to a server whose connection attempt is still pending. Then `during_connect`
/// happens, and another server is listed. The call must go to the other server, and nothing of it to the
/// first.
fn expect_nothing_sent<T>(
    name: &str,
    status: &str,
    build: u64,
    during_connect: impl FnOnce(&Environment, &mut ManualConnection, Member, Member) -> T,
) {
    let (mut slow_server, other_server) = (ManualListener::with_full_backlog(), ManualListener::new());
    let first = member("s-1", slow_server.addr, build);
    let environment = environment(std::slice::from_ref(&first), status);
    let (proxy, mut discovery_conn) = environment.start(name, std::slice::from_ref(&first));
    let mut client = proxy.open();
    client.send(&get("late"));
    slow_server.await_connect_attempt();
    // Connections that `during_connect` opened stay open to the end of the test.
    let _kept_open =
        during_connect(&environment, &mut discovery_conn, first, member("s-2", other_server.addr, 7));
    proxy.await_input_read();
    slow_server.free_backlog();
    let bytes_received = slow_server.accept().read_to_end();
    assert_eq!(
        String::from_utf8_lossy(&bytes_received),
        "",
        "{name}: bytes were sent to a server that must not get the call"
    );
    let (mut served_by, received) = other_server.accept_command();
    served_by.send(&good(&received));
    assert_eq!(client.read_reply(), Heard::Value(value("late")), "{name}");
    proxy.end();
}

#[test]
fn a_server_that_drains_during_connect_gets_nothing() {
    expect_nothing_sent("drains", RELEASED_TO_ALL, 7, |_, discovery_conn, first, other_server| {
        let text =
            list_json(3, &[first, other_server]).replacen(r#""phase":"up""#, r#""phase":"draining""#, 1);
        respond(discovery_conn, &text);
        assert!(discovery_conn.expect_request_line().contains("index=3&wait="));
    });
}

#[test]
fn a_server_that_leaves_the_list_during_connect_gets_nothing() {
    expect_nothing_sent("gone", RELEASED_TO_ALL, 7, |_, discovery_conn, _, other_server| {
        respond(discovery_conn, &list_json(3, &[other_server]));
        assert!(discovery_conn.expect_request_line().contains("index=3&wait="));
    });
}

/// The server id returns at the same address with the build on trial, whose cap is 0.
#[test]
fn a_server_that_returns_with_another_build_during_connect_gets_nothing() {
    expect_nothing_sent(
        "another-build",
        &release_status(8, 1, "canary", 0.0),
        7,
        |_, discovery_conn, first, other_server| {
            respond_with_changes(discovery_conn, 3, &[Member { build: 8, ..first }, other_server]);
        },
    );
}

/// The cap of the build on trial falls to 0 and is in force for longer than the grace when the connection
/// completes.
#[test]
fn a_cap_lowered_during_connect_applies_to_the_pending_attempt() {
    expect_nothing_sent(
        "cap",
        &release_status(8, 1, "canary", 0.5),
        8,
        |environment, discovery_conn, _, other_server| {
            respond_with_changes(discovery_conn, 3, &[other_server]);
            let mut release_service = environment.release_service.accept();
            let lower = release_status(8, 1, "canary", 0.0);
            release_service.send(
                format!("{{\"jsonrpc\":\"2.0\",\"method\":\"stage\",\"params\":{lower}}}\n").as_bytes(),
            );
            release_service
        },
    );
}

/// Where the settings do not allow cancelling, the attempts of a client that has left are not cancelled; an
/// attempt that has not been sent yet must end unsent.
#[test]
fn an_attempt_of_a_client_that_leaves_during_connect_is_not_sent() {
    let mut slow_server = ManualListener::with_full_backlog();
    let known = [member("s-1", slow_server.addr, 7)];
    let mut environment = environment(&known, RELEASED_TO_ALL);
    environment.config["settings"]["Caps"]["Cancelling"] = json!(false);
    let (proxy, _discovery_conn) = environment.start("left", &known);
    let mut client = proxy.open();
    client.send(&get("left"));
    slow_server.await_connect_attempt();
    drop(client);
    proxy.await_input_read();
    slow_server.free_backlog();
    assert_eq!(String::from_utf8_lossy(&slow_server.accept().read_to_end()), "");
    proxy.end();
}

/// The first attempt of a keyed call may have run. The connection for its retry takes longer than the
/// deduplication window, so the retry must not be sent.
#[test]
fn a_retry_whose_dedup_window_ends_during_connect_is_not_sent() {
    let (server_a, mut slow_server) = (ManualListener::new(), ManualListener::with_full_backlog());
    let known = [member("s-1", server_a.addr, 7)];
    let mut environment = environment(&known, RELEASED_TO_ALL);
    environment.config["settings"]["Classes"][1]["Window"] = json!(600_000);
    let (proxy, mut discovery_conn) = environment.start("window", &known);
    let mut client = proxy.open();
    client.send(&post("once"));
    let (first, received) = server_a.accept_command();
    assert_eq!(received[2], "once");
    respond(&mut discovery_conn, &list_json(3, &[member("s-2", slow_server.addr, 7)]));
    assert!(discovery_conn.expect_request_line().contains("index=3&wait="));
    first.reset();
    slow_server.await_connect_attempt();
    slow_server.free_backlog();
    assert_eq!(
        String::from_utf8_lossy(&slow_server.accept().read_to_end()),
        "",
        "retried after its deduplication window"
    );
    assert!(matches!(client.read_reply(), Heard::Line(text) if text.starts_with('-')));
    proxy.end();
}

const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";

/// Starts a proxy with one server; calls end after at most 1.2 s.
fn start_with_one_server(
    name: &str,
    edit: impl FnOnce(&mut Value),
) -> (ManualListener, Proxy, ManualConnection) {
    let server_a = ManualListener::new();
    let known = [member("s-1", server_a.addr, 7)];
    let mut environment = environment(&known, RELEASED_TO_ALL);
    for class in environment.config["settings"]["Classes"].as_array_mut().unwrap() {
        class["Objective"] = json!(1_100_000);
        class["HardLimit"] = json!(1_200_000);
    }
    edit(&mut environment.config);
    let (proxy, discovery_conn) = environment.start(name, &known);
    (server_a, proxy, discovery_conn)
}

/// When the process shuts down, more connections than two turns of its event loop accept wait in the accept
/// queue of the kernel, with their calls sent. The process is stopped once it has handled SIGTERM, so that
/// its next turn is the one in which it would exit.
#[test]
fn shutdown_answers_calls_in_the_accept_queue() {
    let (server_a, proxy, _discovery_conn) =
        start_with_one_server("queue", |config| config["limits"]["sockets"] = json!(1024));
    proxy.await_input_read();
    proxy.signal(Signal::TERM);
    wait_until("the proxy does not log that it handles SIGTERM", || proxy.log().contains("ending"));
    proxy.signal(Signal::STOP);
    let mut clients: Vec<Client> = (0..300).map(|_| proxy.open()).collect();
    clients.iter_mut().for_each(|client| client.send(PING));
    std::thread::sleep(Duration::from_millis(600));
    proxy.signal(Signal::CONT);
    for (n, client) in clients.iter_mut().enumerate() {
        assert_eq!(client.read_reply(), Heard::Line("+PONG".into()), "connection {n}");
    }
    drop((clients, server_a));
    assert!(proxy.wait_for_exit().success());
}

/// SIGTERM arrives in four states: an accepted connection whose first call is still on its way, a connection
/// with half a call received, one with a call behind the one in flight, and an idle one between two calls,
/// which is closed.
#[test]
fn shutdown_answers_calls_that_are_still_arriving() {
    let (may_answer, call_arrived) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let (may_answer_in_server, call_arrived_in_server) = (may_answer.clone(), call_arrived.clone());
    let server_a = server(move |words, _| {
        call_arrived_in_server.fetch_or(words[2] == "flying", Ordering::Relaxed);
        wait_until("the test does not release the response", || {
            words[2] != "flying" || may_answer_in_server.load(Ordering::Relaxed)
        });
        Say::Bytes(good(words))
    });
    let known = [member("s-1", server_a.addr, 7)];
    let (proxy, _discovery_conn) = environment(&known, RELEASED_TO_ALL).start("on-its-way", &known);
    let mut clients: Vec<Client> = (0..3).map(|_| proxy.open()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        let id = format!("first{n}");
        assert_eq!(client.ask(&get(&id)), Heard::Value(value(&id)));
    }
    let [mut half, mut busy, mut idle] = <[Client; 3]>::try_from(clients).ok().unwrap();
    let mut fresh = proxy.open();
    half.send(&get("half")[..20]);
    busy.send(&get("flying"));
    wait_until("the call does not reach the server", || call_arrived.load(Ordering::Relaxed));
    proxy.await_input_read();
    proxy.signal(Signal::TERM);
    assert_eq!(idle.read_reply(), Heard::Closed);
    busy.send(&get("behind"));
    may_answer.store(true, Ordering::Relaxed);
    for id in ["flying", "behind"] {
        assert_eq!(busy.read_reply(), Heard::Value(value(id)));
    }
    half.send(&get("half")[20..]);
    assert_eq!(half.read_reply(), Heard::Value(value("half")));
    assert_eq!(fresh.ask(&get("fresh")), Heard::Value(value("fresh")));
    drop((half, busy, idle, fresh));
    assert!(proxy.wait_for_exit().success());
}

/// Clients that do not read, a call that no server answers, a second SIGTERM and a SIGHUP must not delay the
/// exit: the process exits with 0 within the longest deadline of the settings and 0.5 s, and the call is
/// answered.
#[test]
fn shutdown_ends_in_time_whatever_the_clients_do() {
    let (server_a, proxy, _discovery_conn) = start_with_one_server("in-time", |_| ());
    let mut not_reading = proxy.open();
    not_reading.send(&get("deaf"));
    let mut connection = server_a.accept();
    let words = connection.expect_command();
    let long = "x".repeat(60_000);
    connection.send(format!("*3\r\n${}\r\n{long}\r\n$-1\r\n$-1\r\n", long.len()).as_bytes());
    assert_eq!(words[2], "deaf");
    let mut waiting = proxy.open();
    // This deadline exceeds the longest one of the settings and must not keep the process alive.
    waiting.send(&get_within("waits", 60_000));
    let (_silent, words) = server_a.accept_command();
    assert_eq!(words[2], "waits");
    let silent = proxy.open();
    let (ended, elapsed) = timed(|| {
        proxy.signal(Signal::TERM);
        let answer = waiting.read_reply();
        assert!(matches!(&answer, Heard::Line(text) if text.starts_with('-')), "{answer:?}");
        proxy.signal(Signal::TERM);
        proxy.signal(Signal::HUP);
        proxy.wait_for_exit()
    });
    assert!(ended.success(), "{ended}");
    assert!(elapsed < Duration::from_millis(1700), "{elapsed:?}");
    drop((not_reading, silent));
}

#[test]
fn half_a_command_is_refused_before_the_end_of_a_shutdown() {
    let (server_a, proxy, _discovery_conn) = start_with_one_server("half-at-end", |_| ());
    let mut waiting = proxy.open();
    waiting.send(&get_within("waits", 60_000));
    let (_silent, words) = server_a.accept_command();
    assert_eq!(words[2], "waits");
    let mut half = proxy.open();
    proxy.signal(Signal::TERM);
    half.send(&get("half")[..20]);
    assert!(matches!(waiting.read_reply(), Heard::Line(text) if text.starts_with('-')));
    assert_eq!(half.read_reply(), Heard::Line("-BUSY".into()));
    assert_eq!(half.read_reply(), Heard::Closed);
    assert!(proxy.wait_for_exit().success());
}

fn get_within(id: &str, wait_ms: u64) -> Vec<u8> {
    encode_command(&["CALL.GET", "key", id, &format!("c=look,t=one,d={wait_ms}")])
}

/// SIGTERM at any moment of the start ends the process: by the signal before the process handles signals, and
/// by an exit with 0 after that.
#[test]
fn sigterm_during_the_start_ends_the_process() {
    let server_a = ManualListener::new();
    let environment = environment(&[member("s-1", server_a.addr, 7)], RELEASED_TO_ALL);
    for n in 0..12 {
        let proxy = launch("starting", &environment.config.to_string());
        // From before the program runs to the time when it listens.
        std::thread::sleep(Duration::from_millis(n));
        proxy.signal(Signal::TERM);
        let status = proxy.wait_for_exit();
        let by_signal = std::os::unix::process::ExitStatusExt::signal(&status) == Some(15);
        assert!(status.success() || by_signal, "{status}");
    }
}

/// The proxy does not read further calls from a connection with the maximum number of calls in flight. It
/// must notice all the same that the client closes the connection, and end the attempts.
#[test]
fn a_disconnect_is_noticed_on_a_connection_at_its_call_limit() {
    let (server_a, proxy, _discovery_conn) = start_with_one_server("full", |config| {
        for class in config["settings"]["Classes"].as_array_mut().unwrap() {
            class["HardLimit"] = json!(60_000_000);
            class["Objective"] = json!(60_000_000);
        }
    });
    // Keyed calls are not cancelled for a retry, so nothing else ends the attempts while the test waits.
    let call =
        |id: &str| encode_command(&["CALL.POST", "key", id, &format!("c=book,t=one,d=60000,k={id}"), "BODY"]);
    let mut client = proxy.open();
    client.send(&(0..32).flat_map(|n| call(&format!("n{n}"))).collect::<Vec<u8>>());
    let mut connections: Vec<ManualConnection> = (0..32).map(|_| server_a.accept_command().0).collect();
    // Another call behind them, which the proxy does not read.
    client.send(&call("more"));
    drop(client);
    connections.iter_mut().for_each(|connection| assert_eq!(connection.read_to_end(), b""));
    proxy.end();
}

/// A call that waits behind the maximum number of calls on a connection is served once one of those has
/// ended.
#[test]
fn calls_beyond_the_call_limit_of_a_connection_are_served_later() {
    let (server_a, proxy, _discovery_conn) = start_with_one_server("turns", |_| ());
    let mut client = proxy.open();
    client.send(&(0..32).flat_map(|n| get_within(&format!("n{n}"), 1000)).collect::<Vec<u8>>());
    let mut connections: Vec<(ManualConnection, Vec<String>)> =
        (0..32).map(|_| server_a.accept_command()).collect();
    client.send(&get_within("more", 1000));
    proxy.await_input_read();
    connections.sort_by_key(|(_, words)| words[2][1..].parse::<usize>().unwrap());
    for (n, (connection, words)) in connections.iter_mut().enumerate() {
        connection.send(&good(words));
        assert_eq!(client.read_reply(), Heard::Value(value(&format!("n{n}"))));
    }
    // The attempt may come on one of these connections or on a new one.
    let mut attempt_connection = None;
    wait_until("the waiting call does not reach a server", || {
        let at = connections.iter().position(|(connection, _)| connection.has_input());
        attempt_connection = at.map(|at| connections.swap_remove(at).0).or_else(|| server_a.try_accept());
        attempt_connection.is_some()
    });
    let mut connection = attempt_connection.unwrap();
    let words = connection.expect_command();
    assert_eq!(words[2], "more");
    connection.send(&good(&words));
    assert_eq!(client.read_reply(), Heard::Value(value("more")));
    proxy.end();
}

/// Servers close connections that were idle for 140 ms. The proxy must not reuse a connection that was idle
/// for nearly as long, whenever its periodic maintenance last ran.
#[test]
fn a_connection_idle_for_too_long_is_not_reused() {
    let (server_a, proxy, _discovery_conn) = start_with_one_server("rested", |config| {
        config["settings"]["Caps"]["IdleClose"] = json!(140_000);
        // The test answers some milliseconds late, and such an attempt must not be cancelled for a retry.
        config["settings"]["Caps"]["Cancelling"] = json!(false);
    });
    let mut client = proxy.open();
    for n in 0..12 {
        let id = format!("n{n}");
        client.send(&get(&id));
        let (mut connection, words) = server_a.accept_command();
        connection.send(&good(&words));
        assert_eq!(client.read_reply(), Heard::Value(value(&id)));
        // The proxy has read the response by now, so its connection is idle for at least this long.
        std::thread::sleep(Duration::from_millis(113));
        // The next call comes on a new connection, and nothing follows on this one.
        client.send(&get(&format!("again{n}")));
        let (mut next, words) = server_a.accept_command();
        next.send(&good(&words));
        assert_eq!(client.read_reply(), Heard::Value(value(&format!("again{n}"))));
        assert_eq!(connection.read_to_end(), b"", "round {n}");
        assert_eq!(next.read_to_end(), b"");
    }
    proxy.end();
}

/// A complete response that takes more than one read arrives while the process is stopped, and its timeout
/// passes before the process continues. The response must still be served.
#[test]
fn a_response_that_arrived_before_its_timeout_is_served_when_read_late() {
    let (server_a, proxy, _discovery_conn) = start_with_one_server("unread", |_| ());
    let mut client = proxy.open();
    client.send(&get_within("late", 1000));
    let mut connection = server_a.accept();
    connection.expect_command();
    proxy.signal(Signal::STOP);
    let long = "y".repeat(60_000);
    connection.send(format!("*3\r\n${}\r\n{long}\r\n$-1\r\n$-1\r\n", long.len()).as_bytes());
    std::thread::sleep(Duration::from_millis(1100));
    proxy.signal(Signal::CONT);
    assert!(client.read_reply() == Heard::Value(long), "the response was not served");
    proxy.end();
}

/// A duplicate response follows the first some milliseconds later, while the next call is on its way: it must
/// not answer that call. The proxy reuses a connection only once it was idle for 10 ms.
#[test]
fn a_duplicate_response_that_crosses_the_next_call_answers_no_request() {
    let (server_a, proxy, _discovery_conn) = start_with_one_server("second-answer", |_| ());
    let (mut client, mut sent_on_new) = (proxy.open(), 0);
    let mut idle: Option<ManualConnection> = None;
    for n in 0..20 {
        let (id, next) = (format!("n{n}"), format!("next{n}"));
        client.send(&get(&id));
        let (mut connection, words) = accept_on_idle_or_new(&server_a, &mut [&mut idle]);
        let answered = Instant::now();
        connection.send(&good(&words));
        assert_eq!(client.read_reply(), Heard::Value(value(&id)));
        client.send(&get(&next));
        let mut old = Some(connection);
        // If the last call came on a new connection, the one before it may be idle too and be used.
        let (mut new, words) = accept_on_idle_or_new(&server_a, &mut [&mut old, &mut idle]);
        assert_eq!(words[2], next);
        match old {
            None => assert!(
                answered.elapsed() >= Duration::from_millis(10),
                "the connection was reused within 10 ms"
            ),
            Some(mut old) => {
                sent_on_new += 1;
                // No call is in flight on this connection: the duplicate arrives, and the proxy closes the
                // connection.
                old.send(&good(&["".into(), "".into(), id]));
                assert_eq!(old.read_to_end(), b"");
            }
        }
        new.send(&good(&words));
        assert_eq!(client.read_reply(), Heard::Value(value(&next)));
        idle = Some(new);
    }
    assert!(
        sent_on_new > 0,
        "no call came within 10 ms of a response: the machine is too slow for this test"
    );
    proxy.end();
}

/// Reads the next command, from one of the idle connections or from a new one. An idle connection is `None`
/// afterwards if it was used or has ended.
fn accept_on_idle_or_new(
    peer: &ManualListener,
    idle: &mut [&mut Option<ManualConnection>],
) -> (ManualConnection, Vec<String>) {
    let mut fresh = None;
    let has_input = |connection: &&mut Option<ManualConnection>| {
        connection.as_ref().is_some_and(ManualConnection::has_input)
    };
    wait_until("no command arrives", || {
        fresh = peer.try_accept();
        fresh.is_some() || idle.iter().any(has_input)
    });
    if let Some(mut connection) = fresh {
        let words = connection.expect_command();
        return (connection, words);
    }
    let used = idle.iter().position(has_input).unwrap();
    let mut connection = idle[used].take().unwrap();
    match connection.next_command() {
        Some(words) => (connection, words),
        // The idle connection has ended.
        None => accept_on_idle_or_new(peer, idle),
    }
}
