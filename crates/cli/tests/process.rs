//! The program as a process: out of descriptors, stopped and gone on, told nonsense.

mod common;

use common::fleet::{Fleet, states};
use common::{PROGRAM, Proxy, start};
use rustix::process::{Signal, kill_process};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant};

#[test]
fn out_of_descriptors_accepting_pauses_and_no_connection_is_lost() {
    let proxy = start("descriptors", "ulimit -n 48;", "");
    let mut streams: Vec<TcpStream> = (0..120).map(|_| proxy.open()).collect();
    for stream in &mut streams {
        stream.write_all(b"GET /x HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n").unwrap();
    }
    for (n, stream) in streams.iter_mut().enumerate() {
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        // Without a descriptor for a server it is refused, but answered.
        assert!(text.starts_with("HTTP/1.1 "), "connection {n} got {text:?}");
    }
    drop(streams);
    assert!(proxy.ask(Duration::from_secs(5)).unwrap().ends_with("ok"), "it does not recover");
    proxy.end();
}

/// Told to end in the turn in which it goes on: more wait in its queue than one turn accepts, each with its request.
#[test]
fn a_process_that_drains_answers_what_waits_in_its_queue() {
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
        let got = stream.read_to_string(&mut text);
        assert!(got.is_ok() && text.starts_with("HTTP/1.1 "), "connection {n} got {got:?} {text:?}");
    }
    assert!(proxy.child.wait().unwrap().success());
}

const REQUEST: &[u8] = b"GET /x HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n";

/// Sends the rest of a request; the whole answer, or why there is none.
fn finish(stream: &mut TcpStream, rest: &[u8]) -> Result<String, std::io::Error> {
    stream.write_all(rest)?;
    let mut text = String::new();
    stream.read_to_string(&mut text).map(|_| text)
}

/// Connections on their way to a first request, and some between two: they show the drain by ending.
struct OnTheirWay {
    /// Accepted, nothing sent.
    fresh: Vec<TcpStream>,
    /// A part of the request's head is sent.
    begun: Vec<TcpStream>,
    between: Vec<TcpStream>,
}

impl OnTheirWay {
    const BEGUN: usize = 9;

    fn open(proxy: &Proxy) -> OnTheirWay {
        let open = || (0..8).map(|_| proxy.open()).collect::<Vec<_>>();
        let (fresh, mut begun, mut between) = (open(), open(), open());
        begun.iter_mut().for_each(|stream| stream.write_all(&REQUEST[..Self::BEGUN]).unwrap());
        // Connections are accepted in turn: once the last ones are answered, the process has the others.
        for stream in &mut between {
            stream.write_all(b"GET /x HTTP/1.1\r\nhost: t\r\n\r\n").unwrap();
            let (mut answer, mut byte) = (Vec::new(), [0]);
            while !answer.ends_with(b"\r\n\r\nok") {
                stream.read_exact(&mut byte).unwrap();
                answer.push(byte[0]);
            }
        }
        OnTheirWay { fresh, begun, between }
    }

    /// Waits until the drain has gone through the connections, then sends what is left of each first request.
    fn must_be_answered(&mut self) {
        for stream in &mut self.between {
            assert_eq!(stream.read(&mut [0]).unwrap(), 0, "it ends between two requests");
        }
        let fresh = self.fresh.iter_mut().map(|stream| finish(stream, REQUEST));
        let begun = self.begun.iter_mut().map(|stream| finish(stream, &REQUEST[Self::BEGUN..]));
        for (n, got) in fresh.chain(begun).enumerate() {
            let served = got.as_ref().is_ok_and(|text| text.starts_with("HTTP/1.1 200"));
            assert!(served, "connection {n} got {got:?}");
        }
    }
}

#[test]
fn a_process_that_drains_answers_first_requests_on_their_way() {
    let mut proxy = start("drains-first", "", "");
    let mut clients = OnTheirWay::open(&proxy);
    kill_process(proxy.pid(), Signal::TERM).unwrap();
    clients.must_be_answered();
    drop(clients);
    assert!(proxy.child.wait().unwrap().success());
}

#[test]
fn an_operators_drain_answers_first_requests_on_their_way() {
    let fleet = Fleet::start("drains-way", 1);
    let mut clients = OnTheirWay::open(&fleet.daemons[0]);
    assert_eq!(fleet.tool(&["drain"]).0, 0);
    clients.must_be_answered();
    fleet.end();
}

/// The arguments of a proxy with room for so many clients at once.
fn room_for(clients: usize) -> String {
    format!(")\nconnections(max_clients = {clients}")
}

/// Silent clients have all the room as it drains, and three times as many wait in its queue, each with its request.
#[test]
fn a_process_that_drains_with_no_room_answers_what_waits_in_its_queue() {
    let mut proxy = start("drains-full", "", &room_for(8));
    let silent: Vec<TcpStream> = (0..8).map(|_| proxy.open()).collect();
    let mut waiting: Vec<TcpStream> = (0..24).map(|_| proxy.open()).collect();
    waiting.iter_mut().for_each(|stream| stream.write_all(REQUEST).unwrap());
    kill_process(proxy.pid(), Signal::TERM).unwrap();
    for (n, mut stream) in waiting.into_iter().enumerate() {
        let got = finish(&mut stream, b"");
        let served = got.as_ref().is_ok_and(|text| text.starts_with("HTTP/1.1 200"));
        assert!(served, "connection {n} got {got:?}");
    }
    drop(silent);
    assert!(proxy.child.wait().unwrap().success());
}

/// Clients that never finish their requests keep the room for longer than it listens: what waits is given up, and the
/// process ends once their time is over.
#[test]
fn a_process_that_drains_with_no_room_ends_whatever_its_clients_do() {
    let more = format!("{}, head_timeout = \"4s\"", room_for(2));
    let mut proxy = start("drains-stuck", "", &more);
    let mut stuck: Vec<TcpStream> = (0..2).map(|_| proxy.open()).collect();
    stuck.iter_mut().for_each(|stream| stream.write_all(b"GET /x").unwrap());
    let mut waits = proxy.open();
    waits.write_all(REQUEST).unwrap();
    let began = Instant::now();
    kill_process(proxy.pid(), Signal::TERM).unwrap();
    assert!(waits.read_to_end(&mut Vec::new()).is_err(), "there was room for it");
    assert!(proxy.child.wait().unwrap().success());
    assert!(began.elapsed() < Duration::from_secs(8), "{:?}", began.elapsed());
}

/// An operator drains it while its queue waits for room, and changes their mind: the queue is served, and so are others.
#[test]
fn a_drain_called_off_while_the_queue_waits_goes_on_with_it() {
    let fleet = Fleet::start_more("drains-off", "", 1, &room_for(2));
    let proxy = &fleet.daemons[0];
    let mut begun: Vec<TcpStream> = (0..2).map(|_| proxy.open()).collect();
    begun.iter_mut().for_each(|stream| stream.write_all(&REQUEST[..9]).unwrap());
    let mut waits = proxy.open();
    waits.write_all(REQUEST).unwrap();
    for (command, draining) in [("drain", true), ("undrain", false)] {
        assert_eq!(fleet.tool(&[command]).0, 0);
        assert_eq!(states(&fleet.tool(&["state"]).1)[0]["draining"], draining);
    }
    for stream in &mut begun {
        assert!(finish(stream, &REQUEST[9..]).unwrap().starts_with("HTTP/1.1 200"));
    }
    drop(begun);
    assert!(finish(&mut waits, b"").unwrap().starts_with("HTTP/1.1 200"));
    drop(waits);
    assert!(proxy.ask(Duration::from_secs(5)).is_some_and(|text| text.starts_with("HTTP/1.1 200")));
    fleet.end();
}

#[test]
fn a_process_that_stood_still_answers_all_that_came_meanwhile() {
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
fn bad_input_gets_a_plain_message_and_a_status() {
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
