//! Time-outs of the platform proxy's client connections: each counts from the event that it is for, and not
//! from an earlier one on the same connection.

mod common;

use common::platform::{
    Client, Heard, Proxy, Say, Server, config, discovery, encode_command, good, look, pipeline, server,
    start, value,
};
use rustix::process::Signal;
use std::time::{Duration, Instant};

/// Longer than the time in which a command must arrive, and shorter than the time for which a connection with
/// a served call may be idle.
const REST: Duration = Duration::from_millis(1_600);
/// The pause in the middle of a call. The proxy looks for expired time-outs several times in it.
const PAUSE_WITHIN_CALL: Duration = Duration::from_millis(400);
/// A silence after which [`PAUSE_WITHIN_CALL`] outlasts the time in which a new connection must begin a call.
const SILENCE_BEFORE_FIRST_CALL: Duration = Duration::from_millis(1_300);
/// The platform's limit for the end of a connection with half a command.
const HALF_COMMAND_LIMIT: Duration = Duration::from_secs(3);
/// The size of the largest value that the platform's protocol allows.
const MAX_VALUE_BYTES: usize = 64 * 1024;

fn start_with_server(name: &str) -> (Proxy, Server) {
    let healthy = server(|words, _| Say::Bytes(good(words)));
    let (release_service, _) = pipeline();
    let proxy = start(name, &config(discovery(&[healthy.addr]), release_service, &[healthy.addr], 256));
    (proxy, healthy)
}

/// Opens a connection, has one call served on it and leaves it idle for [`REST`].
fn rested_client(proxy: &Proxy, id: &str) -> Client {
    let mut client = proxy.open();
    assert_eq!(client.ask(&look(id, 1000)), Heard::Value(value(id)));
    std::thread::sleep(REST);
    client
}

fn send_in_two_parts(client: &mut Client, call: &[u8]) {
    let (first, second) = call.split_at(call.len() / 2);
    client.send(first);
    std::thread::sleep(PAUSE_WITHIN_CALL);
    assert!(client.try_send(second), "the proxy closed the connection in the middle of a call");
}

/// Guards against a call that is dropped in the middle of arriving because its connection had been idle
/// before it. The time-out for half a command must still apply, from that command's first byte.
#[test]
fn a_call_that_arrives_in_parts_on_a_rested_connection_is_answered() {
    let (proxy, _server) = start_with_server("rested-parts");
    let mut client = rested_client(&proxy, "before-parts");
    send_in_two_parts(&mut client, &look("parts", 2000));
    assert_eq!(client.read_reply(), Heard::Value(value("parts")));
    std::thread::sleep(REST);
    let first_byte_at = Instant::now();
    client.send(&look("half", 2000)[..20]);
    assert_eq!(client.read_reply(), Heard::Closed);
    assert!(first_byte_at.elapsed() < HALF_COMMAND_LIMIT, "{:?}", first_byte_at.elapsed());
    proxy.end();
}

/// Guards against a call that was written whole and is dropped while it is read, because the process was held
/// up and reads it in several turns.
#[test]
fn a_large_call_on_a_rested_connection_is_answered_after_a_hold_up() {
    let (proxy, _server) = start_with_server("rested-large");
    let mut client = rested_client(&proxy, "before-large");
    proxy.signal(Signal::STOP);
    let body = "x".repeat(MAX_VALUE_BYTES);
    let call = encode_command(&["CALL.POST", "key", "large", "c=book,t=one,d=2500,k=5c0f", &body]);
    let mut writer = client.stream.try_clone().unwrap();
    let writing = std::thread::spawn(move || std::io::Write::write_all(&mut writer, &call));
    std::thread::sleep(Duration::from_millis(80));
    proxy.signal(Signal::CONT);
    writing.join().unwrap().unwrap();
    assert_eq!(client.read_reply(), Heard::Value(value("large")));
    proxy.end();
}

/// Guards against a first call that is dropped in the middle of arriving because its connection was silent
/// for a while after it was accepted. A connection with half a first command must still end in time.
#[test]
fn a_first_call_that_begins_late_is_answered() {
    let (proxy, _server) = start_with_server("late-first");
    let mut client = proxy.open();
    std::thread::sleep(SILENCE_BEFORE_FIRST_CALL);
    send_in_two_parts(&mut client, &look("late", 2000));
    assert_eq!(client.read_reply(), Heard::Value(value("late")));
    let opened_at = Instant::now();
    let mut client = proxy.open();
    std::thread::sleep(SILENCE_BEFORE_FIRST_CALL);
    client.send(&look("half", 2000)[..20]);
    assert_eq!(client.read_reply(), Heard::Closed);
    assert!(opened_at.elapsed() < HALF_COMMAND_LIMIT, "{:?}", opened_at.elapsed());
    proxy.end();
}
