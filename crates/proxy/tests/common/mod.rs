//! Helpers for the tests of the proxy: the proxy under test on its own thread, scripted servers, and a site
//! with discovery and a release service. All sockets are on loopback.
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

/// The time within which a condition of [`wait_for`] must be met.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until a condition is met. Panics if it is not met within [`CONDITION_TIMEOUT`].
pub fn wait_for(condition: &str, mut is_met: impl FnMut() -> bool) {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    while !is_met() {
        assert!(Instant::now() < deadline, "timed out after {CONDITION_TIMEOUT:?} waiting for {condition}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// A server that runs a script for each connection.
pub struct ScriptedServer {
    pub addr: SocketAddr,
    /// The number of connections accepted so far.
    pub accepted: Arc<AtomicUsize>,
}

/// Starts a server. `script` runs on a thread for each connection and gets the connection's number, from 0,
/// and its stream.
pub fn scripted_server(script: impl Fn(usize, TcpStream) + Send + Sync + 'static) -> ScriptedServer {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let addr = listener.local_addr().unwrap();
    let accepted = Arc::new(AtomicUsize::new(0));
    let accepted_count = accepted.clone();
    let script = Arc::new(script);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let number = accepted_count.fetch_add(1, Ordering::SeqCst);
            let script = script.clone();
            std::thread::spawn(move || script(number, stream));
        }
    });
    ScriptedServer { addr, accepted }
}

/// Reads one request with an optional `content-length` and returns its text; `None` at the end of the
/// connection.
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
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length: ") {
            length = value.trim().parse().unwrap();
        }
        head += &line;
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(head + &String::from_utf8_lossy(&body))
}

/// Writes a response; `headers` are complete header lines. A client that has disconnected is ignored.
pub fn write_response(stream: &mut TcpStream, status: &str, headers: &str, body: &str) {
    let text = format!("HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n{body}", body.len());
    let _ = stream.write_all(text.as_bytes());
}

/// Starts a server that answers every request with 200 and sends the request's text to `requests`.
pub fn healthy_server(requests: Sender<String>) -> ScriptedServer {
    let requests = Mutex::new(requests);
    scripted_server(move |_, mut stream| {
        while let Some(request) = read_request(&stream) {
            let _ = requests.lock().unwrap().send(request);
            write_response(&mut stream, "200 OK", "", "fine");
        }
    })
}

/// Discovery and a release service. Discovery responds to each call with the server list, followed by the
/// lines that are given to [`Site::push`].
pub struct Site {
    pub discovery: ScriptedServer,
    pub release_service: ScriptedServer,
    watches: Arc<Mutex<Vec<Sender<String>>>>,
    /// The number of full lists sent so far.
    pub lists_sent: Arc<AtomicUsize>,
}

/// Writes a chunked response with one chunk for each line, until the sender of the lines is dropped.
pub fn stream_lines(stream: &mut TcpStream, lines: &Receiver<String>) {
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
    /// Starts both services. `list` is the server list that discovery sends.
    pub fn start(list: String) -> Site {
        let watches: Arc<Mutex<Vec<Sender<String>>>> = Arc::default();
        let lists_sent = Arc::new(AtomicUsize::new(0));
        let open_watches = watches.clone();
        let sent_count = lists_sent.clone();
        let discovery = scripted_server(move |_, mut stream| {
            if read_request(&stream).is_some() {
                let (watch, lines) = channel();
                watch.send(list.clone()).unwrap();
                open_watches.lock().unwrap().push(watch);
                sent_count.fetch_add(1, Ordering::SeqCst);
                stream_lines(&mut stream, &lines);
            }
        });
        let release_service = scripted_server(move |_, mut stream| {
            let Some(request) = read_request(&stream) else { return };
            if request.starts_with("POST") {
                return write_response(&mut stream, "200 OK", "", "{\"outcome\":\"ok\"}");
            }
            let (watch, lines) = channel();
            watch.send("{\"build\":1,\"stage\":0,\"phase\":\"released\",\"cap\":1.0}".into()).unwrap();
            stream_lines(&mut stream, &lines);
            drop(watch);
        });
        Site { discovery, release_service, watches, lists_sent }
    }

    /// Sends a line to all watches of the server list.
    pub fn push(&self, line: &str) {
        for watch in self.watches.lock().unwrap().iter() {
            // Sending fails if the watch has ended.
            let _ = watch.send(line.to_owned());
        }
    }
}

/// The JSON of one server in a list.
pub fn server_json(id: u64, addr: SocketAddr, state: &str) -> String {
    format!("{{\"id\":{id},\"addr\":\"{addr}\",\"build\":1,\"state\":\"{state}\"}}")
}

/// The full server list, version 5, with these servers as ready. Their ids count from 1.
pub fn full_list(servers: &[SocketAddr]) -> String {
    let entries: Vec<String> = servers
        .iter()
        .enumerate()
        .map(|(index, addr)| server_json(index as u64 + 1, *addr, "ready"))
        .collect();
    format!("{{\"kind\":\"full\",\"version\":5,\"servers\":[{}]}}", entries.join(","))
}

/// A proxy under test. Its request classes are read (idempotent), log (keyed, with a window of 500 ms) and
/// pay (not idempotent).
pub struct Proxy {
    pub addr: SocketAddr,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<std::io::Result<Summary>>>,
    pub site: Site,
}

/// The settings of a proxy at this site, followed by `extra`.
pub fn settings_text(site: &Site, extra: &str) -> String {
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
{extra}
"#,
        site.discovery.addr, site.release_service.addr
    )
}

impl Proxy {
    /// Starts a proxy with these servers listed, and waits until discovery has sent it the list.
    pub fn with_servers(servers: &[SocketAddr], extra_settings: &str) -> Proxy {
        let site = Site::start(full_list(servers));
        let text = settings_text(&site, extra_settings);
        let proxy = Proxy::with_settings(site, &text);
        wait_for("discovery to send the server list", || proxy.site.lists_sent.load(Ordering::SeqCst) > 0);
        // The proxy may not have read the list yet; a request that arrives before that waits for the list.
        std::thread::sleep(Duration::from_millis(60));
        proxy
    }

    /// Starts a proxy with these settings.
    pub fn with_settings(site: Site, text: &str) -> Proxy {
        let settings = read_text("test.star", text, &[]).unwrap();
        let stop = Arc::new(AtomicBool::new(false));
        let options = Options { stop: Some(stop.clone()), ..Options::default() };
        let (ready, listen_addr) = channel();
        let thread =
            std::thread::spawn(move || serve(settings, options, |addrs| ready.send(addrs[0]).unwrap()));
        Proxy { addr: listen_addr.recv().unwrap(), stop, thread: Some(thread), site }
    }

    /// Opens a client connection to the proxy.
    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.addr).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(15))).unwrap();
        stream
    }

    /// Sends one request on a new connection and returns the whole response.
    pub fn request(&self, head: &str, body: &str) -> String {
        let mut stream = self.connect();
        send_request(&mut stream, head, body);
        read_response(&mut stream)
    }

    /// Drains the proxy and checks that no connection is left open, that no request is left in flight, and
    /// that each request has had one final response.
    pub fn drain(mut self) -> Summary {
        self.stop.store(true, Ordering::Relaxed);
        let summary = self.thread.take().unwrap().join().unwrap().unwrap();
        assert_eq!(
            (summary.left_open, summary.left_in_flight),
            (0, 0),
            "connections or requests are left after the drain: {summary:?}"
        );
        assert_eq!(summary.counts.overdue, 0, "the decision module left a response overdue");
        let counts = summary.counts;
        let ended = counts.served + counts.rejected + counts.failed + counts.disconnected;
        assert_eq!(counts.received, ended, "a request has no final response, or more than one: {counts:?}");
        summary
    }
}

/// Writes a request. `head` is the request line, which further header lines may follow.
pub fn send_request(stream: &mut TcpStream, head: &str, body: &str) {
    let length = if body.is_empty() { String::new() } else { format!("content-length: {}\r\n", body.len()) };
    stream.write_all(format!("{head}\r\nhost: t\r\n{length}\r\n{body}").as_bytes()).unwrap();
}

/// Reads one response with an optional `content-length` and returns its text, or what arrived before the
/// connection was closed.
pub fn read_response(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let mut byte = [0];
    loop {
        if let Some(head_end) = text.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&text[..head_end]).to_ascii_lowercase();
            let length =
                head.lines().find_map(|line| line.strip_prefix("content-length: ")?.trim().parse().ok());
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

/// The outcome that a response states: served, refused or failed; "none" if it states none.
pub fn outcome(response: &str) -> &str {
    let value = response.lines().find_map(|line| line.strip_prefix("violetseam-answer: "));
    value.unwrap_or("none")
}
