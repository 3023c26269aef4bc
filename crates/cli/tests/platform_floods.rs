//! A client that sends as fast as it can takes neither the time nor the memory that the other clients of the
//! platform proxy need.

mod common;

use common::platform::{
    Client, Heard, Say, config, discovery, encode_command, good, look, pipeline, server, start, value,
};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// `config` grants 32 MB, the least that the platform hands out.
const MEMORY_LIMIT_KB: usize = 32 * 1024;
const DESCRIPTORS: usize = 1024;
/// How many calls with new names a flood consists of, in all and at once on its connection.
const FLOOD_CALLS: usize = 150_000;
const CALLS_AT_ONCE: usize = 30;
/// The longest time that a client may say it waits, in milliseconds.
const LONGEST_WAIT_MS: usize = 86_400_000;

/// A call whose key, id, tenant and idempotency key have not been seen before.
fn call_with_new_names(n: usize) -> Vec<u8> {
    let options = format!("c=book,t=tenant{n},d={LONGEST_WAIT_MS},k={n:x}");
    encode_command(&["CALL.POST", &format!("key-{n}"), &format!("id-{n}"), &options, "BODY"])
}

/// Sends calls on one connection, each batch as soon as the batch before it is answered.
fn flood(addr: SocketAddr, call: impl Fn(usize) -> Vec<u8>) {
    let mut client = Client::new(TcpStream::connect(addr).unwrap());
    for batch in 0..FLOOD_CALLS / CALLS_AT_ONCE {
        let calls: Vec<u8> = (0..CALLS_AT_ONCE).flat_map(|n| call(batch * CALLS_AT_ONCE + n)).collect();
        client.send(&calls);
        for _ in 0..CALLS_AT_ONCE {
            assert_ne!(client.read_reply(), Heard::Closed);
        }
    }
}

#[test]
fn a_client_that_invents_names_stays_within_the_memory_limit() {
    let server = server(|words, _| Say::Bytes(good(words)));
    let servers = [server.addr];
    let proxy = start("new-names", &config(discovery(&servers), pipeline().0, &servers, DESCRIPTORS));
    let before = proxy.peak_memory_kb().unwrap();
    flood(proxy.addr, call_with_new_names);
    let peak = proxy.peak_memory_kb().unwrap();
    println!("{before} kB before, {peak} kB at the most after {FLOOD_CALLS} calls");
    assert!(peak <= MEMORY_LIMIT_KB, "the proxy took {peak} kB of {MEMORY_LIMIT_KB} kB");
    proxy.end();
}

/// For how long a client floods the proxy beside an ordinary one.
const FLOOD_SPAN: Duration = Duration::from_secs(3);
/// How long the ordinary client waits, in milliseconds, and for how much longer an answer is no loss.
const WAIT_MS: u64 = 1_000;
const ANSWER_SLACK: Duration = Duration::from_millis(500);
const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";

/// What a client sends as fast as it can.
struct Flood {
    name: &'static str,
    /// How many messages are written at once. With `is_closed_loop`, their answers are read before the next.
    at_once: usize,
    is_closed_loop: bool,
    message: fn(usize) -> Vec<u8>,
}

fn call(n: usize, options: &str) -> Vec<u8> {
    encode_command(&["CALL.GET", &format!("key-{n}"), &format!("flood-{n}"), options])
}

const FLOODS: [Flood; 8] = [
    Flood { name: "pings", at_once: 30, is_closed_loop: true, message: |_| PING.to_vec() },
    Flood { name: "burst-of-pings", at_once: 100, is_closed_loop: false, message: |_| PING.to_vec() },
    Flood { name: "single-pings", at_once: 1, is_closed_loop: false, message: |_| PING.to_vec() },
    Flood { name: "calls", at_once: 30, is_closed_loop: true, message: |n| call(n, "c=look,t=one,d=1000") },
    Flood { name: "late-calls", at_once: 30, is_closed_loop: true, message: |n| call(n, "c=look,t=one,d=1") },
    Flood {
        name: "unread-calls",
        at_once: 5,
        is_closed_loop: false,
        message: |n| call(n, "c=look,t=one,d=500"),
    },
    Flood {
        name: "new-tenants",
        at_once: 30,
        is_closed_loop: true,
        message: |n| call(n, &format!("c=look,t=tenant{n},d=1000,x{n}=1")),
    },
    Flood {
        name: "no-deadline",
        at_once: 1,
        is_closed_loop: false,
        message: |n| call(n, "c=look,t=one,d=x"),
    },
];

/// Sends one batch after another on one connection, and on a new one when that has ended.
fn run_flood(addr: SocketAddr, flood: &Flood, stop: &AtomicBool) -> usize {
    let mut sent = 0;
    while !stop.load(Ordering::Relaxed) {
        let Ok(stream) = TcpStream::connect(addr) else { continue };
        let mut reader = stream.try_clone().unwrap();
        if !flood.is_closed_loop {
            std::thread::spawn(move || std::io::copy(&mut reader, &mut std::io::sink()));
        }
        let mut client = Client::new(stream);
        while !stop.load(Ordering::Relaxed) {
            let batch: Vec<u8> = (sent..sent + flood.at_once).flat_map(flood.message).collect();
            sent += flood.at_once;
            if !client.try_send(&batch) {
                break;
            }
            let answers = if flood.is_closed_loop { flood.at_once } else { 0 };
            if (0..answers).any(|_| client.read_reply() == Heard::Closed) {
                break;
            }
        }
    }
    sent
}

/// Sends one call after another, and returns how long the longest answer took and how many were served.
fn run_ordinary_client(addr: SocketAddr) -> (Duration, usize, usize) {
    let (mut longest, mut served, mut calls) = (Duration::ZERO, 0, 0);
    let until = Instant::now() + FLOOD_SPAN;
    while Instant::now() < until {
        let id = format!("ordinary-{calls}");
        let sent_at = Instant::now();
        let mut client = Client::new(TcpStream::connect(addr).unwrap());
        let answer = client.ask(&look(&id, WAIT_MS));
        assert_ne!(answer, Heard::Closed, "{id}");
        longest = longest.max(sent_at.elapsed());
        calls += 1;
        served += usize::from(answer == Heard::Value(value(&id)));
        std::thread::sleep(Duration::from_millis(10));
    }
    (longest, served, calls)
}

#[test]
fn a_client_that_sends_as_fast_as_it_can_does_not_delay_others() {
    let server = server(|words, _| Say::Bytes(good(words)));
    let servers = [server.addr];
    for flood in &FLOODS {
        let name = format!("flood-{}", flood.name);
        let proxy = start(&name, &config(discovery(&servers), pipeline().0, &servers, DESCRIPTORS));
        let stop = AtomicBool::new(false);
        let ((longest, served, calls), sent) = std::thread::scope(|scope| {
            let flooding = scope.spawn(|| run_flood(proxy.addr, flood, &stop));
            let seen = run_ordinary_client(proxy.addr);
            stop.store(true, Ordering::Relaxed);
            (seen, flooding.join().unwrap())
        });
        let peak = proxy.peak_memory_kb().unwrap();
        println!("{name}: {sent} sent; {served} of {calls} served, the longest after {longest:?}; {peak} kB");
        assert!(longest <= Duration::from_millis(WAIT_MS) + ANSWER_SLACK, "{name}: {longest:?}");
        assert!(served * 2 > calls, "{name}: {served} of {calls} calls served");
        assert!(peak <= MEMORY_LIMIT_KB, "{name}: the proxy took {peak} kB of {MEMORY_LIMIT_KB} kB");
    }
}
