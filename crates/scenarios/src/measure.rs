//! What the proxy costs: the same client side against a server directly and through the proxy, in one run.
//!
//! The servers here answer at once with a few bytes, so that the proxy is what is measured. Client side and
//! servers have a thread each; the proxy is a process of its own and gets a core of its own if there is one.

use calloop::generic::Generic;
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, Readiness};
use hdrhistogram::Histogram;
use slab::Slab;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use violetseam_event_io::{ReadOutcome, Socket, connect};

/// What is measured and for how long.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The program that has `serve`.
    pub program: PathBuf,
    /// Rounds; medians are told.
    pub rounds: usize,
    /// Length of each part of a round.
    pub span: Duration,
    /// Requests a second of the paced part.
    pub pace: f64,
    /// Where settings and logs go.
    pub out: PathBuf,
    /// Further arguments of `serve`.
    pub extra: Vec<String>,
}

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfine";
const REQUEST: &[u8] = b"GET /x HTTP/1.1\r\nhost: measure\r\n\r\n";

/// Servers that answer each request at once, or never.
struct Echo {
    handle: LoopHandle<'static, Echo>,
    conns: Slab<(Socket, Vec<u8>)>,
    silent: Arc<AtomicBool>,
}

impl Echo {
    fn add(&mut self, stream: TcpStream) {
        let _ = stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true));
        let entry = self.conns.vacant_entry();
        let key = entry.key();
        let call = move |ready: Readiness, echo: &mut Echo| echo.on_ready(key, ready);
        if let Ok(socket) = Socket::register(&self.handle, stream, Interest::READ, call) {
            entry.insert((socket, Vec::new()));
        }
    }

    fn on_ready(&mut self, key: usize, _: Readiness) {
        let mut bytes = [0; 16 * 1024];
        let Some((socket, held)) = self.conns.get_mut(key) else { return };
        match socket.read(&mut bytes) {
            ReadOutcome::Bytes(n) => {
                held.extend_from_slice(&bytes[..n]);
                while let Some(end) = held.windows(4).position(|w| w == b"\r\n\r\n") {
                    held.drain(..end + 4);
                    if !self.silent.load(Ordering::Relaxed) {
                        socket.write_buffer().extend_from_slice(ANSWER);
                    }
                }
                if socket.flush().is_ok() {
                    return socket.set_read_interest(&self.handle, true);
                }
            }
            ReadOutcome::WouldBlock => return,
            ReadOutcome::Closed | ReadOutcome::Failed => {}
        }
        let (socket, _) = self.conns.remove(key);
        socket.remove(&self.handle);
    }
}

/// Starts `count` servers on a thread; their addresses.
pub(crate) fn echo(count: usize, silent: Arc<AtomicBool>) -> std::io::Result<Vec<SocketAddr>> {
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0))).collect::<Result<_, _>>()?;
    let addresses = listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?;
    std::thread::spawn(move || -> Option<()> {
        let mut event_loop: EventLoop<'static, Echo> = EventLoop::try_new().ok()?;
        let handle = event_loop.handle();
        for listener in listeners {
            listener.set_nonblocking(true).ok()?;
            let source = Generic::new(listener, Interest::READ, Mode::Level);
            handle
                .insert_source(source, |_, listener, echo: &mut Echo| {
                    while let Ok((stream, _)) = listener.accept() {
                        echo.add(stream);
                    }
                    Ok(PostAction::Continue)
                })
                .ok()?;
        }
        let mut data = Echo { handle, conns: Slab::new(), silent };
        loop {
            event_loop.dispatch(Duration::from_secs(1), &mut data).ok()?;
        }
    });
    Ok(addresses)
}

/// The client side: a fixed number of connections, each with one request out at a time.
struct Load {
    handle: LoopHandle<'static, Load>,
    conns: Vec<(Socket, Vec<u8>, Instant, bool)>,
    idle: Vec<usize>,
    paced: bool,
    until: Instant,
    times: Histogram<u64>,
    broken: u64,
}

impl Load {
    fn fire(&mut self, n: usize, began: Instant) {
        let (socket, _, at, out) = &mut self.conns[n];
        (*at, *out) = (began, true);
        socket.write_buffer().extend_from_slice(REQUEST);
        if socket.flush().is_err() {
            self.broken += 1;
        }
    }

    fn on_ready(&mut self, n: usize, ready: Readiness) {
        if !ready.readable {
            return;
        }
        let mut bytes = [0; 4096];
        let (socket, held, at, out) = &mut self.conns[n];
        match socket.read(&mut bytes) {
            ReadOutcome::Bytes(count) => held.extend_from_slice(&bytes[..count]),
            ReadOutcome::WouldBlock => return,
            ReadOutcome::Closed | ReadOutcome::Failed => {
                self.broken += u64::from(*out);
                socket.remove(&self.handle);
                return;
            }
        }
        if !*out || !held.ends_with(b"\r\n\r\nfine") {
            return;
        }
        held.clear();
        *out = false;
        let took = at.elapsed().as_micros() as u64;
        self.times.saturating_record(took.max(1));
        if self.paced || Instant::now() >= self.until {
            self.idle.push(n);
        } else {
            self.fire(n, Instant::now());
        }
    }
}

/// What a load gave.
#[derive(Clone, Debug)]
struct Gave {
    per_second: f64,
    quantiles: [f64; 3],
    broken: u64,
}

/// Loads an address over so many connections: as fast as they go, or paced. Paced requests that find no
/// connection free count from when they were due.
fn load(to: SocketAddr, connections: usize, span: Duration, pace: Option<f64>) -> Result<Gave, String> {
    let mut event_loop: EventLoop<'static, Load> = EventLoop::try_new().map_err(|e| e.to_string())?;
    let handle = event_loop.handle();
    let mut conns = Vec::new();
    for n in 0..connections {
        let stream = connect(to).map_err(|e| e.to_string())?;
        let call = move |ready: Readiness, load: &mut Load| load.on_ready(n, ready);
        let socket = Socket::register(&handle, stream, Interest::READ, call).map_err(|e| e.to_string())?;
        conns.push((socket, Vec::new(), Instant::now(), false));
    }
    let times = Histogram::new_with_bounds(1, 60_000_000, 3).map_err(|e| e.to_string())?;
    let idle = (0..connections).collect();
    let now = Instant::now();
    let mut data = Load { handle, conns, idle, paced: pace.is_some(), until: now + span, times, broken: 0 };
    std::thread::sleep(Duration::from_millis(50));
    // A tenth of the span warms up and is not counted.
    let warm = Instant::now() + span / 10;
    let (mut began, mut due, mut counting) = (Instant::now(), Instant::now(), false);
    data.until = warm + span;
    while Instant::now() < data.until {
        if !counting && Instant::now() >= warm {
            (counting, began) = (true, Instant::now());
            data.times.reset();
        }
        match pace {
            None => {
                while let Some(n) = data.idle.pop() {
                    data.fire(n, Instant::now());
                }
                event_loop.dispatch(Duration::from_millis(10), &mut data).map_err(|e| e.to_string())?;
            }
            Some(rate) => {
                while due <= Instant::now() {
                    let Some(n) = data.idle.pop() else { break };
                    data.fire(n, due);
                    due += Duration::from_secs_f64(1.0 / rate);
                }
                event_loop.dispatch(Duration::ZERO, &mut data).map_err(|e| e.to_string())?;
            }
        }
    }
    let took = began.elapsed().as_secs_f64();
    let per_second = data.times.len() as f64 / took;
    let quantiles = [0.5, 0.95, 0.99].map(|q| data.times.value_at_quantile(q) as f64 / 1e3);
    Ok(Gave { per_second, quantiles, broken: data.broken })
}

/// A roster that lists these servers and a desk without news, on a thread.
pub(crate) fn site(servers: &[SocketAddr]) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let addr = listener.local_addr()?;
    let line = |(n, a): (usize, &SocketAddr)| {
        format!(r#"{{"id":{},"addr":"{a}","build":1,"state":"ready"}}"#, n + 1)
    };
    let lines: Vec<String> = servers.iter().enumerate().map(line).collect();
    let list = format!(r#"{{"kind":"full","version":1,"servers":[{}]}}"#, lines.join(","));
    std::thread::spawn(move || {
        let mut open = Vec::new();
        for mut stream in listener.incoming().flatten() {
            let mut first = String::new();
            let Ok(copy) = stream.try_clone() else { continue };
            let _ = BufReader::new(copy).read_line(&mut first);
            let news = r#"{"build":1,"stage":0,"phase":"released","cap":1.0}"#;
            let line = if first.contains("/v1/roster") { list.as_str() } else { news };
            let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
            let _ = stream.write_all(format!("{head}{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes());
            open.push(stream);
        }
    });
    Ok(addr)
}

/// The settings of a proxy over a site; `more` goes into `fleet(...)`.
pub(crate) fn settings(site: SocketAddr, more: &str, deadline: &str) -> String {
    format!(
        "fleet(name = \"measure\", size = 1, position = 0, {more})\nlisten(addr = \"127.0.0.1:0\")\n\
         roster(addr = \"{site}\")\ndesk(addr = \"{site}\")\n\
         request_class(name = \"read\", aim = \"{deadline}\", deadline = \"{deadline}\", effect = \"retryable\")\n\
         route(prefix = \"/\", to = \"read\")\n\
         rollout(stage_caps = [1.0], counted_over = \"2s\", vote_ttl = \"4s\")\n\
         contract(ask_within = \"1h\", cold_from = 0.5, cold_span = \"1s\", drain_grace = \"1s\", fall_multiple = 3.0, fall_span = \"1s\")\n"
    )
}

struct Proxy {
    child: Child,
    addr: SocketAddr,
}

impl Proxy {
    fn start(plan: &Plan, name: &str, servers: &[SocketAddr], deadline: &str) -> Result<Proxy, String> {
        let site = site(servers).map_err(|e| e.to_string())?;
        let text = settings(site, "seed = 1", deadline);
        let file = plan.out.join(format!("{name}.star"));
        std::fs::write(&file, text).map_err(|e| e.to_string())?;
        let mut child = Command::new(&plan.program)
            .args(["serve", "--log", "error", "--time-module", "--settings"])
            .arg(&file)
            .args(&plan.extra)
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|e| e.to_string())?;
        let out = child.stdout.as_mut().ok_or("no output")?;
        let mut line = String::new();
        BufReader::with_capacity(1, out).read_line(&mut line).map_err(|e| e.to_string())?;
        let addr = line.trim().rsplit(' ').next().and_then(|a| a.parse().ok()).ok_or("no address")?;
        std::thread::sleep(Duration::from_millis(300));
        Ok(Proxy { child, addr })
    }

    fn stat(&self, file: &str) -> String {
        std::fs::read_to_string(format!("/proc/{}/{file}", self.child.id())).unwrap_or_default()
    }

    fn cpu(&self) -> f64 {
        let text = self.stat("stat");
        let fields: Vec<&str> = text.rsplit(") ").next().unwrap_or("").split(' ').collect();
        let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
        (ticks(11) + ticks(12)) / 100.0
    }

    fn resident(&self) -> f64 {
        let text = self.stat("status");
        let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        line.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok()).unwrap_or(0.0) * 1024.0
    }

    /// Drains it; seconds in the module and requests taken, as it says.
    fn end(mut self) -> (f64, f64) {
        if let Some(pid) = rustix::process::Pid::from_raw(self.child.id() as i32) {
            let _ = rustix::process::kill_process(pid, rustix::process::Signal::TERM);
        }
        let mut text = String::new();
        if let Some(out) = self.child.stdout.take() {
            let _ = std::io::Read::read_to_string(&mut BufReader::new(out), &mut text);
        }
        let _ = self.child.wait();
        let numbers: Vec<f64> = text.split_whitespace().filter_map(|w| w.parse().ok()).collect();
        (numbers.first().copied().unwrap_or(0.0), numbers.get(1).copied().unwrap_or(0.0))
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub(crate) fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(0.0)
}

/// Measures, and gives a table; `say` hears of the progress.
///
/// # Errors
/// A text that says which process or measurement failed.
#[expect(clippy::too_many_lines, reason = "this package has not been parted by concern yet")]
pub fn measure(plan: &Plan, say: &mut dyn FnMut(&str)) -> Result<String, String> {
    std::fs::create_dir_all(&plan.out).map_err(|e| e.to_string())?;
    let silent = Arc::new(AtomicBool::new(false));
    let servers = echo(76, silent.clone()).map_err(|e| e.to_string())?;
    let mut figures: BTreeMap<(&str, &str), Vec<f64>> = BTreeMap::new();
    let arms: [(&str, usize); 3] = [("direct", 0), ("12 servers", 12), ("76 servers", 76)];
    for round in 0..plan.rounds {
        for (arm, count) in arms {
            let proxy = match count {
                0 => None,
                n => Some(Proxy::start(plan, &format!("n{n}"), &servers[..n], "2s")?),
            };
            let to = proxy.as_ref().map_or(servers[0], |p| p.addr);
            let mut put = |what, value| figures.entry((arm, what)).or_default().push(value);
            let cpu_before = proxy.as_ref().map_or(0.0, Proxy::cpu);
            let full = load(to, 64, plan.span, None)?;
            let cpu = proxy.as_ref().map_or(0.0, Proxy::cpu) - cpu_before;
            put("a: requests/s, 64 connections", full.per_second);
            if proxy.is_some() {
                let answered = full.per_second * plan.span.as_secs_f64() * 1.1;
                put("b: processor us a request, all", cpu / answered * 1e6);
                put("c: cores used", cpu / (plan.span.as_secs_f64() * 1.1));
            }
            for connections in [16usize, 256] {
                let paced = load(to, connections, plan.span, Some(plan.pace))?;
                let [p50, p95, p99] = paced.quantiles;
                let names = match connections {
                    16 => ["d: p50 ms, 16 paced", "e: p95 ms, 16 paced", "f: p99 ms, 16 paced"],
                    _ => ["g: p50 ms, 256 paced", "h: p95 ms, 256 paced", "i: p99 ms, 256 paced"],
                };
                put(names[0], p50);
                put(names[1], p95);
                put(names[2], p99);
                put("j: broken", full.broken as f64 + paced.broken as f64);
            }
            if let Some(proxy) = proxy {
                let (module, requests) = proxy.end();
                put("k: processor us a request, module", module / requests.max(1.0) * 1e6);
            }
            say(&format!("round {} of {}: {arm}: {:.0} requests/s", round + 1, plan.rounds, full.per_second));
        }
    }
    let (idle, held) = memory(plan, &servers[..12], &silent)?;
    let mut table =
        String::from("| median | direct | 12 servers | 76 servers |\n| --- | --- | --- | --- |\n");
    let mut names: Vec<&str> = figures.keys().map(|k| k.1).collect();
    names.sort_unstable();
    names.dedup();
    for name in names {
        let cell =
            |arm| figures.get(&(arm, name)).map_or_else(|| "-".into(), |v| format!("{:.3}", median(v)));
        let label = name.split_once(": ").map_or(name, |n| n.1);
        let [a, b, c] = arms.map(|arm| cell(arm.0));
        let _ = writeln!(table, "| {label} | {a} | {b} | {c} |");
    }
    let _ = writeln!(
        table,
        "\nmemory: {idle:.0} bytes an idle client connection, {held:.0} bytes more for a held request"
    );
    let _ = writeln!(
        table,
        "(of the proxy's resident size, 5,000 of each; the kernel's own buffers are not in it)"
    );
    Ok(table)
}

/// Resident bytes of an idle connection, and of a request that a server holds.
fn memory(plan: &Plan, servers: &[SocketAddr], silent: &Arc<AtomicBool>) -> Result<(f64, f64), String> {
    const MANY: usize = 5_000;
    let proxy = Proxy::start(plan, "memory", servers, "20s")?;
    let before = proxy.resident();
    let streams: Result<Vec<TcpStream>, _> = (0..MANY).map(|_| TcpStream::connect(proxy.addr)).collect();
    let mut streams = streams.map_err(|e| format!("{MANY} connections: {e}"))?;
    std::thread::sleep(Duration::from_millis(500));
    let idle = proxy.resident();
    silent.store(true, Ordering::Relaxed);
    for stream in &mut streams {
        stream.write_all(REQUEST).map_err(|e| e.to_string())?;
    }
    std::thread::sleep(Duration::from_millis(1_500));
    let held = proxy.resident();
    silent.store(false, Ordering::Relaxed);
    drop(streams);
    Ok(((idle - before) / MANY as f64, (held - idle) / MANY as f64))
}

/// The throughput with and without the flight recorder, medians of the rounds in turn: both, and the ratio.
///
/// # Errors
/// A text that says which process or measurement failed.
pub fn recording(plan: &Plan, say: &mut dyn FnMut(&str)) -> Result<[f64; 3], String> {
    std::fs::create_dir_all(&plan.out).map_err(|e| e.to_string())?;
    let servers = echo(12, Arc::new(AtomicBool::new(false))).map_err(|e| e.to_string())?;
    let flight: &Path = &plan.out.join("flight");
    let mut with = plan.clone();
    with.extra.extend(["--record".into(), flight.display().to_string()]);
    let (mut plain, mut recorded, mut ratios) = (Vec::new(), Vec::new(), Vec::new());
    for round in 0..plan.rounds {
        for (plan, into) in [(plan, &mut plain), (&with, &mut recorded)] {
            let proxy = Proxy::start(plan, "recording", &servers, "2s")?;
            into.push(load(proxy.addr, 64, plan.span, None)?.per_second);
            proxy.end();
        }
        ratios.push(recorded[round] / plain[round]);
        say(&format!(
            "round {}: {:.0} and, recorded, {:.0} requests/s",
            round + 1,
            plain[round],
            recorded[round]
        ));
    }
    Ok([median(&plain), median(&recorded), median(&ratios)])
}
