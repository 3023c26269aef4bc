//! The loop of the controller: proxies watch the news and vote, the platform watches what is wanted and reports,
//! operators speak; all of it becomes events, taken in batches that are durable before they count.
//!
//! A controller that stands by answers 503 and looks at the holder's sign of life; it begins a term when that
//! has stood still for the lease. A holder that another one has replaced closes everything and stands by.

use crate::control::{self, Answer, Asked, Standing};
use crate::journal::{Begun, Fault, Folder, Line, NotKept, encode};
use crate::keeper::{self, Done, Job};
use crate::settings::Settings;
use calloop::channel::{Event as Heard, channel};
use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, Readiness};
use http::{HeaderMap, Method, StatusCode};
use slab::Slab;
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::Sender as Answering;
use std::time::{Duration, Instant};
use violetseam_http1::server::{ServerConn, ServerEvent};
use violetseam_http1::{Framing, Limits, RequestHead};
use violetseam_loopio::{Got, Socket};
use violetseam_release::{Allowance, Event, News, Now, Phase, PlaceState, Release, Reply, Verdict, Vote};
use violetseam_site::desk::{self, PhaseName, VerdictName, VoteOutcome, VoteReply};
use violetseam_site::places::{self, StateName, Wanted};

/// Connections at once; further ones are closed.
const CONNECTIONS_MOST: usize = 4_096;
/// A connection that neither watches nor asks for so many beats is closed, so that silent ones keep nobody out.
const QUIET_BEATS: u32 = 30;
/// Events in one batch.
const BATCH_MOST: usize = 4_096;
/// Bytes that wait for a watcher that does not read; past it, the watch closes.
const UNREAD_MOST: usize = 8 << 20;
/// A batch that was not kept is followed by the next one not sooner.
const AFTER_TROUBLE: Duration = Duration::from_millis(200);
/// What is wanted is told again this often, whatever was heard.
const WANTED_AGAIN: Duration = Duration::from_secs(5);

/// What a connection has been asked for.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Watch {
    None,
    News(Option<desk::News>),
    Places(u64),
}

struct Conn {
    generation: u64,
    socket: Socket,
    http: ServerConn,
    head: Option<Box<RequestHead>>,
    body: Vec<u8>,
    watch: Watch,
    told_at: Instant,
}

/// Who waits for what becomes of an event.
enum From {
    Nobody,
    Vote(usize, u64),
    Places(usize, u64),
    Operator(Answering<Answer>),
}

/// A batch on its way to the disk: the state after it, and who waits for what became of it.
type Batch = (Arc<Release>, Vec<(From, Reply)>);

/// What one holds who may speak.
struct Term {
    number: u64,
    release: Arc<Release>,
    wanted: BTreeSet<(u32, u16)>,
    /// Counts changes of what is wanted.
    wanted_version: u64,
    wanted_at: Instant,
    allowance: Allowance,
    queue: Vec<(Event, From)>,
    to_keeper: std::sync::mpsc::Sender<Job>,
    /// The batch that becomes durable now.
    keeping: Option<Batch>,
    tick_at: Instant,
    not_before: Instant,
    trouble: Option<String>,
    beat: u64,
    beat_at: Instant,
}

/// The controller on its loop.
pub struct Controller {
    settings: Settings,
    folder: Folder,
    handle: LoopHandle<'static, Controller>,
    conns: Slab<Conn>,
    generation: u64,
    started: Instant,
    term: Option<Term>,
    done: calloop::channel::Sender<Done>,
    /// Standing by: the holder's sign of life, and since when it has been so.
    seen: (Option<String>, Instant),
    look_at: Instant,
    stopping: bool,
    /// Batches so far that had something to keep.
    #[cfg(feature = "sabotage")]
    batches: u64,
}

/// A step at which a controller dies on purpose, at the `n`th batch from 1: what a kill at that very moment
/// would do, without the luck that it takes.
#[cfg(feature = "sabotage")]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DieAt {
    /// Decided, and not handed to the journal.
    Decided(u64),
    /// Durable, and nobody was told.
    Durable(u64),
    /// Announced and answered.
    Announced(u64),
}

/// What a controller did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Its last term; 0: it only stood by.
    pub term: u64,
}

/// The same, dying at a step.
#[cfg(feature = "sabotage")]
pub fn serve_until(
    settings: Settings,
    state: &Path,
    die_at: Option<DieAt>,
    ready: impl FnOnce(SocketAddr),
) -> Result<Summary, String> {
    DIE_AT.set(die_at);
    serve(settings, state, None, ready)
}

#[cfg(feature = "sabotage")]
thread_local! {
    static DIE_AT: std::cell::Cell<Option<DieAt>> = const { std::cell::Cell::new(None) };
}

#[cfg(feature = "sabotage")]
fn step(at: DieAt) {
    if DIE_AT.get() == Some(at) {
        std::process::abort();
    }
}

/// Runs a controller until SIGTERM or SIGINT, or for `stop_after`. `ready` hears where it listens.
pub fn serve(
    settings: Settings,
    state: &Path,
    stop_after: Option<Duration>,
    ready: impl FnOnce(SocketAddr),
) -> Result<Summary, String> {
    let words = |e: std::io::Error| e.to_string();
    let mut event_loop: EventLoop<'static, Controller> = EventLoop::try_new().map_err(|e| e.to_string())?;
    // Before any thread is started, which would take them otherwise.
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT]).map_err(|e| e.to_string())?;
    let handle = event_loop.handle();
    handle
        .insert_source(signals, |_, (), c: &mut Controller| c.stopping = true)
        .map_err(|e| e.to_string())?;
    let folder = Folder::open(state).map_err(|e| e.to_string())?;
    folder.check().map_err(|e| e.to_string())?;
    let listener = TcpListener::bind(settings.listen).map_err(|e| format!("{}: {e}", settings.listen))?;
    let addr = listener.local_addr().map_err(words)?;
    listener.set_nonblocking(true).map_err(words)?;
    handle
        .insert_source(Generic::new(listener, Interest::READ, Mode::Level), |_, listener, c| {
            c.accept(listener);
            Ok(PostAction::Continue)
        })
        .map_err(|e| e.to_string())?;
    let (done, is_done) = channel::<Done>();
    handle
        .insert_source(is_done, |event, (), c: &mut Controller| {
            if let Heard::Msg(Done(kept)) = event {
                c.kept(kept);
            }
        })
        .map_err(|e| e.to_string())?;
    let (to_loop, asked) = channel::<Asked>();
    handle
        .insert_source(asked, |event, (), c: &mut Controller| {
            if let Heard::Msg(asked) = event {
                c.asked(asked);
            }
        })
        .map_err(|e| e.to_string())?;
    control::open(&settings.control, to_loop)
        .map_err(|e| format!("control: {}: {e}", settings.control.display()))?;
    let now = Instant::now();
    let mut controller = Controller {
        folder,
        handle,
        conns: Slab::new(),
        generation: 0,
        started: now,
        term: None,
        done,
        seen: (None, now),
        look_at: now,
        stopping: false,
        #[cfg(feature = "sabotage")]
        batches: 0,
        settings,
    };
    ready(addr);
    let stop_at = stop_after.map(|span| now + span);
    let mut last = 0;
    while !controller.stopping {
        controller.turn()?;
        last = controller.term.as_ref().map_or(last, |t| t.number);
        let mut wait = controller.wait();
        if let Some(at) = stop_at {
            wait = wait.min(at.saturating_duration_since(Instant::now()));
            controller.stopping |= at <= Instant::now();
        }
        event_loop.dispatch(wait, &mut controller).map_err(|e| e.to_string())?;
    }
    if let Some(term) = &controller.term {
        controller.folder.leave(term.number);
    }
    let _ = std::fs::remove_file(&controller.settings.control);
    Ok(Summary { term: last })
}

impl Controller {
    fn now(&self) -> Now {
        Now { wall: control::wall_clock(), steady: self.started.elapsed().as_micros() as u64 }
    }

    /// Until when nothing is due by time alone.
    fn wait(&self) -> Duration {
        let now = Instant::now();
        let at = match &self.term {
            Some(term) if term.keeping.is_some() => term.beat_at,
            Some(term) if !term.queue.is_empty() => term.not_before,
            Some(term) => term.tick_at.max(term.not_before).min(term.beat_at),
            None => self.look_at,
        };
        at.saturating_duration_since(now).min(self.settings.beat / 2)
    }

    /// What is due, after the sockets have been heard.
    fn turn(&mut self) -> Result<(), String> {
        let now = Instant::now();
        if self.term.is_none() && now >= self.look_at {
            self.look()?;
        }
        if self.term.as_ref().is_some_and(|t| now >= t.beat_at) {
            self.beat(now);
        }
        self.batch(now);
        self.tell_all(now);
        Ok(())
    }

    // Standing by, and becoming the holder.

    fn look(&mut self) -> Result<(), String> {
        let now = Instant::now();
        self.look_at = now + self.settings.lease / 8;
        let lease = self.folder.lease();
        if lease != self.seen.0 {
            self.seen = (lease, now);
        }
        let left = self.seen.0.is_none();
        if !left && now < self.seen.1 + self.settings.lease {
            return Ok(());
        }
        match self.folder.begin(&self.settings.name, self.settings.build, self.now()) {
            Ok(begun) => self.begin(begun).map_err(|e| e.to_string()),
            Err(Fault::Taken) => {
                self.seen.1 = now;
                Ok(())
            }
            // A disk without room is waited for; what cannot be read needs a person.
            Err(Fault::Io(why)) => {
                tracing::error!("no term can begin: {why}");
                self.look_at = now + self.settings.lease;
                Ok(())
            }
            Err(fault) => Err(fault.to_string()),
        }
    }

    fn begin(&mut self, begun: Begun) -> std::io::Result<()> {
        let Begun { term, release, writer, events, torn } = begun;
        tracing::info!(term, events, torn, "this controller speaks: {}", release.standing());
        let now = Instant::now();
        let rate = release.plan().map_or(f64::INFINITY, |plan| plan.fleet.votes_per_s);
        let to_keeper = keeper::start(writer, self.done.clone())?;
        let allowance = Allowance::new(rate.min(1e9), self.started.elapsed().as_micros() as u64);
        self.term = Some(Term {
            number: term,
            wanted: release.wanted(),
            wanted_version: 1,
            wanted_at: now,
            release: Arc::new(release),
            allowance,
            queue: Vec::new(),
            to_keeper,
            keeping: None,
            tick_at: now,
            not_before: now,
            trouble: None,
            beat: 0,
            beat_at: now,
        });
        self.beat(now);
        Ok(())
    }

    /// Gives a sign of life, and sees whether another one has taken over.
    fn beat(&mut self, now: Instant) {
        let Some(term) = &mut self.term else { return };
        term.beat += 1;
        term.beat_at = now + self.settings.lease / 4;
        let number = term.number;
        if self.folder.latest_term().is_ok_and(|latest| latest > number) {
            return self.step_down("another controller has begun a later term");
        }
        if let Err(why) = self.folder.renew(number, &self.settings.name, term.beat) {
            tracing::warn!("no sign of life can be given: {why}");
        }
    }

    /// Another one speaks now: everything closes, and who waits is told nothing that counts.
    fn step_down(&mut self, why: &str) {
        let Some(term) = self.term.take() else { return };
        tracing::warn!(term = term.number, "standing by: {why}");
        let keeping = term.keeping.map(|k| k.1).unwrap_or_default();
        let waiting = keeping.into_iter().map(|w| w.0).chain(term.queue.into_iter().map(|w| w.1));
        for from in waiting {
            if let From::Operator(tell) = from {
                let _ = tell.send(Answer::Not("another controller has taken over; it may count".into()));
            }
        }
        let all: Vec<usize> = self.conns.iter().map(|(key, _)| key).collect();
        all.into_iter().for_each(|key| self.close(key));
        let now = Instant::now();
        (self.seen, self.look_at) = ((self.folder.lease(), now), now + self.settings.lease / 8);
    }

    // Events, in batches.

    /// Takes what has gathered as one batch: decided on a copy, made durable, then in force.
    fn batch(&mut self, now: Instant) {
        let at = self.now();
        let Some(term) = &mut self.term else { return };
        let due = !term.queue.is_empty() || now >= term.tick_at;
        if term.keeping.is_some() || !due || now < term.not_before {
            return;
        }
        let mut next = Release::clone(&term.release);
        let (mut bytes, mut events, mut replies) = (Vec::new(), 0, Vec::new());
        let many = term.queue.len().min(BATCH_MOST);
        let tick = (Event::Tick, From::Nobody);
        for (event, from) in term.queue.drain(..many).chain(std::iter::once(tick)) {
            let before = next.news();
            let (reply, kept) = next.on_event(at, &event);
            if kept {
                let news = next.news();
                let after = (news != before).then_some(news);
                bytes.extend(encode(&Line::Event { now: at, event, after }));
                events += 1;
            }
            replies.push((from, reply));
        }
        if events == 0 {
            term.release = Arc::new(next);
            term.tick_at = tick_at(&term.release, now);
            return self.answer(replies);
        }
        #[cfg(feature = "sabotage")]
        {
            self.batches += 1;
            step(DieAt::Decided(self.batches));
        }
        let next = Arc::new(next);
        let job = Job { bytes, events, state: next.clone() };
        if term.to_keeper.send(job).is_err() {
            return self.step_down("the journal's thread is gone");
        }
        term.keeping = Some((next, replies));
    }

    fn kept(&mut self, kept: Result<(), NotKept>) {
        let now = Instant::now();
        let Some(term) = &mut self.term else { return };
        let Some((next, replies)) = term.keeping.take() else { return };
        match kept {
            Ok(()) => {
                #[cfg(feature = "sabotage")]
                step(DieAt::Durable(self.batches));
                let before = term.release.news();
                term.release = next;
                term.trouble = None;
                term.tick_at = tick_at(&term.release, now);
                if let Some(plan) = term.release.plan() {
                    term.allowance.set_rate(plan.fleet.votes_per_s);
                }
                let wanted = term.release.wanted();
                if wanted != term.wanted {
                    (term.wanted, term.wanted_at) = (wanted, now);
                    term.wanted_version += 1;
                }
                let news = term.release.news();
                if (news.build, news.stage, news.phase) != (before.build, before.stage, before.phase) {
                    tracing::info!("{}", term.release.standing());
                }
                self.answer(replies);
                #[cfg(feature = "sabotage")]
                {
                    self.tell_all(now);
                    step(DieAt::Announced(self.batches));
                }
            }
            Err(NotKept::Superseded) => self.step_down("another controller has begun a later term"),
            Err(NotKept::Failed(why)) => {
                tracing::error!("not kept, nothing of it counts: {why}");
                term.not_before = now + AFTER_TROUBLE;
                term.trouble = Some(why.clone());
                for (from, _) in replies {
                    self.answer_one(from, Err(&why));
                }
            }
        }
    }

    fn answer(&mut self, replies: Vec<(From, Reply)>) {
        for (from, reply) in replies {
            self.answer_one(from, Ok(reply));
        }
    }

    fn answer_one(&mut self, from: From, reply: Result<Reply, &str>) {
        match from {
            From::Nobody => {}
            From::Operator(tell) => {
                let answer = match reply {
                    Ok(reply) => Answer::Reply(reply),
                    Err(why) => Answer::Not(format!("not kept, it does not count: {why}")),
                };
                let _ = tell.send(answer);
            }
            From::Vote(key, generation) => {
                let outcome = match reply {
                    Ok(Reply::Ok) => VoteOutcome::Ok,
                    Ok(Reply::Moot(_)) => VoteOutcome::Moot,
                    Ok(Reply::Refused(_)) | Err(_) => VoteOutcome::Error,
                };
                self.answer_vote(key, generation, outcome);
            }
            From::Places(key, generation) => {
                if self.conns.get(key).is_some_and(|c| c.generation == generation) {
                    let status = if reply.is_ok() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
                    self.respond(key, status, b"{}");
                }
            }
        }
    }

    fn answer_vote(&mut self, key: usize, generation: u64, outcome: VoteOutcome) {
        if self.conns.get(key).is_some_and(|c| c.generation == generation) {
            let news = self.news().filter(|_| outcome == VoteOutcome::Ok);
            self.respond(key, StatusCode::OK, &VoteReply { outcome, news }.write());
        }
    }

    fn asked(&mut self, asked: Asked) {
        match (asked, &mut self.term) {
            (Asked::State(tell), _) => drop(tell.send(Answer::State(Box::new(self.standing())))),
            (Asked::Event(event, tell), Some(term)) => term.queue.push((event, From::Operator(tell))),
            (Asked::Event(_, tell), None) => {
                drop(
                    tell.send(Answer::Not("this controller stands by: say it to the one that speaks".into())),
                );
            }
        }
    }

    fn standing(&self) -> Standing {
        let watching = |is: fn(&Watch) -> bool| self.conns.iter().filter(|(_, c)| is(&c.watch)).count();
        let watches =
            (watching(|w| matches!(w, Watch::News(_))), watching(|w| matches!(w, Watch::Places(_))));
        let term = self.term.as_ref();
        Standing {
            name: self.settings.name.clone(),
            term: term.map_or(0, |t| t.number),
            news: term.map(|t| t.release.news()),
            text: term.map_or_else(|| "stands by".into(), |t| t.release.standing()),
            votes: term.map_or(0, |t| t.release.votes()),
            watches,
            trouble: term.and_then(|t| t.trouble.clone()),
        }
    }

    /// The news, as durable.
    fn news(&self) -> Option<desk::News> {
        let term = self.term.as_ref()?;
        let News { build, stage, phase, cap } = term.release.news();
        let phase = match phase {
            Phase::Trial => PhaseName::Trial,
            Phase::RollingBack => PhaseName::RollingBack,
            Phase::Released => PhaseName::Released,
            Phase::Withdrawn => PhaseName::Withdrawn,
        };
        Some(desk::News { build, stage, phase, cap, fence: term.number })
    }

    // Connections.

    fn accept(&mut self, listener: &TcpListener) {
        while let Ok((stream, _)) = listener.accept() {
            if self.conns.len() < CONNECTIONS_MOST {
                self.add(stream);
            }
        }
    }

    fn add(&mut self, stream: TcpStream) {
        if stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true)).is_err() {
            return;
        }
        self.generation += 1;
        let generation = self.generation;
        let entry = self.conns.vacant_entry();
        let key = entry.key();
        let on_ready = move |ready: Readiness, c: &mut Controller| c.on_conn(key, ready);
        let Ok(socket) = Socket::register(&self.handle, stream, Interest::READ, on_ready) else { return };
        let http = ServerConn::new(Limits { body: places::LINE_MOST as u64, ..Limits::default() });
        let (head, body, watch, told_at) = (None, Vec::new(), Watch::None, Instant::now());
        entry.insert(Conn { generation, socket, http, head, body, watch, told_at });
    }

    fn close(&mut self, key: usize) {
        if self.conns.contains(key) {
            self.conns.remove(key).socket.remove(&self.handle);
        }
    }

    fn on_conn(&mut self, key: usize, ready: Readiness) {
        if ready.writable {
            self.flush(key);
        }
        if !(ready.readable || ready.error) {
            return;
        }
        let mut bytes = [0; 16 * 1024];
        let Some(conn) = self.conns.get_mut(key) else { return };
        match conn.socket.read(&mut bytes) {
            Got::Bytes(n) => {
                conn.http.feed(&bytes[..n]);
                self.events(key);
            }
            Got::Nothing => {}
            Got::Closed | Got::Broken => self.close(key),
        }
    }

    fn events(&mut self, key: usize) {
        while let Some(conn) = self.conns.get_mut(key) {
            match conn.http.next_event() {
                None => return,
                Some(ServerEvent::Head(head)) => {
                    conn.body.clear();
                    conn.head = Some(head);
                }
                Some(ServerEvent::Body(bytes)) => {
                    // Only the platform's reports are long.
                    let reports = conn.head.as_ref().is_some_and(|h| h.target.starts_with("/v1/places"));
                    let most = if reports { places::LINE_MOST } else { desk::LINE_MOST };
                    if conn.body.len() + bytes.len() > most {
                        return self.close(key);
                    }
                    conn.body.extend_from_slice(&bytes);
                }
                Some(ServerEvent::End) => self.request(key),
                Some(ServerEvent::Fault(_)) => return self.close(key),
            }
        }
    }

    fn request(&mut self, key: usize) {
        let steady = self.started.elapsed().as_micros() as u64;
        let news = self.news();
        let Some(conn) = self.conns.get_mut(key) else { return };
        let (Some(head), body) = (conn.head.take(), std::mem::take(&mut conn.body)) else { return };
        let generation = conn.generation;
        conn.told_at = Instant::now();
        let (path, query) = head.target.split_once('?').unwrap_or((&head.target, ""));
        let Some(term) = &mut self.term else {
            return self.respond(key, StatusCode::SERVICE_UNAVAILABLE, b"");
        };
        match (&head.method, path) {
            (&Method::GET, "/v1/stage/watch") => {
                (conn.watch, conn.told_at) = (Watch::News(news), Instant::now());
                let line = news.map(|n| n.write()).unwrap_or_default();
                self.begin_watch(key, &line);
            }
            (&Method::GET, "/v1/places/watch") => {
                (conn.watch, conn.told_at) = (Watch::Places(term.wanted_version), Instant::now());
                let line = wanted_line(term);
                self.begin_watch(key, &line);
            }
            (&Method::POST, "/v1/vote") if !term.allowance.takes(steady) => {
                self.answer_vote(key, generation, VoteOutcome::Full);
            }
            (&Method::POST, "/v1/vote") => match desk::Vote::parse(&body) {
                Ok(vote) => {
                    let event = Event::Vote(vote_of(&vote));
                    term.queue.push((event, From::Vote(key, generation)));
                }
                Err(_) => self.answer_vote(key, generation, VoteOutcome::Error),
            },
            (&Method::POST, "/v1/places") => match places::parse_reports(&body) {
                Ok(reports) => {
                    let whole = query.split('&').any(|part| part == "whole=1");
                    self.reports(key, generation, &reports, whole);
                }
                Err(_) => self.respond(key, StatusCode::BAD_REQUEST, b""),
            },
            _ => self.respond(key, StatusCode::NOT_FOUND, b""),
        }
    }

    /// Reports become events; with a whole report, what it leaves out is gone.
    fn reports(&mut self, key: usize, generation: u64, reports: &[places::Report], whole: bool) {
        let Some(term) = &mut self.term else { return };
        if whole {
            let told: BTreeSet<(u32, u16)> = reports.iter().map(|r| (r.place, r.build)).collect();
            let known = term.release.known_places();
            for (place, build) in known.into_iter().filter(|k| !told.contains(k)) {
                term.queue.push((Event::Place { place, build, state: PlaceState::Gone }, From::Nobody));
            }
        }
        for report in reports {
            let state = match report.state {
                StateName::Starting => PlaceState::Starting,
                StateName::Running => PlaceState::Running,
                StateName::Draining => PlaceState::Draining,
                StateName::Gone => PlaceState::Gone,
            };
            let (place, build) = (report.place, report.build);
            term.queue.push((Event::Place { place, build, state }, From::Nobody));
        }
        // The answer follows the last of them.
        match term.queue.last_mut() {
            Some(last) if !reports.is_empty() || whole => last.1 = From::Places(key, generation),
            _ => self.respond(key, StatusCode::OK, b"{}"),
        }
    }

    fn begin_watch(&mut self, key: usize, line: &[u8]) {
        let Some(conn) = self.conns.get_mut(key) else { return };
        let none = HeaderMap::new();
        conn.http.start_answer(conn.socket.out(), StatusCode::OK, &none, &[], Framing::Chunked, false);
        conn.http.write_body(conn.socket.out(), line);
        self.flush(key);
    }

    fn respond(&mut self, key: usize, status: StatusCode, body: &[u8]) {
        let Some(conn) = self.conns.get_mut(key) else { return };
        let none = HeaderMap::new();
        let length = Framing::Length(body.len() as u64);
        conn.http.start_answer(conn.socket.out(), status, &none, &[], length, false);
        conn.http.write_body(conn.socket.out(), body);
        let lasts = conn.http.finish_answer(conn.socket.out());
        self.flush(key);
        if !lasts && let Some(conn) = self.conns.get(key) {
            conn.socket.close_write();
        }
    }

    /// Watchers hear what changed, and otherwise now and then that the watch lives.
    fn tell_all(&mut self, now: Instant) {
        let news = self.news();
        let beat = self.settings.beat;
        let silent = |c: &Conn| c.watch == Watch::None && now >= c.told_at + beat * QUIET_BEATS;
        let silent: Vec<usize> = self.conns.iter().filter(|(_, c)| silent(c)).map(|(key, _)| key).collect();
        silent.into_iter().for_each(|key| self.close(key));
        let Some(term) = &mut self.term else { return };
        if now >= term.wanted_at + WANTED_AGAIN {
            term.wanted_at = now;
            term.wanted_version += 1;
        }
        let version = term.wanted_version;
        let mut line = None;
        let mut due = Vec::new();
        for (key, conn) in &mut self.conns {
            let quiet = now >= conn.told_at + beat;
            let bytes = match &mut conn.watch {
                Watch::None => continue,
                Watch::News(told) if *told != news => {
                    *told = news;
                    news.map(|n| n.write()).unwrap_or_default()
                }
                Watch::Places(told) if *told != version => {
                    *told = version;
                    line.get_or_insert_with(|| wanted_line(term)).clone()
                }
                Watch::News(_) | Watch::Places(_) if quiet => b"\n".to_vec(),
                Watch::News(_) | Watch::Places(_) => continue,
            };
            conn.told_at = now;
            conn.http.write_body(conn.socket.out(), &bytes);
            due.push(key);
        }
        due.into_iter().for_each(|key| self.flush(key));
    }

    fn flush(&mut self, key: usize) {
        let Some(conn) = self.conns.get_mut(key) else { return };
        // A watcher that does not read is let go; it comes again.
        if conn.socket.flush().is_err() || conn.socket.unwritten() > UNREAD_MOST {
            return self.close(key);
        }
        conn.socket.want(&self.handle, true);
    }
}

fn tick_at(release: &Release, now: Instant) -> Instant {
    now + release.due().map_or(Duration::from_secs(5), |span| Duration::from_micros(span.max(1_000)))
}

fn wanted_line(term: &Term) -> Vec<u8> {
    Wanted { fence: term.number, wanted: term.wanted.iter().copied().collect() }.write()
}

fn vote_of(vote: &desk::Vote) -> Vote {
    let verdict = match vote.verdict {
        VerdictName::On => Verdict::On,
        VerdictName::Hold => Verdict::Hold,
        VerdictName::Back => Verdict::Back,
        VerdictName::Withdraw => Verdict::Withdraw,
    };
    let proxy = u32::try_from(vote.proxy).unwrap_or(u32::MAX);
    Vote { proxy, build: vote.build, stage: vote.stage, verdict }
}
