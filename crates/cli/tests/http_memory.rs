//! What the clients of the HTTP proxy make it hold stays within the memory that its settings grant them.

mod common;

use common::piecewise_writer::PiecewiseWriter;
use common::{LARGE_PATH, SLOW_PATH, start};
use socket2::SockRef;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// What the settings grant to all clients together.
const CLIENT_MEMORY_KB: usize = 16 * 1024;
/// The allocator may take this much more, as a part of it.
const ALLOCATOR_SLACK_DIVISOR: usize = 2;
const CLIENTS: usize = 700;
/// Clients that do not read: each may hold 256 KiB and one read of its response.
const SILENT_READERS: usize = 150;
const LOAD_SPAN: Duration = Duration::from_secs(3);
/// The deadline of the request class, and half a second in which an answer is late but no loss.
const WAIT: Duration = Duration::from_millis(1_500);

/// The loads of these tests take most of a machine.
static ONE_LOAD_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Repeats one round of a load, with an ordinary request after each, and checks by how much the process grows and
/// that each of these requests is answered. Returns how many there were, and how many were served.
fn check_growth(name: &str, mut run_round: impl FnMut(SocketAddr)) -> (usize, usize) {
    let _alone = ONE_LOAD_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let sections = format!(")\nconnections(client_memory = {}", CLIENT_MEMORY_KB * 1024);
    let proxy = start(name, "", &sections);
    let before = proxy.peak_memory_kb();
    let until = Instant::now() + LOAD_SPAN;
    let (mut asked, mut served) = (0, 0);
    while Instant::now() < until {
        run_round(proxy.addr);
        let answer = proxy.ask(WAIT).unwrap_or_default();
        assert!(answer.starts_with("HTTP/1.1 "), "{name}: an ordinary request was not answered: {answer:?}");
        asked += 1;
        served += usize::from(answer.ends_with("ok"));
    }
    let growth = proxy.peak_memory_kb() - before;
    println!("{name}: grew by {growth} kB, {served} of {asked} ordinary requests served");
    let most = CLIENT_MEMORY_KB + CLIENT_MEMORY_KB / ALLOCATOR_SLACK_DIVISOR;
    assert!(growth <= most, "{name}: grew by {growth} kB, of {CLIENT_MEMORY_KB} kB granted");
    (asked, served)
}

/// Keeps clients busy with a message that they send in pieces of this size.
fn check_writers(name: &str, message: &[u8], piece: usize) -> (usize, usize) {
    let mut writers: Vec<Option<PiecewiseWriter>> = (0..CLIENTS).map(|_| None).collect();
    check_growth(name, |addr| {
        for writer in &mut writers {
            if writer.is_none() {
                *writer = PiecewiseWriter::connect(addr, WAIT, message.to_vec());
            }
            if writer.as_mut().is_some_and(|writer| !writer.write_piece(piece)) {
                *writer = None;
            }
        }
    })
}

fn half_a_body() -> Vec<u8> {
    let head = b"POST /x HTTP/1.1\r\nhost: t\r\ncontent-length: 64000\r\n\r\n";
    [&head[..], &[b'x'; 60_000]].concat()
}

#[test]
fn clients_that_stop_inside_a_body_stay_within_the_memory_granted() {
    let (asked, served) = check_writers("http-half-bodies", &half_a_body(), usize::MAX);
    assert!(served * 2 > asked, "{served} of {asked} ordinary requests served");
}

#[test]
fn clients_that_write_a_body_slowly_stay_within_the_memory_granted() {
    let (asked, served) = check_writers("http-slow-bodies", &half_a_body(), 2_000);
    assert!(served * 2 > asked, "{served} of {asked} ordinary requests served");
}

#[test]
fn heads_of_many_short_fields_stay_within_the_memory_granted() {
    let head = [&b"GET /x HTTP/1.1\r\nhost: t\r\n"[..], &b"a: 1\r\n".repeat(2_700)].concat();
    let (asked, served) = check_writers("http-many-fields", &head, usize::MAX);
    assert!(served * 2 > asked, "{served} of {asked} ordinary requests served");
}

#[test]
fn requests_that_wait_behind_a_slow_one_stay_within_the_memory_granted() {
    let slow = format!("GET {SLOW_PATH} HTTP/1.1\r\nhost: t\r\n\r\n").into_bytes();
    let requests = [slow, b"GET /x HTTP/1.1\r\nhost: t\r\n\r\n".repeat(2_000)].concat();
    check_writers("http-behind-slow", &requests, usize::MAX);
}

/// These are more requests than the server can serve, so that ordinary ones may be refused.
#[test]
fn requests_that_wait_behind_others_stay_within_the_memory_granted() {
    let requests = b"GET /x HTTP/1.1\r\nhost: t\r\n\r\n".repeat(3_000);
    check_writers("http-pipelined", &requests, usize::MAX);
}

#[test]
fn responses_that_clients_do_not_read_stay_within_the_memory_granted() {
    let request = format!("GET {LARGE_PATH} HTTP/1.1\r\nhost: t\r\n\r\n");
    let mut readers: Vec<TcpStream> = Vec::new();
    let (asked, served) = check_growth("http-unread", |addr| {
        if readers.len() < SILENT_READERS {
            let mut reader = TcpStream::connect(addr).unwrap();
            SockRef::from(&reader).set_recv_buffer_size(4096).unwrap();
            reader.write_all(request.as_bytes()).unwrap();
            readers.push(reader);
        }
    });
    assert_eq!(readers.len(), SILENT_READERS);
    assert!(served * 2 > asked, "{served} of {asked} ordinary requests served");
}
