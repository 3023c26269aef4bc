//! The program as a process: out of descriptors, stopped and gone on, told nonsense.

mod common;

use common::{PROGRAM, start};
use rustix::process::{Signal, kill_process};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

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
