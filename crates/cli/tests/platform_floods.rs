//! A client that sends as fast as it can takes neither the time nor the memory that the other clients of the
//! platform proxy need.

mod common;

use common::platform::{
    Client, Heard, Proxy, Say, config, discovery, encode_command, good, pipeline, server, start,
};
use std::net::{SocketAddr, TcpStream};

/// `config` grants 32 MB, the least that the platform hands out.
const MEMORY_LIMIT_KB: usize = 32 * 1024;
const DESCRIPTORS: usize = 1024;
/// How many calls with new names a flood consists of, in all and at once on its connection.
const FLOOD_CALLS: usize = 150_000;
const CALLS_AT_ONCE: usize = 30;
/// The longest time that a client may say it waits, in milliseconds.
const LONGEST_WAIT_MS: usize = 86_400_000;

/// The highest resident memory of a process so far, in kB.
fn peak_memory_kb(proxy: &Proxy) -> usize {
    let text = std::fs::read_to_string(format!("/proc/{}/status", proxy.child.id())).unwrap();
    let line = text.lines().find(|line| line.starts_with("VmHWM")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

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
    let before = peak_memory_kb(&proxy);
    flood(proxy.addr, call_with_new_names);
    let peak = peak_memory_kb(&proxy);
    println!("{before} kB before, {peak} kB at the most after {FLOOD_CALLS} calls");
    assert!(peak <= MEMORY_LIMIT_KB, "the proxy took {peak} kB of {MEMORY_LIMIT_KB} kB");
    proxy.end();
}
