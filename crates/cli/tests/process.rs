//! The program as a process: out of descriptors, stopped and gone on, told nonsense.

use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_violetseam");

/// A server, a roster and a desk in one: answers by path, keeps streams open.
fn world() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || serve(stream, addr));
        }
    });
    addr
}

fn serve(mut stream: TcpStream, addr: SocketAddr) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    loop {
        let (mut path, mut line) = (String::new(), String::new());
        loop {
            line.clear();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            if path.is_empty() {
                path = line.split(' ').nth(1).unwrap_or("").to_owned();
            }
            if line == "\r\n" {
                break;
            }
        }
        let stream_head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let lines = if path.starts_with("/v1/roster") {
            format!(
                r#"{{"kind":"full","version":1,"servers":[{{"id":1,"addr":"{addr}","build":1,"state":"ready"}}]}}"#
            )
        } else if path.starts_with("/v1/stage") {
            r#"{"build":1,"stage":0,"phase":"released","cap":1.0}"#.to_owned()
        } else {
            std::thread::sleep(Duration::from_millis(5));
            if stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").is_err() {
                return;
            }
            continue;
        };
        let text = format!("{stream_head}{:x}\r\n{lines}\n\r\n", lines.len() + 1);
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

struct Proxy {
    child: Child,
    addr: SocketAddr,
}

fn start(name: &str, launch: &str) -> Proxy {
    let world = world();
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.star"));
    let text = format!(
        r#"
fleet(name = "test", size = 1, position = 0)
listen(addr = "127.0.0.1:0")
roster(addr = "{world}")
desk(addr = "{world}")
request_class(name = "read", aim = "500ms", deadline = "1s", effect = "retryable")
route(prefix = "/", to = "read")
rollout(stage_caps = [1.0], counted_over = "2s", vote_ttl = "4s")
contract(ask_within = "10s", cold_from = 0.5, cold_span = "1s", drain_grace = "200ms", fall_multiple = 3.0, fall_span = "1s")
"#
    );
    std::fs::write(&file, text).unwrap();
    let command = format!("{launch} exec {PROGRAM} serve --settings {} --log warn", file.display());
    let mut child = Command::new("/bin/sh").args(["-c", &command]).stdout(Stdio::piped()).spawn().unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.as_mut().unwrap()).read_line(&mut line).unwrap();
    let addr = line.trim().rsplit(' ').next().unwrap().parse().unwrap();
    let proxy = Proxy { child, addr };
    let until = Instant::now() + Duration::from_secs(10);
    while !proxy.ask(Duration::from_secs(2)).is_some_and(|a| a.ends_with("ok")) {
        assert!(Instant::now() < until, "the proxy never served");
    }
    proxy
}

impl Proxy {
    fn pid(&self) -> Pid {
        Pid::from_raw(self.child.id() as i32).unwrap()
    }

    fn open(&self) -> TcpStream {
        let stream = TcpStream::connect(self.addr).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        stream
    }

    fn ask(&self, patience: Duration) -> Option<String> {
        let mut stream = self.open();
        stream.set_read_timeout(Some(patience)).unwrap();
        stream.write_all(b"GET /x HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n").unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).ok().map(|_| text)
    }

    /// Drains it; it must say that nothing was left open.
    fn end(mut self) {
        kill_process(self.pid(), Signal::TERM).unwrap();
        assert!(self.child.wait().unwrap().success());
    }
}

#[test]
fn out_of_descriptors_accepting_pauses_and_no_connection_is_lost() {
    let proxy = start("descriptors", "ulimit -n 48;");
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

#[test]
fn a_process_that_stood_still_answers_all_that_came_meanwhile() {
    let proxy = start("standstill", "");
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
