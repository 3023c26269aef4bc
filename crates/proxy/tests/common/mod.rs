//! A proxy on its own thread, scripted servers, and a site that lists them; all on loopback.
#![allow(dead_code, reason = "each test binary uses a part of this module")]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use violetseam_proxy::driver::{Options, Summary, serve};
use violetseam_settings::read_text;

/// How long [`wait_for`] waits for its condition.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until a condition holds; panics when it does not in time.
pub fn wait_for(what: &str, mut is_met: impl FnMut() -> bool) {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    while !is_met() {
        assert!(Instant::now() < deadline, "waited in vain for: {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// A server that plays `script` on each connection, on a thread of its own.
pub struct ScriptedServer {
    pub addr: SocketAddr,
    /// Connections accepted so far.
    pub accepted: Arc<AtomicUsize>,
}

pub fn scripted_server(script: impl Fn(usize, TcpStream) + Send + Sync + 'static) -> ScriptedServer {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let addr = listener.local_addr().unwrap();
    let accepted = Arc::new(AtomicUsize::new(0));
    let count = accepted.clone();
    let script = Arc::new(script);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let n = count.fetch_add(1, Ordering::SeqCst);
            let script = script.clone();
            std::thread::spawn(move || script(n, stream));
        }
    });
    ScriptedServer { addr, accepted }
}

/// Reads one request with a Content-Length; its text, or none at the end of the connection.
pub fn read_request(stream: &TcpStream) -> Option<String> {
    let mut reader = BufReader::with_capacity(1, stream);
    let mut head = String::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line == "\r\n" {
            break;
        }
        if let Some(n) = line.to_ascii_lowercase().strip_prefix("content-length: ") {
            length = n.trim().parse().unwrap();
        }
        head += &line;
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(head + &String::from_utf8_lossy(&body))
}

pub fn answer(stream: &mut TcpStream, status: &str, fields: &str, body: &str) {
    let text = format!("HTTP/1.1 {status}\r\n{fields}content-length: {}\r\n\r\n{body}", body.len());
    let _ = stream.write_all(text.as_bytes());
}

/// A server that answers every request with 200, and sends each to `seen`.
pub fn healthy_server(seen: Sender<String>) -> ScriptedServer {
    let seen = Mutex::new(seen);
    scripted_server(move |_, mut stream| {
        while let Some(request) = read_request(&stream) {
            let _ = seen.lock().unwrap().send(request);
            answer(&mut stream, "200 OK", "", "fine");
        }
    })
}

/// Discovery and a release service: discovery sends the list when it is called, and then what is given to
/// `push`.
pub struct Site {
    pub discovery: ScriptedServer,
    pub release_service: ScriptedServer,
    pushes: Arc<Mutex<Vec<Sender<String>>>>,
    /// Full lists sent so far.
    pub lists_sent: Arc<AtomicUsize>,
}

fn stream_lines(stream: &mut TcpStream, lines: &Receiver<String>) {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let mut text = head.to_owned();
    loop {
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
        let Ok(line) = lines.recv() else { return };
        text = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
    }
}

impl Site {
    pub fn start(list: String) -> Site {
        let pushes: Arc<Mutex<Vec<Sender<String>>>> = Arc::default();
        let lists_sent = Arc::new(AtomicUsize::new(0));
        let watchers = pushes.clone();
        let count = lists_sent.clone();
        let discovery = scripted_server(move |_, mut stream| {
            if read_request(&stream).is_some() {
                let (push, lines) = channel();
                push.send(list.clone()).unwrap();
                watchers.lock().unwrap().push(push);
                count.fetch_add(1, Ordering::SeqCst);
                stream_lines(&mut stream, &lines);
            }
        });
        let release_service = scripted_server(move |_, mut stream| {
            let Some(request) = read_request(&stream) else { return };
            if request.starts_with("POST") {
                return answer(&mut stream, "200 OK", "", "{\"outcome\":\"ok\"}");
            }
            let (push, lines) = channel();
            push.send("{\"build\":1,\"stage\":0,\"phase\":\"released\",\"cap\":1.0}".into()).unwrap();
            stream_lines(&mut stream, &lines);
            drop(push);
        });
        Site { discovery, release_service, pushes, lists_sent }
    }

    /// Sends a line to all that watch the server list.
    pub fn push(&self, line: &str) {
        for watcher in self.pushes.lock().unwrap().iter() {
            // Fails for a watch that has ended.
            let _ = watcher.send(line.to_owned());
        }
    }
}

pub fn line(id: u64, addr: SocketAddr, state: &str) -> String {
    format!("{{\"id\":{id},\"addr\":\"{addr}\",\"build\":1,\"state\":\"{state}\"}}")
}

/// A whole list of ready servers, version 1.
pub fn list(servers: &[SocketAddr]) -> String {
    let lines: Vec<String> =
        servers.iter().enumerate().map(|(i, a)| line(i as u64 + 1, *a, "ready")).collect();
    format!("{{\"kind\":\"full\",\"version\":5,\"servers\":[{}]}}", lines.join(","))
}

/// A proxy under test, with classes read (safe), log (keyed, 500 ms window) and pay (unsafe).
pub struct Proxy {
    pub addr: SocketAddr,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<std::io::Result<Summary>>>,
    pub site: Site,
}

pub fn settings(site: &Site, more: &str) -> String {
    format!(
        r#"
fleet(name = "test", size = 1, position = 0, seed = 3)
listen(addr = "127.0.0.1:0")
roster(addr = "{}", timeout = "300ms")
desk(addr = "{}", reconnect = "50ms")
request_class(name = "read", aim = "200ms", deadline = "600ms", effect = "retryable")
request_class(name = "log", aim = "200ms", deadline = "600ms", effect = "keyed", window = "500ms")
request_class(name = "pay", aim = "200ms", deadline = "600ms", effect = "fragile")
route(prefix = "/read", to = "read")
route(prefix = "/log", to = "log")
route(prefix = "/pay", to = "pay")
rollout(stage_caps = [0.5, 1.0], counted_over = "2s", vote_ttl = "4s")
contract(ask_within = "10s", cold_from = 0.5, cold_span = "1s", drain_grace = "200ms", fall_multiple = 3.0, fall_span = "1s")
{more}
"#,
        site.discovery.addr, site.release_service.addr
    )
}

impl Proxy {
    /// Starts one with these servers listed, and waits until discovery has sent it the list.
    pub fn with_servers(servers: &[SocketAddr], more: &str) -> Proxy {
        let site = Site::start(list(servers));
        let text = settings(&site, more);
        let proxy = Proxy::with_settings(site, &text);
        wait_for("the list to be told", || proxy.site.lists_sent.load(Ordering::SeqCst) > 0);
        // The line may still be on its way; a request held by the decisions waits for it.
        std::thread::sleep(Duration::from_millis(60));
        proxy
    }

    /// Starts one with these settings.
    pub fn with_settings(site: Site, text: &str) -> Proxy {
        let settings = read_text("test.star", text, &[]).unwrap();
        let stop = Arc::new(AtomicBool::new(false));
        let options = Options { stop: Some(stop.clone()), ..Options::default() };
        let (ready, is_ready) = channel();
        let thread = std::thread::spawn(move || serve(settings, options, |a| ready.send(a[0]).unwrap()));
        Proxy { addr: is_ready.recv().unwrap(), stop, thread: Some(thread), site }
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.addr).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(15))).unwrap();
        stream
    }

    /// One request on a connection of its own; the whole answer.
    pub fn request(&self, head: &str, body: &str) -> String {
        let mut stream = self.connect();
        send(&mut stream, head, body);
        read_answer(&mut stream)
    }

    /// Drains it: no connection may be left open and no request in flight.
    pub fn drain(mut self) -> Summary {
        self.stop.store(true, Ordering::Relaxed);
        let summary = self.thread.take().unwrap().join().unwrap().unwrap();
        assert_eq!((summary.left_open, summary.left_in_flight), (0, 0), "leaked: {summary:?}");
        assert_eq!(summary.counts.overdue, 0, "the module owed an answer");
        let counts = summary.counts;
        let ended = counts.served + counts.rejected + counts.failed + counts.disconnected;
        assert_eq!(counts.received, ended, "one final answer each: {counts:?}");
        summary
    }
}

pub fn send(stream: &mut TcpStream, head: &str, body: &str) {
    let length = if body.is_empty() { String::new() } else { format!("content-length: {}\r\n", body.len()) };
    stream.write_all(format!("{head}\r\nhost: t\r\n{length}\r\n{body}").as_bytes()).unwrap();
}

/// Reads one answer of a stated length; its text, or what came until the connection closed.
pub fn read_answer(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let mut byte = [0];
    loop {
        if let Some(head_end) = text.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&text[..head_end]).to_ascii_lowercase();
            let length = head.lines().find_map(|l| l.strip_prefix("content-length: ")?.trim().parse().ok());
            if text.len() >= head_end + 4 + length.unwrap_or(0usize) {
                return String::from_utf8_lossy(&text).into_owned();
            }
        }
        match stream.read(&mut byte) {
            Ok(1) => text.push(byte[0]),
            _ => return String::from_utf8_lossy(&text).into_owned(),
        }
    }
}

/// The outcome that an answer states: served, refused or failed.
pub fn outcome(answer: &str) -> &str {
    let field = answer.lines().find_map(|l| l.strip_prefix("violetseam-answer: "));
    field.unwrap_or("none")
}
