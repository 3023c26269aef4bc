//! At most one attempt of a request is in flight at a time: when a server can read the last byte of an
//! attempt, no earlier attempt of the same request may be in flight on a connection that the proxy has not
//! closed.
//!
//! Two scripted servers, run by one thread that never blocks, watch the order on the wire. A tenth of all
//! requests meet an attempt that fails while the server keeps the connection open, and are retried.

mod common;

use common::platform::{Heard, Proxy, config, discovery, good, look, pipeline, read_command, start, value};
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// The ways in which an attempt fails. The server keeps its end of the connection open in all of them.
const FAILED_ATTEMPTS: [&str; 5] = ["noise", "broken off", "no answer", "a wrong length", "unreadable"];

/// The repeated attempts that the servers received.
#[derive(Debug, Default)]
struct RetryCounts {
    /// Attempts that arrived while an earlier one was in flight on an open connection, by the failure of the
    /// earlier one.
    while_open: [usize; FAILED_ATTEMPTS.len()],
    /// Attempts that arrived after the proxy had closed the connection of the earlier one, by the failure of
    /// that one.
    after_end: [usize; FAILED_ATTEMPTS.len()],
}

struct Connection {
    stream: TcpStream,
    input: Vec<u8>,
    /// The id and the failure of an attempt on this connection that got no valid response: it is in flight
    /// until the proxy closes the connection.
    unanswered: Option<(String, usize)>,
}

impl Connection {
    /// Whether the proxy has closed its side by now.
    fn closed_by_proxy(&mut self) -> bool {
        let mut bytes = [0; 64];
        match self.stream.read(&mut bytes) {
            Ok(n) => n == 0,
            Err(e) => e.kind() != ErrorKind::WouldBlock,
        }
    }

    /// Makes an attempt fail: sends the bytes of this failure, and closes the sending side where the response
    /// breaks off.
    fn fail_attempt(&mut self, id: &str, kind: usize) {
        let bytes: &[u8] = match FAILED_ATTEMPTS[kind] {
            "noise" => b"\x14\xff\r\nnoise\r\n",
            "broken off" => b"*3\r\n$40\r\nhalf",
            "no answer" => b"",
            "a wrong length" => b"*3\r\n$4\r\nabcdefgh\r\n",
            _ => b"*1000000000\r\n",
        };
        self.unanswered = Some((id.to_owned(), kind));
        // A write error is ignored: the next call of `closed_by_proxy` shows a closed connection.
        let _ = self.stream.write_all(bytes);
        if matches!(FAILED_ATTEMPTS[kind], "broken off" | "no answer") {
            let _ = self.stream.shutdown(Shutdown::Write);
        }
    }
}

/// Serves on both listeners until told to stop.
fn run_servers(listeners: [TcpListener; 2], stop: &AtomicBool, counts: &Mutex<RetryCounts>) {
    let mut connections: Vec<Connection> = Vec::new();
    let (mut requests, mut bytes) = (0, [0; 4096]);
    while !stop.load(Ordering::Relaxed) {
        for (stream, _) in listeners.iter().flat_map(std::net::TcpListener::accept) {
            stream.set_nonblocking(true).unwrap();
            connections.push(Connection { stream, input: Vec::new(), unanswered: None });
        }
        for index in 0..connections.len() {
            if connections[index].unanswered.is_some() {
                continue;
            }
            if let Ok(n) = connections[index].stream.read(&mut bytes) {
                connections[index].input.extend_from_slice(&bytes[..n]);
            }
            let Some(words) = read_command(&mut &connections[index].input[..]) else { continue };
            // The command is complete: the earlier attempt is looked up now, before anything else.
            let earlier =
                connections.iter_mut().find(|c| c.unanswered.as_ref().is_some_and(|o| o.0 == words[2]));
            let earlier = earlier.map(|c| (c.closed_by_proxy(), c.unanswered.as_ref().map_or(0, |o| o.1)));
            connections[index].input.clear();
            if let Some((closed_by_proxy, kind)) = earlier {
                let mut counts = counts.lock().unwrap();
                if closed_by_proxy { counts.after_end[kind] += 1 } else { counts.while_open[kind] += 1 }
            }
            requests += 1;
            if earlier.is_none() && requests % 10 == 0 {
                connections[index].fail_attempt(&words[2], requests / 10 % FAILED_ATTEMPTS.len());
            } else {
                let _ = connections[index].stream.write_all(&good(&words));
            }
        }
        // A connection is kept until the next attempt has arrived or can no longer arrive.
        while connections.len() > 200 {
            connections.remove(0);
        }
    }
}

fn send_requests(proxy: &Proxy, name: &str, count: usize) {
    let mut client = proxy.open();
    for n in 0..count {
        let id = format!("{name}-{n}");
        match client.ask(&look(&id, 1000)) {
            Heard::Value(received) => assert_eq!(received, value(&id)),
            // No attempts were left.
            Heard::Line(text) => assert!(text.starts_with("-BUSY"), "{text}"),
            Heard::Closed => panic!("the connection closed with a request in flight"),
        }
    }
}

#[test]
fn the_connection_of_an_attempt_is_closed_before_the_next_attempt_arrives() {
    let listeners = [(); 2].map(|()| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap());
    listeners.iter().for_each(|l| l.set_nonblocking(true).unwrap());
    let addrs: Vec<SocketAddr> = listeners.iter().map(|l| l.local_addr().unwrap()).collect();
    let (stop, counts) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(RetryCounts::default())));
    let server_thread = {
        let (stop, counts) = (stop.clone(), counts.clone());
        std::thread::spawn(move || run_servers(listeners, &stop, &counts))
    };
    let proxy = start("second-copies", &config(discovery(&addrs), pipeline().0, &addrs, 256));
    let proxy = &proxy;
    std::thread::scope(|scope| {
        for name in ["a", "b", "c", "d"] {
            scope.spawn(move || send_requests(proxy, name, 2000));
        }
    });
    stop.store(true, Ordering::Relaxed);
    server_thread.join().unwrap();
    let counts = counts.lock().unwrap();
    let [after_end, while_open] =
        [&counts.after_end, &counts.while_open].map(|counts| counts.iter().sum::<usize>());
    assert!(
        after_end > 100 && counts.after_end.iter().all(|n| *n > 0),
        "too few attempts were retried: {counts:?}"
    );
    // Close and new attempt may be seen in the opposite order, as the kernel hands connections over core by
    // core, but in less than one case in 1,000. While the proxy closed connections only after writing the
    // next attempt, two in three were seen so.
    assert!(
        while_open * 100 <= after_end,
        "retries while an earlier attempt was in flight, by {FAILED_ATTEMPTS:?}: {counts:?}"
    );
}
