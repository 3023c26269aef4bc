//! The program as a process: without free file descriptors, stopped and continued, drained under load, and
//! with invalid input.

mod common;

use common::fleet::{Fleet, daemon_states};
use common::{PROGRAM, Proxy, start};
use rustix::process::{Signal, kill_process};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant};

#[test]
fn without_free_descriptors_accepting_pauses_and_no_connection_is_lost() {
    let proxy = start("descriptors", "ulimit -n 48;", "");
    let mut streams: Vec<TcpStream> = (0..120).map(|_| proxy.open()).collect();
    for stream in &mut streams {
        stream.write_all(b"GET /x HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n").unwrap();
    }
    for (n, stream) in streams.iter_mut().enumerate() {
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        // A request for which no server connection can be opened is refused, but it is answered.
        assert!(text.starts_with("HTTP/1.1 "), "connection {n} got {text:?}");
    }
    drop(streams);
    assert!(
        proxy.ask(Duration::from_secs(5)).unwrap().ends_with("ok"),
        "the proxy does not serve after the descriptors are free again"
    );
    proxy.end();
}

/// The process gets SIGTERM in the event loop turn in which it continues. More connections wait in its accept
/// queue than one turn accepts, and each has sent its request; all of them must be answered.
#[test]
fn a_draining_process_answers_the_connections_in_its_accept_queue() {
    let mut proxy = start("drains-queue", "", "");
    kill_process(proxy.pid(), Signal::STOP).unwrap();
    let mut streams: Vec<TcpStream> = (0..700).map(|_| proxy.open()).collect();
    for stream in &mut streams {
        stream.write_all(b"GET /x HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n").unwrap();
    }
    kill_process(proxy.pid(), Signal::TERM).unwrap();
    kill_process(proxy.pid(), Signal::CONT).unwrap();
    for (n, stream) in streams.iter_mut().enumerate() {
        let mut text = String::new();
        let result = stream.read_to_string(&mut text);
        assert!(result.is_ok() && text.starts_with("HTTP/1.1 "), "connection {n} got {result:?} {text:?}");
    }
    assert!(proxy.child.wait().unwrap().success());
}

const REQUEST: &[u8] = b"GET /x HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n";

/// Sends the rest of a request. Returns the whole response, or the error that prevented it.
fn finish_request(stream: &mut TcpStream, rest: &[u8]) -> Result<String, std::io::Error> {
    stream.write_all(rest)?;
    let mut text = String::new();
    stream.read_to_string(&mut text).map(|_| text)
}

/// Connections whose first request has not arrived completely, and connections between two requests. The
/// latter show that the drain has begun, because it closes them.
struct PendingConnections {
    /// Connections that are accepted and have sent nothing.
    fresh: Vec<TcpStream>,
    /// Connections that have sent a part of the head of their first request.
    partial: Vec<TcpStream>,
    /// Connections that have received a response and sent no further request.
    between: Vec<TcpStream>,
}

impl PendingConnections {
    const PARTIAL_BYTES: usize = 9;

    fn open(proxy: &Proxy) -> PendingConnections {
        let open = || (0..8).map(|_| proxy.open()).collect::<Vec<_>>();
        let (fresh, mut partial, mut between) = (open(), open(), open());
        partial.iter_mut().for_each(|stream| stream.write_all(&REQUEST[..Self::PARTIAL_BYTES]).unwrap());
        // Connections are accepted in order. Once the last ones are answered, the process has accepted the
        // others.
        for stream in &mut between {
            stream.write_all(b"GET /x HTTP/1.1\r\nhost: t\r\n\r\n").unwrap();
            let (mut answer, mut byte) = (Vec::new(), [0]);
            while !answer.ends_with(b"\r\n\r\nok") {
                stream.read_exact(&mut byte).unwrap();
                answer.push(byte[0]);
            }
        }
        PendingConnections { fresh, partial, between }
    }

    /// Waits until the drain has closed the connections between requests, then completes each first request
    /// and checks that it is answered.
    fn assert_answered(&mut self) {
        for stream in &mut self.between {
            assert_eq!(
                stream.read(&mut [0]).unwrap(),
                0,
                "the drain closes a connection between two requests"
            );
        }
        let fresh = self.fresh.iter_mut().map(|stream| finish_request(stream, REQUEST));
        let partial =
            self.partial.iter_mut().map(|stream| finish_request(stream, &REQUEST[Self::PARTIAL_BYTES..]));
        for (n, response) in fresh.chain(partial).enumerate() {
            let served = response.as_ref().is_ok_and(|text| text.starts_with("HTTP/1.1 200"));
            assert!(served, "connection {n} got {response:?}");
        }
    }
}

#[test]
fn a_draining_process_answers_incomplete_first_requests() {
    let mut proxy = start("drains-first", "", "");
    let mut clients = PendingConnections::open(&proxy);
    kill_process(proxy.pid(), Signal::TERM).unwrap();
    clients.assert_answered();
    drop(clients);
    assert!(proxy.child.wait().unwrap().success());
}

#[test]
fn a_drain_by_an_operator_answers_incomplete_first_requests() {
    let fleet = Fleet::start("drains-way", 1);
    let mut clients = PendingConnections::open(&fleet.daemons[0]);
    assert_eq!(fleet.run_tool(&["drain"]).0, 0);
    clients.assert_answered();
    fleet.end();
}

/// Returns a settings section that limits the number of concurrent client connections.
fn max_clients_section(max_clients: usize) -> String {
    format!(")\nconnections(max_clients = {max_clients}")
}

/// Silent clients use up the connection limit when the drain begins, and three times as many connections wait
/// in the accept queue, each with its request.
#[test]
fn a_draining_process_at_its_connection_limit_answers_its_accept_queue() {
    let mut proxy = start("drains-full", "", &max_clients_section(8));
    let silent: Vec<TcpStream> = (0..8).map(|_| proxy.open()).collect();
    let mut waiting: Vec<TcpStream> = (0..24).map(|_| proxy.open()).collect();
    waiting.iter_mut().for_each(|stream| stream.write_all(REQUEST).unwrap());
    kill_process(proxy.pid(), Signal::TERM).unwrap();
    for (n, mut stream) in waiting.into_iter().enumerate() {
        let response = finish_request(&mut stream, b"");
        let served = response.as_ref().is_ok_and(|text| text.starts_with("HTTP/1.1 200"));
        assert!(served, "connection {n} got {response:?}");
    }
    drop(silent);
    assert!(proxy.child.wait().unwrap().success());
}

/// Clients that never complete their requests use up the connection limit for longer than the draining
/// process listens. It gives up the connection in its accept queue, and ends once the head timeout of those
/// clients is over.
#[test]
fn a_draining_process_at_its_connection_limit_ends_after_the_head_timeout() {
    let section = format!("{}, head_timeout = \"4s\"", max_clients_section(2));
    let mut proxy = start("drains-stuck", "", &section);
    let mut stuck: Vec<TcpStream> = (0..2).map(|_| proxy.open()).collect();
    stuck.iter_mut().for_each(|stream| stream.write_all(b"GET /x").unwrap());
    let mut queued = proxy.open();
    queued.write_all(REQUEST).unwrap();
    let began = Instant::now();
    kill_process(proxy.pid(), Signal::TERM).unwrap();
    assert!(
        queued.read_to_end(&mut Vec::new()).is_err(),
        "the queued connection was accepted over the limit"
    );
    assert!(proxy.child.wait().unwrap().success());
    assert!(began.elapsed() < Duration::from_secs(8), "{:?}", began.elapsed());
}

/// An operator drains the proxy while connections in its accept queue wait for the connection limit, and then
/// ends the drain. The queued connections are served, and so are new ones.
#[test]
fn an_undrain_serves_the_connections_that_waited_in_the_accept_queue() {
    let fleet = Fleet::start_with_settings("drains-off", "", 1, &max_clients_section(2));
    let proxy = &fleet.daemons[0];
    let mut partial: Vec<TcpStream> = (0..2).map(|_| proxy.open()).collect();
    partial.iter_mut().for_each(|stream| stream.write_all(&REQUEST[..9]).unwrap());
    let mut queued = proxy.open();
    queued.write_all(REQUEST).unwrap();
    for (command, draining) in [("drain", true), ("undrain", false)] {
        assert_eq!(fleet.run_tool(&[command]).0, 0);
        assert_eq!(daemon_states(&fleet.run_tool(&["state"]).1)[0]["draining"], draining);
    }
    for stream in &mut partial {
        assert!(finish_request(stream, &REQUEST[9..]).unwrap().starts_with("HTTP/1.1 200"));
    }
    drop(partial);
    assert!(finish_request(&mut queued, b"").unwrap().starts_with("HTTP/1.1 200"));
    drop(queued);
    assert!(proxy.ask(Duration::from_secs(5)).is_some_and(|text| text.starts_with("HTTP/1.1 200")));
    fleet.end();
}

#[test]
fn a_process_that_was_stopped_answers_all_requests_that_arrived_meanwhile() {
    let proxy = start("standstill", "", "");
    kill_process(proxy.pid(), Signal::STOP).unwrap();
    let mut streams: Vec<TcpStream> = (0..400).map(|_| proxy.open()).collect();
    for stream in &mut streams {
        stream.write_all(b"GET /x HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n").unwrap();
    }
    std::thread::sleep(Duration::from_millis(700));
    kill_process(proxy.pid(), Signal::CONT).unwrap();
    for stream in &mut streams {
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        assert_eq!(text.matches("HTTP/1.1 ").count(), 1, "{text:?}");
    }
    drop(streams);
    proxy.end();
}

#[test]
fn invalid_input_is_reported_with_a_message_and_an_exit_status() {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("bad.star");
    std::fs::write(&file, "fleet(name = 'x', size = 1, position = 0)\nlisten(addr = 5)\n").unwrap();
    let file = file.display().to_string();
    let cases: [(&[&str], &str); 5] = [
        (&["settings", "check", &file], "bad.star:2: listen: addr: invalid type"),
        (&["serve", "--settings", &file], "bad.star:2: listen: addr: invalid type"),
        (&["replay", &file], "not a recording"),
        (&["lab", "day", "no-such-day"], "no day that comes with the program"),
        (&["lab", "check", &file], "not a file of records"),
    ];
    for (args, message) in cases {
        let out = Command::new(PROGRAM).args(args).output().unwrap();
        let text = String::from_utf8_lossy(&out.stderr);
        assert!(!out.status.success() && text.contains(message), "{args:?}: {text}");
        assert!(!text.contains("panicked"), "{args:?}: {text}");
    }
}
