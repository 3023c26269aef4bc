//! A request has one copy out at a time: when the last byte of an attempt can be seen at a server, no earlier
//! attempt of the same request may be out on a connection that its proxy has not ended.
//!
//! Two scripted servers on one thread that never waits watch the order on the wire. A tenth of all requests meet
//! an attempt that ends badly while its connection stays up on the server's side, and are sent again.

mod common;

use common::platform::{Heard, Proxy, command, config, discovery, good, look, pipeline, start, value};
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// How an attempt ends badly. The server keeps its end of the connection open in every case.
const ENDS: [&str; 5] = ["noise", "broken off", "no answer", "a wrong length", "unreadable"];

/// What the servers saw.
#[derive(Debug, Default)]
struct Seen {
    /// Copies that came while an earlier one was out on an open connection, by how that had ended.
    second: [usize; ENDS.len()],
    /// Copies that came after the earlier one's connection had been ended, likewise.
    again: [usize; ENDS.len()],
}

struct Connection {
    stream: TcpStream,
    input: Vec<u8>,
    /// A request was answered badly on it, or not at all, and how: it is out until the proxy ends this.
    out: Option<(String, usize)>,
}

impl Connection {
    /// Whether the proxy has ended its side by now.
    fn ended(&mut self) -> bool {
        let mut bytes = [0; 64];
        match self.stream.read(&mut bytes) {
            Ok(n) => n == 0,
            Err(e) => e.kind() != ErrorKind::WouldBlock,
        }
    }

    /// Ends an attempt badly: with these bytes, and with the server's sending where that breaks off.
    fn spoil(&mut self, id: &str, kind: usize) {
        let bytes: &[u8] = match ENDS[kind] {
            "noise" => b"\x14\xff\r\nnoise\r\n",
            "broken off" => b"*3\r\n$40\r\nhalf",
            "no answer" => b"",
            "a wrong length" => b"*3\r\n$4\r\nabcdefgh\r\n",
            _ => b"*1000000000\r\n",
        };
        self.out = Some((id.to_owned(), kind));
        // A proxy that is gone by now shows at the next look.
        let _ = self.stream.write_all(bytes);
        if matches!(ENDS[kind], "broken off" | "no answer") {
            let _ = self.stream.shutdown(Shutdown::Write);
        }
    }
}

/// Serves on both listeners until told to stop.
fn watch(listeners: [TcpListener; 2], stop: &AtomicBool, seen: &Mutex<Seen>) {
    let mut connections: Vec<Connection> = Vec::new();
    let (mut requests, mut bytes) = (0, [0; 4096]);
    while !stop.load(Ordering::Relaxed) {
        for (stream, _) in listeners.iter().flat_map(std::net::TcpListener::accept) {
            stream.set_nonblocking(true).unwrap();
            connections.push(Connection { stream, input: Vec::new(), out: None });
        }
        for at in 0..connections.len() {
            if connections[at].out.is_some() {
                continue;
            }
            if let Ok(n) = connections[at].stream.read(&mut bytes) {
                connections[at].input.extend_from_slice(&bytes[..n]);
            }
            let Some(words) = command(&mut &connections[at].input[..]) else { continue };
            // Seen whole: now, before anything else, the earlier copy is looked for.
            let earlier = connections.iter_mut().find(|c| c.out.as_ref().is_some_and(|o| o.0 == words[2]));
            let earlier = earlier.map(|c| (c.ended(), c.out.as_ref().map_or(0, |o| o.1)));
            connections[at].input.clear();
            if let Some((ended, kind)) = earlier {
                let mut seen = seen.lock().unwrap();
                if ended { seen.again[kind] += 1 } else { seen.second[kind] += 1 }
            }
            requests += 1;
            if earlier.is_none() && requests % 10 == 0 {
                connections[at].spoil(&words[2], requests / 10 % ENDS.len());
            } else {
                let _ = connections[at].stream.write_all(&good(&words));
            }
        }
        // Kept until the second copy has come or cannot come any more.
        while connections.len() > 200 {
            connections.remove(0);
        }
    }
}

fn ask_many(proxy: &Proxy, name: &str, count: usize) {
    let mut client = proxy.open();
    for n in 0..count {
        let id = format!("{name}-{n}");
        match client.ask(&look(&id, 1000)) {
            Heard::Value(got) => assert_eq!(got, value(&id)),
            // Out of further attempts.
            Heard::Line(text) => assert!(text.starts_with("-BUSY"), "{text}"),
            Heard::Closed => panic!("closed with a request out"),
        }
    }
}

#[test]
fn an_attempts_connection_has_ended_before_the_next_can_be_seen() {
    let listeners = [(); 2].map(|()| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap());
    listeners.iter().for_each(|l| l.set_nonblocking(true).unwrap());
    let addrs: Vec<SocketAddr> = listeners.iter().map(|l| l.local_addr().unwrap()).collect();
    let (stop, seen) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Seen::default())));
    let watcher = {
        let (stop, seen) = (stop.clone(), seen.clone());
        std::thread::spawn(move || watch(listeners, &stop, &seen))
    };
    let proxy = start("second-copies", &config(discovery(&addrs), pipeline().0, &addrs, 256));
    let proxy = &proxy;
    std::thread::scope(|scope| {
        for name in ["a", "b", "c", "d"] {
            scope.spawn(move || ask_many(proxy, name, 2000));
        }
    });
    stop.store(true, Ordering::Relaxed);
    watcher.join().unwrap();
    let seen = seen.lock().unwrap();
    let [sent_again, beside] = [&seen.again, &seen.second].map(|counts| counts.iter().sum::<usize>());
    assert!(sent_again > 100 && seen.again.iter().all(|n| *n > 0), "too little was tried: {seen:?}");
    // What left a process first is seldom seen last, as the kernel hands connections over core by core: less than
    // one in 1,000 here. Two in three were seen so while connections ended after the next copy was written.
    assert!(beside * 100 <= sent_again, "second copies beside open ones, by {ENDS:?}: {seen:?}");
}
