//! Starts the program as a process against a simulated site: one server, one discovery service and one
//! release service, all at one address.
#![allow(dead_code)]

pub mod capacity;
pub mod fleet;
pub mod piecewise_writer;
pub mod platform;
pub mod publisher;
pub mod services;
pub mod steps;
pub mod timed_reader;
pub mod world;

use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_violetseam");
/// The name of a process that runs it.
const PROGRAM_NAME: &str = "violetseam";

/// Requests with this path are answered with a large body.
pub const LARGE_PATH: &str = "/large";
/// Requests with this path are answered slowly.
pub const SLOW_PATH: &str = "/slow";
/// More than the kernel buffers on a connection.
const LARGE_BODY_BYTES: usize = 8 << 20;

/// Starts a site whose server, discovery service and release service share one address: the path of a request
/// selects the response, and watches stay open.
pub fn world() -> SocketAddr {
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
        let watch_head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let line = if path.starts_with("/v1/roster") {
            format!(
                r#"{{"kind":"full","version":1,"servers":[{{"id":1,"addr":"{addr}","build":1,"state":"ready"}}]}}"#
            )
        } else if path.starts_with("/v1/stage") {
            r#"{"build":2,"stage":1,"phase":"trial","cap":0.5}"#.to_owned()
        } else {
            std::thread::sleep(Duration::from_millis(if path.starts_with(SLOW_PATH) { 800 } else { 5 }));
            let body = if path.starts_with(LARGE_PATH) { &[b'x'; LARGE_BODY_BYTES][..] } else { b"ok" };
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            if stream.write_all(head.as_bytes()).is_err() || stream.write_all(body).is_err() {
                return;
            }
            continue;
        };
        let text = format!("{watch_head}{:x}\r\n{line}\n\r\n", line.len() + 1);
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

/// The highest resident memory of a process of this program so far, in kB, unless it has ended. A child that has
/// only just been started may not run the program yet, and share the memory of its parent.
pub fn peak_memory_kb(process: u32) -> Option<usize> {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let field = |name: &str| text.lines().find_map(|line| line.strip_prefix(name))?.split_whitespace().next();
    if field("Name:")? != PROGRAM_NAME {
        return None;
    }
    field("VmHWM:")?.parse().ok()
}

/// A running proxy and the address at which it accepts clients.
pub struct Proxy {
    pub child: Child,
    pub addr: SocketAddr,
}

/// Starts a proxy against a new site. `more` is inserted as further arguments of `fleet(...)` in the
/// settings, and `launch` is shell code that runs before the program.
pub fn start(name: &str, launch: &str, more: &str) -> Proxy {
    start_over(world(), name, launch, more)
}

/// The same as [`start`], against an existing site.
pub fn start_over(world: SocketAddr, name: &str, launch: &str, more: &str) -> Proxy {
    start_named(world, "test", name, launch, more)
}

/// The same as [`start_over`], as a member of the named fleet.
pub fn start_named(world: SocketAddr, fleet: &str, name: &str, launch: &str, more: &str) -> Proxy {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.star"));
    let text = format!(
        r#"
fleet(name = "{fleet}", size = 1, position = 0{more})
listen(addr = "127.0.0.1:0")
roster(addr = "{world}")
desk(addr = "{world}")
request_class(name = "read", aim = "500ms", deadline = "1s", effect = "retryable")
route(prefix = "/", to = "read")
rollout(stage_caps = [0.5, 0.5, 1.0], counted_over = "2s", vote_ttl = "4s")
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
        assert!(Instant::now() < until, "the proxy did not answer a request within 10 s of its start");
    }
    proxy
}

/// Kills the process, so that a failed test does not leave it running.
impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Proxy {
    pub fn pid(&self) -> Pid {
        Pid::from_raw(self.child.id() as i32).unwrap()
    }

    /// The highest resident memory of the process so far, in kB.
    pub fn peak_memory_kb(&self) -> usize {
        peak_memory_kb(self.child.id()).unwrap()
    }

    pub fn open(&self) -> TcpStream {
        let stream = TcpStream::connect(self.addr).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        stream
    }

    pub fn ask(&self, timeout: Duration) -> Option<String> {
        let mut stream = self.open();
        stream.set_read_timeout(Some(timeout)).unwrap();
        stream.write_all(b"GET /x HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n").unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).ok().map(|_| text)
    }

    /// Drains the proxy. Its exit status must say that it left no connection or request open.
    pub fn end(mut self) {
        kill_process(self.pid(), Signal::TERM).unwrap();
        assert!(self.child.wait().unwrap().success());
    }
}
