//! Stand-ins for everything around one proxy: servers, discovery, the release service and clients, on
//! loopback and the real clock. They share no code with the project.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn ioctl(descriptor: i32, request: u64, value: *mut i32) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
    fn waitpid(pid: i32, status: *mut i32, options: i32) -> i32;
    fn prctl(option: i32, arg2: u64, arg3: u64, arg4: u64, arg5: u64) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// The record of a run: each line has the time since its start, in milliseconds.
struct Record {
    started: Instant,
    file: Mutex<std::fs::File>,
}

static RECORD: OnceLock<Record> = OnceLock::new();
static CHILDREN: Mutex<Vec<i32>> = Mutex::new(Vec::new());
static TEMPORARY: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Opens the record, arranges that a panic and a run of over 115 s end with status 2, and that no process
/// outlives this one.
pub fn begin(folder: &Path) {
    let file = std::fs::File::create(folder.join("record.txt")).unwrap_or_else(|error| {
        eprintln!("record.txt cannot be written: {error}");
        end(2)
    });
    let _ = RECORD.set(Record { started: Instant::now(), file: Mutex::new(file) });
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        report(info);
        note(&format!("the case could not run: {info}"));
        end(2);
    }));
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(115));
        note("the case could not run: out of time");
        end(2);
    });
}

/// Ends all processes that were started, removes the temporary folder and exits.
pub fn end(status: i32) -> ! {
    if let Ok(children) = CHILDREN.lock() {
        for pid in children.iter() {
            unsafe {
                kill(*pid, SIGKILL);
                waitpid(*pid, std::ptr::null_mut(), 0);
            }
        }
    }
    if let Ok(Some(folder)) = TEMPORARY.lock().as_deref() {
        let _ = std::fs::remove_dir_all(folder);
    }
    std::process::exit(status)
}

/// Whether the disruption of the case takes place.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Microseconds since the start of the run.
pub fn elapsed_us() -> u64 {
    RECORD.get().map_or(0, |record| record.started.elapsed().as_micros() as u64)
}

/// Writes a line to the record.
pub fn note(text: &str) {
    if let Some(record) = RECORD.get()
        && let Ok(mut file) = record.file.lock()
    {
        let at = record.started.elapsed().as_secs_f64() * 1000.0;
        let _ = writeln!(file, "{at:10.1} ms  {text}");
    }
}

/// Writes a line to the record and to the standard output.
pub fn say(text: &str) {
    // The verdict does not depend on whether somebody reads the output.
    let _ = writeln!(std::io::stdout(), "{text}");
    note(text);
}

/// Checks that a hold-up that began at `from_us` and ends now was not longer than the pages allow, 0.15 s. On a
/// machine that is too busy for that, the case cannot run.
pub fn check_hold_up(from_us: u64) {
    let held_up_us = elapsed_us() - from_us;
    assert!(held_up_us <= 150_000, "the machine is too busy: the proxy was held up for {held_up_us} us");
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Accepts connections and runs `handle` for each on a thread of its own.
fn serve(handle: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("no free port");
    let address = listener.local_addr().unwrap();
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handle = handle.clone();
            std::thread::spawn(move || handle(stream));
        }
    });
    address
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut text = Vec::new();
    match reader.read_until(b'\n', &mut text) {
        Ok(n) if n > 0 => Some(String::from_utf8_lossy(&text).trim_end().to_owned()),
        _ => None,
    }
}

/// Encodes a command as an array of bulk strings.
pub fn command(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend(format!("${}\r\n", word.len()).into_bytes());
        out.extend(*word);
        out.extend(b"\r\n");
    }
    out
}

/// A command as a server got it.
#[derive(Clone)]
pub struct Run {
    pub at_us: u64,
    pub id: String,
}

/// How a server departs from plain answers.
#[derive(Clone, Copy, Default)]
pub struct Habits {
    /// Each answer whose number is a multiple of this is followed by a second copy; 0 for none.
    pub doubled_every: usize,
    /// How long after the answer its second copy is written.
    pub copy_after_ms: u64,
    /// Each answer whose number is a multiple of this is wrong, though well-formed; 0 for none.
    pub wrong_every: usize,
}

/// A server: it runs each command once its last byte has arrived, and answers after its work. The value names
/// the server and the request's id.
pub struct Server {
    pub address: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub second_copies: Arc<AtomicU64>,
}

impl Server {
    pub fn start(name: &'static str, work_ms: u64) -> Server {
        Server::with_habits(name, work_ms, Habits::default())
    }

    pub fn with_habits(name: &'static str, work_ms: u64, habits: Habits) -> Server {
        let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
        let second_copies: Arc<AtomicU64> = Arc::default();
        let all = runs.clone();
        let copies = second_copies.clone();
        let address = serve(move |mut stream| {
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            let commands: Arc<Mutex<usize>> = Arc::default();
            while let Some(words) = read_command(&mut reader) {
                *commands.lock().unwrap() += 1;
                if words.len() < 4 {
                    let _ = stream.write_all(b"-ERR unknown\r\n");
                    continue;
                }
                let id = String::from_utf8_lossy(&words[2]).into_owned();
                let options = String::from_utf8_lossy(&words[3]).into_owned();
                let number = {
                    let mut all = all.lock().unwrap();
                    all.push(Run { at_us: elapsed_us(), id: id.clone() });
                    all.len()
                };
                note(&format!("server {name} runs {id} ({options})"));
                sleep_ms(work_ms);
                let is_wrong = habits.wrong_every > 0 && number % habits.wrong_every == 0;
                let value = if is_wrong { format!("{name}:wrong") } else { format!("{name}:{id}") };
                let answer = format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len());
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                if habits.doubled_every > 0 && number % habits.doubled_every == 0 {
                    let (copies, commands) = (copies.clone(), commands.clone());
                    let mut stream = stream.try_clone().unwrap();
                    std::thread::spawn(move || {
                        let answered = *commands.lock().unwrap();
                        sleep_ms(habits.copy_after_ms);
                        // The copy is written only while nothing else waits on the connection: no further
                        // command has been read, and no byte of one has arrived.
                        let commands = commands.lock().unwrap();
                        if *commands == answered && unread_bytes(&stream) == 0 {
                            copies.fetch_add(1, Ordering::Relaxed);
                            note(&format!("server {name} writes the answer to {id} a second time"));
                            let _ = stream.write_all(answer.as_bytes());
                        }
                    });
                }
            }
        });
        Server { address, runs, second_copies }
    }

    pub fn count(&self) -> usize {
        self.runs.lock().unwrap().len()
    }
}

/// How many bytes have arrived on a connection and are unread.
fn unread_bytes(stream: &TcpStream) -> i32 {
    const FIONREAD: u64 = 0x541B;
    let mut count = 0;
    unsafe { ioctl(stream.as_raw_fd(), FIONREAD, &mut count) };
    count
}

/// How many of the bytes written to a connection its peer's machine has not acknowledged yet.
pub fn unacknowledged_bytes(stream: &TcpStream) -> i32 {
    const SIOCOUTQ: u64 = 0x5411;
    let mut count = 0;
    unsafe { ioctl(stream.as_raw_fd(), SIOCOUTQ, &mut count) };
    count
}

/// A network path to `target` on which every byte takes this long, in either direction.
pub fn distant(target: SocketAddr, delay: Duration) -> SocketAddr {
    fn carry(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
        let (sender, receiver) = std::sync::mpsc::channel::<(Instant, Vec<u8>)>();
        std::thread::spawn(move || {
            let mut buffer = [0; 16 * 1024];
            while let Ok(length) = from.read(&mut buffer) {
                let piece = buffer[..length].to_vec();
                if sender.send((Instant::now() + delay, piece)).is_err() || length == 0 {
                    return;
                }
            }
        });
        std::thread::spawn(move || {
            for (due, piece) in receiver {
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                if piece.is_empty() || to.write_all(&piece).is_err() {
                    break;
                }
            }
            let _ = to.shutdown(std::net::Shutdown::Write);
        });
    }
    serve(move |near| {
        let Ok(far) = TcpStream::connect(target) else { return };
        let _ = far.set_nodelay(true);
        carry(near.try_clone().unwrap(), far.try_clone().unwrap(), delay);
        carry(far, near, delay);
    })
}

fn read_command(reader: &mut impl BufRead) -> Option<Vec<Vec<u8>>> {
    let parts: usize = read_line(reader)?.strip_prefix('*')?.parse().ok()?;
    let mut words = Vec::new();
    for _ in 0..parts {
        let length: usize = read_line(reader)?.strip_prefix('$')?.parse().ok()?;
        let mut word = vec![0; length + 2];
        reader.read_exact(&mut word).ok()?;
        word.truncate(length);
        words.push(word);
    }
    Some(words)
}

/// An entry of the server list.
#[derive(Clone)]
pub struct Member {
    pub id: &'static str,
    pub address: SocketAddr,
    pub build: u16,
}

/// The JSON text of a whole list.
pub fn list(revision: u64, members: &[Member]) -> String {
    let entries: Vec<String> = members
        .iter()
        .map(|member| {
            let Member { id, address, build } = member;
            format!(
                r#"{{"id":"{id}","host_port":"{address}","locality":"a","flavor":"m","cell":1,"phase":"up","size":1.0,"up_since_ms":0,"version_no":{build}}}"#
            )
        })
        .collect();
    format!(r#"{{"revision":{revision},"complete":true,"members":[{}]}}"#, entries.join(","))
}

/// Discovery with one list that does not change: a watch ends without changes once its wait is over.
pub fn discovery(revision: u64, members: &[Member]) -> SocketAddr {
    let whole = list(revision, members);
    serve(move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(request) = read_line(&mut reader) {
            while read_line(&mut reader).is_some_and(|field| !field.is_empty()) {}
            let number = |name: &str| -> Option<u64> {
                let text = request.split(name).nth(1)?;
                text.chars().take_while(char::is_ascii_digit).collect::<String>().parse().ok()
            };
            let body = match (number("index="), number("wait=")) {
                (Some(held), Some(wait)) if held >= revision => {
                    sleep_ms(wait);
                    format!(r#"{{"revision":{revision},"complete":false,"members":[]}}"#)
                }
                _ => whole.clone(),
            };
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            if stream.write_all(format!("{head}{body}").as_bytes()).is_err() {
                return;
            }
        }
    })
}

/// What the release service says of the newest build.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Status {
    pub build: u16,
    pub wave: u8,
    pub state: &'static str,
    pub cap: f64,
}

/// A vote that the release service got and has not answered yet.
pub struct Vote {
    pub id: String,
    pub decision: String,
    pub stream: TcpStream,
}

/// The time between two signs of life.
pub const PING_MS: u64 = 1_000;

#[derive(Default)]
struct ReleaseState {
    status: Option<Status>,
    since: Option<Instant>,
    told_at: Option<Instant>,
    pinged_at: Option<Instant>,
    watches: Vec<TcpStream>,
}

/// The release service. It repeats the status on each watch every `repeat_ms` and each change at once, with a
/// sign of life each second. Votes are handed to `on_vote`, which answers them.
#[derive(Clone)]
pub struct ReleaseService {
    pub address: SocketAddr,
    state: Arc<Mutex<ReleaseState>>,
}

impl ReleaseService {
    pub fn start(
        status: Status,
        repeat_ms: u64,
        on_vote: impl Fn(&ReleaseService, Vote) + Send + Sync + 'static,
    ) -> Self {
        let state = Arc::new(Mutex::new(ReleaseState {
            status: Some(status),
            since: Some(Instant::now()),
            told_at: Some(Instant::now()),
            pinged_at: Some(Instant::now()),
            watches: Vec::new(),
        }));
        let shared = state.clone();
        let address_cell: Arc<OnceLock<SocketAddr>> = Arc::default();
        let own_address = address_cell.clone();
        let address = serve(move |mut stream| {
            let service = ReleaseService { address: *own_address.wait_for(), state: shared.clone() };
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            while let Some(call) = read_line(&mut reader) {
                let id: String = call
                    .split("\"id\":")
                    .nth(1)
                    .unwrap_or("0")
                    .chars()
                    .take_while(char::is_ascii_digit)
                    .collect();
                if call.contains("Events.Watch") {
                    let mut state = service.state.lock().unwrap();
                    let text =
                        format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":true}}\n{}", state.news());
                    note("release service: a watch opens");
                    if stream.write_all(text.as_bytes()).is_ok() {
                        state.watches.push(stream.try_clone().unwrap());
                    }
                } else {
                    let decision = call
                        .split("\"Decision\":\"")
                        .nth(1)
                        .unwrap_or("")
                        .split('"')
                        .next()
                        .unwrap_or("")
                        .to_owned();
                    note(&format!("release service: vote {call}"));
                    on_vote(&service, Vote { id, decision, stream: stream.try_clone().unwrap() });
                }
            }
        });
        let _ = address_cell.set(address);
        let service = ReleaseService { address, state };
        let repeating = service.clone();
        std::thread::spawn(move || {
            loop {
                sleep_ms(5);
                if repeating.ms_since_ping() >= PING_MS {
                    repeating.ping();
                }
                if repeating.told_ms_ago() >= repeat_ms {
                    repeating.repeat();
                }
            }
        });
        service
    }

    pub fn status(&self) -> Status {
        self.state.lock().unwrap().status.unwrap()
    }

    /// Writes the sign of life on each watch.
    fn ping(&self) {
        let mut state = self.state.lock().unwrap();
        state.pinged_at = Some(Instant::now());
        note("release service: sign of life");
        state.write("{\"jsonrpc\":\"2.0\",\"method\":\"ping\"}\n");
    }

    /// How long ago the last sign of life was written.
    pub fn ms_since_ping(&self) -> u64 {
        self.state.lock().unwrap().pinged_at.unwrap().elapsed().as_millis() as u64
    }

    fn told_ms_ago(&self) -> u64 {
        self.state.lock().unwrap().told_at.unwrap().elapsed().as_millis() as u64
    }

    /// Writes the status again on each watch.
    pub fn repeat(&self) {
        let mut state = self.state.lock().unwrap();
        state.told_at = Some(Instant::now());
        let news = state.news();
        note(&format!("release service tells again: {}", news.trim_end()));
        state.write(&news);
    }

    /// Changes the status and tells it on each watch.
    pub fn change(&self, status: Status) {
        let mut state = self.state.lock().unwrap();
        state.status = Some(status);
        state.since = Some(Instant::now());
        state.told_at = Some(Instant::now());
        let news = state.news();
        note(&format!("release service tells: {}", news.trim_end()));
        state.write(&news);
    }

    /// Answers a vote that counts, with the state of the newest build.
    pub fn accept(&self, vote: &mut Vote) {
        let state = self.state.lock().unwrap();
        let text = format!("{{\"jsonrpc\":\"2.0\",\"id\":{},\"result\":{}}}\n", vote.id, state.text());
        note(&format!("release service answers: {}", text.trim_end()));
        let _ = vote.stream.write_all(text.as_bytes());
    }
}

impl ReleaseState {
    fn text(&self) -> String {
        let Status { build, wave, state, cap } = self.status.unwrap();
        let age = self.since.unwrap().elapsed().as_millis();
        format!(r#"{{"Revision":{build},"Wave":{wave},"State":"{state}","MaxShare":{cap:?},"AgeMs":{age}}}"#)
    }

    fn news(&self) -> String {
        format!("{{\"jsonrpc\":\"2.0\",\"method\":\"stage\",\"params\":{}}}\n", self.text())
    }

    fn write(&mut self, text: &str) {
        self.watches.retain_mut(|stream| stream.write_all(text.as_bytes()).is_ok());
    }
}

/// Waits for a cell to be set.
trait WaitFor<T> {
    fn wait_for(&self) -> &T;
}

impl<T> WaitFor<T> for OnceLock<T> {
    fn wait_for(&self) -> &T {
        while self.get().is_none() {
            sleep_ms(1);
        }
        self.get().unwrap()
    }
}

/// The settings of the instance, with the figures of a small deployment: `look` is safe to repeat, `book`
/// carries a key.
pub const SETTINGS: &str = r#"{"Classes":[
    {"Name":"look","Effect":"retryable","Gain":3.0,"HardLimit":1200000,"Objective":300000,"Group":"all","LateWorth":0.0,"Stream":false,"Window":5000000},
    {"Name":"book","Effect":"dedup","Gain":2.0,"Group":"all","HardLimit":3000000,"Objective":800000,"LateWorth":0.0,"Stream":false,"Window":2000000}],
    "Caps":{"AttemptsCap":5,"Cancelling":true,"ConnectTimeout":250000,"IdleClose":15000000,"MaxRetryAfter":2000000,"MayDuplicate":false,"MayProbe":false,"MayTell":true,"OpenCap":20000,"RetryAfter":true,"StreamsPerConn":100},
    "ClientHabits":{"MarksRetry":true},
    "Contract":{"AskWithin":10000000,"Cold":4200000,"ColdFrom":0.31,"DrainGrace":2000000,"FallMultiple":3.0,"GraceToAnswer":20000,"TipAfter":3000000},
    "Discovery":"on_request","Family":"rollout",
    "FamilyInfo":{"CallTimeout":800000,"CountedOver":6000000,"FlagShare":0.3,"GateMode":"any","MinDwell":2000000,"NoesNeeded":1,"OneWay":true,"Per":"all","RepeatEvery":4000000,"SafeOnlyStages":1,"StageCap":[0.16,0.5,1.0,1.0],"StageShare":[0.08,0.25,0.6,1.0],"StageTime":0,"Style":"in_place","SumsEvery":0,"ToAdvance":1,"Uncounted":2.0,"VoteAllowance":150.0,"VoteTtl":4000000},
    "FleetSize":2,"Granularity":5000,"Localities":["a"],"Position":0,"Skus":["m"],"Stages":["api"],"Tenants":[{"Name":"one","QuotaPerS":1000.0,"Share":1.0}],"Tier":0,"ValueBy":"request","Weights":"rough","Zone":0}"#;

/// One real proxy, started by the `run` line of the deploy file.
pub struct Proxy {
    pub address: SocketAddr,
    child: Mutex<Child>,
    pid: i32,
    folder: PathBuf,
}

/// What the configuration of a proxy names.
pub struct Around<'a> {
    pub discovery: SocketAddr,
    pub release: &'a ReleaseService,
    pub known: String,
    pub memory_mb: u32,
    pub sockets: u32,
}

impl Proxy {
    /// Starts the proxy and waits until it has answered `PING` with `+PONG`.
    pub fn start(around: &Around) -> Proxy {
        let root = std::env::current_dir().unwrap();
        let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("no deploy file");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).expect("no run line");
        let run = run[..run.find('"').unwrap()].to_owned();
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(folder.join("tmp")).unwrap();
        *TEMPORARY.lock().unwrap() = Some(folder.clone());
        let address = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap().local_addr().unwrap();
        let Status { build, wave, state, cap } = around.release.status();
        let Around { discovery, release, known, memory_mb, sockets } = around;
        let pipeline = release.address;
        let config = format!(
            r#"{{"name":"n0","listen":"{address}","discovery":"{discovery}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"peers":[],"pipeline":{{"address":"{pipeline}","news":{{"Revision":{build},"Wave":{wave},"State":"{state}","MaxShare":{cap:?},"AgeMs":5000}}}},"known":{known},"settings":{SETTINGS}}}"#
        );
        let config_file = folder.join("config.json");
        std::fs::write(&config_file, config).unwrap();
        let mut start = Command::new("/bin/sh");
        start
            .args(["-c", &run])
            .current_dir(&root)
            .env("PROXY_NAME", "n0")
            .env("PROXY_LISTEN", address.to_string())
            .env("PROXY_DISCOVERY", discovery.to_string())
            .env("PROXY_CONFIG", &config_file)
            .env("TMPDIR", folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(std::fs::File::create(folder.join("out")).unwrap())
            .stderr(std::fs::File::create(folder.join("log")).unwrap());
        // The proxy ends with this process, however that ends.
        unsafe {
            start.pre_exec(|| {
                prctl(1, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        let child = start.spawn().expect("the run line cannot be started");
        let pid = child.id() as i32;
        CHILDREN.lock().unwrap().push(pid);
        note(&format!("started by the run line: {run}"));
        let proxy = Proxy { address, child: Mutex::new(child), pid, folder };
        let give_up = Instant::now() + Duration::from_secs(15);
        loop {
            assert!(Instant::now() < give_up, "the proxy is not ready: {}", proxy.log());
            if let Ok(mut client) = Client::open(address)
                && client.send(&command(&[b"PING"])).is_ok()
                && matches!(client.answer(500), Answer::Line(text) if text == "+PONG")
            {
                break;
            }
            sleep_ms(50);
        }
        note("the proxy is ready");
        proxy
    }

    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.pid, signal) };
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// Whether the process still runs.
    pub fn runs(&self) -> bool {
        matches!(self.child.lock().unwrap().try_wait(), Ok(None))
    }

    /// Resident memory in kB.
    pub fn resident_kb(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.pid)).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or("");
        line.chars().filter(char::is_ascii_digit).collect::<String>().parse().unwrap_or(0)
    }

    /// Copies the log of the process to the record.
    pub fn record_log(&self) {
        for line in self.log().lines() {
            note(&format!("proxy's log: {line}"));
        }
    }
}

/// What a client got for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Value(String),
    Line(String),
    /// The connection ended.
    Closed,
    /// The connection was reset.
    Reset,
    /// Nothing came in the time given.
    Nothing,
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn open(address: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Client { stream, reader })
    }

    pub fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Waits for one answer for this long.
    pub fn answer(&mut self, wait_ms: u64) -> Answer {
        let _ = self.stream.set_read_timeout(Some(Duration::from_millis(wait_ms.max(1))));
        let mut line = Vec::new();
        match self.reader.read_until(b'\n', &mut line) {
            Ok(0) => return Answer::Closed,
            Ok(_) if line.ends_with(b"\n") => {}
            Ok(_) => return Answer::Closed,
            Err(error) => {
                return match error.kind() {
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => Answer::Nothing,
                    _ => Answer::Reset,
                };
            }
        }
        let text = String::from_utf8_lossy(&line).trim_end().to_owned();
        let Some(length) = text.strip_prefix('$').and_then(|digits| digits.parse::<usize>().ok()) else {
            return Answer::Line(text);
        };
        let mut value = vec![0; length + 2];
        match self.reader.read_exact(&mut value) {
            Ok(()) => Answer::Value(String::from_utf8_lossy(&value[..length]).into_owned()),
            Err(_) => Answer::Closed,
        }
    }
}

/// A call of the class that is safe to repeat.
pub fn look(key: &str, id: &str, d: u64) -> Vec<u8> {
    command(&[b"CALL.GET", key.as_bytes(), id.as_bytes(), format!("c=look,t=one,d={d}").as_bytes()])
}

/// A call of the keyed class.
pub fn book(key: &str, id: &str, d: u64, body: &[u8]) -> Vec<u8> {
    let options = format!("c=book,t=one,d={d},k=key-of-{id}");
    command(&[b"CALL.POST", key.as_bytes(), id.as_bytes(), options.as_bytes(), body])
}

/// A number that no request has had.
pub fn next_number() -> u64 {
    static LAST: AtomicU64 = AtomicU64::new(0);
    LAST.fetch_add(1, Ordering::Relaxed) + 1
}

/// A flag that threads wait for.
#[derive(Clone, Default)]
pub struct Flag(Arc<(Mutex<bool>, Condvar)>);

impl Flag {
    pub fn raise(&self) {
        *self.0.0.lock().unwrap() = true;
        self.0.1.notify_all();
    }

    pub fn is_raised(&self) -> bool {
        *self.0.0.lock().unwrap()
    }

    /// Waits until the flag is raised; false if it is not within this time.
    pub fn wait(&self, ms: u64) -> bool {
        let guard = self.0.0.lock().unwrap();
        let (guard, _) =
            self.0.1.wait_timeout_while(guard, Duration::from_millis(ms), |raised| !*raised).unwrap();
        *guard
    }
}

/// A switch that ends the threads of a case.
pub type Stop = Arc<AtomicBool>;
