//! Servers that fail on their sockets, and the responses that clients get in spite of it.

mod common;

use common::*;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

const READ: &str = "GET /read/1 HTTP/1.1";
const LOG: &str = "POST /log/1 HTTP/1.1\r\nidempotency-key: k";
const PAY: &str = "POST /pay/1 HTTP/1.1";

#[test]
fn responses_are_passed_on_unchanged_and_connections_are_reused() {
    let (request_sender, requests) = channel();
    let server = healthy_server(request_sender);
    let proxy = Proxy::with_servers(&[server.addr], "");
    let mut stream = proxy.connect();
    for _ in 0..5 {
        send_request(&mut stream, READ, "");
        let response = read_response(&mut stream);
        assert!(response.starts_with("HTTP/1.1 200 OK\r\n") && response.ends_with("fine"), "{response}");
        assert_eq!(outcome(&response), "served");
        assert!(requests.recv().unwrap().contains("via: 1.1 test-0"));
    }
    assert_eq!(server.accepted.load(Ordering::SeqCst), 1);
    assert_eq!(proxy.drain().counts.served, 5);
}

#[test]
fn a_request_to_a_server_that_never_reads_gets_504_by_its_deadline() {
    // The server accepts the connection and never reads, so that a large body fills all buffers on the way to
    // it.
    let server = scripted_server(|_, stream| {
        std::thread::sleep(Duration::from_secs(3));
        drop(stream);
    });
    let proxy = Proxy::with_servers(&[server.addr], "");
    let started_at = Instant::now();
    let response = proxy.request(PAY, &"x".repeat(4 << 20));
    assert!(response.starts_with("HTTP/1.1 504"), "{response}");
    assert_eq!(outcome(&response), "failed");
    assert!(
        started_at.elapsed() < Duration::from_millis(1_000),
        "the response came long after the deadline: {:?}",
        started_at.elapsed()
    );
    proxy.drain();
}

#[test]
fn a_non_idempotent_request_fails_if_the_server_closes_within_its_response() {
    let server = scripted_server(|_, mut stream| {
        let _ = stream.read(&mut [0; 10]);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-le");
    });
    let proxy = Proxy::with_servers(&[server.addr], "");
    let response = proxy.request(PAY, "once");
    assert!(response.starts_with("HTTP/1.1 502"), "{response}");
    assert_eq!(server.accepted.load(Ordering::SeqCst), 1, "a request that is not idempotent was sent again");
    proxy.drain();
}

#[test]
fn an_idempotent_request_is_retried_after_a_reset() {
    let server = scripted_server(|number, mut stream| {
        if number > 0 && read_request(&stream).is_some() {
            write_response(&mut stream, "200 OK", "", "second");
        }
    });
    let proxy = Proxy::with_servers(&[server.addr], "");
    assert!(proxy.request(READ, "").ends_with("second"));
    proxy.drain();
}

#[test]
fn only_a_503_with_x_not_run_counts_as_never_run() {
    for (status, headers, attempts) in [
        ("503 Service Unavailable", "x-not-run: 1\r\n", 2),
        ("503 Service Unavailable", "", 1),
        ("500 Oops", "x-not-run: 1\r\n", 1),
    ] {
        let server = scripted_server(move |_, mut stream| {
            while read_request(&stream).is_some() {
                write_response(&mut stream, status, headers, "no");
            }
        });
        let proxy = Proxy::with_servers(&[server.addr], "limits(max_attempts = 2)");
        let response = proxy.request(PAY, "once");
        // A request that never ran may be retried and is refused in the end. Any other fails after one
        // attempt.
        assert_eq!(
            outcome(&response),
            if attempts == 2 { "refused" } else { "failed" },
            "{status} {headers}"
        );
        assert_eq!(proxy.drain().counts.attempts, attempts, "{status} {headers}");
    }
}

#[test]
fn a_request_whose_connect_times_out_is_refused_as_never_run() {
    // The listener's queue is full, so the kernel drops further attempts to connect.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).unwrap();
    socket.listen(0).unwrap();
    let listener: TcpListener = socket.into();
    let addr = listener.local_addr().unwrap();
    let mut queued = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&addr, Duration::from_millis(100)) {
        queued.push(stream);
        assert!(queued.len() < 64, "64 connections do not fill the listener's queue");
    }
    let proxy = Proxy::with_servers(&[addr], "connections(connect_timeout = \"80ms\")");
    let response = proxy.request(PAY, "once");
    assert_eq!(
        outcome(&response),
        "refused",
        "a request that never ran must be refused, not failed: {response}"
    );
    proxy.drain();
}

#[test]
fn a_response_sent_byte_by_byte_times_out_by_the_deadline() {
    let server = scripted_server(|_, mut stream| {
        if read_request(&stream).is_some() {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n");
            while stream.write_all(b".").is_ok() {
                std::thread::sleep(Duration::from_millis(20));
            }
        }
    });
    let proxy = Proxy::with_servers(&[server.addr], "");
    let started_at = Instant::now();
    let response = proxy.request(PAY, "once");
    assert!(response.starts_with("HTTP/1.1 504"), "{response}");
    assert!(started_at.elapsed() < Duration::from_millis(1_000));
    proxy.drain();
}

#[test]
fn a_keyed_request_on_a_connection_that_closes_is_retried_within_its_window() {
    // Each connection serves one request. When the next request begins to arrive, it closes without a
    // response.
    let (request_sender, connections) = channel();
    let request_sender = std::sync::Mutex::new(request_sender);
    let server = scripted_server(move |number, mut stream| {
        if read_request(&stream).is_some() {
            request_sender.lock().unwrap().send(number).unwrap();
            write_response(&mut stream, "200 OK", "", "first");
            let _ = stream.read(&mut [0; 1]);
            request_sender.lock().unwrap().send(number).unwrap();
            let _ = stream.shutdown(Shutdown::Both);
        }
    });
    let proxy = Proxy::with_servers(&[server.addr], "");
    let mut stream = proxy.connect();
    send_request(&mut stream, LOG, "a");
    assert!(read_response(&mut stream).ends_with("first"));
    let started_at = Instant::now();
    send_request(&mut stream, LOG, "b");
    let response = read_response(&mut stream);
    assert!(response.ends_with("first"), "the request must be sent again within its window: {response}");
    assert!(started_at.elapsed() < Duration::from_millis(500));
    assert_eq!(
        connections.iter().take(3).collect::<Vec<_>>(),
        [0, 0, 1],
        "want the lost attempt, one retry and no third attempt"
    );
    send_request(&mut stream, PAY, "c");
    let response = read_response(&mut stream);
    assert_eq!(
        outcome(&response),
        "failed",
        "a request that is not idempotent must not be sent again: {response}"
    );
    drop(stream);
    proxy.drain();
}

#[test]
fn a_connection_that_the_server_closed_while_idle_is_not_used_again() {
    let (close_sender, closed) = channel();
    let close_sender = std::sync::Mutex::new(close_sender);
    let server = scripted_server(move |_, mut stream| {
        if read_request(&stream).is_some() {
            write_response(&mut stream, "200 OK", "", "fine");
            // On loopback the end of the connection has reached the proxy when the close returns.
            drop(stream);
            close_sender.lock().unwrap().send(()).unwrap();
        }
    });
    let proxy = Proxy::with_servers(&[server.addr], "");
    let mut stream = proxy.connect();
    for _ in 0..20 {
        send_request(&mut stream, PAY, "x");
        assert_eq!(outcome(&read_response(&mut stream)), "served");
        closed.recv_timeout(Duration::from_secs(10)).unwrap();
    }
    drop(stream);
    proxy.drain();
}

#[test]
fn a_request_whose_body_is_over_the_buffer_limit_is_not_retried() {
    let body = "y".repeat(300_000);
    // The first connection is closed within the body, after which an idempotent request would be retried.
    let server = scripted_server(|number, mut stream| {
        if number == 0 {
            let _ = stream.read_exact(&mut [0; 150_000]);
        } else if let Some(request) = read_request(&stream) {
            write_response(&mut stream, "200 OK", "", &format!("{}", request.len() > 300_000));
        }
    });
    let proxy = Proxy::with_servers(&[server.addr], "connections(keep_body = 1000)");
    let response = proxy.request("POST /read/1 HTTP/1.1", &body);
    assert_ne!(outcome(&response), "served", "a body over the buffer limit cannot be sent again: {response}");
    assert!(
        proxy.request("POST /read/1 HTTP/1.1", &body).ends_with("true"),
        "the server did not get the whole body"
    );
    assert_eq!(server.accepted.load(Ordering::SeqCst), 2);
    proxy.drain();
}

#[test]
fn long_responses_are_streamed_and_a_break_closes_the_client_connection() {
    let server = scripted_server(|number, mut stream| {
        if read_request(&stream).is_some() {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
            for _ in 0..100 {
                let _ = stream.write_all(format!("2710\r\n{}\r\n", "z".repeat(10_000)).as_bytes());
            }
            if number == 0 {
                let _ = stream.write_all(b"0\r\n\r\n");
            }
        }
    });
    let proxy = Proxy::with_servers(&[server.addr], "");
    for complete in [true, false] {
        let mut stream = proxy.connect();
        send_request(&mut stream, "GET /read/1 HTTP/1.1\r\nconnection: close", "");
        let mut text = Vec::new();
        stream.read_to_end(&mut text).unwrap();
        assert_eq!(
            text.ends_with(b"\r\n0\r\n\r\n"),
            complete,
            "the last chunk is passed on only if the server sent it"
        );
        assert!(text.len() > 900_000);
    }
    let counts = proxy.drain().counts;
    assert_eq!((counts.served, counts.failed), (1, 1));
}

#[test]
fn malformed_responses_count_as_resets_and_a_response_to_head_has_no_body() {
    let server = scripted_server(|_, mut stream| {
        while let Some(request) = read_request(&stream) {
            if request.starts_with("HEAD") {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 77\r\n\r\n");
            } else {
                let _ =
                    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nok");
            }
        }
    });
    let proxy = Proxy::with_servers(&[server.addr], "");
    assert!(proxy.request(PAY, "x").starts_with("HTTP/1.1 502"));
    let mut stream = proxy.connect();
    send_request(&mut stream, "HEAD /read/1 HTTP/1.1\r\nconnection: close", "");
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    assert!(text.contains("content-length: 77") && text.ends_with("\r\n\r\n"), "{text}");
    proxy.drain();
}
