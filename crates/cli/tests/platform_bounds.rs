//! Bounds that the platform proxy keeps under any load: its memory and descriptors when ids, keys and
//! connections are always new, and the deadline of a call that the process read late.

mod common;

use common::platform::{
    Client, Heard, Say, Server, config, discovery, encode_command, good, look, pipeline, server, start, value,
};
use rustix::process::Signal;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// All calls of the test, each with a new id, a new key and a new connection.
const CALLS: usize = 100_000;
const CLIENTS: usize = 8;
/// Limit on the growth caused by 75,000 further keys in the tables that remember them; those tables hold at
/// most 200,000 keys, at some 80 bytes each. A leak of one small buffer per call would exceed it.
const MAX_GROWTH_KB: usize = 10 * 1024;
/// Within this time the proxy closes the server connections that are idle since the last call.
const IDLE_CONNECTIONS_CLOSED: Duration = Duration::from_secs(20);

fn healthy_server() -> Server {
    server(|words, _| Say::Bytes(good(words)))
}

/// Resident memory in kB and number of open descriptors of a process.
fn memory_and_descriptors(pid: u32) -> (usize, usize) {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = text.lines().find(|l| l.starts_with("VmRSS")).unwrap();
    let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).unwrap().count();
    (line.split_whitespace().nth(1).unwrap().parse().unwrap(), descriptors)
}

/// Sends one call on a new connection; half of the calls carry a key of a deduplicated class. Returns whether
/// the call was served: on a busy machine some are refused as too late.
fn call_on_new_connection(addr: std::net::SocketAddr, n: usize) -> bool {
    let id = format!("new-{n}");
    let call = match n % 2 {
        0 => look(&id, 1000),
        _ => encode_command(&[
            "CALL.POST",
            &format!("key-{n}"),
            &id,
            &format!("c=book,t=one,d=2000,k={n:016x}"),
            "BODY",
        ]),
    };
    let mut client = Client::new(TcpStream::connect(addr).unwrap());
    match client.ask(&call) {
        Heard::Value(received) if received == value(&id) => true,
        Heard::Line(text) if text.starts_with("-BUSY") => false,
        other => panic!("{id}: {other:?}"),
    }
}

/// Sends 100,000 calls with ids, keys and connections that never recur: memory and descriptors must not grow
/// with their number.
#[test]
fn memory_and_descriptors_stay_flat_over_new_ids_keys_and_connections() {
    let server_a = healthy_server();
    let (discovery_addr, (release_service, _)) = (discovery(&[server_a.addr]), pipeline());
    let proxy = start("flat", &config(discovery_addr, release_service, &[server_a.addr], 256));
    let (addr, pid) = (proxy.addr, proxy.child.id());
    let served = AtomicUsize::new(0);
    let run_calls = |from: usize, to: usize| {
        std::thread::scope(|scope| {
            for client in 0..CLIENTS {
                let served = &served;
                scope.spawn(move || {
                    let served_here = (from + client..to)
                        .step_by(CLIENTS)
                        .filter(|n| call_on_new_connection(addr, *n))
                        .count();
                    served.fetch_add(served_here, Ordering::Relaxed);
                });
            }
        });
        // The record of the scripted server is not part of the measurement.
        server_a.received.lock().unwrap().clear();
        memory_and_descriptors(pid)
    };
    let (memory, descriptors) = run_calls(0, CALLS / 4);
    let (later_memory, later_descriptors) = run_calls(CALLS / 4, CALLS);
    println!(
        "after {} calls {memory} kB, {descriptors} descriptors; after {CALLS} {later_memory} kB, \
         {later_descriptors} descriptors",
        CALLS / 4
    );
    assert!(served.into_inner() > CALLS / 10, "fewer than a tenth of the calls were served");
    assert!(later_memory <= memory + MAX_GROWTH_KB, "memory grew from {memory} kB to {later_memory} kB");
    // The number of idle server connections depends on the peaks of the load, and the proxy closes those that
    // are idle for long. Leaked descriptors remain.
    let until = Instant::now() + IDLE_CONNECTIONS_CLOSED;
    let mut later_descriptors = later_descriptors;
    while later_descriptors > descriptors + 2 * CLIENTS {
        assert!(Instant::now() < until, "descriptors grew from {descriptors} to {later_descriptors}");
        std::thread::sleep(Duration::from_millis(100));
        later_descriptors = memory_and_descriptors(pid).1;
    }
    proxy.end();
}

/// A deadline runs from when the client sends the call. A process that was stopped reads such a call late and
/// must still answer by that deadline, for which it measures how late its own timers are. One success in five
/// tries is enough, as the machine may stall as well; if the deadline ran from the reading of the call, no
/// answer could come within 900 ms.
#[test]
fn a_call_that_is_read_late_is_answered_by_its_deadline_from_sending() {
    let (wait, pause) = (Duration::from_millis(600), Duration::from_millis(350));
    let server_a =
        server(|words, _| if words[2].starts_with("late") { Say::Nothing } else { Say::Bytes(good(words)) });
    let (discovery_addr, (release_service, _)) = (discovery(&[server_a.addr]), pipeline());
    let proxy = start("unread", &config(discovery_addr, release_service, &[server_a.addr], 256));
    let mut elapsed = Vec::new();
    for n in 0..5 {
        let mut client = proxy.open();
        assert_eq!(client.ask(&look(&format!("first{n}"), 1000)), Heard::Value(value(&format!("first{n}"))));
        proxy.signal(Signal::STOP);
        let sent = Instant::now();
        client.send(&look(&format!("late{n}"), wait.as_millis() as u64));
        std::thread::sleep(pause);
        proxy.signal(Signal::CONT);
        match client.read_reply() {
            Heard::Line(text) => assert!(text.starts_with('-'), "{text}"),
            other => panic!("expected an error line, got {other:?}"),
        }
        elapsed.push(sent.elapsed());
        if elapsed[n] < wait + Duration::from_millis(120) {
            return proxy.end();
        }
    }
    panic!("answered after {elapsed:?}, though the client waited {wait:?}");
}
