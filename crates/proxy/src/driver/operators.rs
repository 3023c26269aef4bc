//! The control sockets, local and TCP: operators' questions and commands, and the one reading of the state.
//!
//! What becomes of a command is the book's (`violetseam-control`). A command is kept durably before it is
//! done and answered: the keeper writes on a thread of its own, as a slow disk must not hold up traffic, and
//! commands wait for each other meanwhile. A command that cannot be kept is refused and changes nothing.

use super::Proxy;
use super::line::{Line, Stream};
use super::timers::What;
use calloop::channel::{Event, Sender, channel};
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, Readiness, RegistrationToken};
use rustls::{ServerConfig, ServerConnection};
use slab::Slab;
use std::collections::VecDeque;
use std::net::TcpListener;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use violetseam::interface::{Build, Micros, OperatorCommand, Phase, ServerId, Verdict};
use violetseam_control::book::{Book, Change, Durable, Present};
use violetseam_control::state::{Counts, Reading, Release, Rights};
use violetseam_control::wire::{self, Answer, Ask, Command, Reply};
use violetseam_loopio::Got;
use violetseam_settings::ProxySettings;
use violetseam_shared::budgets::Sight;

/// Operators' connections at once, of each kind, so that a flood from the network leaves the local socket
/// free; further ones are closed unread.
const CONNECTIONS_MOST: usize = 64;
/// Over TCP, how long a stranger may take to show its certificate.
const STRANGER: Micros = 3_000_000;
/// Connections taken in one turn, so that a flood of them leaves time for traffic.
const ACCEPTS_MOST: usize = 8;
/// A connection that asks nothing for so long is closed.
const QUIET: Micros = 30_000_000;
/// Commands that wait for the keeper.
const WAITING_MOST: usize = 256;
/// Peers heard so recently count as heard.
const PEERS_RECENT: Micros = 10_000_000;
/// The span over which attempts by build are told.
const BUILDS_SPAN: Micros = 10_000_000;

/// Keeps what must outlive the process. Called on a thread of its own.
pub trait Keeper: Send {
    /// Keeps the state and appends a line to the audit log; done only when both would survive a crash.
    fn keep(&mut self, durable: &Durable, line: &str) -> Result<(), String>;
}

/// What a reload may change while the proxy runs.
#[derive(Debug)]
pub struct Reloaded {
    /// The settings.
    pub settings: ProxySettings,
    /// The keys for control over TCP; connections that stand go on with those they began with.
    pub keys: Option<Arc<ServerConfig>>,
}

/// Reads the settings again.
pub type Reload = Box<dyn FnMut() -> Result<Reloaded, String>>;
/// Sets another log filter.
pub type SetLog = Box<dyn FnMut(&str) -> Result<(), String>>;

/// The store, opened again.
pub struct Reopened {
    /// The boot number, one more.
    pub boot: u64,
    /// What it holds.
    pub durable: Durable,
    /// Keeps what comes.
    pub keeper: Box<dyn Keeper>,
}

/// Opens the store again, after a take-over that failed halfway.
pub type Reopen = Box<dyn FnMut() -> Result<Reopened, String>>;

/// What a daemon gives its proxy.
pub struct Operators {
    /// Where the control socket is made, with mode 0600.
    pub socket: PathBuf,
    /// The keys for control over TCP, where the settings name an address for it.
    pub keys: Option<Arc<ServerConfig>>,
    /// The boot number.
    pub boot: u64,
    /// What outlived the process before.
    pub durable: Durable,
    /// Keeps what must outlive this one.
    pub keeper: Box<dyn Keeper>,
    /// Reads the settings again.
    pub reload: Reload,
    /// Sets another log filter.
    pub set_log: SetLog,
    /// Opens the store again.
    pub reopen: Reopen,
}

struct Conn {
    generation: u64,
    line: Line,
    input: Vec<u8>,
    asked_at: Micros,
}

/// A command on its way to the keeper, with the book as it will be.
struct Waiting {
    conn: usize,
    generation: u64,
    command: Command,
}

struct Kept {
    result: Result<(), String>,
}

/// The operators' desk of one proxy.
pub struct Desk {
    path: PathBuf,
    /// Where the socket waits until it is moved to its path.
    aside: Option<PathBuf>,
    tls: Option<(Rc<TcpListener>, RegistrationToken)>,
    keys: Option<Arc<ServerConfig>>,
    boot: u64,
    book: Book,
    conns: Slab<Conn>,
    waiting: VecDeque<Waiting>,
    /// The command that the keeper has, the book after it, its reply and what to do.
    keeping: Option<(Waiting, Book, Reply, Option<Change>)>,
    /// None while the store is with a process that takes over.
    to_keeper: Option<std::sync::mpsc::Sender<(Durable, String)>>,
    done: Sender<Kept>,
    reopen: Reopen,
    /// The path is another process's now.
    left: bool,
    reload: Reload,
    set_log: SetLog,
    turned_away: u64,
}

impl Drop for Desk {
    fn drop(&mut self) {
        if let Some(aside) = &self.aside {
            let _ = std::fs::remove_file(aside);
        } else if !self.left {
            let _ = std::fs::remove_file(&self.path);
        }
    }
}

/// Starts the keeper's thread.
fn keep_on_thread(
    mut keeper: Box<dyn Keeper>,
    done: Sender<Kept>,
) -> std::io::Result<std::sync::mpsc::Sender<(Durable, String)>> {
    let (to_keeper, jobs) = std::sync::mpsc::channel::<(Durable, String)>();
    std::thread::Builder::new().name("keeper".into()).spawn(move || {
        while let Ok((durable, line)) = jobs.recv() {
            if done.send(Kept { result: keeper.keep(&durable, &line) }).is_err() {
                return;
            }
        }
    })?;
    Ok(to_keeper)
}

/// Microseconds since 1970.
pub(super) fn wall_clock() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    since.as_micros() as u64
}

impl Proxy {
    /// Makes all that control needs; operators find it once it is published. In a takeover that is after the
    /// old process has left: what can fail must fail before.
    pub(super) fn open_control(
        &mut self,
        operators: Operators,
        inherited: Option<TcpListener>,
    ) -> std::io::Result<()> {
        let Operators { socket: path, keys, boot, durable, keeper, reload, set_log, reopen } = operators;
        // Made under another name and moved, so that it is never there with a wider mode.
        let mut aside = path.clone().into_os_string();
        aside.push(".new");
        let aside = PathBuf::from(aside);
        let _ = std::fs::remove_file(&aside);
        let listener = UnixListener::bind(&aside)?;
        std::fs::set_permissions(&aside, std::fs::Permissions::from_mode(0o600))?;
        listener.set_nonblocking(true)?;
        let source = Generic::new(Rc::new(listener), Interest::READ, Mode::Level);
        let failed = |e: String| std::io::Error::other(e);
        self.handle
            .insert_source(source, |_, listener, proxy: &mut Proxy| {
                proxy.accept_operators(listener);
                Ok(PostAction::Continue)
            })
            .map_err(|e| failed(e.to_string()))?;
        let tls = match (self.settings.control_tls.as_ref().map(|tls| tls.0), inherited) {
            (Some(addr), inherited) => {
                // The old process's, if it is for this address; else one of its own.
                let inherited =
                    inherited.filter(|l| l.local_addr().is_ok_and(|at| at == addr || addr.port() == 0));
                let listener = match inherited {
                    Some(listener) => listener,
                    None => {
                        TcpListener::bind(addr).map_err(|e| failed(format!("control_tls: {addr}: {e}")))?
                    }
                };
                listener.set_nonblocking(true)?;
                let listener = Rc::new(listener);
                let source = Generic::new(listener.clone(), Interest::READ, Mode::Level);
                let token = self
                    .handle
                    .insert_source(source, |_, listener, proxy: &mut Proxy| {
                        proxy.accept_strangers(listener);
                        Ok(PostAction::Continue)
                    })
                    .map_err(|e| failed(e.to_string()))?;
                Some((listener, token))
            }
            (None, _) => None,
        };
        let (done, is_done): (Sender<Kept>, _) = channel();
        let to_keeper = Some(keep_on_thread(keeper, done.clone())?);
        self.handle
            .insert_source(is_done, |event, (), proxy: &mut Proxy| {
                if let Event::Msg(kept) = event {
                    proxy.kept(kept);
                    proxy.pump();
                }
            })
            .map_err(|e| failed(e.to_string()))?;
        self.operators = Some(Desk {
            path,
            aside: Some(aside),
            tls,
            keys,
            boot,
            book: Book::new(durable),
            conns: Slab::new(),
            waiting: VecDeque::new(),
            keeping: None,
            to_keeper,
            done,
            reopen,
            left: false,
            reload,
            set_log,
            turned_away: 0,
        });
        Ok(())
    }

    /// Lets operators find the control socket.
    pub(super) fn publish_control(&mut self) -> std::io::Result<()> {
        let Some(desk) = &mut self.operators else { return Ok(()) };
        if let Some(aside) = &desk.aside {
            // Takes the place of one that a killed process left behind, or of the old process's in a
            // takeover; two daemons on one identity are kept apart by their lock.
            std::fs::rename(aside, &desk.path)?;
            desk.aside = None;
        }
        Ok(())
    }

    /// Where control over TCP is taken.
    pub(super) fn control_listener(&self) -> Option<&TcpListener> {
        self.operators.as_ref()?.tls.as_ref().map(|tls| &*tls.0)
    }

    /// A pause that outlived the process before binds this one from its first event on.
    pub(super) fn pause_standing(&mut self) {
        let now = self.now();
        if self.operators.as_ref().is_some_and(|d| d.book.pause().is_some()) {
            tracing::warn!("a pause from before this start stands");
            self.engine.on_operator_command(now, OperatorCommand::Pause);
        }
    }

    fn accept_operators(&mut self, listener: &UnixListener) {
        for _ in 0..ACCEPTS_MOST {
            let Ok((stream, _)) = listener.accept() else { return };
            let Some(desk) = &mut self.operators else { return };
            let locals = desk.conns.iter().filter(|(_, c)| c.line.local().is_some()).count();
            if locals >= CONNECTIONS_MOST || stream.set_nonblocking(true).is_err() {
                desk.turned_away += 1;
                continue;
            }
            self.add_operator(Stream::Unix(stream), None, QUIET);
        }
    }

    /// Connections over TCP, of which nothing is known yet.
    fn accept_strangers(&mut self, listener: &TcpListener) {
        for _ in 0..ACCEPTS_MOST {
            let Ok((stream, _)) = listener.accept() else { return };
            let Some(desk) = &mut self.operators else { return };
            let Some(keys) = &desk.keys else { return };
            let remote = || desk.conns.iter().filter(|(_, c)| c.line.local().is_none());
            // Full: the stranger that has waited longest goes, so that a flood of them cannot keep an
            // operator out for longer than a handshake takes.
            let oldest = remote().filter(|(_, c)| c.line.is_a_stranger()).min_by_key(|(_, c)| c.generation);
            let full = remote().count() >= CONNECTIONS_MOST;
            let oldest = oldest.map(|(key, _)| key);
            let tls = ServerConnection::new(keys.clone());
            let nodelay = stream.set_nodelay(true).and_then(|()| stream.set_nonblocking(true));
            let (Ok(tls), Ok(()), true) = (tls, nodelay, !full || oldest.is_some()) else {
                desk.turned_away += 1;
                continue;
            };
            if let (true, Some(key)) = (full, oldest) {
                desk.turned_away += 1;
                self.close_operator(key);
            }
            self.add_operator(Stream::Tcp(stream), Some(Box::new(tls)), STRANGER);
        }
    }

    fn add_operator(&mut self, stream: Stream, tls: Option<Box<ServerConnection>>, patience: Micros) {
        let (generation, now) = (self.next_generation(), self.now());
        let Some(desk) = &mut self.operators else { return };
        let entry = desk.conns.vacant_entry();
        let key = entry.key();
        let on_ready = move |readiness: Readiness, proxy: &mut Proxy| proxy.on_operator(key, readiness);
        let Ok(line) = Line::register(&self.handle, stream, tls, on_ready) else { return };
        entry.insert(Conn { generation, line, input: Vec::new(), asked_at: now });
        self.timers.set(now + patience, What::Operator(key, generation));
    }

    pub(super) fn operator_timeout(&mut self, key: usize, generation: u64) {
        let now = self.now();
        let Some(desk) = &mut self.operators else { return };
        let Some(conn) = desk.conns.get_mut(key).filter(|c| c.generation == generation) else {
            return;
        };
        // A stranger's bytes do not count: its time began when it was taken.
        let due = if conn.line.is_a_stranger() { now } else { conn.asked_at + QUIET };
        if due > now {
            self.timers.set(due, What::Operator(key, generation));
        } else {
            self.close_operator(key);
        }
    }

    pub(super) fn close_operator(&mut self, key: usize) {
        if let Some(conn) = self.operators.as_mut().and_then(|d| d.conns.try_remove(key)) {
            conn.line.remove(&self.handle);
        }
    }

    fn on_operator(&mut self, key: usize, readiness: Readiness) {
        let now = self.now();
        let Some(conn) = self.operators.as_mut().and_then(|d| d.conns.get_mut(key)) else { return };
        if readiness.writable && conn.line.flush().is_err() {
            return self.close_operator(key);
        }
        if readiness.readable || readiness.error {
            let generation = conn.generation;
            let taking_over = self.handing == Some((key, generation));
            match conn.line.read(&mut conn.input) {
                Got::Bytes(_) if taking_over => {
                    let bytes = std::mem::take(&mut conn.input);
                    return self.on_successor(&bytes);
                }
                Got::Bytes(_) | Got::Nothing => {}
                Got::Closed | Got::Broken => {
                    self.close_operator(key);
                    if taking_over {
                        self.keep_serving("the new process went away");
                    }
                    return self.pump();
                }
            }
            conn.asked_at = now;
        }
        self.operator_lines(key);
        self.pump();
    }

    fn operator_lines(&mut self, key: usize) {
        while let Some(conn) = self.operators.as_mut().and_then(|d| d.conns.get_mut(key)) {
            let Some(end) = conn.input.iter().position(|b| *b == b'\n') else {
                if conn.input.len() > wire::LINE_MOST {
                    self.tell_operator(key, &Answer::Malformed { reason: "line too long".into() });
                    return self.close_operator(key);
                }
                return conn.line.want(&self.handle, true);
            };
            let line: Vec<u8> = conn.input.drain(..=end).collect();
            let generation = conn.generation;
            match wire::read_ask(line.trim_ascii_end()) {
                Ok(Ask::Whoami) => {
                    let (name, boot) = (self.own_name(), self.operators.as_ref().map_or(0, |d| d.boot));
                    let version = env!("CARGO_PKG_VERSION").to_owned();
                    self.tell_operator(key, &Answer::Whoami { name, boot, version });
                }
                Ok(Ask::State) => {
                    let reading = self.reading();
                    self.tell_operator(key, &Answer::State(Box::new(reading)));
                }
                Ok(Ask::Takeover) if conn.line.local().is_some() => return self.hand_over(key),
                Ok(Ask::Takeover) => {
                    let reason = "sockets are handed over on the local control socket alone".into();
                    self.tell_operator(key, &Answer::Malformed { reason });
                }
                Ok(Ask::Command(mut command)) => {
                    // Over TCP the certificate says who it is; what the command says beside is kept.
                    if let Some(holder) = conn.line.holder().filter(|h| *h != command.issuer) {
                        command.issuer = format!("{holder} as {}", command.issuer);
                    }
                    self.queue_command(Waiting { conn: key, generation, command });
                }
                Err(reason) => self.tell_operator(key, &Answer::Malformed { reason }),
            }
        }
    }

    /// Gives the store up, so that the process that takes over can open it.
    pub(super) fn release_store(&mut self) {
        self.operators.iter_mut().for_each(|desk| desk.to_keeper = None);
    }

    /// Takes the store back after a take-over that failed.
    pub(super) fn take_store_back(&mut self) {
        let Some(desk) = &mut self.operators else { return };
        let opened = (desk.reopen)().and_then(|Reopened { boot, durable, keeper }| {
            let to_keeper = keep_on_thread(keeper, desk.done.clone()).map_err(|e| e.to_string())?;
            Ok((boot, durable, to_keeper))
        });
        match opened {
            Ok((boot, durable, to_keeper)) => {
                (desk.boot, desk.book, desk.to_keeper) = (boot, Book::new(durable), Some(to_keeper));
            }
            Err(why) => {
                tracing::error!("commands are refused from now on, the state is not to be had: {why}")
            }
        }
    }

    /// The control socket's path is the successor's now.
    pub(super) fn leave_control(&mut self) {
        let Some(desk) = &mut self.operators else { return };
        desk.left = true;
        if let Some((_, token)) = desk.tls.take() {
            self.handle.remove(token);
        }
    }

    /// Whether a command is being kept at this moment.
    pub(super) fn is_keeping(&self) -> bool {
        self.operators.as_ref().is_some_and(|desk| desk.keeping.is_some())
    }

    /// An operator's connection, if it is still the one that was meant.
    pub(super) fn operator_stream(&self, key: usize, generation: Option<u64>) -> Option<(&UnixStream, u64)> {
        let conn = self.operators.as_ref()?.conns.get(key)?;
        let same = generation.is_none_or(|g| g == conn.generation);
        conn.line.local().filter(|_| same).map(|stream| (stream, conn.generation))
    }

    fn tell_operator(&mut self, key: usize, answer: &Answer) {
        let Some(conn) = self.operators.as_mut().and_then(|d| d.conns.get_mut(key)) else { return };
        // An operator who asks and never reads is not waited for.
        if conn.line.send(&wire::write(answer)).is_err() || conn.line.unwritten() > 4 * wire::LINE_MOST {
            return self.close_operator(key);
        }
        conn.line.want(&self.handle, true);
    }

    fn queue_command(&mut self, waiting: Waiting) {
        let Some(desk) = &mut self.operators else { return };
        if desk.waiting.len() >= WAITING_MOST {
            let reason = "too many commands wait".to_owned();
            let key = waiting.conn;
            return self.tell_operator(key, &Answer::Command(Reply::Refused { reason }));
        }
        desk.waiting.push_back(waiting);
        self.next_command();
    }

    fn present(&self) -> Present {
        let boot = self.operators.as_ref().map_or(0, |d| d.boot);
        Present { boot, release: self.engine.release().map(|n| (n.build, n.stage)) }
    }

    /// Takes the next command, unless one is being kept: commands have one order.
    fn next_command(&mut self) {
        let present = self.present();
        let Some(desk) = self.operators.as_mut().filter(|d| d.keeping.is_none()) else { return };
        let Some(waiting) = desk.waiting.pop_front() else { return };
        let now = wall_clock();
        let mut book = desk.book.clone();
        let (reply, change) = book.take(now, present, &waiting.command);
        let line = audit_line(now, &waiting.command, &reply);
        let job = (book.durable().clone(), line);
        if desk.to_keeper.as_ref().is_none_or(|to| to.send(job).is_err()) {
            let reason = "the state is with another process, or its keeper has failed".to_owned();
            let key = waiting.conn;
            return self.tell_operator(key, &Answer::Command(Reply::Refused { reason }));
        }
        desk.keeping = Some((waiting, book, reply, change));
    }

    /// The keeper is done with a command: now it is in force, or refused and nothing has changed.
    fn kept(&mut self, kept: Kept) {
        let Some((waiting, book, reply, change)) = self.operators.as_mut().and_then(|d| d.keeping.take())
        else {
            return;
        };
        let reply = match kept.result {
            Ok(()) => {
                if let Some(desk) = &mut self.operators {
                    desk.book = book;
                }
                match change.map(|change| self.change(change)) {
                    Some(Err(reason)) => Reply::Refused { reason },
                    Some(Ok(())) | None => reply,
                }
            }
            Err(why) => Reply::Refused { reason: format!("the daemon's state cannot be kept: {why}") },
        };
        let Command { id, issuer, act, .. } = &waiting.command;
        tracing::info!(target: "operator", id, issuer, act = act.name(), ?reply, "command");
        let live = self.operators.as_ref().and_then(|d| d.conns.get(waiting.conn));
        if live.is_some_and(|c| c.generation == waiting.generation) {
            self.tell_operator(waiting.conn, &Answer::Command(reply));
        }
        self.next_command();
    }

    fn change(&mut self, change: Change) -> Result<(), String> {
        let now = self.now();
        match change {
            Change::Pause => self.engine.on_operator_command(now, OperatorCommand::Pause),
            Change::Resume => self.engine.on_operator_command(now, OperatorCommand::Resume),
            Change::Back => self.engine.on_operator_command(now, OperatorCommand::RollBack),
            Change::Drain => self.stop_taking(),
            Change::Undrain => return self.take_again(),
            Change::LogLevel(filter) => {
                return self.operators.as_mut().map_or(Ok(()), |d| (d.set_log)(&filter));
            }
            Change::Reload => return self.reload(),
        }
        Ok(())
    }

    pub(super) fn reload_on_signal(&mut self) {
        match self.reload() {
            Ok(()) => tracing::info!("settings read again"),
            Err(why) => tracing::error!("settings stay as they were: {why}"),
        }
    }

    /// Reads the settings again. Whole or not at all: what the decisions run by, and what is bound, needs a
    /// new process and refuses the rest with it.
    fn reload(&mut self) -> Result<(), String> {
        let Some(desk) = &mut self.operators else { return Err("no settings to read again".into()) };
        let Reloaded { settings: new, keys } = (desk.reload)()?;
        let old = &self.settings;
        let same = |what: &str, is: bool| if is { Ok(()) } else { Err(format!("{what} need a new process")) };
        same("decisions", format!("{:?}", old.decisions) == format!("{:?}", new.decisions))?;
        same(
            "name, site and classes",
            (&old.name, old.site, &old.class_names) == (&new.name, new.site, &new.class_names),
        )?;
        same("addresses that are bound", (&old.listen, old.peer_listen) == (&new.listen, new.peer_listen))?;
        same("the publisher", old.publisher == new.publisher)?;
        same("tenants", old.tenants == new.tenants)?;
        same("budgets of the fleet", old.budgets == new.budgets)?;
        let control = |s: &ProxySettings| s.control_tls.as_ref().map(|tls| tls.0);
        same("the address of control_tls", control(old) == control(&new))?;
        desk.keys = keys;
        self.head_limits = violetseam_http1::Limits {
            head: new.connections.max_head,
            fields: new.connections.max_fields,
            body: new.connections.max_body,
        };
        self.settings = Rc::new(new);
        Ok(())
    }

    /// A pause that ends by itself, promises that are released.
    pub(super) fn operators_upkeep(&mut self) {
        let present = self.present();
        let Some(desk) = self.operators.as_mut().filter(|d| d.keeping.is_none()) else { return };
        if desk.turned_away > 0 {
            tracing::warn!(connections = desk.turned_away, "operators' connections turned away");
            desk.turned_away = 0;
        }
        if desk.aside.is_some()
            && let Err(e) = self.publish_control()
        {
            tracing::error!("the control socket cannot be moved to its path: {e}");
        }
        let Some(desk) = self.operators.as_mut() else { return };
        if desk.book.expire(wall_clock(), present).is_some() {
            // Kept with the next command; until then a restart finds the pause expired, too.
            tracing::info!(target: "operator", "the pause has ended");
            let now = self.now();
            self.engine.on_operator_command(now, OperatorCommand::Resume);
        }
    }

    fn own_name(&self) -> String {
        format!("{}-{}", self.settings.name, self.settings.decisions.position)
    }

    pub(super) fn note_vote(&mut self, build: Build, stage: u8, verdict: Verdict) {
        self.last_vote = Some(format!("{verdict:?} on build {build}, stage {stage}").to_lowercase());
    }

    pub(super) fn note_finding(&mut self, text: String) {
        self.finding = Some(text);
    }

    /// Counts an attempt for the reading, by the build that its server is listed with.
    pub(super) fn count_attempt(&mut self, server: ServerId) {
        let now = self.now();
        if now >= self.by_build_since + BUILDS_SPAN {
            self.by_build.swap(0, 1);
            self.by_build[0].clear();
            self.by_build_since = now;
        }
        if let Some((_, line)) = self.roster_lines.get(&server) {
            *self.by_build[0].entry(line.build).or_default() += 1;
        }
    }

    fn rights(&self, sight: Sight) -> Rights {
        let Sight { class, budget, floor, lot, lent, borrowed, rate, spent, denied } = sight;
        let class = self.settings.class_names.get(class).cloned().unwrap_or_default();
        Rights { class, budget, floor, lot, lent, borrowed, rate, spent, denied }
    }

    /// The state at this moment: all of it from one turn of the loop.
    pub(super) fn reading(&self) -> Reading {
        let now = self.now();
        let counts = self.engine.counts();
        let phase = |phase| match phase {
            Phase::Trial => "trial",
            Phase::RollingBack => "rolling_back",
            Phase::Released => "released",
            Phase::Withdrawn => "withdrawn",
        };
        let release = self.engine.release().map(|n| Release {
            build: n.build,
            stage: n.stage,
            phase: phase(n.phase).to_owned(),
            cap: n.cap,
        });
        let mut attempts = self.by_build[1].clone();
        for (build, n) in &self.by_build[0] {
            *attempts.entry(*build).or_default() += n;
        }
        let pause = self.operators.as_ref().and_then(|d| d.book.pause());
        Reading {
            name: self.own_name(),
            boot: self.operators.as_ref().map_or(0, |d| d.boot),
            up_us: self.started.elapsed().as_micros() as u64,
            draining: self.draining,
            release,
            attempts: attempts.into_iter().collect(),
            vote: self.last_vote.clone(),
            finding: self.finding.clone(),
            paused: pause.map(|p| (p.until_us, p.issuer.clone())),
            counts: Counts {
                taken: counts.received,
                served: counts.served,
                refused: counts.rejected,
                failed: counts.failed,
                gone: counts.disconnected,
                attempts: counts.attempts,
            },
            connections: (self.clients.len() as u64, self.servers.len() as u64),
            owed: self.engine.pending_responses() as u64,
            peers: self.peers_heard.values().filter(|at| **at + PEERS_RECENT > now).count() as u64,
            list_age_us: self.list_heard.map(|at| now.saturating_sub(at)),
            servers: self.roster_lines.len() as u64,
            distributed: self.configuration_reading(),
            rights: self.engine.budgets(now).into_iter().map(|sight| self.rights(sight)).collect(),
        }
    }
}

/// A line of the audit log.
fn audit_line(now: u64, command: &Command, reply: &Reply) -> String {
    let value = serde_json::json!({"at_us": now, "command": command, "reply": reply});
    value.to_string()
}
