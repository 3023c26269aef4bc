//! The publisher as a process, and subscribers over real connections.

use super::PROGRAM;
use rustix::process::{Pid, Signal, kill_process};
use std::collections::VecDeque;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::time::{Duration, Instant};
use violetseam_distribution::{
    Change, Message, Report, Resource, ResourceKey, RouteKey, Subscribe, Term, Version,
};
use violetseam_http1::Limits;
use violetseam_http1::client::{ClientConnection, ClientEvent};
use violetseam_publisher::client::Client;

/// What a test waits for at most.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// A fresh folder for a publisher's state; the folder itself is not made.
pub fn state_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("vs-publisher-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

pub struct PublisherProcess {
    child: Child,
    pub address: SocketAddr,
    /// The version that it said to go on from.
    pub started_from: Version,
}

fn command(state: &Path, more: &[&str]) -> Command {
    let mut command = Command::new(PROGRAM);
    command.args(["publisher", "--listen", "127.0.0.1:0", "--log", "error", "--state"]).arg(state).args(more);
    command
}

/// Starts a publisher on a free port, and waits until it listens.
pub fn start(state: &Path, more: &[&str]) -> PublisherProcess {
    let mut child = command(state, more).stdout(Stdio::piped()).spawn().unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.as_mut().unwrap()).read_line(&mut line).unwrap();
    let words: Vec<&str> = line.split_whitespace().collect();
    let ["publishes", "from", "version", version, "on", address] = words[..] else {
        panic!("the publisher does not start: {line:?}")
    };
    PublisherProcess { child, address: address.parse().unwrap(), started_from: version_of(version) }
}

/// Starts a publisher that must end by itself: what it said.
pub fn start_refused(state: &Path, more: &[&str]) -> Output {
    let mut command = command(state, more);
    let mut child = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
    wait_for_end(&mut child);
    child.wait_with_output().unwrap()
}

/// Waits until a process that must end has; one that does not is killed, and the test fails.
fn wait_for_end(child: &mut Child) -> ExitStatus {
    let until = Instant::now() + PATIENCE;
    loop {
        if let Some(status) = child.try_wait().unwrap() {
            return status;
        }
        if Instant::now() >= until {
            let _ = child.kill();
            let _ = child.wait();
            panic!("a publisher that must end runs on");
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

pub fn version_of(text: &str) -> Version {
    let (term, number) = text.split_once('.').unwrap();
    Version::new(Term(term.parse().unwrap()), number.parse().unwrap())
}

impl PublisherProcess {
    pub fn pid(&self) -> Pid {
        Pid::from_raw(self.child.id() as i32).unwrap()
    }

    /// Kills the process, as a crash would, and waits until it is gone: its store is locked as long as it exists.
    pub fn kill_and_wait(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    pub fn client(&self) -> Client {
        Client { publisher: self.address, timeout: PATIENCE }
    }

    /// Publishes changes; they must be taken.
    pub fn publish(&self, changes: &[Change]) -> Version {
        self.client().publish_changes(&json_lines(changes)).unwrap().version
    }

    /// Runs `violetseam publish`.
    pub fn run_publish(&self, more: &[&str]) -> Output {
        let to = self.address.to_string();
        Command::new(PROGRAM).args(["publish", "--to", &to]).args(more).output().unwrap()
    }

    /// Waits until it has ended by itself.
    pub fn wait(&mut self) -> ExitStatus {
        wait_for_end(&mut self.child)
    }

    pub fn kill(mut self) {
        self.kill_and_wait();
    }

    pub fn end(mut self) {
        kill_process(self.pid(), Signal::TERM).unwrap();
        assert!(self.child.wait().unwrap().success());
    }
}

impl Drop for PublisherProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn json_lines<T: serde::Serialize>(values: &[T]) -> Vec<u8> {
    let mut lines = Vec::new();
    for value in values {
        serde_json::to_writer(&mut lines, value).unwrap();
        lines.push(b'\n');
    }
    lines
}

pub fn put_route(prefix: &str, class: &str) -> Change {
    Change::Put(Resource::route(None, prefix, class))
}

pub fn remove_route(prefix: &str) -> Change {
    Change::Remove(ResourceKey::Route(RouteKey { method: None, prefix: prefix.to_owned() }))
}

/// One connection that a subscriber calls on.
pub struct Watch {
    stream: TcpStream,
    http: ClientConnection,
    pub status: u16,
    /// The header `retry-after-ms`.
    pub retry_after_ms: Option<u64>,
    lines: VecDeque<Vec<u8>>,
    partial: Vec<u8>,
    ended: bool,
}

/// What a watch gave.
#[derive(Debug)]
pub enum Heard {
    Message(Message),
    /// The answer or the connection ended.
    End,
    /// Nothing in this time.
    Silence,
}

impl Watch {
    /// Calls, and reads the answer's head.
    pub fn open(publisher: SocketAddr, name: &str, known: Option<Version>) -> Watch {
        let subscribe = Subscribe { subscriber: name.to_owned(), known, snapshot_required: false };
        Watch::call(TcpStream::connect(publisher).unwrap(), &subscribe)
    }

    pub fn call(stream: TcpStream, subscribe: &Subscribe) -> Watch {
        let target = format!("/v1/configuration/watch?{}", subscribe.to_query());
        Watch::request(stream, &format!("GET {target} HTTP/1.1\r\nhost: publisher\r\n\r\n"))
    }

    /// Sends a request of any kind.
    pub fn request(mut stream: TcpStream, request: &str) -> Watch {
        stream.write_all(request.as_bytes()).unwrap();
        let mut http = ClientConnection::new(Limits::default());
        http.expect_response(false);
        let mut watch = Watch {
            stream,
            http,
            status: 0,
            retry_after_ms: None,
            lines: VecDeque::new(),
            partial: Vec::new(),
            ended: false,
        };
        let until = Instant::now() + PATIENCE;
        while watch.status == 0 && !watch.ended {
            assert!(Instant::now() < until, "no answer");
            watch.read(until);
        }
        watch
    }

    /// The next line, if one comes in this time.
    pub fn next_line(&mut self, within: Duration) -> Option<Vec<u8>> {
        let until = Instant::now() + within;
        while self.lines.is_empty() && !self.ended && Instant::now() < until {
            self.read(until);
        }
        self.lines.pop_front()
    }

    pub fn next(&mut self, within: Duration) -> Heard {
        match self.next_line(within) {
            Some(line) => Heard::Message(Message::parse(&line).unwrap()),
            None if self.ended => Heard::End,
            None => Heard::Silence,
        }
    }

    /// The next message that is no heartbeat; it must come.
    pub fn next_news(&mut self) -> Message {
        let until = Instant::now() + PATIENCE;
        loop {
            match self.next(until.saturating_duration_since(Instant::now())) {
                Heard::Message(Message::Heartbeat { .. }) => {}
                Heard::Message(message) => return message,
                other => panic!("{other:?}"),
            }
        }
    }

    /// Reads until the publisher closes: whether it did in this time.
    pub fn reads_to_end(&mut self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while !self.ended && Instant::now() < until {
            self.read(until);
            self.lines.clear();
        }
        self.ended
    }

    fn read(&mut self, until: Instant) {
        let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        self.stream.set_read_timeout(Some(left)).unwrap();
        let mut bytes = [0; 64 * 1024];
        match self.stream.read(&mut bytes) {
            Ok(0) => self.ended = true,
            Ok(count) => self.http.feed(&bytes[..count]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => return,
            Err(_) => self.ended = true,
        }
        while let Some(event) = self.http.next_event() {
            match event {
                ClientEvent::Head(head) => {
                    self.status = head.status.as_u16();
                    let value = head.headers.get("retry-after-ms");
                    self.retry_after_ms = value.map(|value| value.to_str().unwrap().parse().unwrap());
                }
                ClientEvent::Body(body) => self.take(&body),
                ClientEvent::End { .. } => {
                    if !self.partial.is_empty() {
                        self.lines.push_back(std::mem::take(&mut self.partial));
                    }
                    self.ended = true;
                    return;
                }
                ClientEvent::Error(fault) => panic!("{fault:?}"),
            }
        }
    }

    fn take(&mut self, body: &[u8]) {
        self.partial.extend_from_slice(body);
        while let Some(at) = self.partial.iter().position(|byte| *byte == b'\n') {
            let rest = self.partial.split_off(at + 1);
            self.lines.push_back(std::mem::replace(&mut self.partial, rest));
        }
    }
}

/// Sends a report; the status it was answered with.
pub fn report(publisher: SocketAddr, report: &Report) -> u16 {
    let body = String::from_utf8(report.write().to_vec()).unwrap();
    let request = format!(
        "POST /v1/configuration/acknowledge HTTP/1.1\r\nhost: publisher\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    Watch::request(TcpStream::connect(publisher).unwrap(), &request).status
}

/// A connection with a small receive buffer, for a subscriber that reads slowly.
pub fn connect_with_small_buffer(publisher: SocketAddr) -> TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4 * 1024).unwrap();
    socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).unwrap();
    socket.connect(&publisher.into()).unwrap();
    socket.into()
}
