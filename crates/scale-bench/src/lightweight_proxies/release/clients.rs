//! A fleet of engines as clients of a release controller: a watch of each proxy, and a call for each vote.

use crate::ScaleError;
use crate::lightweight_proxies::engine_fleet::{EngineFleet, FleetConfig, START_TIME, TRIAL_BUILD};
use crate::resources::HISTOGRAM_FIGURES;
use calloop::{Interest, LoopHandle, Readiness};
use hdrhistogram::Histogram;
use slab::Slab;
use std::io;
use std::net::SocketAddr;
use std::time::Instant;
use violetseam::interface::{Micros, Outcome};
use violetseam_event_io::{ReadOutcome, Socket, connect};
use violetseam_http1::client::{ClientConn, ClientEvent};
use violetseam_site_protocol::line_reader::LineReader;
use violetseam_site_protocol::release_service::{MAX_LINE_BYTES, ReleaseUpdate, Vote, VoteReply};

/// A watch that was lost is opened again after this span, spread over as much again.
const REOPEN_DELAY: Micros = 1_000_000;
/// Spreads the proxies over that span: a prime, so that neighbours are far apart.
const REOPEN_SPREAD_FACTOR: Micros = 7_919;
/// Longest time from a vote to its reply that the histogram distinguishes, in microseconds.
const MAX_VOTE_MICROS: u64 = 60_000_000;
const READ_BYTES: usize = 16 * 1024;

/// What has crossed the fleet's connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientCounts {
    /// Bytes received on watches: statuses, blank lines and HTTP.
    pub watch_bytes: u64,
    /// Watches that were lost.
    pub lost_watches: u64,
    /// Votes sent.
    pub votes: u64,
    /// Bytes of votes sent, HTTP included.
    pub vote_bytes: u64,
    /// Bytes of votes' replies, HTTP included.
    pub reply_bytes: u64,
    /// Votes that count.
    pub accepted: u64,
    /// Votes over the controller's rate limit.
    pub rate_limited: u64,
    /// Votes with any other end.
    pub failed: u64,
}

/// What a call is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallPurpose {
    Watch,
    Vote,
}

/// A request to the controller, before it is sent.
struct CallRequest<'a> {
    proxy: usize,
    purpose: CallPurpose,
    method: &'static str,
    path: &'a str,
    body: &'a [u8],
}

/// A call on a connection of its own.
struct Call {
    proxy: usize,
    purpose: CallPurpose,
    socket: Socket,
    http: ClientConn,
    lines: LineReader,
    body: Vec<u8>,
    started: Instant,
}

/// The state of a proxy's watch.
#[derive(Clone, Copy, Debug, Default)]
struct WatchState {
    /// The watch is open and has reported a status.
    is_open: bool,
    /// The proxy has received the status of the build on trial.
    has_trial_status: bool,
}

/// A watch to be opened again.
struct Reopening {
    at: Micros,
    proxy: usize,
}

/// The fleet with its connections.
pub(super) struct ReleaseClients {
    handle: LoopHandle<'static, ReleaseClients>,
    fleet: EngineFleet,
    started: Instant,
    controller: SocketAddr,
    calls: Slab<Call>,
    /// Each proxy's watch.
    watches: Vec<WatchState>,
    reopenings: Vec<Reopening>,
    /// What was counted; the caller may set it to zero.
    pub(super) counts: ClientCounts,
    /// Microseconds from each vote's call to its reply; the caller may reset them.
    pub(super) vote_micros: Histogram<u64>,
}

impl ReleaseClients {
    /// A fleet without connections.
    ///
    /// # Errors
    /// [`ScaleError`] if the histogram cannot be created.
    pub(super) fn new(
        config: FleetConfig,
        controller: SocketAddr,
        handle: LoopHandle<'static, ReleaseClients>,
    ) -> Result<ReleaseClients, ScaleError> {
        Ok(ReleaseClients {
            handle,
            fleet: EngineFleet::new(config),
            started: Instant::now(),
            controller,
            calls: Slab::new(),
            watches: vec![WatchState::default(); config.proxies],
            reopenings: Vec::new(),
            counts: ClientCounts::default(),
            vote_micros: Histogram::new_with_bounds(1, MAX_VOTE_MICROS, HISTOGRAM_FIGURES)?,
        })
    }

    /// How many watches are open and have reported a status.
    pub(super) fn open_watches(&self) -> usize {
        self.watches.iter().filter(|watch| watch.is_open).count()
    }

    /// Whether every proxy with an open watch has the status of the build on trial.
    pub(super) fn all_watches_report_trial(&self) -> bool {
        self.watches.iter().all(|watch| watch.has_trial_status || !watch.is_open)
    }

    /// Runs what is due: the engines, evidence between them, votes, watches that are opened again.
    pub(super) fn advance(&mut self) {
        let now = self.now();
        self.fleet.advance(now);
        for datagram in self.fleet.take_outbox() {
            self.fleet.deliver(now, datagram.to, &datagram.bytes);
        }
        for cast in self.fleet.take_votes() {
            self.send_vote(cast.from, &cast.vote);
        }
        let due: Vec<Reopening> = self.reopenings.extract_if(.., |reopening| reopening.at <= now).collect();
        for reopening in due {
            self.open_watch(reopening.proxy);
        }
    }

    /// Opens a proxy's watch on the release status.
    pub(super) fn open_watch(&mut self, proxy: usize) {
        let path = format!("/v1/stage/watch?proxy={proxy}");
        let request =
            CallRequest { proxy, purpose: CallPurpose::Watch, method: "GET", path: &path, body: &[] };
        if self.start_call(&request).is_err() {
            self.on_watch_lost(proxy);
        }
    }

    fn now(&self) -> Micros {
        START_TIME + self.started.elapsed().as_micros() as Micros
    }

    fn send_vote(&mut self, proxy: usize, vote: &Vote) {
        self.counts.votes += 1;
        let body = vote.write();
        let request =
            CallRequest { proxy, purpose: CallPurpose::Vote, method: "POST", path: "/v1/vote", body: &body };
        if self.start_call(&request).is_err() {
            self.on_vote_failed(proxy);
        }
    }

    fn on_watch_lost(&mut self, proxy: usize) {
        self.watches[proxy].is_open = false;
        self.counts.lost_watches += 1;
        let spread = proxy as Micros * REOPEN_SPREAD_FACTOR % REOPEN_DELAY;
        self.reopenings.push(Reopening { at: self.now() + REOPEN_DELAY + spread, proxy });
    }

    fn on_vote_failed(&mut self, proxy: usize) {
        self.counts.failed += 1;
        let now = self.now();
        self.fleet.on_vote_reply(now, proxy, Outcome::Timeout, None);
    }

    /// Starts a call on a connection of its own, with the head that the proxy's driver writes.
    fn start_call(&mut self, request: &CallRequest<'_>) -> io::Result<()> {
        let stream = connect(self.controller)?;
        let entry = self.calls.vacant_entry();
        let key = entry.key();
        let on_ready = move |ready: Readiness, clients: &mut ReleaseClients| clients.on_ready(key, ready);
        let mut socket = Socket::register(&self.handle, stream, Interest::BOTH, on_ready)?;
        let head = format!(
            "{} {} HTTP/1.1\r\nhost: {}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
            request.method,
            request.path,
            self.controller,
            request.body.len()
        );
        socket.write_buffer().extend_from_slice(head.as_bytes());
        socket.write_buffer().extend_from_slice(request.body);
        if request.purpose == CallPurpose::Vote {
            self.counts.vote_bytes += socket.unwritten_bytes() as u64;
        }
        let mut http = ClientConn::new(violetseam_http1::Limits::default());
        http.expect_answer(false);
        entry.insert(Call {
            proxy: request.proxy,
            purpose: request.purpose,
            socket,
            http,
            lines: LineReader::new(MAX_LINE_BYTES),
            body: Vec::new(),
            started: Instant::now(),
        });
        Ok(())
    }

    fn on_ready(&mut self, key: usize, ready: Readiness) {
        if ready.writable && !self.flush(key) {
            return;
        }
        if ready.readable || ready.error {
            self.read(key);
        }
    }

    /// Writes what is pending; whether the call goes on.
    fn flush(&mut self, key: usize) -> bool {
        let Some(call) = self.calls.get_mut(key) else { return false };
        if call.socket.connect_error().is_some() || call.socket.flush().is_err() {
            self.on_call_lost(key);
            return false;
        }
        call.socket.set_read_interest(&self.handle, true);
        true
    }

    fn read(&mut self, key: usize) {
        let Some(call) = self.calls.get_mut(key) else { return };
        let mut bytes = [0; READ_BYTES];
        match call.socket.read(&mut bytes) {
            ReadOutcome::Bytes(length) => {
                match call.purpose {
                    CallPurpose::Watch => self.counts.watch_bytes += length as u64,
                    CallPurpose::Vote => self.counts.reply_bytes += length as u64,
                }
                call.http.feed(&bytes[..length]);
                self.handle_http_events(key);
            }
            ReadOutcome::WouldBlock => {}
            ReadOutcome::Closed | ReadOutcome::Failed => self.on_call_lost(key),
        }
    }

    fn handle_http_events(&mut self, key: usize) {
        while let Some(call) = self.calls.get_mut(key) {
            match call.http.next_event() {
                None => return,
                Some(ClientEvent::Head(head)) if head.status == 200 => {}
                Some(ClientEvent::Body(bytes)) if call.purpose == CallPurpose::Vote => {
                    call.body.extend_from_slice(&bytes);
                }
                Some(ClientEvent::Body(bytes)) => {
                    call.lines.feed(&bytes);
                    self.take_status_lines(key);
                }
                Some(ClientEvent::End { .. }) if call.purpose == CallPurpose::Vote => {
                    return self.on_vote_replied(key);
                }
                Some(_) => return self.on_call_lost(key),
            }
        }
    }

    /// Hands each complete line of a watch to its proxy; blank lines keep the connection alive.
    fn take_status_lines(&mut self, key: usize) {
        let now = self.now();
        while let Some(call) = self.calls.get_mut(key) {
            let proxy = call.proxy;
            let update = match call.lines.next_line() {
                Ok(Some([])) => continue,
                Ok(Some(line)) => ReleaseUpdate::parse(line),
                Ok(None) => return,
                Err(error) => Err(error),
            };
            let Ok((status, _)) = update else { return self.on_call_lost(key) };
            let watch = &mut self.watches[proxy];
            watch.is_open = true;
            watch.has_trial_status |= status.build == TRIAL_BUILD;
            self.fleet.on_release_status(now, proxy, status);
        }
    }

    fn on_vote_replied(&mut self, key: usize) {
        let call = self.calls.remove(key);
        call.socket.remove(&self.handle);
        let Ok((outcome, update)) = VoteReply::parse(&call.body) else {
            return self.on_vote_failed(call.proxy);
        };
        match outcome {
            Outcome::Ok => self.counts.accepted += 1,
            Outcome::Rejected => self.counts.rate_limited += 1,
            _ => self.counts.failed += 1,
        }
        let micros = call.started.elapsed().as_micros() as u64;
        self.vote_micros.saturating_record(micros.max(1));
        let now = self.now();
        self.fleet.on_vote_reply(now, call.proxy, outcome, update.map(|(status, _)| status));
    }

    fn on_call_lost(&mut self, key: usize) {
        let call = self.calls.remove(key);
        call.socket.remove(&self.handle);
        match call.purpose {
            CallPurpose::Watch => self.on_watch_lost(call.proxy),
            CallPurpose::Vote => self.on_vote_failed(call.proxy),
        }
    }
}
