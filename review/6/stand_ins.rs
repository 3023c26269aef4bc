//! Stand-ins for the cases 6 to 10: servers, discovery, the release service and clients, as the operators' pages
//! describe them, and the proxy as a process of its own. Standard library only. All addresses are loopback.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::time::{Duration, Instant};

static START: OnceLock<Instant> = OnceLock::new();
static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// Seconds since the case began, on the real monotonic clock.
pub fn now() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

/// Adds a line to the record.
pub fn note(text: impl AsRef<str>) {
    let line = format!("{:9.3} {}", now(), text.as_ref());
    LINES.lock().unwrap().push(line);
}

pub fn sleep_until(at: f64) {
    let rest = at - now();
    if rest > 0.0 {
        std::thread::sleep(Duration::from_secs_f64(rest));
    }
}

/// Whether the disruption is played.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Writes the record and ends the case: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
pub fn finish(proxies: Vec<Proxy>, status: i32, verdict: &str) -> ! {
    note(format!("verdict: {verdict}"));
    drop(proxies);
    let mut lines = LINES.lock().unwrap().clone();
    lines.sort();
    let directory = std::env::var("CASE_DIR").expect("CASE_DIR is set by run.sh");
    std::fs::write(format!("{directory}/record.txt"), lines.join("\n") + "\n").unwrap();
    println!("{verdict}");
    std::process::exit(status)
}

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Closes a connection with a reset.
pub fn reset(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger { on: 1, seconds: 0 };
    // Takes effect when the last handle of the socket is closed, so the caller drops its handles.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, size_of::<Linger>() as u32) };
}

/// Parses one command, an array of bulk strings. Returns its words and its length.
pub fn parse_command(input: &[u8]) -> Option<(Vec<String>, usize)> {
    let mut at = 0;
    let line = |at: &mut usize| -> Option<String> {
        let end = input[*at..].windows(2).position(|pair| pair == b"\r\n")? + *at;
        let text = String::from_utf8_lossy(&input[*at..end]).into_owned();
        *at = end + 2;
        Some(text)
    };
    let count: usize = line(&mut at)?.strip_prefix('*')?.parse().ok()?;
    let mut words = Vec::new();
    for _ in 0..count {
        let length: usize = line(&mut at)?.strip_prefix('$')?.parse().ok()?;
        if input.len() < at + length + 2 {
            return None;
        }
        words.push(String::from_utf8_lossy(&input[at..at + length]).into_owned());
        at += length + 2;
    }
    Some((words, at))
}

pub fn command(words: &[&str]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        bytes.extend(format!("${}\r\n{word}\r\n", word.len()).into_bytes());
    }
    bytes
}

// ---------------------------------------------------------------------------------------------- servers

/// What a server does with a command.
#[derive(Clone, Copy, PartialEq)]
pub enum Work {
    /// It serves the command after this time.
    Serve(Duration),
    /// It turns the command away, as a draining server does.
    Busy,
    /// It runs the command in this time, and its answer is lost.
    Lose(Duration),
    /// It runs this many commands at once, for this time each, lets as many wait as the queue holds, and turns
    /// others away.
    Limited { cores: usize, queue: usize, time: Duration },
}

/// The commands that a server holds, and those that run.
#[derive(Default)]
struct Held {
    all: Mutex<(usize, usize)>,
    ended: Condvar,
}

impl Held {
    /// Runs one command. Returns false if there is no room for it.
    fn run(&self, cores: usize, queue: usize, time: Duration) -> bool {
        let mut held = self.all.lock().unwrap();
        if held.0 >= cores + queue {
            return false;
        }
        held.0 += 1;
        while held.1 >= cores {
            held = self.ended.wait(held).unwrap();
        }
        held.1 += 1;
        drop(held);
        std::thread::sleep(time);
        let mut held = self.all.lock().unwrap();
        held.0 -= 1;
        held.1 -= 1;
        self.ended.notify_one();
        true
    }
}

/// For how long all servers together remember the key of a request and drop its repeats, in seconds.
pub const REMEMBERED: f64 = 2.0;

/// The effects that requests with a key had: by key, when and at which server.
pub static EFFECTS: Mutex<BTreeMap<String, Vec<(f64, String)>>> = Mutex::new(BTreeMap::new());

/// Runs a request with a key at a server, unless it is a repeat that the servers remember.
fn take_effect(words: &[String], server: &str) {
    let key = words.get(3).and_then(|options| options.split(',').find_map(|option| option.strip_prefix("k=")));
    if let Some(key) = key {
        let mut effects = EFFECTS.lock().unwrap();
        let earlier = effects.entry(key.to_owned()).or_default();
        let at = now();
        if earlier.last().is_none_or(|(last_at, _)| at >= last_at + REMEMBERED) {
            earlier.push((at, server.to_owned()));
        }
    }
}

/// One attempt as its server saw it.
#[derive(Clone)]
pub struct Attempt {
    /// When its first and its last byte were read.
    pub first_at: f64,
    pub last_at: f64,
    pub id: String,
    pub options: String,
}

pub struct Server {
    pub id: String,
    pub addr: SocketAddr,
    pub attempts: Arc<Mutex<Vec<Attempt>>>,
    pub count: Arc<AtomicU64>,
    work: Arc<Mutex<Work>>,
}

impl Server {
    /// Starts a server. With `keep`, each attempt is kept; otherwise they are only counted.
    pub fn start(id: &str, work: Work, keep: bool) -> Server {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let server = Server {
            id: id.to_owned(),
            addr: listener.local_addr().unwrap(),
            attempts: Arc::default(),
            count: Arc::default(),
            work: Arc::new(Mutex::new(work)),
        };
        let (attempts, count, work) = (server.attempts.clone(), server.count.clone(), server.work.clone());
        let held: Arc<Held> = Arc::default();
        let id = server.id.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (attempts, count, work) = (attempts.clone(), count.clone(), work.clone());
                let (held, id) = (held.clone(), id.clone());
                std::thread::spawn(move || serve(stream, &id, &attempts, &count, &work, &held, keep));
            }
        });
        server
    }

    pub fn set(&self, work: Work) {
        *self.work.lock().unwrap() = work;
    }

    /// The entry in discovery's list. `phase` is `up` or `draining`.
    pub fn entry(&self, phase: &str) -> String {
        format!(
            r#"{{"id":"{}","host_port":"{}","locality":"nbo-dc1","flavor":"std-3core","cell":1,"phase":"{phase}","size":1.0,"up_since_ms":0,"version_no":41}}"#,
            self.id, self.addr
        )
    }
}

fn serve(
    mut stream: TcpStream,
    id: &str,
    attempts: &Mutex<Vec<Attempt>>,
    count: &AtomicU64,
    work: &Mutex<Work>,
    held: &Held,
    keep: bool,
) {
    let _ = stream.set_nodelay(true);
    let mut input = Vec::new();
    let mut chunk = [0; 16384];
    let mut first_at = 0.0;
    loop {
        while let Some((words, length)) = parse_command(&input) {
            input.drain(..length);
            count.fetch_add(1, Ordering::Relaxed);
            if keep {
                let attempt = Attempt {
                    first_at,
                    last_at: now(),
                    id: words.get(2).cloned().unwrap_or_default(),
                    options: words.get(3).cloned().unwrap_or_default(),
                };
                attempts.lock().unwrap().push(attempt);
            }
            first_at = now();
            let todo = *work.lock().unwrap();
            if todo != Work::Busy {
                take_effect(&words, id);
            }
            let runs = match todo {
                Work::Busy => false,
                Work::Lose(time) => {
                    std::thread::sleep(time);
                    continue;
                }
                Work::Serve(time) => {
                    if !time.is_zero() {
                        std::thread::sleep(time);
                    }
                    true
                }
                Work::Limited { cores, queue, time } => held.run(cores, queue, time),
            };
            let answer = match runs {
                false => b"-BUSY\r\n".to_vec(),
                true => {
                    let value = format!("value-of-{}", words[2]);
                    format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len()).into_bytes()
                }
            };
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
        let was_empty = input.is_empty();
        match stream.read(&mut chunk) {
            Ok(n) if n > 0 => {
                if was_empty {
                    first_at = now();
                }
                input.extend_from_slice(&chunk[..n]);
            }
            _ => return,
        }
    }
}

// -------------------------------------------------------------------------------------------- discovery

#[derive(Clone, Copy, PartialEq)]
enum Mode {
    Up,
    Down,
}

struct ListState {
    revision: u64,
    /// By id: the revision of the last change, and the entry.
    entries: BTreeMap<String, (u64, String)>,
    mode: Mode,
    /// Watches with a number below this one have fallen silent.
    silent_below: u64,
    /// The number of the latest watch, when it came, and its wait in seconds.
    last_watch: (u64, f64, f64),
}

pub struct Discovery {
    pub addr: SocketAddr,
    state: Arc<Mutex<ListState>>,
    listening: Arc<AtomicBool>,
}

impl Discovery {
    pub fn start(revision: u64, servers: &[&Server]) -> Discovery {
        let entries = servers.iter().map(|server| (server.id.clone(), (revision, server.entry("up")))).collect();
        let state = ListState {
            revision,
            entries,
            mode: Mode::Up,
            silent_below: 0,
            last_watch: (0, 0.0, 0.0),
        };
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let discovery = Discovery {
            addr: listener.local_addr().unwrap(),
            state: Arc::new(Mutex::new(state)),
            listening: Arc::default(),
        };
        discovery.listen(listener);
        discovery
    }

    fn listen(&self, listener: TcpListener) {
        let (state, listening) = (self.state.clone(), self.listening.clone());
        listener.set_nonblocking(true).unwrap();
        listening.store(true, Ordering::SeqCst);
        std::thread::spawn(move || {
            while state.lock().unwrap().mode == Mode::Up {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).unwrap();
                        let state = state.clone();
                        std::thread::spawn(move || answer_lists(stream, &state));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(2)),
                }
            }
            drop(listener);
            listening.store(false, Ordering::SeqCst);
        });
    }

    /// The process dies: its connections are reset and new ones are refused.
    pub fn go_down(&self) {
        self.state.lock().unwrap().mode = Mode::Down;
        while self.listening.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(1));
        }
        note("discovery: down; connections are reset, new ones are refused");
    }

    pub fn come_back(&self) {
        self.state.lock().unwrap().mode = Mode::Up;
        let listener = loop {
            match TcpListener::bind(self.addr) {
                Ok(listener) => break listener,
                Err(_) => std::thread::sleep(Duration::from_millis(5)),
            }
        };
        self.listen(listener);
        note("discovery: back");
    }

    /// The watches that are open now fall silent: they get no answer any more.
    pub fn silence_open_watches(&self) {
        let mut state = self.state.lock().unwrap();
        state.silent_below = state.last_watch.0 + 1;
        drop(state);
        note("discovery: the open watches fall silent");
    }

    /// Changes one entry.
    pub fn change(&self, id: &str, entry: String) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.entries.insert(id.to_owned(), (revision, entry.clone()));
        drop(state);
        note(format!("discovery: has revision {revision}: {entry}"));
    }

    /// The number of the latest watch, when it came, and its wait in seconds.
    pub fn last_watch(&self) -> (u64, f64, f64) {
        self.state.lock().unwrap().last_watch
    }

    /// Waits for a watch that came after this call.
    pub fn next_watch(&self) -> (u64, f64, f64) {
        let before = self.last_watch().0;
        loop {
            let watch = self.last_watch();
            if watch.0 > before {
                return watch;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    pub fn whole_list(&self) -> String {
        list_text(&self.state.lock().unwrap(), None)
    }
}

fn list_text(state: &ListState, newer_than: Option<u64>) -> String {
    let from = newer_than.unwrap_or(0);
    let members: Vec<&str> = state
        .entries
        .values()
        .filter(|(revision, _)| newer_than.is_none() || *revision > from)
        .map(|(_, entry)| entry.as_str())
        .collect();
    let complete = newer_than.is_none();
    format!(r#"{{"revision":{},"complete":{complete},"members":[{}]}}"#, state.revision, members.join(","))
}

fn answer_lists(mut stream: TcpStream, state: &Mutex<ListState>) {
    stream.set_read_timeout(Some(Duration::from_millis(5))).unwrap();
    let mut input: Vec<u8> = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let head_end = loop {
            if state.lock().unwrap().mode == Mode::Down {
                return reset(&stream);
            }
            if let Some(end) = input.windows(4).position(|four| four == b"\r\n\r\n") {
                break end + 4;
            }
            match stream.read(&mut chunk) {
                Ok(0) => return,
                Ok(n) => input.extend_from_slice(&chunk[..n]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => return,
            }
        };
        let head = String::from_utf8_lossy(&input[..head_end]).into_owned();
        input.drain(..head_end);
        let path = head.split(' ').nth(1).unwrap_or("").to_owned();
        let parameter = |name: &str| -> Option<u64> {
            let query = path.split_once('?')?.1;
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let body = match parameter("index") {
            None => {
                let state = state.lock().unwrap();
                list_text(&state, None)
            }
            Some(index) => {
                let wait = parameter("wait").unwrap_or(0) as f64 / 1000.0;
                let (number, came_at) = {
                    let mut state = state.lock().unwrap();
                    state.last_watch = (state.last_watch.0 + 1, now(), wait);
                    (state.last_watch.0, now())
                };
                note(format!("discovery: watch {number} from revision {index}, waits {wait:.3} s"));
                loop {
                    let state = state.lock().unwrap();
                    if state.mode == Mode::Down {
                        drop(state);
                        return reset(&stream);
                    }
                    let silent = number < state.silent_below;
                    if !silent && (state.revision > index || now() >= came_at + wait) {
                        break list_text(&state, Some(index));
                    }
                    drop(state);
                    std::thread::sleep(Duration::from_millis(2));
                }
            }
        };
        note(format!("discovery: writes {body}"));
        let head = format!("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n", body.len());
        if stream.write_all(format!("{head}{body}").as_bytes()).is_err() {
            return;
        }
    }
}

// ---------------------------------------------------------------------------------------- release service

/// A release service whose newest build, 41, is released.
pub fn pipeline() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || speak(stream));
        }
    });
    addr
}

pub const NEWS: &str = r#"{"Revision":41,"Wave":3,"State":"stable","MaxShare":1.0,"AgeMs":60000}"#;

fn speak(mut stream: TcpStream) {
    stream.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
    let mut input: Vec<u8> = Vec::new();
    let mut chunk = [0; 4096];
    let mut watches = false;
    loop {
        while let Some(end) = input.iter().position(|byte| *byte == b'\n') {
            let line = String::from_utf8_lossy(&input[..end]).into_owned();
            input.drain(..=end);
            let id: String = line.split("\"id\":").nth(1).unwrap_or("0").chars().take_while(char::is_ascii_digit).collect();
            let answer = if line.contains("Events.Watch") {
                watches = true;
                format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":true}}\n{{\"jsonrpc\":\"2.0\",\"method\":\"stage\",\"params\":{NEWS}}}\n")
            } else {
                format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":{NEWS}}}\n")
            };
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) => return,
            Ok(n) => input.extend_from_slice(&chunk[..n]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                let ping = b"{\"jsonrpc\":\"2.0\",\"method\":\"ping\"}\n";
                if watches && stream.write_all(ping).is_err() {
                    return;
                }
            }
            Err(_) => return,
        }
    }
}

// ------------------------------------------------------------------------------------------------ proxy

/// The settings of a small deployment. `discovery` is `on_request` or `pushed`.
pub fn settings(discovery: &str) -> String {
    format!(
        r#"{{"Caps":{{"AttemptsCap":5,"Cancelling":true,"ConnectTimeout":250000,"CpuUsPerRequest":0.0,"CpuUsPerS":400000,"IdleClose":15000000,"MaxRetryAfter":2000000,"MayDuplicate":false,"MayProbe":false,"MayTell":false,"OpenCap":20000,"RetryAfter":true,"StreamsPerConn":100}},
"Classes":[{{"Effect":"retryable","Gain":3.0,"Group":"all","HardLimit":1200000,"LateWorth":0.0,"Name":"status-read","Objective":300000,"Stream":false,"Window":5000000}},{{"Effect":"dedup","Gain":2.0,"Group":"all","HardLimit":3000000,"LateWorth":0.0,"Name":"service-log","Objective":800000,"Stream":false,"Window":2000000}}],
"ClientHabits":{{"MarksRetry":true}},
"Contract":{{"AskWithin":10000000,"Cold":4200000,"ColdFrom":0.31,"DrainGrace":2000000,"FallMultiple":3.0,"GraceToAnswer":20000,"TipAfter":3000000}},
"Discovery":"{discovery}","Family":"rollout",
"FamilyInfo":{{"CallTimeout":800000,"CountedOver":6000000,"FlagShare":0.3,"GateMode":"any","HarmFee":4.0,"MinDwell":2000000,"NoesNeeded":1,"OneWay":true,"Per":"all","RepeatEvery":4000000,"SafeOnlyStages":1,"StageCap":[0.16,0.5,1.0,1.0],"StageShare":[0.08,0.25,0.6,1.0],"StageTime":0,"StaleBuildPrice":0.35,"Style":"in_place","SumsEvery":0,"TallySample":0.0,"ToAdvance":1,"Uncounted":2.0,"VoteAllowance":150.0,"VoteTtl":4000000,"VotesToHold":0,"WarmKeys":false}},
"FleetSize":1,"Granularity":5000,"Localities":["nbo-dc1"],"OverShareWorth":0.05,"Position":0,
"Report":{{"Fields":[],"Source":"silent"}},"Skus":["std-3core"],"Stages":["telemetry-api"],
"Tenants":[{{"Name":"athi-cement","QuotaPerS":238.0,"Share":1.0}}],"Tier":0,"ValueBy":"request","Weights":"silent","Zone":0}}"#
    )
}

pub struct Config {
    pub discovery: SocketAddr,
    pub pipeline: SocketAddr,
    pub settings: String,
    pub known: String,
    pub memory_mb: u32,
    pub sockets: u32,
}

/// A proxy process, started by the `run` line of the deploy file.
pub struct Proxy {
    child: Child,
    pub addr: SocketAddr,
    directory: PathBuf,
    /// When the process was started, and when it first answered `PING` with `PONG`.
    pub started_at: f64,
    pub ready_at: f64,
}

/// A free address for a proxy.
pub fn free_address() -> SocketAddr {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap().local_addr().unwrap()
}

fn run_line() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml");
    let line = text.lines().find_map(|line| line.strip_prefix("run = \"")).expect("a run line");
    line.split('"').next().unwrap().to_owned()
}

/// A case that has not ended by this time is ended as one that could not run, in seconds.
const TIME_LIMIT: f64 = 112.0;

/// Ends the case and its proxies at the time limit.
fn watch_time_limit() {
    static WATCHES: AtomicBool = AtomicBool::new(false);
    if WATCHES.swap(true, Ordering::SeqCst) {
        return;
    }
    std::thread::spawn(|| {
        sleep_until(TIME_LIMIT);
        for pid in PIDS.lock().unwrap().iter() {
            unsafe { kill(*pid, 9) };
        }
        finish(Vec::new(), 2, "could not run: the time limit has passed")
    });
}

/// The processes that were started and have not been waited for.
static PIDS: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Keeps the processes that are left to be ended in a file, for `run.sh`.
fn keep_pids(change: impl FnOnce(&mut Vec<i32>)) {
    let mut pids = PIDS.lock().unwrap();
    change(&mut pids);
    let text: Vec<String> = pids.iter().map(i32::to_string).collect();
    let directory = std::env::var("CASE_TMP").expect("CASE_TMP is set by run.sh");
    let _ = std::fs::write(format!("{directory}/pids"), text.join(" "));
}

impl Proxy {
    pub fn start(name: &str, addr: SocketAddr, config: &Config) -> Proxy {
        let directory = PathBuf::from(std::env::var("CASE_TMP").expect("CASE_TMP is set by run.sh")).join(name);
        std::fs::create_dir_all(&directory).unwrap();
        let file = directory.join("config.json");
        let text = format!(
            r#"{{"name":"{name}","listen":"{addr}","discovery":"{}","seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"peers":[],"pipeline":{{"address":"{}","news":{NEWS}}},"known":{},"settings":{}}}"#,
            config.discovery,
            std::process::id() as u64 * 0x9E37_79B9_7F4A_7C15,
            config.memory_mb,
            config.sockets,
            config.pipeline,
            config.known,
            config.settings
        );
        std::fs::write(&file, text).unwrap();
        let log = std::fs::OpenOptions::new().create(true).append(true).open(directory.join("log")).unwrap();
        let started_at = now();
        let child = Command::new("/bin/sh")
            .args(["-c", &run_line()])
            .env("PROXY_NAME", name)
            .env("PROXY_LISTEN", addr.to_string())
            .env("PROXY_DISCOVERY", config.discovery.to_string())
            .env("PROXY_CONFIG", &file)
            .env("TMPDIR", &directory)
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the run line starts");
        note(format!("proxy {name}: started, pid {}", child.id()));
        keep_pids(|pids| pids.push(child.id() as i32));
        watch_time_limit();
        Proxy { child, addr, directory, started_at, ready_at: 0.0 }
    }

    /// Waits for `PONG`. Ends the case as not runnable after `patience` seconds.
    pub fn wait_ready(&mut self, patience: f64) {
        let give_up_at = now() + patience;
        while !self.pongs() {
            if now() > give_up_at {
                note("the proxy does not get ready");
                self.reap();
                finish(Vec::new(), 2, "could not run: the proxy does not get ready");
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        self.ready_at = now();
        note("proxy: ready");
    }

    fn pongs(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.addr) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let mut answer = [0; 64];
        stream.write_all(&command(&["PING"])).is_ok()
            && stream.read(&mut answer).is_ok_and(|n| &answer[..n] == b"+PONG\r\n")
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn is_alive(&mut self) -> bool {
        self.child.try_wait().ok().flatten().is_none()
    }

    /// Waits for the end of a process that was killed.
    fn reap(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let pid = self.child.id() as i32;
        keep_pids(|pids| pids.retain(|other| *other != pid));
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        self.reap();
        note("proxy: killed");
    }

    /// Current and highest resident memory in MB.
    pub fn memory_mb(&self) -> Option<(f64, f64)> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let field = |name: &str| -> Option<f64> {
            let line = text.lines().find_map(|line| line.strip_prefix(name))?;
            line.split_whitespace().next()?.parse::<f64>().ok()
        };
        Some((field("VmRSS:")? / 1024.0, field("VmHWM:")? / 1024.0))
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.directory.join("log")).unwrap_or_default()
    }

    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.child.id() as i32, signal) };
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        if self.is_alive() {
            self.signal(15);
            for _ in 0..500 {
                if !self.is_alive() {
                    break;
                }
                std::thread::sleep(Duration::from_millis(10));
            }
        }
        self.reap();
        for line in self.log().lines() {
            LINES.lock().unwrap().push(format!("      log {line}"));
        }
    }
}

// ---------------------------------------------------------------------------------------------- clients

/// A usual client: it keeps its connection, sends one request at a time and waits for each answer.
pub struct Client {
    addr: SocketAddr,
    stream: Option<TcpStream>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(String),
    Refused,
    Failed(String),
    /// The connection could not be made, or ended without an answer.
    Broken,
    /// No answer within the patience.
    None,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub fn new_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

impl Client {
    pub fn new(addr: SocketAddr) -> Client {
        Client { addr, stream: None }
    }

    /// Sends a request of the class that is safe to repeat, which waits `d_ms`, and returns its answer.
    pub fn read(&mut self, key: &str, id: &str, d_ms: u64, patience: Duration) -> Answer {
        if self.stream.is_none() {
            self.stream = TcpStream::connect(self.addr).ok();
            if let Some(stream) = &self.stream {
                let _ = stream.set_nodelay(true);
            }
        }
        let Some(stream) = &mut self.stream else { return Answer::Broken };
        let options = format!("c=status-read,t=athi-cement,d={d_ms}");
        let answer = exchange(stream, &command(&["CALL.GET", key, id, &options]), patience);
        if matches!(answer, Answer::Broken | Answer::None) {
            self.stream = None;
        }
        answer
    }
}

/// Writes a command and reads its answer.
pub fn exchange(stream: &mut TcpStream, bytes: &[u8], patience: Duration) -> Answer {
    if stream.write_all(bytes).is_err() {
        return Answer::Broken;
    }
    read_answer(stream, patience)
}

pub fn read_answer(stream: &mut TcpStream, patience: Duration) -> Answer {
    let give_up_at = Instant::now() + patience;
    let mut input: Vec<u8> = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        if let Some(answer) = parse_answer(&input) {
            return answer;
        }
        let rest = give_up_at.saturating_duration_since(Instant::now());
        if rest.is_zero() {
            return Answer::None;
        }
        stream.set_read_timeout(Some(rest)).unwrap();
        match stream.read(&mut chunk) {
            Ok(0) => return Answer::Broken,
            Ok(n) => input.extend_from_slice(&chunk[..n]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return Answer::Broken,
        }
    }
}

fn parse_answer(input: &[u8]) -> Option<Answer> {
    let end = input.windows(2).position(|pair| pair == b"\r\n")?;
    let line = String::from_utf8_lossy(&input[..end]).into_owned();
    if let Some(length) = line.strip_prefix('$') {
        let length: usize = length.parse().ok()?;
        let value = input.get(end + 2..end + 2 + length)?;
        input.get(end + 2 + length + 1)?;
        return Some(Answer::Served(String::from_utf8_lossy(value).into_owned()));
    }
    if line.starts_with("-BUSY") {
        return Some(Answer::Refused);
    }
    Some(Answer::Failed(line))
}

/// Usual clients that together send `rate` requests a second until `stop` is set. Answers are counted and, if
/// `keep`, recorded.
pub struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<()>>,
    pub counts: Arc<Mutex<BTreeMap<String, u64>>>,
}

impl Load {
    pub fn start(addr: SocketAddr, clients: u64, rate: f64, keep: bool) -> Load {
        let stop: Arc<AtomicBool> = Arc::default();
        let counts: Arc<Mutex<BTreeMap<String, u64>>> = Arc::default();
        let threads = (0..clients)
            .map(|number| {
                let (stop, counts) = (stop.clone(), counts.clone());
                std::thread::spawn(move || {
                    let mut client = Client::new(addr);
                    let interval = clients as f64 / rate;
                    let mut next_at = now() + interval * number as f64 / clients as f64;
                    while !stop.load(Ordering::Relaxed) {
                        sleep_until(next_at);
                        next_at = (next_at + interval).max(now());
                        let id = new_id();
                        let key = format!("{:016x}", number * 7 + 1);
                        let sent_at = now();
                        let answer = client.read(&key, &id, 1000, Duration::from_millis(1500));
                        let kind = match &answer {
                            Answer::Served(value) if *value == format!("value-of-{id}") => "served",
                            Answer::Served(_) => "served with another value",
                            Answer::Refused => "refused",
                            Answer::Failed(_) => "failed",
                            Answer::Broken => "broken",
                            Answer::None => "none",
                        };
                        *counts.lock().unwrap().entry(kind.to_owned()).or_default() += 1;
                        if keep {
                            note(format!("client {number}: {id} sent at {sent_at:.3}: {kind}"));
                        }
                        if kind == "broken" {
                            std::thread::sleep(Duration::from_millis(100));
                        }
                    }
                })
            })
            .collect();
        Load { stop, threads, counts }
    }

    pub fn stop(self) -> BTreeMap<String, u64> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        let counts = self.counts.lock().unwrap().clone();
        note(format!("clients: {counts:?}"));
        counts
    }
}
