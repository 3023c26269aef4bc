//! A small platform on loopback made of scripted servers, a discovery service and a release service, and the
//! proxy started by the `run` line of deploy/balancer.toml. The scripted services share no code with the
//! proxy that they test.

use super::services::parse_watch;
use super::timed_reader::{TimedReader, enable_arrival_times};
use super::{PROGRAM, peak_memory_kb};
use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long a test waits for a condition before it fails.
pub const PATIENCE: Duration = Duration::from_secs(10);

/// Waits until the condition holds, and panics with `failure` if it does not hold within [`PATIENCE`].
pub fn wait_until(failure: &str, mut condition: impl FnMut() -> bool) {
    let give_up_at = Instant::now() + PATIENCE;
    while !condition() {
        assert!(Instant::now() < give_up_at, "{failure}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn serve_connections(handle: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    enable_arrival_times(&listener);
    let addr = listener.local_addr().unwrap();
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || handle(stream));
        }
    });
    addr
}

/// Reads one line without its line end, or `None` once the peer has closed the connection.
pub fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut text = Vec::new();
    match reader.read_until(b'\n', &mut text) {
        Ok(n) if n > 0 => Some(String::from_utf8_lossy(&text).trim_end().to_owned()),
        _ => None,
    }
}

/// Reads one command as a server does: an array of bulk strings. Returns `None` at the end of the connection
/// or for any other input.
pub fn read_command(reader: &mut impl BufRead) -> Option<Vec<String>> {
    let parts: usize = read_line(reader)?.strip_prefix('*')?.parse().ok()?;
    let mut words = Vec::new();
    for _ in 0..parts {
        let length: usize = read_line(reader)?.strip_prefix('$')?.parse().ok()?;
        let mut word = vec![0; length + 2];
        reader.read_exact(&mut word).ok()?;
        words.push(String::from_utf8_lossy(&word[..length]).into_owned());
    }
    Some(words)
}

/// A scripted server and the commands that it has received. The script chooses each response from the words
/// of the command and the number of commands received before it.
pub struct Server {
    pub addr: SocketAddr,
    pub received: Arc<Mutex<Vec<Vec<String>>>>,
}

/// What the script has the server do with a command: respond at once, respond after a delay, close the
/// connection, or leave it without a response.
pub enum Say {
    Bytes(Vec<u8>),
    Later(Duration, Vec<u8>),
    Close,
    Nothing,
}

/// A successful response whose value names the request.
pub fn good(words: &[String]) -> Vec<u8> {
    let value = value(&words[2]);
    format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len()).into_bytes()
}

/// The value that a successful response to this request carries.
pub fn value(id: &str) -> String {
    format!("value-of-{id}")
}

pub fn server(script: impl Fn(&[String], usize) -> Say + Send + Sync + 'static) -> Server {
    let received: Arc<Mutex<Vec<Vec<String>>>> = Arc::default();
    let seen = received.clone();
    let addr = timed_server(move |words, _| {
        let earlier_commands = {
            let mut seen = seen.lock().unwrap();
            seen.push(words.to_vec());
            seen.len() - 1
        };
        script(words, earlier_commands)
    });
    Server { addr, received }
}

/// Starts a server whose script chooses each response from the words of the command and the time at which its
/// last byte arrived. Returns its address.
pub fn timed_server(script: impl Fn(&[String], Instant) -> Say + Send + Sync + 'static) -> SocketAddr {
    serve_connections(move |mut stream| {
        let mut reader = BufReader::new(TimedReader::new(stream.try_clone().unwrap()));
        while let Some(words) = read_command(&mut reader) {
            let sent = match script(&words, reader.get_ref().arrived_at()) {
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
    })
}

/// A discovery service that returns the full list at revision 41; the configurations of these tests start
/// with revision 40. A watch from the current revision ends without changes after its wait.
pub fn discovery(servers: &[SocketAddr]) -> SocketAddr {
    discovery_at_revision(41, servers)
}

/// Like [`discovery`], at the given revision: a watch from an earlier revision gets the full list at once.
pub fn discovery_at_revision(revision: u64, servers: &[SocketAddr]) -> SocketAddr {
    let body = list_json(revision, servers);
    serve_connections(move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(request) = read_line(&mut reader) {
            while read_line(&mut reader).is_some_and(|field| !field.is_empty()) {}
            // A watch from the current revision ends without changes once its wait has passed.
            let unchanged = format!(r#"{{"revision":{revision},"complete":false,"members":[]}}"#);
            let body = match parse_watch(&request) {
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

fn list_json(revision: u64, servers: &[SocketAddr]) -> String {
    let member = |addr: &SocketAddr| {
        format!(
            r#"{{"id":"s-{addr}","host_port":"{addr}","locality":"a","flavor":"m","cell":1,"phase":"up","size":1.0,"up_since_ms":0,"version_no":7}}"#
        )
    };
    let members = servers.iter().map(member).collect::<Vec<_>>().join(",");
    format!(r#"{{"revision":{revision},"complete":true,"members":[{members}]}}"#)
}

/// A release service with one build, which is released, and the number of watches that it has received.
pub fn pipeline() -> (SocketAddr, Arc<Mutex<usize>>) {
    let watch_count: Arc<Mutex<usize>> = Arc::default();
    let count = watch_count.clone();
    let addr = serve_connections(move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(call) = read_line(&mut reader) {
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
    (addr, watch_count)
}

const SETTINGS: &str = r#"{"Classes":[
    {"Name":"look","Effect":"retryable","Gain":3.0,"HardLimit":1200000,"Objective":300000},
    {"Name":"book","Effect":"dedup","Gain":2.0,"Group":"all","HardLimit":3000000,"Objective":800000,"Window":2000000}],
    "Caps":{"AttemptsCap":5,"Cancelling":true,"ConnectTimeout":250000,"IdleClose":15000000,"MaxRetryAfter":2000000,"OpenCap":20000,"RetryAfter":true},
    "Contract":{"AskWithin":10000000,"Cold":4200000,"ColdFrom":0.31,"DrainGrace":2000000,"FallMultiple":3.0,"GraceToAnswer":20000,"TipAfter":3000000},
    "Discovery":"on_request","FamilyInfo":{"CallTimeout":800000,"CountedOver":6000000,"GateMode":"any","OneWay":true,"StageCap":[0.16,1.0],"VoteTtl":4000000},
    "FleetSize":1,"Granularity":5000,"Localities":["a"],"Tenants":[{"Name":"one","QuotaPerS":1000.0,"Share":1.0}]}"#;

/// The JSON text of a proxy configuration.
pub fn config(discovery: SocketAddr, pipeline: SocketAddr, servers: &[SocketAddr], sockets: usize) -> String {
    let known = list_json(40, servers);
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:1","discovery":"{discovery}","seed":"5eed",
        "limits":{{"cores":1.0,"memory_mb":32,"sockets":{sockets}}},"peers":[],
        "pipeline":{{"address":"{pipeline}","news":{{"Revision":7,"Wave":2,"State":"stable","MaxShare":1.0,"AgeMs":9}}}},
        "known":{known},"settings":{SETTINGS}}}"#
    )
}

/// A proxy process started by the `run` line.
pub struct Proxy {
    pub child: Child,
    pub addr: SocketAddr,
    pub config_file: PathBuf,
}

/// The `run` line of deploy/balancer.toml, with the program that these tests were built with.
pub fn run_line() -> String {
    let config_file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/balancer.toml");
    let text = std::fs::read_to_string(config_file).unwrap();
    let run = text.lines().find_map(|l| l.strip_prefix("run = \"")).unwrap();
    let run = &run[..run.find('"').unwrap()];
    assert!(run.starts_with("exec target/release/violetseam "), "{run}");
    run.replace("target/release/violetseam", PROGRAM)
}

/// Starts the proxy and waits until it answers `PING` with `PONG`.
pub fn start(name: &str, config: &str) -> Proxy {
    start_at(name, config, free_address())
}

/// An address that no other test binds.
pub fn free_address() -> SocketAddr {
    // Each call takes a loopback address of its own, so that no other listener takes the free port in the
    // meantime.
    static NEXT_ADDRESS: AtomicU8 = AtomicU8::new(1);
    let second_octet = 100 + (std::process::id() % 100) as u8;
    let address = Ipv4Addr::new(127, second_octet, NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed), 1);
    TcpListener::bind((address, 0)).unwrap().local_addr().unwrap()
}

/// Ends the process by a signal and starts another one with the same address and configuration.
pub fn restart(name: &str, old: &mut Proxy, signal: Signal) {
    old.signal(signal);
    old.wait_for_status();
    let config = std::fs::read_to_string(&old.config_file).unwrap();
    *old = start_at(name, &config, old.addr);
}

fn start_at(name: &str, config: &str, addr: SocketAddr) -> Proxy {
    let proxy = launch_at(name, config, addr);
    wait_until("the proxy does not answer PING with PONG", || proxy.ping() == Some(b"+PONG\r\n".to_vec()));
    proxy
}

/// Starts the proxy while another listener holds its address. That listener closes once `while_taken`
/// returns.
pub fn launch_with_address_taken(name: &str, config: &str, while_taken: impl FnOnce(&Proxy)) -> Proxy {
    let addr = free_address();
    let listener = TcpListener::bind(addr).unwrap();
    let proxy = launch_at(name, config, addr);
    while_taken(&proxy);
    drop(listener);
    proxy
}

/// Starts the proxy at a free address without waiting until it serves.
pub fn launch(name: &str, config: &str) -> Proxy {
    launch_at(name, config, free_address())
}

/// Starts the proxy at this address without waiting until it serves.
pub fn launch_at(name: &str, config: &str, addr: SocketAddr) -> Proxy {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("platform-{name}"));
    std::fs::create_dir_all(&directory).unwrap();
    let config_file = directory.join("config.json");
    std::fs::write(&config_file, config).unwrap();
    let text: serde_json::Value = serde_json::from_str(config).unwrap();
    // The log of the process before this one is kept beside it.
    let _ = std::fs::rename(directory.join("log"), directory.join("log.previous"));
    let child = Command::new("/bin/sh")
        .args(["-c", &run_line()])
        .env("PROXY_NAME", "n0")
        .env("PROXY_LISTEN", addr.to_string())
        .env("PROXY_DISCOVERY", text["discovery"].as_str().unwrap())
        .env("PROXY_CONFIG", &config_file)
        .stderr(std::fs::File::create(directory.join("log")).unwrap())
        .spawn()
        .unwrap();
    Proxy { child, addr, config_file }
}

impl Proxy {
    pub fn open(&self) -> Client {
        Client::new(TcpStream::connect(self.addr).unwrap())
    }

    /// The log of the process so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.config_file.with_file_name("log")).unwrap()
    }

    /// The reply to `PING` on a new connection, or `None` while the proxy does not listen.
    pub fn ping(&self) -> Option<Vec<u8>> {
        let mut stream = TcpStream::connect(self.addr).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.write_all(b"*1\r\n$4\r\nPING\r\n").ok()?;
        let mut answer = String::new();
        BufReader::new(stream).read_line(&mut answer).ok()?;
        Some(answer.into_bytes())
    }

    /// The highest resident memory of the process so far, in kB, unless it has ended.
    pub fn peak_memory_kb(&self) -> Option<usize> {
        peak_memory_kb(self.child.id())
    }

    /// Returns once the proxy has read all input that was written to it before this call. Input that is there
    /// when the proxy reads the first `PING` is read in the same turn of its event loop; the second `PING`
    /// belongs to a later turn.
    pub fn await_input_read(&self) {
        let mut client = self.open();
        for _ in 0..2 {
            assert_eq!(client.ask(b"*1\r\n$4\r\nPING\r\n"), Heard::Line("+PONG".into()));
        }
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Waits until the process has ended by itself.
    pub fn wait_for_exit(mut self) -> ExitStatus {
        self.wait_for_status()
    }

    fn wait_for_status(&mut self) -> ExitStatus {
        let give_up_at = Instant::now() + PATIENCE;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(Instant::now() < give_up_at, "the proxy process does not exit within {PATIENCE:?}");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn end(self) {
        self.signal(Signal::TERM);
        assert!(self.wait_for_exit().success());
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        // A failed test leaves no process behind.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A client connection to the proxy.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

/// A reply as the client sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Heard {
    Value(String),
    Line(String),
    Closed,
}

/// Encodes a command as clients write it.
pub fn encode_command(words: &[&str]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len());
    words.iter().for_each(|w| out.push_str(&format!("${}\r\n{w}\r\n", w.len())));
    out.into_bytes()
}

/// Encodes a call that is safe to retry.
pub fn look(id: &str, wait_ms: u64) -> Vec<u8> {
    encode_command(&["CALL.GET", &format!("key-{id}"), id, &format!("c=look,t=one,d={wait_ms}")])
}

impl Client {
    pub fn new(stream: TcpStream) -> Client {
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Client { reader: BufReader::new(stream.try_clone().unwrap()), stream }
    }

    /// Sends the bytes, and returns whether the connection still took them.
    pub fn try_send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    pub fn read_reply(&mut self) -> Heard {
        let mut text = Vec::new();
        match self.reader.read_until(b'\n', &mut text) {
            Ok(0) => return Heard::Closed,
            Ok(_) => {}
            Err(e) if e.kind() == ErrorKind::ConnectionReset => return Heard::Closed,
            Err(e) => panic!("cannot read a reply from the proxy: {e}"),
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
        self.read_reply()
    }
}
