//! Clients that leave while much of what they sent is unread, and clients that send as fast as they can.

mod common;

use common::*;
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const READ: &str = "GET /read/1 HTTP/1.1";
/// How long a server takes to give up on a request, without an answer. The clients leave before that.
const GIVES_UP_AFTER: Duration = Duration::from_millis(200);
/// How long a client stays after it has sent its request.
const STAY: Duration = Duration::from_millis(40);
/// The same for a client whose request takes a while until it is sent again.
const SHORT_STAY: Duration = Duration::from_millis(5);
/// Attempts may begin for this long after a client has left.
const CLOSE_DETECTION: Duration = Duration::from_millis(100);
/// More than the proxy keeps of a body, and little enough that the rest of it and the end of the connection arrive.
const BODY_PART_BYTES: usize = 120_000;
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

/// A server to which no connection is ever established: its queue is full.
struct UnreachableServer {
    listener: Socket,
    _waiting: Vec<Socket>,
}

impl UnreachableServer {
    fn start() -> UnreachableServer {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        listener.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).unwrap();
        listener.listen(0).unwrap();
        let address = listener.local_addr().unwrap();
        let connect = |_| {
            let waiting = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
            waiting.set_nonblocking(true).unwrap();
            // The queue takes the first of these; the others only begin to connect.
            let _ = waiting.connect(&address);
            waiting
        };
        let _waiting = (0..3).map(connect).collect();
        UnreachableServer { listener, _waiting }
    }

    fn addr(&self) -> SocketAddr {
        self.listener.local_addr().unwrap().as_socket().unwrap()
    }
}

/// Sends a request with a body that is longer than the proxy keeps, and leaves while the proxy tries to connect
/// to a server that does not answer. Returns when the client left.
fn leave_while_connecting(proxy: &Proxy) -> Instant {
    let head = b"POST /read/1 HTTP/1.1\r\nhost: t\r\ncontent-length: 4000000\r\n\r\n";
    let mut stream = proxy.connect();
    stream.set_nonblocking(true).unwrap();
    stream.write_all(head).unwrap();
    let _ = stream.write(&[b'x'; BODY_PART_BYTES]);
    std::thread::sleep(SHORT_STAY);
    drop(stream);
    Instant::now()
}

#[test]
fn nothing_is_sent_for_a_client_that_has_left_a_body_unread_before_a_server_took_it() {
    let begun: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let unreachable = [UnreachableServer::start(), UnreachableServer::start()];
    let failing = failing_server(&begun);
    let proxy = Proxy::with_servers(&[unreachable[0].addr(), unreachable[1].addr(), failing.addr], "");
    let left_at = std::thread::scope(|scope| {
        let clients: Vec<_> = (0..12).map(|_| scope.spawn(|| leave_while_connecting(&proxy))).collect();
        clients.into_iter().map(|client| client.join().unwrap()).max().unwrap()
    });
    std::thread::sleep(3 * GIVES_UP_AFTER);
    proxy.drain();
    let begun = begun.lock().unwrap();
    let late = begun.iter().filter_map(|at| at.checked_duration_since(left_at + CLOSE_DETECTION));
    assert_eq!(late.collect::<Vec<_>>(), NONE);
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
