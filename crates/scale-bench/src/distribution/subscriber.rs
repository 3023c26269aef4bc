//! Hollow subscribers: the product's subscriber on real connections, one thread each, with nothing behind it.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use std::{io, thread};
use violetseam_distribution::message::MAX_LINE_BYTES;
use violetseam_distribution::subscriber::{Effect, Proposal, Subscriber};
use violetseam_distribution::{Message, Micros, Report, Subscribe};
use violetseam_http1::Limits;
use violetseam_http1::client::{ClientConnection, ClientEvent};
use violetseam_publisher::protocol::{ACKNOWLEDGE_PATH, WATCH_PATH};

const STACK_BYTES: usize = 192 * 1024;
const READ_BYTES: usize = 16 * 1024;
/// How long a thread waits before it looks whether the fleet is stopping.
const LOOK_EVERY: Duration = Duration::from_millis(500);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// A version in force at one subscriber.
#[derive(Clone, Copy, Debug)]
pub struct InForce {
    /// The version's number.
    pub number: u64,
    /// When, since the fleet's start.
    pub at: Micros,
}

/// What all subscribers count together.
#[derive(Debug, Default)]
pub struct Counters {
    /// Bytes read from the publisher, framing included.
    pub bytes_in: AtomicU64,
    /// Bytes written to the publisher, framing included.
    pub bytes_out: AtomicU64,
    /// Heartbeats read.
    pub heartbeats: AtomicU64,
    /// Deltas read.
    pub deltas: AtomicU64,
    /// Calls that opened a watch, or were told to come back.
    pub calls: AtomicU64,
}

struct Shared {
    publisher: SocketAddr,
    started: Instant,
    stopping: AtomicBool,
    counters: Counters,
    held: Vec<AtomicU64>,
    in_force: Mutex<Vec<InForce>>,
}

/// Many hollow subscribers; they end when it is dropped.
pub struct Fleet {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl Fleet {
    /// Starts subscribers that hold nothing.
    ///
    /// # Errors
    /// Errors of setting up the event loop or its sockets.
    pub fn start(publisher: SocketAddr, subscribers: u64, seed: u64) -> io::Result<Fleet> {
        let shared = Arc::new(Shared {
            publisher,
            started: Instant::now(),
            stopping: AtomicBool::new(false),
            counters: Counters::default(),
            held: (0..subscribers).map(|_| AtomicU64::new(0)).collect(),
            in_force: Mutex::default(),
        });
        let mut fleet = Fleet { shared, threads: Vec::new() };
        for index in 0..subscribers as usize {
            let shared = fleet.shared.clone();
            let thread = thread::Builder::new().stack_size(STACK_BYTES);
            fleet.threads.push(thread.spawn(move || follow(&shared, index, seed + index as u64))?);
        }
        Ok(fleet)
    }

    /// Microseconds since the start.
    pub fn now(&self) -> Micros {
        self.shared.now()
    }

    /// What was counted so far.
    pub fn counters(&self) -> &Counters {
        &self.shared.counters
    }

    /// Takes what came in force since the last call.
    pub fn take_in_force(&self) -> Vec<InForce> {
        std::mem::take(&mut *self.shared.in_force())
    }

    /// Waits until all hold this number or a later one; whether they do in time.
    pub fn wait_for(&self, number: u64, within: Duration) -> bool {
        let until = Instant::now() + within;
        let all_hold = || self.shared.held.iter().all(|held| held.load(Ordering::Relaxed) >= number);
        while !all_hold() {
            if Instant::now() >= until {
                return false;
            }
            thread::sleep(Duration::from_millis(5));
        }
        true
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.shared.stopping.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            // A thread that panicked has said so; the measurement misses its subscriber.
            let _ended = thread.join();
        }
    }
}

impl Shared {
    fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    fn in_force(&self) -> std::sync::MutexGuard<'_, Vec<InForce>> {
        self.in_force.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One subscriber's life.
fn follow(shared: &Shared, index: usize, seed: u64) {
    let mut subscriber = Subscriber::new(shared.now(), &format!("hollow-{index}"), seed, None);
    let mut reporter = Reporter { shared, connection: None };
    while !shared.is_stopping() {
        let now = shared.now();
        let Some(call) = subscriber.call(now) else {
            let wait = Duration::from_micros(subscriber.deadline().saturating_sub(now));
            thread::sleep(wait.min(LOOK_EVERY));
            continue;
        };
        shared.counters.calls.fetch_add(1, Ordering::Relaxed);
        // However the watch ends, the subscriber says when to call again.
        let _ended = watch(shared, index, &mut subscriber, &mut reporter, &call);
        subscriber.on_watch_closed(shared.now());
    }
}

/// Follows one watch to its end.
fn watch(
    shared: &Shared,
    index: usize,
    subscriber: &mut Subscriber,
    reporter: &mut Reporter<'_>,
    call: &Subscribe,
) -> io::Result<()> {
    let mut connection = Connection::open(shared)?;
    let target = format!("{WATCH_PATH}?{}", call.to_query());
    connection.send(&format!("GET {target} HTTP/1.1\r\nhost: publisher\r\n\r\n"), b"")?;
    connection.stream.set_read_timeout(Some(LOOK_EVERY))?;
    let mut lines = Vec::new();
    while !shared.is_stopping() {
        match connection.next_event()? {
            Some(ClientEvent::Head(_)) => {}
            Some(ClientEvent::Body(bytes)) => {
                lines.extend_from_slice(&bytes);
                let effects = take_lines(shared, subscriber, &mut lines)?;
                if !carry_out(shared, index, subscriber, reporter, effects)? {
                    return Ok(());
                }
            }
            Some(ClientEvent::End { .. } | ClientEvent::Error(_)) => return Ok(()),
            None if !subscriber.on_tick(shared.now()).is_empty() => return Ok(()),
            None => {}
        }
    }
    Ok(())
}

fn take_lines(shared: &Shared, subscriber: &mut Subscriber, lines: &mut Vec<u8>) -> io::Result<Vec<Effect>> {
    let mut effects = Vec::new();
    while let Some(end) = lines.iter().position(|byte| *byte == b'\n') {
        let line: Vec<u8> = lines.drain(..=end).collect();
        effects.extend(match Message::parse(&line) {
            Ok(message) => {
                count(&shared.counters, &message);
                subscriber.on_message(shared.now(), message, &mut |_: Proposal<'_>| Ok(()))
            }
            Err(error) => subscriber.on_malformed(shared.now(), &error),
        });
    }
    if lines.len() > MAX_LINE_BYTES {
        return Err(ErrorKind::InvalidData.into());
    }
    Ok(effects)
}

fn count(counters: &Counters, message: &Message) {
    let counter = match message {
        Message::Heartbeat { .. } => &counters.heartbeats,
        Message::Delta(_) => &counters.deltas,
        Message::SnapshotPart(_) | Message::RetryAfter { .. } => return,
    };
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Notes what came in force and sends reports; whether the watch goes on.
fn carry_out(
    shared: &Shared,
    index: usize,
    subscriber: &Subscriber,
    reporter: &mut Reporter<'_>,
    effects: Vec<Effect>,
) -> io::Result<bool> {
    let at = shared.now();
    for effect in &effects {
        if let Effect::Apply { version, .. } | Effect::Replace { version } = effect {
            shared.in_force().push(InForce { number: version.number, at });
        }
    }
    let held = subscriber.version().map_or(0, |version| version.number);
    shared.held[index].store(held, Ordering::Relaxed);
    for effect in &effects {
        if let Effect::Report(report) = effect {
            reporter.send(report)?;
        }
    }
    Ok(!effects.contains(&Effect::CloseWatch))
}

/// Sends reports on a connection of their own, which rests between them.
struct Reporter<'a> {
    shared: &'a Shared,
    connection: Option<Connection<'a>>,
}

impl Reporter<'_> {
    fn send(&mut self, report: &Report) -> io::Result<()> {
        if self.connection.is_none() {
            self.connection = Some(Connection::open(self.shared)?);
        }
        let Some(connection) = &mut self.connection else { return Ok(()) };
        let sent = connection.post(&report.write());
        if !matches!(sent, Ok(true)) {
            self.connection = None;
        }
        sent.map(|_| ())
    }
}

/// A connection to the publisher whose bytes are counted.
struct Connection<'a> {
    counters: &'a Counters,
    stream: TcpStream,
    http: ClientConnection,
}

impl<'a> Connection<'a> {
    fn open(shared: &'a Shared) -> io::Result<Connection<'a>> {
        let stream = TcpStream::connect_timeout(&shared.publisher, CONNECT_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        stream.set_write_timeout(Some(ANSWER_TIMEOUT))?;
        Ok(Connection { counters: &shared.counters, stream, http: ClientConnection::new(Limits::default()) })
    }

    fn send(&mut self, head: &str, body: &[u8]) -> io::Result<()> {
        let mut request = head.as_bytes().to_vec();
        request.extend_from_slice(body);
        self.http.expect_response(false);
        self.stream.write_all(&request)?;
        self.counters.bytes_out.fetch_add(request.len() as u64, Ordering::Relaxed);
        Ok(())
    }

    /// Posts a report; whether another may follow on the connection.
    fn post(&mut self, body: &[u8]) -> io::Result<bool> {
        let length = body.len();
        let head = format!(
            "POST {ACKNOWLEDGE_PATH} HTTP/1.1\r\nhost: publisher\r\ncontent-length: {length}\r\n\r\n"
        );
        self.send(&head, body)?;
        loop {
            match self.next_event()? {
                Some(ClientEvent::End { reusable }) => return Ok(reusable),
                Some(ClientEvent::Error(_)) => return Ok(false),
                Some(ClientEvent::Head(_) | ClientEvent::Body(_)) => {}
                None => return Err(ErrorKind::TimedOut.into()),
            }
        }
    }

    /// The next event; none where nothing came within the read time-out.
    fn next_event(&mut self) -> io::Result<Option<ClientEvent>> {
        loop {
            if let Some(event) = self.http.next_event() {
                return Ok(Some(event));
            }
            let mut bytes = [0; READ_BYTES];
            match self.stream.read(&mut bytes) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(length) => {
                    self.counters.bytes_in.fetch_add(length as u64, Ordering::Relaxed);
                    self.http.feed(&bytes[..length]);
                }
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Ok(None);
                }
                Err(error) => return Err(error),
            }
        }
    }
}
