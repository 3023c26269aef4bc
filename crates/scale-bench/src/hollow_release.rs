//! Stage news and votes: hollow proxies before a release controller, a process of the program with its journal.
//!
//! Each hollow proxy is an engine that judges the build by drawn answers, holds a watch on the news and casts its
//! votes as calls. Evidence between the proxies is handed over within this process.

use super::hollow_controller::HollowController;
use super::hollow_engine::{BEGIN, EngineFleet, Releases, Shape};
use super::table::{Measurement, Unit};
use super::{Run, ScaleError, Slope};
use calloop::{EventLoop, Interest, LoopHandle, Readiness};
use clap::Args;
use hdrhistogram::Histogram;
use slab::Slab;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use violetseam::interface::{Micros, Outcome};
use violetseam_event_io::{ReadOutcome, Socket, connect};
use violetseam_http1::client::{ClientConnection, ClientEvent};
use violetseam_site_protocol::line_reader::LineReader;
use violetseam_site_protocol::release_service::{FencedRelease, MAX_LINE_BYTES, Vote, VoteResult};

/// Most hollow proxies: each holds a descriptor here and one in the controller, and votes take more.
const PROXIES_MOST: u64 = 6_000;
/// Longest wait for the news to reach all.
const PATIENCE: Duration = Duration::from_secs(30);
/// A watch that was lost is opened again after this span, spread over as much again.
const REOPEN_AFTER: Micros = 1_000_000;
/// Longest wait of the loop.
const TURN: Duration = Duration::from_millis(1);
/// Servers that each proxy is told of.
const SERVERS: usize = 12;

/// Arguments of `violetseam lab scale hollow-release`; the sizes are proxies.
#[derive(Args, Clone, Debug)]
pub struct ReleaseArgs {
    /// Requests a second that each proxy takes for the service whose build is on trial
    #[arg(long, default_value_t = 2.0)]
    pub requests: f64,
    /// Seconds that are counted at rest, and as many with a build on trial
    #[arg(long, default_value_t = 15.0)]
    pub seconds: f64,
    /// Seconds that a vote stands
    #[arg(long, default_value_t = 10.0)]
    pub vote_life: f64,
    /// Votes a second that the controller's plan allows
    #[arg(long, default_value_t = 100_000.0)]
    pub allowance: f64,
}

impl Slope for ReleaseArgs {
    fn name(&self) -> &'static str {
        "hollow-release"
    }

    fn size_of(&self) -> &'static str {
        "proxies"
    }

    fn sizes(&self, quick: bool) -> &'static [u64] {
        if quick { &[10, 20, 40] } else { &[50, 150, 500, 1_500, 4_000] }
    }

    fn sample(&self, size: u64, run: &Run) -> Result<Vec<Measurement>, ScaleError> {
        if !(1..=PROXIES_MOST).contains(&size) {
            return Err(ScaleError::Failed(format!("1 to {PROXIES_MOST} proxies")));
        }
        let seconds = if run.quick { 3.0 } else { self.seconds.clamp(1.0, 60.0) };
        let plan = Plan {
            shape: Shape {
                proxies: size as usize,
                servers: SERVERS,
                request_rate: self.requests.clamp(0.0, 1_000.0),
                vote_life: (self.vote_life.clamp(1.0, 600.0) * 1e6) as Micros,
                releases: Releases::Outside,
                seed: run.seed,
            },
            allowance: self.allowance.clamp(1.0, 1e6),
            span: Duration::from_secs_f64(seconds),
        };
        Ok(measurements(&measure(&plan)?, size))
    }
}

/// What is measured.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// The fleet.
    pub shape: Shape,
    /// Votes a second that the controller takes.
    pub allowance: f64,
    /// Counted at rest, and with a build on trial.
    pub span: Duration,
}

/// What has crossed the fleet's connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Bytes of watches received: news, blank lines and HTTP.
    pub watched: u64,
    /// Watches that were lost.
    pub lost: u64,
    /// Votes sent.
    pub votes: u64,
    /// Bytes of votes sent, HTTP included.
    pub voted: u64,
    /// Bytes of votes' replies, HTTP included.
    pub replied: u64,
    /// Votes that count.
    pub accepted: u64,
    /// Votes over the controller's allowance.
    pub over_allowance: u64,
    /// Votes with any other end.
    pub failed: u64,
}

/// One phase.
#[derive(Clone, Debug)]
pub struct Phase {
    seconds: f64,
    counts: Counts,
    controller_cpu: f64,
}

/// What one fleet gave.
#[derive(Clone, Debug)]
pub struct Released {
    proxies: usize,
    rest: Phase,
    trial: Phase,
    /// From the offer to the news at the last proxy.
    news_after: f64,
    /// Proxies with an open watch at the end.
    watching: usize,
    /// Milliseconds from a vote's call to its reply: median and 99th percentile.
    vote_ms: [f64; 2],
    controller_bytes: f64,
}

/// One fleet's rows: rates and bytes for each proxy, the controller's own as a whole.
fn measurements(released: &Released, size: u64) -> Vec<Measurement> {
    let proxies = released.proxies as f64;
    let mut rows = Vec::new();
    let mut row = |what: &str, unit, value| rows.push(Measurement::new(what, unit, size, value));
    for (name, phase) in [("rest", &released.rest), ("trial", &released.trial)] {
        let each = |count: u64| count as f64 / proxies / phase.seconds;
        row(&format!("{name}: watch, bytes to a proxy"), Unit::BytesPerSecond, each(phase.counts.watched));
        row(&format!("{name}: watches lost"), Unit::Count, phase.counts.lost as f64);
        row(&format!("{name}: controller"), Unit::Cores, phase.controller_cpu / phase.seconds);
    }
    let trial = &released.trial;
    let each = |count: u64| count as f64 / proxies / trial.seconds;
    row("trial: votes of a proxy", Unit::PerSecond, each(trial.counts.votes));
    row("trial: vote, bytes from a proxy", Unit::BytesPerSecond, each(trial.counts.voted));
    row("trial: vote, bytes to a proxy", Unit::BytesPerSecond, each(trial.counts.replied));
    row("trial: votes that count", Unit::PerSecond, trial.counts.accepted as f64 / trial.seconds);
    row(
        "trial: votes over the allowance",
        Unit::PerSecond,
        trial.counts.over_allowance as f64 / trial.seconds,
    );
    row("trial: votes without a reply", Unit::PerSecond, trial.counts.failed as f64 / trial.seconds);
    row("trial: vote to reply, p50", Unit::Seconds, released.vote_ms[0] / 1e3);
    row("trial: vote to reply, p99", Unit::Seconds, released.vote_ms[1] / 1e3);
    row("offer to the news at the last proxy", Unit::Seconds, released.news_after);
    row("proxies that watch at the end", Unit::Count, released.watching as f64);
    row("controller: resident memory", Unit::Bytes, released.controller_bytes);
    rows
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    Watch,
    Vote,
}

struct Call {
    proxy: usize,
    purpose: Purpose,
    socket: Socket,
    http: ClientConnection,
    lines: LineReader,
    body: Vec<u8>,
    began: Instant,
}

/// The fleet with its connections.
struct Watchers {
    handle: LoopHandle<'static, Watchers>,
    fleet: EngineFleet,
    began: Instant,
    controller: SocketAddr,
    calls: Slab<Call>,
    /// Which proxies have an open watch that has told news.
    watching: Vec<bool>,
    /// Which proxies have heard of the build on trial.
    told: Vec<bool>,
    /// Watches to be opened again.
    reopen: Vec<(Micros, usize)>,
    counts: Counts,
    vote_times: Histogram<u64>,
}

/// Runs one fleet.
///
/// # Errors
/// [`ScaleError`] if the controller or a connection fails.
pub fn measure(plan: &Plan) -> Result<Released, ScaleError> {
    let controller = HollowController::start(plan.shape.proxies, plan.shape.vote_life, plan.allowance)?;
    let mut event_loop: EventLoop<'static, Watchers> = EventLoop::try_new().map_err(std::io::Error::other)?;
    let mut watchers = Watchers::new(plan, controller.addr, event_loop.handle())?;
    (0..plan.shape.proxies).for_each(|proxy| watchers.open_watch(proxy));
    let opened = run_until(&mut event_loop, &mut watchers, PATIENCE, |w| w.watching.iter().all(|is| *is))?;
    if !opened {
        eprintln!("{} of {} watches are open", watchers.open_watches(), plan.shape.proxies);
    }
    let rest = phase(&mut event_loop, &mut watchers, &controller, plan.span)?;

    let offered = Instant::now();
    controller.offer()?;
    let told = run_until(&mut event_loop, &mut watchers, PATIENCE, |w| {
        w.told.iter().zip(&w.watching).all(|(told, watching)| *told || !watching)
    })?;
    if !told {
        return Err(ScaleError::Failed("the news did not reach all that watch".into()));
    }
    let news_after = offered.elapsed().as_secs_f64();

    // Verdicts take windows of evidence; renewals begin within a vote's life.
    let warm_up = Duration::from_micros(plan.shape.vote_life);
    run_until(&mut event_loop, &mut watchers, warm_up, |_| false)?;
    watchers.vote_times.reset();
    let trial = phase(&mut event_loop, &mut watchers, &controller, plan.span)?;
    let quantile = |q| watchers.vote_times.value_at_quantile(q) as f64 / 1e3;
    Ok(Released {
        proxies: plan.shape.proxies,
        rest,
        trial,
        news_after,
        watching: watchers.open_watches(),
        vote_ms: [quantile(0.5), quantile(0.99)],
        controller_bytes: controller.resident_bytes()?,
    })
}

fn phase(
    event_loop: &mut EventLoop<'static, Watchers>,
    watchers: &mut Watchers,
    controller: &HollowController,
    span: Duration,
) -> Result<Phase, ScaleError> {
    let (began, cpu) = (Instant::now(), controller.cpu_seconds()?);
    watchers.counts = Counts::default();
    run_until(event_loop, watchers, span, |_| false)?;
    let controller_cpu = controller.cpu_seconds()? - cpu;
    Ok(Phase { seconds: began.elapsed().as_secs_f64(), counts: watchers.counts, controller_cpu })
}

/// Runs the fleet until something holds, or for a span; whether it held.
fn run_until(
    event_loop: &mut EventLoop<'static, Watchers>,
    watchers: &mut Watchers,
    within: Duration,
    is: impl Fn(&Watchers) -> bool,
) -> Result<bool, ScaleError> {
    let until = Instant::now() + within;
    while Instant::now() < until {
        watchers.advance();
        if is(watchers) {
            return Ok(true);
        }
        event_loop.dispatch(TURN, watchers).map_err(std::io::Error::other)?;
    }
    Ok(false)
}

impl Watchers {
    fn new(
        plan: &Plan,
        controller: SocketAddr,
        handle: LoopHandle<'static, Watchers>,
    ) -> Result<Watchers, ScaleError> {
        let proxies = plan.shape.proxies;
        Ok(Watchers {
            handle,
            fleet: EngineFleet::new(plan.shape),
            began: Instant::now(),
            controller,
            calls: Slab::new(),
            watching: vec![false; proxies],
            told: vec![false; proxies],
            reopen: Vec::new(),
            counts: Counts::default(),
            vote_times: Histogram::new_with_bounds(1, 60_000_000, 3)
                .map_err(|e| ScaleError::Failed(e.to_string()))?,
        })
    }

    fn now(&self) -> Micros {
        BEGIN + self.began.elapsed().as_micros() as Micros
    }

    fn open_watches(&self) -> usize {
        self.watching.iter().filter(|is| **is).count()
    }

    /// Plays what is due: the engines, evidence between them, votes, watches that are opened again.
    fn advance(&mut self) {
        let now = self.now();
        self.fleet.advance(now);
        for datagram in self.fleet.take_outbox() {
            self.fleet.deliver(now, datagram.to, &datagram.bytes);
        }
        for cast in self.fleet.take_votes() {
            self.send_vote(cast.from, &cast.vote);
        }
        let due: Vec<usize> =
            self.reopen.extract_if(.., |entry| entry.0 <= now).map(|entry| entry.1).collect();
        due.into_iter().for_each(|proxy| self.open_watch(proxy));
    }

    fn open_watch(&mut self, proxy: usize) {
        let path = format!("/v1/stage/watch?proxy={proxy}");
        if self.call(proxy, Purpose::Watch, "GET", &path, &[]).is_err() {
            self.watch_lost(proxy);
        }
    }

    fn send_vote(&mut self, proxy: usize, vote: &Vote) {
        self.counts.votes += 1;
        if self.call(proxy, Purpose::Vote, "POST", "/v1/vote", &vote.write()).is_err() {
            self.vote_failed(proxy);
        }
    }

    fn watch_lost(&mut self, proxy: usize) {
        self.watching[proxy] = false;
        self.counts.lost += 1;
        let spread = proxy as Micros * 7_919 % REOPEN_AFTER;
        self.reopen.push((self.now() + REOPEN_AFTER + spread, proxy));
    }

    fn vote_failed(&mut self, proxy: usize) {
        self.counts.failed += 1;
        let now = self.now();
        self.fleet.vote_reply(now, proxy, Outcome::Timeout, None);
    }

    /// One call on a connection of its own, with the head that the proxy's driver writes.
    fn call(
        &mut self,
        proxy: usize,
        purpose: Purpose,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> std::io::Result<()> {
        let stream = connect(self.controller)?;
        let entry = self.calls.vacant_entry();
        let key = entry.key();
        let on_ready = move |ready: Readiness, watchers: &mut Watchers| watchers.on_call(key, ready);
        let mut socket = Socket::register(&self.handle, stream, Interest::BOTH, on_ready)?;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: {}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
            self.controller,
            body.len()
        );
        socket.write_buffer().extend_from_slice(head.as_bytes());
        socket.write_buffer().extend_from_slice(body);
        if purpose == Purpose::Vote {
            self.counts.voted += socket.unwritten_bytes() as u64;
        }
        let mut http = ClientConnection::new(violetseam_http1::Limits::default());
        http.expect_response(false);
        let (lines, began) = (LineReader::new(MAX_LINE_BYTES), Instant::now());
        entry.insert(Call { proxy, purpose, socket, http, lines, body: Vec::new(), began });
        Ok(())
    }

    fn on_call(&mut self, key: usize, ready: Readiness) {
        if ready.writable {
            let Some(call) = self.calls.get_mut(key) else { return };
            if call.socket.connect_error().is_some() || call.socket.flush().is_err() {
                return self.call_lost(key);
            }
            call.socket.set_read_interest(&self.handle, true);
        }
        if !(ready.readable || ready.error) {
            return;
        }
        let mut bytes = [0; 16 * 1024];
        let Some(call) = self.calls.get_mut(key) else { return };
        match call.socket.read(&mut bytes) {
            ReadOutcome::Bytes(n) => {
                match call.purpose {
                    Purpose::Watch => self.counts.watched += n as u64,
                    Purpose::Vote => self.counts.replied += n as u64,
                }
                call.http.feed(&bytes[..n]);
                self.events(key);
            }
            ReadOutcome::WouldBlock => {}
            ReadOutcome::Closed | ReadOutcome::Failed => self.call_lost(key),
        }
    }

    fn events(&mut self, key: usize) {
        while let Some(call) = self.calls.get_mut(key) {
            match call.http.next_event() {
                None => return,
                Some(ClientEvent::Head(head)) if head.status == 200 => {}
                Some(ClientEvent::Body(bytes)) if call.purpose == Purpose::Vote => {
                    call.body.extend_from_slice(&bytes);
                }
                Some(ClientEvent::Body(bytes)) => {
                    call.lines.feed(&bytes);
                    self.news(key);
                }
                Some(ClientEvent::End { .. }) if call.purpose == Purpose::Vote => {
                    return self.vote_replied(key);
                }
                Some(_) => return self.call_lost(key),
            }
        }
    }

    fn news(&mut self, key: usize) {
        let now = self.now();
        while let Some(call) = self.calls.get_mut(key) {
            let proxy = call.proxy;
            let news = match call.lines.next_line() {
                Ok(Some([])) => continue,
                Ok(Some(line)) => FencedRelease::parse(line),
                Ok(None) => return,
                Err(fault) => Err(fault),
            };
            let Ok(FencedRelease { status: news, .. }) = news else { return self.call_lost(key) };
            self.watching[proxy] = true;
            self.told[proxy] |= news.build == super::hollow_engine::TRIAL;
            self.fleet.stage(now, proxy, news);
        }
    }

    fn vote_replied(&mut self, key: usize) {
        let call = self.calls.remove(key);
        call.socket.remove(&self.handle);
        let Ok(VoteResult { outcome, release }) = VoteResult::parse(&call.body) else {
            return self.vote_failed(call.proxy);
        };
        match outcome {
            Outcome::Ok => self.counts.accepted += 1,
            Outcome::Rejected => self.counts.over_allowance += 1,
            _ => self.counts.failed += 1,
        }
        self.vote_times.saturating_record((call.began.elapsed().as_micros() as u64).max(1));
        let now = self.now();
        self.fleet.vote_reply(now, call.proxy, outcome, release.map(|release| release.status));
    }

    fn call_lost(&mut self, key: usize) {
        let call = self.calls.remove(key);
        call.socket.remove(&self.handle);
        match call.purpose {
            Purpose::Watch => self.watch_lost(call.proxy),
            Purpose::Vote => self.vote_failed(call.proxy),
        }
    }
}
