//! Runs the publisher as a child process, and subscribes to it over TCP connections.

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

/// The longest time that a test waits for one condition.
pub const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// Returns a path for a publisher's state that does not exist yet. The publisher creates the folder.
pub fn state_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("vs-publisher-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

/// A running publisher process. It is killed when this value is dropped.
pub struct PublisherProcess {
    child: Child,
    pub address: SocketAddr,
    /// The version that the publisher reported on its first line of output: it continues from this version.
    pub started_from: Version,
}

fn command(state: &Path, extra_arguments: &[&str]) -> Command {
    let mut command = Command::new(PROGRAM);
    command
        .args(["publisher", "--listen", "127.0.0.1:0", "--log", "error", "--state"])
        .arg(state)
        .args(extra_arguments);
    command
}

/// Starts a publisher on a free port and waits until it listens.
pub fn start(state: &Path, extra_arguments: &[&str]) -> PublisherProcess {
    let mut child = command(state, extra_arguments).stdout(Stdio::piped()).spawn().unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.as_mut().unwrap()).read_line(&mut line).unwrap();
    let words: Vec<&str> = line.split_whitespace().collect();
    let ["publishes", "from", "version", version, "on", address] = words[..] else {
        panic!("the publisher did not start: its first line of output is {line:?}")
    };
    PublisherProcess { child, address: address.parse().unwrap(), started_from: version_of(version) }
}

/// Starts a publisher that must exit by itself, and returns its output.
pub fn start_expecting_exit(state: &Path, extra_arguments: &[&str]) -> Output {
    let mut command = command(state, extra_arguments);
    let mut child = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
    wait_for_exit(&mut child);
    child.wait_with_output().unwrap()
}

/// Waits until a process has exited. Kills it and fails the test if it still runs after the time limit.
fn wait_for_exit(child: &mut Child) -> ExitStatus {
    let deadline = Instant::now() + WAIT_LIMIT;
    loop {
        if let Some(status) = child.try_wait().unwrap() {
            return status;
        }
        if Instant::now() >= deadline {
            let _ = child.kill();
            let _ = child.wait();
            panic!("the publisher did not exit within {WAIT_LIMIT:?}");
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Parses a version that is written as `term.number`.
pub fn version_of(text: &str) -> Version {
    let (term, number) = text.split_once('.').unwrap();
    Version::new(Term(term.parse().unwrap()), number.parse().unwrap())
}

impl PublisherProcess {
    pub fn pid(&self) -> Pid {
        Pid::from_raw(self.child.id() as i32).unwrap()
    }

    /// Kills the process, as a crash would, and waits until it has exited. The store is locked as long as
    /// the process exists.
    pub fn kill_and_wait(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    pub fn client(&self) -> Client {
        Client { publisher: self.address, timeout: WAIT_LIMIT }
    }

    /// Publishes changes, which the publisher must accept, and returns the new version.
    pub fn publish(&self, changes: &[Change]) -> Version {
        self.client().publish_changes(&json_lines(changes)).unwrap().version
    }

    /// Runs `violetseam publish` against this publisher and returns its output.
    pub fn run_publish(&self, extra_arguments: &[&str]) -> Output {
        let to = self.address.to_string();
        Command::new(PROGRAM).args(["publish", "--to", &to]).args(extra_arguments).output().unwrap()
    }

    /// Waits until the publisher has exited by itself.
    pub fn wait(&mut self) -> ExitStatus {
        wait_for_exit(&mut self.child)
    }

    /// Kills the process, as a crash would.
    pub fn kill(mut self) {
        self.kill_and_wait();
    }

    /// Stops the publisher with SIGTERM; it must exit with success.
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

/// Writes each value as one line of JSON.
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

/// A subscriber's connection to the publisher, with one request and its response.
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

/// What was read from a watch.
#[derive(Debug)]
pub enum WatchEvent {
    Message(Message),
    /// The response or the connection ended.
    End,
    /// No message arrived within the given time.
    Silence,
}

impl Watch {
    /// Connects, requests a watch, and reads the head of the response.
    pub fn open(publisher: SocketAddr, name: &str, known: Option<Version>) -> Watch {
        let subscribe = Subscribe { subscriber: name.to_owned(), known, snapshot_required: false };
        Watch::call(TcpStream::connect(publisher).unwrap(), &subscribe)
    }

    /// Requests a watch on this connection, and reads the head of the response.
    pub fn call(stream: TcpStream, subscribe: &Subscribe) -> Watch {
        let target = format!("/v1/configuration/watch?{}", subscribe.to_query());
        Watch::request(stream, &format!("GET {target} HTTP/1.1\r\nhost: publisher\r\n\r\n"))
    }

    /// Sends any request, given as text, and reads the head of the response.
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
        let deadline = Instant::now() + WAIT_LIMIT;
        while watch.status == 0 && !watch.ended {
            assert!(Instant::now() < deadline, "no response within {WAIT_LIMIT:?}");
            watch.read(deadline);
        }
        watch
    }

    /// Returns the next line, or `None` if no line arrives within the given time.
    pub fn next_line(&mut self, within: Duration) -> Option<Vec<u8>> {
        let deadline = Instant::now() + within;
        while self.lines.is_empty() && !self.ended && Instant::now() < deadline {
            self.read(deadline);
        }
        self.lines.pop_front()
    }

    /// Returns the next message, or that the watch ended, or that nothing arrived within the given time.
    pub fn next(&mut self, within: Duration) -> WatchEvent {
        match self.next_line(within) {
            Some(line) => WatchEvent::Message(Message::parse(&line).unwrap()),
            None if self.ended => WatchEvent::End,
            None => WatchEvent::Silence,
        }
    }

    /// Returns the next message that is not a heartbeat; fails if none arrives within the time limit.
    pub fn next_message_except_heartbeat(&mut self) -> Message {
        let deadline = Instant::now() + WAIT_LIMIT;
        loop {
            match self.next(deadline.saturating_duration_since(Instant::now())) {
                WatchEvent::Message(Message::Heartbeat { .. }) => {}
                WatchEvent::Message(message) => return message,
                other => panic!("expected a message, got {other:?}"),
            }
        }
    }

    /// Discards what arrives until the watch ends, and returns whether it ended within the given time.
    pub fn closes_within(&mut self, within: Duration) -> bool {
        let deadline = Instant::now() + within;
        while !self.ended && Instant::now() < deadline {
            self.read(deadline);
            self.lines.clear();
        }
        self.ended
    }

    fn read(&mut self, deadline: Instant) {
        let left = deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
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
                ClientEvent::Body(body) => self.split_lines(&body),
                ClientEvent::End { .. } => {
                    if !self.partial.is_empty() {
                        self.lines.push_back(std::mem::take(&mut self.partial));
                    }
                    self.ended = true;
                    return;
                }
                ClientEvent::Error(error) => panic!("malformed response: {error:?}"),
            }
        }
    }

    /// Adds body bytes and moves each complete line to `lines`.
    fn split_lines(&mut self, body: &[u8]) {
        self.partial.extend_from_slice(body);
        while let Some(at) = self.partial.iter().position(|byte| *byte == b'\n') {
            let rest = self.partial.split_off(at + 1);
            self.lines.push_back(std::mem::replace(&mut self.partial, rest));
        }
    }
}

/// Sends a report and returns the status of the response.
pub fn report(publisher: SocketAddr, report: &Report) -> u16 {
    let body = String::from_utf8(report.write().to_vec()).unwrap();
    let request = format!(
        "POST /v1/configuration/acknowledge HTTP/1.1\r\nhost: publisher\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    Watch::request(TcpStream::connect(publisher).unwrap(), &request).status
}

/// Connects with a small receive buffer, for a subscriber that reads slowly.
pub fn connect_with_small_buffer(publisher: SocketAddr) -> TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4 * 1024).unwrap();
    socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).unwrap();
    socket.connect(&publisher.into()).unwrap();
    socket.into()
}
