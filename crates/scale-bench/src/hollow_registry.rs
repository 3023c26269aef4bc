//! A server registry on a thread of its own, for hollow proxies: the list is the stand-in's model, the framing and the
//! lines are the product's, and all that crosses the sockets is counted. Each call is one connection.
//!
//! It also answers the stage watch with one line of news, which is not counted.

use calloop::channel::{Event as Heard, Sender, channel};
use calloop::generic::Generic;
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, Readiness};
use http::StatusCode;
use slab::Slab;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use violetseam_event_io::{ReadOutcome, Socket};
use violetseam_http1::server::{ResponseStart, ServerConnection, ServerEvent};
use violetseam_http1::{Framing, Limits};
use violetseam_simulated_site::model::endpoint_registry::EndpointRegistry;
use violetseam_site_protocol::endpoint_list::{Endpoint, EndpointState, ListUpdate, UpdateKind};
use violetseam_site_protocol::release_service::{PhaseName, ReleaseUpdate};

/// Calls that wait in the kernel to be accepted.
const BACKLOG: i32 = 4_096;
/// The build that all listed servers run.
const BUILD: u16 = 1;

/// What has crossed the registry's sockets since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Calls, of which each is a connection.
    pub calls: u64,
    /// Whole lists sent.
    pub whole_lists: u64,
    /// Deltas sent, empty ones and those of open watches included.
    pub deltas: u64,
    /// Bytes received.
    pub received: u64,
    /// Bytes sent.
    pub sent: u64,
    /// Bytes that wait to be sent.
    pub unsent: u64,
    /// Watches that are open.
    pub watches: u64,
}

impl Counts {
    /// What was added since an earlier look; what only stands is as it is now.
    pub fn since(&self, before: &Counts) -> Counts {
        Counts {
            calls: self.calls - before.calls,
            whole_lists: self.whole_lists - before.whole_lists,
            deltas: self.deltas - before.deltas,
            received: self.received - before.received,
            sent: self.sent - before.sent,
            ..*self
        }
    }
}

#[derive(Debug, Default)]
struct Counters {
    calls: AtomicU64,
    whole_lists: AtomicU64,
    deltas: AtomicU64,
    received: AtomicU64,
    sent: AtomicU64,
    unsent: AtomicU64,
    watches: AtomicU64,
}

enum Command {
    /// So many servers change: the next ones in turn drain, or are ready again.
    Change(usize),
    /// All connections close.
    Cut,
    Stop,
}

/// A registry that runs.
pub struct Registry {
    /// Where it listens.
    pub addr: SocketAddr,
    commands: Sender<Command>,
    counters: Arc<Counters>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Registry {
    /// Starts one that lists so many ready servers.
    ///
    /// # Errors
    /// Errors of the sockets or the thread.
    pub fn start(servers: usize) -> std::io::Result<Registry> {
        let listener = violetseam_event_io::listen((Ipv4Addr::LOCALHOST, 0).into(), BACKLOG)?;
        let addr = listener.local_addr()?;
        let counters = Arc::new(Counters::default());
        let (commands, heard) = channel();
        let seen = counters.clone();
        let thread = std::thread::spawn(move || {
            let _ = serve(listener, heard, seen, servers);
        });
        Ok(Registry { addr, commands, counters, thread: Some(thread) })
    }

    /// The counts so far.
    pub fn counts(&self) -> Counts {
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Counts {
            calls: get(&self.counters.calls),
            whole_lists: get(&self.counters.whole_lists),
            deltas: get(&self.counters.deltas),
            received: get(&self.counters.received),
            sent: get(&self.counters.sent),
            unsent: get(&self.counters.unsent),
            watches: get(&self.counters.watches),
        }
    }

    /// So many servers change their state, as one new version.
    pub fn change(&self, servers: usize) {
        let _ = self.commands.send(Command::Change(servers));
    }

    /// Closes all connections.
    pub fn cut(&self) {
        let _ = self.commands.send(Command::Cut);
    }
}

impl Drop for Registry {
    fn drop(&mut self) {
        let _ = self.commands.send(Command::Stop);
        self.thread.take().into_iter().for_each(|thread| drop(thread.join()));
    }
}

struct Conn {
    socket: Socket,
    http: ServerConnection,
    target: String,
    /// It is a call to the registry: its bytes count.
    counted: bool,
    received: u64,
    /// The version told last, on an open watch.
    watch: Option<u64>,
}

struct Server {
    handle: LoopHandle<'static, Server>,
    conns: Slab<Conn>,
    list: EndpointRegistry,
    servers: usize,
    /// The next server to change.
    turn: usize,
    /// A whole list or a delta as it was last written, with its base and version.
    written: Option<(UpdateKind, u64, u64, Rc<Vec<u8>>)>,
    counters: Arc<Counters>,
    stopping: bool,
}

fn line(number: usize, state: EndpointState) -> Endpoint {
    let host = Ipv4Addr::new(127, 1, (number / 250) as u8, (number % 250) as u8 + 1);
    Endpoint {
        id: number as u64 + 1,
        addr: SocketAddr::new(host.into(), 8_080),
        build: BUILD,
        state,
        zone: (number % 11) as u16,
        cell: (number % 40) as u16,
        size: 1.0,
        age_us: None,
    }
}

fn serve(
    listener: TcpListener,
    commands: calloop::channel::Channel<Command>,
    counters: Arc<Counters>,
    servers: usize,
) -> calloop::Result<()> {
    let mut event_loop: EventLoop<'static, Server> = EventLoop::try_new()?;
    let handle = event_loop.handle();
    let mut list = EndpointRegistry::default();
    (0..servers).for_each(|number| list.schedule_change(0, line(number, EndpointState::Ready), 0));
    list.apply_due(0);
    let accept = Generic::new(listener, Interest::READ, Mode::Level);
    handle
        .insert_source(accept, |_, listener, server: &mut Server| {
            while let Ok((stream, _)) = listener.accept() {
                server.add(stream);
            }
            Ok(PostAction::Continue)
        })
        .map_err(|e| e.error)?;
    handle
        .insert_source(commands, |event, (), server: &mut Server| match event {
            Heard::Msg(Command::Change(count)) => server.change(count),
            Heard::Msg(Command::Cut) => server.cut(),
            Heard::Msg(Command::Stop) | Heard::Closed => server.stopping = true,
        })
        .map_err(|e| e.error)?;
    let mut server = Server {
        handle,
        conns: Slab::new(),
        list,
        servers,
        turn: 0,
        written: None,
        counters,
        stopping: false,
    };
    while !server.stopping {
        event_loop.dispatch(Duration::from_secs(1), &mut server)?;
        server.look();
    }
    Ok(())
}

fn add(counter: &AtomicU64, amount: u64) {
    counter.fetch_add(amount, Ordering::Relaxed);
}

/// A number of a target's query.
fn query(target: &str, name: &str) -> Option<u64> {
    let (_, query) = target.split_once('?')?;
    query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

impl Server {
    fn add(&mut self, stream: TcpStream) {
        if stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true)).is_err() {
            return;
        }
        let entry = self.conns.vacant_entry();
        let key = entry.key();
        let on_ready = move |ready: Readiness, server: &mut Server| server.on_conn(key, ready);
        let Ok(socket) = Socket::register(&self.handle, stream, Interest::READ, on_ready) else { return };
        let http = ServerConnection::new(Limits::default());
        entry.insert(Conn { socket, http, target: String::new(), counted: false, received: 0, watch: None });
    }

    /// What stands now, for those who look from outside.
    fn look(&mut self) {
        let unsent: usize = self.conns.iter().map(|(_, conn)| conn.socket.unwritten_bytes()).sum();
        let watches = self.conns.iter().filter(|(_, conn)| conn.watch.is_some()).count();
        self.counters.unsent.store(unsent as u64, Ordering::Relaxed);
        self.counters.watches.store(watches as u64, Ordering::Relaxed);
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
            ReadOutcome::Bytes(n) => {
                conn.received += n as u64;
                conn.http.feed(&bytes[..n]);
                self.events(key);
            }
            ReadOutcome::WouldBlock => {}
            ReadOutcome::Closed | ReadOutcome::Failed => self.close(key),
        }
    }

    fn events(&mut self, key: usize) {
        while let Some(conn) = self.conns.get_mut(key) {
            match conn.http.next_event() {
                None => return,
                Some(ServerEvent::Head(head)) => conn.target = head.target.clone(),
                Some(ServerEvent::Body(_)) => {}
                Some(ServerEvent::End) => self.answer(key),
                Some(ServerEvent::Error(_)) => return self.close(key),
            }
        }
    }

    fn close(&mut self, key: usize) {
        if self.conns.contains(key) {
            self.conns.remove(key).socket.remove(&self.handle);
        }
    }

    fn cut(&mut self) {
        let all: Vec<usize> =
            self.conns.iter().filter(|(_, conn)| conn.counted).map(|(key, _)| key).collect();
        all.into_iter().for_each(|key| self.close(key));
    }

    fn flush(&mut self, key: usize) {
        let Some(conn) = self.conns.get_mut(key) else { return };
        match conn.socket.flush() {
            Ok(sent) => {
                add(&self.counters.sent, if conn.counted { sent as u64 } else { 0 });
                conn.socket.set_read_interest(&self.handle, true);
            }
            Err(_) => self.close(key),
        }
    }

    fn answer(&mut self, key: usize) {
        let Some(conn) = self.conns.get_mut(key) else { return };
        let target = std::mem::take(&mut conn.target);
        conn.counted = target.starts_with("/v1/roster");
        if !conn.counted {
            let news =
                ReleaseUpdate { build: BUILD, stage: 0, phase: PhaseName::Released, cap: 1.0, fence: 0 };
            return self.begin_answer(key, &news.write(), false);
        }
        add(&self.counters.calls, 1);
        add(&self.counters.received, conn.received);
        let watch = target.starts_with("/v1/roster/watch");
        let since = query(&target, "since").filter(|_| watch);
        let line = self.message(since);
        let counter = if since.is_some() { &self.counters.deltas } else { &self.counters.whole_lists };
        add(counter, 1);
        if let Some(conn) = self.conns.get_mut(key) {
            conn.watch = watch.then(|| self.list.version());
        }
        self.begin_answer(key, &line, !watch);
    }

    /// The line for a caller: what changed since a version, or the whole list.
    fn message(&mut self, since: Option<u64>) -> Rc<Vec<u8>> {
        let (kind, base) = since.map_or((UpdateKind::Full, 0), |base| (UpdateKind::Delta, base));
        let version = self.list.version();
        if let Some((held, its_base, its_version, line)) = &self.written
            && (*held, *its_base, *its_version) == (kind, base, version)
        {
            return line.clone();
        }
        let empty = || ListUpdate { kind: UpdateKind::Delta, version: base, base, servers: Vec::new() };
        let message = match kind {
            UpdateKind::Full => self.list.snapshot(0),
            UpdateKind::Delta => self.list.delta_since(0, base).unwrap_or_else(empty),
        };
        let line = Rc::new(message.write());
        self.written = Some((kind, base, version, line.clone()));
        line
    }

    fn begin_answer(&mut self, key: usize, line: &[u8], whole: bool) {
        let Some(conn) = self.conns.get_mut(key) else { return };
        let out = conn.socket.write_buffer();
        let framing = if whole { Framing::Length(line.len() as u64) } else { Framing::Chunked };
        conn.http.start_response(out, ResponseStart::new(StatusCode::OK, framing));
        conn.http.write_body(out, line);
        if whole {
            conn.http.finish_response(out);
        }
        self.flush(key);
    }

    /// The next servers in turn drain; those that drained before are ready again.
    fn change(&mut self, count: usize) {
        let now = self.list.version();
        for _ in 0..count.min(self.servers) {
            let (number, round) = (self.turn % self.servers, self.turn / self.servers);
            let state = if round.is_multiple_of(2) { EndpointState::Draining } else { EndpointState::Ready };
            self.list.schedule_change(now, line(number, state), 0);
            self.turn += 1;
        }
        self.list.apply_due(now);
        let watches: Vec<(usize, u64)> =
            self.conns.iter().filter_map(|(key, conn)| Some((key, conn.watch?))).collect();
        for (key, told) in watches {
            let line = self.message(Some(told));
            add(&self.counters.deltas, 1);
            if let Some(conn) = self.conns.get_mut(key) {
                conn.watch = Some(self.list.version());
                conn.http.write_body(conn.socket.write_buffer(), &line);
            }
            self.flush(key);
        }
    }
}
