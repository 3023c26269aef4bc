//! Clients that leave while much of what they sent is unread, and clients that send as fast as they can.

mod common;

use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const READ: &str = "GET /read/1 HTTP/1.1";
/// How long a server takes to give up on a request, without an answer. The clients leave before that.
const GIVES_UP_AFTER: Duration = Duration::from_millis(200);
/// How long a client stays after it has sent its request.
const STAY: Duration = Duration::from_millis(40);
/// Attempts may begin for this long after a client has left.
const CLOSE_DETECTION: Duration = Duration::from_millis(100);
const NONE: [Duration; 0] = [];

/// A server that closes each connection some time after a request, and the times at which requests began.
fn failing_server(begun: &Arc<Mutex<Vec<Instant>>>) -> ScriptedServer {
    let begun = begun.clone();
    scripted_server(move |_, mut stream| {
        if matches!(stream.read(&mut [0; 16]), Ok(length) if length > 0) {
            begun.lock().unwrap().push(Instant::now());
            std::thread::sleep(GIVES_UP_AFTER);
        }
    })
}

/// Sends a request and more, and leaves. Returns how long after that each further attempt began.
fn attempts_after_leaving(request: &[u8], more: &[u8]) -> Vec<Duration> {
    let begun = Arc::default();
    let servers = [failing_server(&begun), failing_server(&begun), failing_server(&begun)];
    let proxy = Proxy::with_servers(&servers.map(|server| server.addr), "");
    let mut stream = proxy.connect();
    stream.set_nonblocking(true).unwrap();
    stream.write_all(request).unwrap();
    // The proxy does not have to take all that a client sends.
    let _ = stream.write(more);
    std::thread::sleep(STAY);
    assert!(!begun.lock().unwrap().is_empty(), "the request was not sent before its client left");
    drop(stream);
    let left_at = Instant::now();
    std::thread::sleep(3 * GIVES_UP_AFTER);
    proxy.drain();
    let begun = begun.lock().unwrap();
    begun.iter().filter_map(|at| at.checked_duration_since(left_at + CLOSE_DETECTION)).collect()
}

#[test]
fn nothing_is_sent_for_a_client_that_has_left_requests_unread() {
    let request = format!("{READ}\r\nhost: t\r\n\r\n").into_bytes();
    assert_eq!(attempts_after_leaving(&request, b""), NONE, "nothing behind the request");
    assert_eq!(attempts_after_leaving(&request, &request.repeat(100)), NONE, "a few requests behind it");
    assert_eq!(attempts_after_leaving(&request, &request.repeat(40_000)), NONE, "many requests behind it");
}

#[test]
fn nothing_is_sent_for_a_client_that_has_left_a_body_unread() {
    let head = b"POST /read/1 HTTP/1.1\r\nhost: t\r\ncontent-length: 4000000\r\n\r\n";
    let request = [&head[..], &[b'x'; 70_000]].concat();
    assert_eq!(attempts_after_leaving(&request, &[b'x'; 300_000]), NONE);
}

/// Writes requests without a route until told to stop, and drops the responses.
fn flood(addr: SocketAddr, stop: &AtomicBool) {
    let requests = b"GET /nowhere HTTP/1.1\r\nhost: t\r\n\r\n".repeat(10_000);
    let mut stream = TcpStream::connect(addr).unwrap();
    let mut reader = stream.try_clone().unwrap();
    std::thread::spawn(move || std::io::copy(&mut reader, &mut std::io::sink()));
    while !stop.load(Ordering::Relaxed) && stream.write_all(&requests).is_ok() {}
}

#[test]
fn a_client_that_pipelines_as_fast_as_it_can_does_not_delay_others() {
    let server = scripted_server(|_, mut stream| {
        while read_request(&stream).is_some() {
            write_response(&mut stream, "200 OK", "", "fine");
        }
    });
    let proxy = Proxy::with_servers(&[server.addr], "");
    let (stop, addr) = (AtomicBool::new(false), proxy.addr);
    let mut elapsed: Vec<Duration> = std::thread::scope(|scope| {
        scope.spawn(|| flood(addr, &stop));
        let elapsed = (0..60).map(|_| {
            std::thread::sleep(Duration::from_millis(10));
            let sent_at = Instant::now();
            let response = proxy.request(READ, "");
            assert!(response.ends_with("fine"), "{response}");
            sent_at.elapsed()
        });
        let elapsed = elapsed.collect();
        stop.store(true, Ordering::Relaxed);
        elapsed
    });
    elapsed.sort_unstable();
    println!("half of the answers within {:?}, all within {:?}", elapsed[30], elapsed[59]);
    assert!(elapsed[59] < Duration::from_millis(200), "{elapsed:?}");
    proxy.drain();
}
