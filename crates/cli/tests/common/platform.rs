//! A small platform of scripted peers on loopback: servers, discovery, pipeline, and the program started by the
//! `run` line of deploy/balancer.toml. They share no code with what they check.

use super::PROGRAM;
use super::services::watch_of;
use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What waits for a condition gives up after so long.
pub const PATIENCE: Duration = Duration::from_secs(10);

/// Waits until something is so; `what` is said where it never is.
pub fn wait_until(what: &str, mut is: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !is() {
        assert!(Instant::now() < until, "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let addr = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
    addr
}

/// Reads a line without its end; `None` once the peer has closed.
pub fn line(reader: &mut impl BufRead) -> Option<String> {
    let mut text = Vec::new();
    match reader.read_until(b'\n', &mut text) {
        Ok(n) if n > 0 => Some(String::from_utf8_lossy(&text).trim_end().to_owned()),
        _ => None,
    }
}

/// Reads a command as a server does: `None` at the end or at anything else.
pub fn command(reader: &mut impl BufRead) -> Option<Vec<String>> {
    let parts: usize = line(reader)?.strip_prefix('*')?.parse().ok()?;
    let mut words = Vec::new();
    for _ in 0..parts {
        let length: usize = line(reader)?.strip_prefix('$')?.parse().ok()?;
        let mut word = vec![0; length + 2];
        reader.read_exact(&mut word).ok()?;
        words.push(String::from_utf8_lossy(&word[..length]).into_owned());
    }
    Some(words)
}

/// A server: what it was sent, and the script of its answers by the words it got and how many it had before.
pub struct Server {
    pub addr: SocketAddr,
    pub got: Arc<Mutex<Vec<Vec<String>>>>,
}

/// An answer: bytes now, bytes later, whether the connection closes then.
pub enum Say {
    Bytes(Vec<u8>),
    Later(Duration, Vec<u8>),
    Close,
    Nothing,
}

/// The good answer: a value that names the request.
pub fn good(words: &[String]) -> Vec<u8> {
    let value = value(&words[2]);
    format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len()).into_bytes()
}

/// The value that belongs to a request.
pub fn value(id: &str) -> String {
    format!("value-of-{id}")
}

pub fn server(script: impl Fn(&[String], usize) -> Say + Send + Sync + 'static) -> Server {
    let got: Arc<Mutex<Vec<Vec<String>>>> = Arc::default();
    let seen = got.clone();
    let addr = listen(move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(words) = command(&mut reader) {
            let before = {
                let mut seen = seen.lock().unwrap();
                seen.push(words.clone());
                seen.len() - 1
            };
            let sent = match script(&words, before) {
                Say::Bytes(bytes) => stream.write_all(&bytes),
                Say::Later(wait, bytes) => {
                    std::thread::sleep(wait);
                    stream.write_all(&bytes)
                }
                Say::Close => return,
                Say::Nothing => Ok(()),
            };
            if sent.is_err() {
                return;
            }
        }
    });
    Server { addr, got }
}

/// Discovery: the whole list at once, at the version that configurations here start with; watches wait.
pub fn discovery(servers: &[SocketAddr]) -> SocketAddr {
    discovery_from(41, servers)
}

/// The same at this version: a watch for what is newer than an earlier one is answered at once.
pub fn discovery_from(revision: u64, servers: &[SocketAddr]) -> SocketAddr {
    let body = list(revision, servers);
    listen(move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(request) = line(&mut reader) {
            while line(&mut reader).is_some_and(|field| !field.is_empty()) {}
            // A watch for what is newer than this ends without changes once its wait is over.
            let unchanged = format!(r#"{{"revision":{revision},"complete":false,"members":[]}}"#);
            let body = match watch_of(&request) {
                Some((held, wait)) if held >= revision => {
                    std::thread::sleep(wait);
                    &unchanged
                }
                _ => &body,
            };
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            if stream.write_all(format!("{head}{body}").as_bytes()).is_err() {
                return;
            }
        }
    })
}

fn list(revision: u64, servers: &[SocketAddr]) -> String {
    let member = |addr: &SocketAddr| {
        format!(
            r#"{{"id":"s-{addr}","host_port":"{addr}","locality":"a","flavor":"m","cell":1,"phase":"up","size":1.0,"up_since_ms":0,"version_no":7}}"#
        )
    };
    let members = servers.iter().map(member).collect::<Vec<_>>().join(",");
    format!(r#"{{"revision":{revision},"complete":true,"members":[{members}]}}"#)
}

/// The release service: one build, released; how often it was asked for news.
pub fn pipeline() -> (SocketAddr, Arc<Mutex<usize>>) {
    let watched: Arc<Mutex<usize>> = Arc::default();
    let count = watched.clone();
    let addr = listen(move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(call) = line(&mut reader) {
            if call.contains("Events.Watch") {
                *count.lock().unwrap() += 1;
                let news = r#"{"jsonrpc":"2.0","method":"stage","params":{"Revision":7,"Wave":2,"State":"stable","MaxShare":1.0,"AgeMs":1}}"#;
                let text = format!("{{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":true}}\n{news}\n");
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
            }
        }
    });
    (addr, watched)
}

const SETTINGS: &str = r#"{"Classes":[
    {"Name":"look","Effect":"retryable","Gain":3.0,"HardLimit":1200000,"Objective":300000},
    {"Name":"book","Effect":"dedup","Gain":2.0,"Group":"all","HardLimit":3000000,"Objective":800000,"Window":2000000}],
    "Caps":{"AttemptsCap":5,"Cancelling":true,"ConnectTimeout":250000,"IdleClose":15000000,"MaxRetryAfter":2000000,"OpenCap":20000,"RetryAfter":true},
    "Contract":{"AskWithin":10000000,"Cold":4200000,"ColdFrom":0.31,"DrainGrace":2000000,"FallMultiple":3.0,"GraceToAnswer":20000,"TipAfter":3000000},
    "Discovery":"on_request","FamilyInfo":{"CallTimeout":800000,"CountedOver":6000000,"GateMode":"any","OneWay":true,"StageCap":[0.16,1.0],"VoteTtl":4000000},
    "FleetSize":1,"Granularity":5000,"Localities":["a"],"Tenants":[{"Name":"one","QuotaPerS":1000.0,"Share":1.0}]}"#;

/// The configuration's text.
pub fn config(discovery: SocketAddr, pipeline: SocketAddr, servers: &[SocketAddr], sockets: usize) -> String {
    let known = list(40, servers);
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:1","discovery":"{discovery}","seed":"5eed",
        "limits":{{"cores":1.0,"memory_mb":32,"sockets":{sockets}}},"peers":[],
        "pipeline":{{"address":"{pipeline}","news":{{"Revision":7,"Wave":2,"State":"stable","MaxShare":1.0,"AgeMs":9}}}},
        "known":{known},"settings":{SETTINGS}}}"#
    )
}

/// The program under the `run` line.
pub struct Proxy {
    pub child: Child,
    pub addr: SocketAddr,
    pub file: PathBuf,
}

/// The `run` line, with the program that these tests were built with.
pub fn run_line() -> String {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/balancer.toml");
    let text = std::fs::read_to_string(file).unwrap();
    let run = text.lines().find_map(|l| l.strip_prefix("run = \"")).unwrap();
    let run = &run[..run.find('"').unwrap()];
    assert!(run.starts_with("exec target/release/violetseam "), "{run}");
    run.replace("target/release/violetseam", PROGRAM)
}

/// Starts the program and waits until it says that it serves.
pub fn start(name: &str, config: &str) -> Proxy {
    start_at(name, config, free_address())
}

/// An address that nobody else here binds to.
pub fn free_address() -> SocketAddr {
    // Free a moment ago, on an address of its own: nothing else here binds to it meanwhile.
    static STARTED: AtomicU8 = AtomicU8::new(1);
    let process = 100 + (std::process::id() % 100) as u8;
    let own = Ipv4Addr::new(127, process, STARTED.fetch_add(1, Ordering::Relaxed), 1);
    TcpListener::bind((own, 0)).unwrap().local_addr().unwrap()
}

/// Ends the process by a signal and starts its successor under its address and configuration.
pub fn run_again(name: &str, old: &mut Proxy, signal: Signal) {
    old.signal(signal);
    old.await_end();
    let config = std::fs::read_to_string(&old.file).unwrap();
    *old = start_at(name, &config, old.addr);
}

fn start_at(name: &str, config: &str, addr: SocketAddr) -> Proxy {
    let proxy = launch_at(name, config, addr);
    wait_until("it does not serve", || proxy.ping() == Some(b"+PONG\r\n".to_vec()));
    proxy
}

/// Starts the program while its address is held by another listener, which goes once `held` returns.
pub fn launch_behind(name: &str, config: &str, held: impl FnOnce(&Proxy)) -> Proxy {
    let addr = free_address();
    let listener = TcpListener::bind(addr).unwrap();
    let proxy = launch_at(name, config, addr);
    held(&proxy);
    drop(listener);
    proxy
}

/// Starts the program and waits for nothing.
pub fn launch(name: &str, config: &str) -> Proxy {
    launch_at(name, config, free_address())
}

/// Starts the program at this address and waits for nothing.
pub fn launch_at(name: &str, config: &str, addr: SocketAddr) -> Proxy {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("platform-{name}"));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("config.json");
    std::fs::write(&file, config).unwrap();
    let text: serde_json::Value = serde_json::from_str(config).unwrap();
    let child = Command::new("/bin/sh")
        .args(["-c", &run_line()])
        .env("PROXY_NAME", "n0")
        .env("PROXY_LISTEN", addr.to_string())
        .env("PROXY_DISCOVERY", text["discovery"].as_str().unwrap())
        .env("PROXY_CONFIG", &file)
        .stderr(std::fs::File::create(folder.join("log")).unwrap())
        .spawn()
        .unwrap();
    Proxy { child, addr, file }
}

impl Proxy {
    pub fn open(&self) -> Client {
        Client::over(TcpStream::connect(self.addr).unwrap())
    }

    /// What it has logged so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.file.with_file_name("log")).unwrap()
    }

    /// What it answers to `PING` on a new connection; nothing while it does not listen.
    pub fn ping(&self) -> Option<Vec<u8>> {
        let mut stream = TcpStream::connect(self.addr).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.write_all(b"*1\r\n$4\r\nPING\r\n").ok()?;
        let mut answer = String::new();
        BufReader::new(stream).read_line(&mut answer).ok()?;
        Some(answer.into_bytes())
    }

    /// Returns once it has read all that was written to it before: what lies there when the first `PING` is read
    /// is read in the same turn of its loop, and the second is of a later turn.
    pub fn settle(&self) {
        let mut client = self.open();
        for _ in 0..2 {
            assert_eq!(client.ask(b"*1\r\n$4\r\nPING\r\n"), Heard::Line("+PONG".into()));
        }
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Waits until it has ended by itself.
    pub fn ended(mut self) -> ExitStatus {
        self.await_end()
    }

    fn await_end(&mut self) -> ExitStatus {
        let until = Instant::now() + PATIENCE;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(Instant::now() < until, "it does not end");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn end(self) {
        self.signal(Signal::TERM);
        assert!(self.ended().success());
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        // A test that failed leaves nothing behind.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A client connection.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

/// What a client hears.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Heard {
    Value(String),
    Line(String),
    Closed,
}

/// A command as clients write it.
pub fn words(words: &[&str]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len());
    words.iter().for_each(|w| out.push_str(&format!("${}\r\n{w}\r\n", w.len())));
    out.into_bytes()
}

/// A call that is safe to repeat.
pub fn look(id: &str, wait_ms: u64) -> Vec<u8> {
    words(&["CALL.GET", &format!("key-{id}"), id, &format!("c=look,t=one,d={wait_ms}")])
}

impl Client {
    pub fn over(stream: TcpStream) -> Client {
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Client { reader: BufReader::new(stream.try_clone().unwrap()), stream }
    }

    /// Sends if the proxy still takes it.
    pub fn try_send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    pub fn hear(&mut self) -> Heard {
        let mut text = Vec::new();
        match self.reader.read_until(b'\n', &mut text) {
            Ok(0) => return Heard::Closed,
            Ok(_) => {}
            Err(e) if e.kind() == ErrorKind::ConnectionReset => return Heard::Closed,
            Err(e) => panic!("nothing heard: {e}"),
        }
        let text = String::from_utf8(text).unwrap().trim_end().to_owned();
        let Some(length) = text.strip_prefix('$') else { return Heard::Line(text) };
        let mut value = vec![0; length.parse::<usize>().unwrap() + 2];
        self.reader.read_exact(&mut value).unwrap();
        value.truncate(value.len() - 2);
        Heard::Value(String::from_utf8(value).unwrap())
    }

    pub fn ask(&mut self, bytes: &[u8]) -> Heard {
        self.send(bytes);
        self.hear()
    }
}
