//! Clients that are slow, half-closed, pipelined or malformed, clients that disconnect, and a drain under
//! load.

mod common;

use common::*;
use std::io::{Read, Write};
use std::net::Shutdown;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

const READ: &str = "GET /read/1 HTTP/1.1";

/// Starts a server that answers each request after 150 ms.
fn slow_server() -> ScriptedServer {
    scripted_server(|_, mut stream| {
        while read_request(&stream).is_some() {
            std::thread::sleep(Duration::from_millis(150));
            write_response(&mut stream, "200 OK", "", "slow");
        }
    })
}

#[test]
fn a_half_closed_client_counts_as_disconnected_unless_the_settings_serve_it() {
    for (setting, served) in [("", false), ("connections(half_close = \"serve\")", true)] {
        let server = slow_server();
        let proxy = Proxy::with_servers(&[server.addr], setting);
        let mut stream = proxy.connect();
        send_request(&mut stream, READ, "");
        stream.shutdown(Shutdown::Write).unwrap();
        let mut text = String::new();
        let _ = stream.read_to_string(&mut text);
        assert_eq!(text.ends_with("slow"), served, "{text}");
        let counts = proxy.drain().counts;
        assert_eq!((counts.served, counts.disconnected), if served { (1, 0) } else { (0, 1) });
    }
}

#[test]
fn a_client_that_disconnects_has_its_attempt_cancelled() {
    let (close_sender, closed) = channel();
    let close_sender = std::sync::Mutex::new(close_sender);
    let server = scripted_server(move |_, stream| {
        if read_request(&stream).is_some() {
            let read = (&stream).read(&mut [0; 1]);
            close_sender.lock().unwrap().send(matches!(read, Ok(0) | Err(_))).unwrap();
        }
    });
    let proxy = Proxy::with_servers(&[server.addr], "");
    let mut stream = proxy.connect();
    send_request(&mut stream, READ, "");
    std::thread::sleep(Duration::from_millis(50));
    drop(stream);
    assert!(closed.recv_timeout(Duration::from_millis(400)).unwrap(), "the attempt was not cancelled");
    proxy.drain();
}

#[test]
fn a_request_sent_byte_by_byte_gets_408_when_its_timeout_ends() {
    let server = slow_server();
    let proxy = Proxy::with_servers(
        &[server.addr],
        "connections(head_timeout = \"300ms\", body_timeout = \"300ms\")",
    );
    for request in [
        &b"GET /read/1 HTTP/1.1\r\nhost: t\r\nx: "[..],
        b"POST /read/1 HTTP/1.1\r\nhost: t\r\ncontent-length: 999\r\n\r\n",
    ] {
        let mut stream = proxy.connect();
        stream.write_all(request).unwrap();
        let (started_at, mut writer) = (Instant::now(), stream.try_clone().unwrap());
        let writer_thread = std::thread::spawn(move || {
            while started_at.elapsed() < Duration::from_secs(2) && writer.write_all(b"a").is_ok() {
                std::thread::sleep(Duration::from_millis(30));
            }
        });
        let response = read_response(&mut stream);
        assert!(response.starts_with("HTTP/1.1 408"), "{response:?}");
        assert!(started_at.elapsed() < Duration::from_millis(1_900), "{:?}", started_at.elapsed());
        drop(stream);
        writer_thread.join().unwrap();
    }
    proxy.drain();
}

/// Guards against a request that gets 408 because the time-out of its head counted from the beginning of the
/// idle time before it.
#[test]
fn a_request_that_begins_late_in_the_idle_time_has_its_whole_time_for_its_head() {
    let (requests, _received) = channel();
    let server = healthy_server(requests);
    let proxy = Proxy::with_servers(
        &[server.addr],
        "connections(client_idle = \"800ms\", head_timeout = \"5s\", body_timeout = \"5s\")",
    );
    let mut stream = proxy.connect();
    for is_first in [true, false] {
        // The pause in the middle of the head lasts beyond the end of the idle time.
        let pauses = if is_first { [0, 0] } else { [500, 600] };
        for (pause, part) in pauses.into_iter().zip(["GET /read/1 HTTP/1.1\r\nho", "st: t\r\n\r\n"]) {
            std::thread::sleep(Duration::from_millis(pause));
            stream.write_all(part.as_bytes()).unwrap();
        }
        let response = read_response(&mut stream);
        assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
    }
    drop(stream);
    proxy.drain();
}

/// Guards against a request that gets 408 because the time-out of its body counted from the beginning of its
/// head. The request has no route, so that no deadline of a class applies.
#[test]
fn a_request_whose_head_took_long_has_its_whole_time_for_its_body() {
    let server = slow_server();
    let proxy =
        Proxy::with_servers(&[server.addr], "connections(head_timeout = \"800ms\", body_timeout = \"5s\")");
    let mut stream = proxy.connect();
    let parts = ["POST /no-route HTTP/1.1\r\nhost: t\r\n", "content-length: 2\r\n\r\n", "ab"];
    for (pause, part) in [0, 500, 600].into_iter().zip(parts) {
        std::thread::sleep(Duration::from_millis(pause));
        stream.write_all(part.as_bytes()).unwrap();
    }
    let response = read_response(&mut stream);
    assert!(response.starts_with("HTTP/1.1 404"), "{response:?}");
    drop(stream);
    proxy.drain();
}

#[test]
fn requests_over_a_limit_without_a_route_or_malformed_get_an_error_response() {
    let server = slow_server();
    let proxy =
        Proxy::with_servers(&[server.addr], "connections(max_head = 512, max_body = 1000, keep_body = 100)");
    let long_head = format!("GET /read/1 HTTP/1.1\r\nx: {}", "a".repeat(600));
    let mut chunked = proxy.connect();
    let start = format!(
        "POST /read/1 HTTP/1.1\r\nhost: t\r\ntransfer-encoding: chunked\r\n\r\n3e8\r\n{}\r\n3e8\r\n",
        "b".repeat(1000)
    );
    chunked.write_all(start.as_bytes()).unwrap();
    chunked.write_all(&[b'c'; 1000]).unwrap();
    assert!(read_response(&mut chunked).starts_with("HTTP/1.1 413"));
    assert!(proxy.request(&long_head, "").starts_with("HTTP/1.1 431"));
    assert!(proxy.request("POST /read/1 HTTP/1.1", &"b".repeat(1001)).starts_with("HTTP/1.1 413"));
    assert!(proxy.request("GET /nowhere HTTP/1.1", "").starts_with("HTTP/1.1 404"));
    assert!(proxy.request("POST /log/1 HTTP/1.1", "no key").starts_with("HTTP/1.1 400"));
    assert!(
        proxy
            .request("GET /read/1 HTTP/1.1\r\ntransfer-encoding: chunked\r\ncontent-length: 3", "")
            .starts_with("HTTP/1.1 400")
    );
    assert!(proxy.request("CONNECT t:1 HTTP/1.1", "").starts_with("HTTP/1.1 501"));
    assert!(proxy.request("hello", "").starts_with("HTTP/1.1 400"));
    proxy.drain();
}

#[test]
fn thousands_of_pipelined_requests_that_are_refused_at_once_each_get_a_response() {
    // Without a server each request is refused at once. If each were handled from within the response to the
    // one before it, the calls would nest as deep as there are requests.
    let proxy = Proxy::with_servers(&[], "");
    let mut stream = proxy.connect();
    let request_count = 3_000;
    let mut writer = stream.try_clone().unwrap();
    let sender = std::thread::spawn(move || {
        let request = "GET /read/1 HTTP/1.1\r\nhost: t\r\nrequest-timeout-ms: 1\r\n\r\n";
        writer.write_all(request.repeat(request_count).as_bytes()).unwrap();
    });
    for _ in 0..request_count {
        assert_eq!(outcome(&read_response(&mut stream)), "refused");
    }
    sender.join().unwrap();
    drop(stream);
    assert_eq!(proxy.drain().counts.rejected, request_count as u64);
}

#[test]
fn expect_continue_gets_100_and_the_deadline_of_the_client_applies() {
    let server = slow_server();
    let proxy = Proxy::with_servers(&[server.addr], "");
    let mut stream = proxy.connect();
    stream
        .write_all(b"POST /read/1 HTTP/1.1\r\nhost: t\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\n")
        .unwrap();
    assert!(read_response(&mut stream).starts_with("HTTP/1.1 100 Continue"));
    stream.write_all(b"go").unwrap();
    assert!(read_response(&mut stream).ends_with("slow"));
    let started_at = Instant::now();
    send_request(&mut stream, "POST /pay/1 HTTP/1.1\r\nrequest-timeout-ms: 100", "x");
    assert!(read_response(&mut stream).starts_with("HTTP/1.1 504"));
    assert!(started_at.elapsed() < Duration::from_millis(400), "{:?}", started_at.elapsed());
    drop(stream);
    proxy.drain();
}

#[test]
fn a_drain_answers_requests_in_flight_and_accepts_no_new_connection() {
    let server = slow_server();
    let proxy = Proxy::with_servers(&[server.addr], "");
    let (mut busy, mut idle, addr) = (proxy.connect(), proxy.connect(), proxy.addr);
    send_request(&mut idle, READ, "");
    assert!(read_response(&mut idle).ends_with("slow"));
    send_request(&mut busy, READ, "");
    std::thread::sleep(Duration::from_millis(40));
    let reader = std::thread::spawn(move || (read_response(&mut busy), read_response(&mut idle)));
    let counts = proxy.drain().counts;
    let (response, idle_response) = reader.join().unwrap();
    assert!(response.ends_with("slow") && response.contains("connection: close"), "{response}");
    assert_eq!((idle_response.as_str(), counts.served), ("", 2));
    assert!(std::net::TcpStream::connect(addr).is_err());
}

#[test]
fn an_answer_can_be_reported_wrong_once_and_only_by_its_id() {
    let (request_sender, _requests) = channel();
    let server = healthy_server(request_sender);
    let proxy = Proxy::with_servers(&[server.addr], "");
    let response = proxy.request(READ, "");
    let id = response.lines().find_map(|line| line.strip_prefix("answer-id: ")).unwrap();
    let report = |id: &str| {
        proxy.request("POST /.well-known/wrong-answer HTTP/1.1", &format!("{{\"answer\":\"{id}\"}}"))
    };
    assert!(report(id).starts_with("HTTP/1.1 202"));
    assert!(report(id).starts_with("HTTP/1.1 404"));
    assert!(report("00000000000000000").starts_with("HTTP/1.1 400"));
    assert!(proxy.request("GET /.well-known/wrong-answer HTTP/1.1", "").starts_with("HTTP/1.1 405"));
    proxy.drain();
}
