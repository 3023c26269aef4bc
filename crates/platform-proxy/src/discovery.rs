//! The server list over HTTP: one call at a time, for what is newer than the version held, or for the whole list where
//! no version is held.
//!
//! A call for what is newer waits at the service until there is something (a long poll), and is renewed as soon as it
//! is answered. It waits for less time than the decisions stay without a word, so that an answer without changes is
//! the service's heartbeat; a call that has gone dead without a word is replaced when the decisions ask again. A whole
//! list costs a service that works through its calls one by one a multiple of what a delta does, so it is asked for
//! only where a delta would not be sound.

use crate::event_loop::TimerKind;
use crate::proxy::Proxy;
use calloop::{Interest, Readiness};
use rand::RngExt;
use std::io::ErrorKind;
use std::net::SocketAddr;
use violetseam::interface::Micros;
use violetseam_http1::Limits;
use violetseam_http1::client::{ClientConn, ClientEvent};
use violetseam_loopio::{ReadOutcome, Socket, connect};
use violetseam_platform::discovery::{ANSWER_MOST, List, WHOLE_PATH, watch_path};

/// What is drawn below is counted in parts of the time that the settings let a proxy go without a word, within these
/// bounds; a watch waits for 4 tenths of it at most, the decisions ask again after 7 tenths. What a watch misses that has
/// fallen silent counts as told 2 s after its wait is over or 6 s after it fell silent: 4 s of waiting give both.
const MIN_SILENCE: Micros = 500_000;
const MAX_SILENCE: Micros = 10_000_000;
const WATCH_WAIT_TENTHS: Micros = 4;
/// A new watch costs the service work, and one that it has declined costs it as much; only a watch that is renewed at
/// once is free. So proxies that all start, lose their watches or move together spread their next calls: the first
/// call of a life and the first one at another address within so many tenths, further ones after a failed call after
/// about so many (half to one and a half times).
const START_SPREAD_TENTHS: Micros = 4;
const MOVE_SPREAD_TENTHS: Micros = 2;
const RETRY_TENTHS: Micros = 3;
/// Discovery is one service with one count of versions, so that a move of its address is followed from the version held.
/// Should a service behind another address count otherwise, that would stay wrong: the whole list is asked for once
/// more, at a time drawn between these parts of the time without a word, so late and so far apart that it weighs
/// little on the service.
const VERIFY_FROM_TENTHS: Micros = 100;
const VERIFY_UNTIL_TENTHS: Micros = 400;
/// The first watch at an address waits no longer than this: its answer soon tells where the service's versions stand.
const MAX_FIRST_WATCH_WAIT: Micros = 1_000_000;
/// A call for the whole list has so long, a watch so long beyond its wait. The service declines a call by itself that
/// waited for too long; one that is given up before that costs it as much, and is made again.
const CALL_TIMEOUT: Micros = 3_500_000;
/// A watch that was renewed in time and has said nothing so long after its wait is dead, and another one is opened after
/// about so long: the lease on the list ends soon.
const WATCH_GRACE: Micros = 1_500_000;
const WATCH_RETRY_INTERVAL: Micros = 300_000;
/// Each call that fails doubles the wait for the next one, so many times at most: a service that works through its calls
/// one by one and has too many spends its time on calls that have waited for too long, until fewer come.
const MAX_BACKOFF_DOUBLINGS: u32 = 1;
/// Where the lease on the list would end before that, a call is made this long before the lease ends, or up to half as long
/// again: it may wait in the service's queue for seconds.
const LEASE_RENEWAL_MARGIN: Micros = 2_000_000;
/// Where lists are pushed, what the service has counts at once, and its calls are free of cost: one that failed is made
/// again after about so long, and a watch is replaced after seven tenths of the second figure without a word.
const PUSHED_RETRY_INTERVAL: Micros = 300_000;
pub(super) const PUSHED_POLL_INTERVAL_MAX: Micros = 5_000_000;
/// The same without any list, where nothing can be served: quicker than the decisions' back-off, so that a process
/// that starts while the service is down is ready soon after that.
const EMPTY_LIST_RETRY_INTERVAL: Micros = 1_000_000;
/// The status of an answer that carries a list.
const STATUS_OK: u16 = 200;
/// A watch that has nothing new to say so soon is not waiting: it would be asked without end.
const MIN_WATCH_DURATION: Micros = 100_000;

/// Discovery as this proxy speaks to it.
pub(super) struct Discovery {
    address: SocketAddr,
    /// How long the settings let a proxy go without a word, within bounds.
    silence: Micros,
    /// What the service has counts as told from a process's first moment, heard or not.
    pushed: bool,
    /// The process says that it is ready from then on at the latest.
    pub(super) ready_by: Micros,
    /// It has said so.
    ready: bool,
    /// The service at this address has answered.
    confirmed: bool,
    /// Calls that failed since the last list.
    failures: u32,
    /// The exchange that is out.
    call: Option<Call>,
    /// When the next call is planned, if it is.
    next_query_at: Option<Micros>,
    /// From then on the next call is for the whole list, as the address was another before.
    verify_at: Option<Micros>,
    /// The first call of this life has been made or planned.
    started: bool,
}

/// One exchange.
struct Call {
    generation: u64,
    socket: Socket,
    http: ClientConn,
    body: Vec<u8>,
    /// The answer's status, once its head has come.
    status: Option<u16>,
    /// The present exchange has time until then; timers of earlier ones may still come.
    until: Micros,
    /// When it began.
    began: Micros,
    /// The connection has come up.
    connected: bool,
    /// It follows an answer on the same connection at once, so that the watch goes on.
    renewed: bool,
    /// What it asks for.
    query: Query,
}

/// What a call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Query {
    /// The whole list.
    FullList,
    /// What is newer than this version, waited for.
    ChangesSince(u64),
}

/// How a call ended that brought no list.
#[derive(Debug)]
enum QueryFailure {
    /// No socket, or no way there from this machine.
    NotStarted,
    /// Nobody listens there.
    ConnectionRefused,
    NotConnected,
    Closed,
    Reset,
    /// Any status but 200.
    Declined,
    TimedOut,
    Unreadable(String),
    /// The service has less than was held.
    VersionReset,
    /// A watch that does not wait.
    EmptyWatch,
}

impl std::fmt::Display for QueryFailure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            QueryFailure::NotStarted => "no connection could be begun",
            QueryFailure::ConnectionRefused => "connection refused",
            QueryFailure::NotConnected => "no connection",
            QueryFailure::Closed => "closed",
            QueryFailure::Reset => "connection lost",
            QueryFailure::Declined => "declined",
            QueryFailure::TimedOut => "no answer in time",
            QueryFailure::Unreadable(why) => why,
            QueryFailure::VersionReset => "versions counted anew",
            QueryFailure::EmptyWatch => "a watch that answers with nothing new",
        })
    }
}

/// What the end of a call says of the list held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListEvidence {
    /// The watch was alive until then: whatever had changed before that was told on it.
    WatchAlive,
    /// Discovery was away when the call began, and told nobody of a change.
    ServiceAway,
    /// A part of a list has come: it was written, and counts as told though it cannot be read.
    PartialList,
    None,
}

impl Call {
    /// Writes the request once the connection is up; how the call has ended, if it has.
    fn flush_request(&mut self) -> Option<QueryFailure> {
        match (self.socket.connect_error(), self.connected) {
            (Some(_), true) => return Some(QueryFailure::Reset),
            (Some(e), false) if e.kind() == ErrorKind::ConnectionRefused => {
                return Some(QueryFailure::ConnectionRefused);
            }
            (Some(_), false) => return Some(QueryFailure::NotConnected),
            (None, _) => self.connected = true,
        }
        self.socket.flush().is_err().then_some(QueryFailure::Reset)
    }

    fn list_evidence(&self, end: &QueryFailure) -> ListEvidence {
        match end {
            QueryFailure::Declined if self.renewed => ListEvidence::WatchAlive,
            QueryFailure::EmptyWatch => ListEvidence::WatchAlive,
            // A call that is declined or reset, even at once, may have met a service that is there and has too many.
            QueryFailure::ConnectionRefused => ListEvidence::ServiceAway,
            _ if self.status == Some(STATUS_OK) => ListEvidence::PartialList,
            _ => ListEvidence::None,
        }
    }
}

impl Discovery {
    /// `ask_within`: how long the settings let a proxy go without a word from discovery.
    pub fn new(address: SocketAddr, pushed: bool, ask_within: Micros) -> Self {
        let silence = ask_within.clamp(MIN_SILENCE, MAX_SILENCE);
        Discovery {
            address,
            silence,
            pushed,
            ready_by: 0,
            ready: false,
            confirmed: false,
            failures: 0,
            call: None,
            next_query_at: None,
            verify_at: None,
            started: false,
        }
    }

    /// Whether lists are pushed.
    pub fn is_pushed(&self) -> bool {
        self.pushed
    }

    /// So many tenths of the time without a word.
    fn tenths(&self, tenths: Micros) -> Micros {
        self.silence / 10 * tenths
    }

    /// A call for the whole list is out.
    fn is_fetching(&self) -> bool {
        self.call.as_ref().is_some_and(|call| call.query == Query::FullList)
    }

    fn call(&mut self, generation: u64) -> Option<&mut Call> {
        self.call.as_mut().filter(|call| call.generation == generation)
    }
}

impl Proxy {
    /// The decisions want the list, or have heard nothing for long. A call that is planned, or is out for the whole
    /// list, answers for this one; a watch that is out is taken for dead and replaced.
    pub(super) fn poll_server_list(&mut self) {
        if self.discovery.next_query_at.is_some() || self.discovery.is_fetching() {
            return;
        }
        if self.discovery.started || self.discovery.pushed || self.server_list.is_empty() {
            return self.start_query(None);
        }
        self.discovery.started = true;
        self.schedule_query_within(self.discovery.tenths(START_SPREAD_TENTHS));
    }

    /// Draws when the whole list is asked for once more.
    fn schedule_verification(&mut self) {
        let [from, until] =
            [VERIFY_FROM_TENTHS, VERIFY_UNTIL_TENTHS].map(|tenths| self.discovery.tenths(tenths));
        self.discovery.verify_at = Some(self.now() + self.rng.random_range(from..until));
    }

    /// Plans a call at a drawn time within the span.
    fn schedule_query_within(&mut self, span: Micros) {
        let at = self.now() + self.rng.random_range(0..span.max(1));
        self.discovery.next_query_at = Some(at);
        self.timers.set(at, TimerKind::DiscoveryRetry);
    }

    /// A planned call may be due.
    pub(super) fn start_scheduled_query(&mut self) {
        let now = self.now();
        if self.discovery.next_query_at.is_some_and(|at| at <= now) {
            self.start_query(None);
        }
    }

    /// Asks for what is newer than the version held, or for the whole list, on a connection that has just answered or
    /// on a new one.
    fn start_query(&mut self, on: Option<Call>) {
        self.discovery.next_query_at = None;
        if let Some(dead) = self.discovery.call.take() {
            dead.socket.remove(&self.handle);
        }
        // Where lists are pushed no call costs anything, and the first one says whether the process is ready.
        let whole_first = self.discovery.pushed && !self.discovery.confirmed;
        let verify = self.discovery.verify_at.is_some_and(|at| at <= self.now());
        if verify {
            self.schedule_verification();
        }
        let query = match self.server_list.version().filter(|_| !whole_first && !verify) {
            Some(version) => Query::ChangesSince(version),
            None => Query::FullList,
        };
        match self.send_query(query, on) {
            Some(call) => self.discovery.call = Some(call),
            None => self.retry_query(&QueryFailure::NotStarted),
        }
    }

    /// SIGHUP named an address: what is newer than the version held is asked for there. A service that has less than that
    /// is found out by its first answer, one with another list under the same numbers later ([`VERIFY_FROM_TENTHS`]).
    pub(super) fn move_discovery(&mut self, address: SocketAddr) {
        if self.discovery.address == address {
            return;
        }
        self.discovery.address = address;
        self.discovery.confirmed = false;
        if let Some(call) = self.discovery.call.take() {
            call.socket.remove(&self.handle);
        }
        let now = self.now();
        self.engine.change_list_lease(now, |lease| lease.move_discovery(now));
        self.schedule_verification();
        match self.discovery.pushed {
            true => self.start_query(None),
            false => self.schedule_query_within(self.discovery.tenths(MOVE_SPREAD_TENTHS)),
        }
    }

    /// Begins an exchange, on a connection that has just answered or on a new one.
    fn send_query(&mut self, query: Query, on: Option<Call>) -> Option<Call> {
        let generation = self.next_generation();
        let Discovery { address, confirmed, .. } = self.discovery;
        let (path, within) = match query {
            Query::FullList => (WHOLE_PATH.to_owned(), CALL_TIMEOUT),
            Query::ChangesSince(version) => {
                let wait = self.discovery.tenths(WATCH_WAIT_TENTHS);
                // Drawn: watches that were all answered by one change come apart again.
                let wait = self.rng.random_range(wait / 4 * 3..=wait);
                let wait = if confirmed { wait } else { wait.min(MAX_FIRST_WATCH_WAIT) };
                let late = if on.is_some() { WATCH_GRACE } else { CALL_TIMEOUT };
                (watch_path(version, wait), wait + late)
            }
        };
        let renewed = on.is_some();
        let mut call = match on {
            // Its readiness is known by the number it was opened under, so it keeps that.
            Some(call) => call,
            None => {
                let stream = connect(address).ok()?;
                let on_ready = move |readiness: Readiness, proxy: &mut Proxy| {
                    proxy.on_discovery(generation, readiness);
                };
                let socket = Socket::register(&self.handle, stream, Interest::BOTH, on_ready).ok()?;
                let http = ClientConn::new(Limits::default());
                Call {
                    generation,
                    socket,
                    http,
                    body: Vec::new(),
                    status: None,
                    until: 0,
                    began: 0,
                    connected: false,
                    renewed: false,
                    query,
                }
            }
        };
        let head = format!("GET {path} HTTP/1.1\r\nhost: {address}\r\n\r\n");
        call.socket.out().extend_from_slice(head.as_bytes());
        call.http.expect_answer(false);
        call.status = None;
        call.socket.want_connected(&self.handle);
        (call.began, call.query) = (self.now(), query);
        call.renewed = renewed && query != Query::FullList;
        call.until = call.began + within;
        self.timers.set(call.until, TimerKind::DiscoveryTimeout(call.generation));
        Some(call)
    }

    fn on_discovery(&mut self, generation: u64, readiness: Readiness) {
        let Some(call) = self.discovery.call(generation) else { return };
        if readiness.writable {
            if let Some(end) = call.flush_request() {
                return self.end_query(generation, end);
            }
            call.socket.want(&self.handle, true);
        }
        if readiness.readable || readiness.error {
            self.read_discovery(generation);
        }
        self.run_engine_orders();
    }

    fn read_discovery(&mut self, generation: u64) {
        let mut scratch = std::mem::take(&mut self.scratch);
        if let Some(call) = self.discovery.call(generation) {
            match call.socket.read(&mut scratch) {
                ReadOutcome::Bytes(n) => {
                    call.http.feed(&scratch[..n]);
                    self.handle_discovery_events(generation);
                }
                ReadOutcome::Nothing => {}
                ReadOutcome::Closed => match call.http.close() {
                    Some(ClientEvent::End { .. }) => self.handle_discovery_answer(generation, false),
                    _ => self.end_query(generation, QueryFailure::Closed),
                },
                ReadOutcome::Broken => self.end_query(generation, QueryFailure::Reset),
            }
        }
        self.scratch = scratch;
    }

    fn handle_discovery_events(&mut self, generation: u64) {
        while let Some(call) = self.discovery.call(generation) {
            match call.http.next_event() {
                None => return,
                Some(ClientEvent::Head(head)) => call.status = Some(head.status.as_u16()),
                Some(ClientEvent::Body(bytes)) => {
                    call.body.extend_from_slice(&bytes);
                    if call.body.len() > ANSWER_MOST {
                        return self.end_query(
                            generation,
                            QueryFailure::Unreadable("an answer over the limit".into()),
                        );
                    }
                }
                Some(ClientEvent::End { reusable }) => {
                    return self.handle_discovery_answer(generation, reusable);
                }
                Some(ClientEvent::Fault(fault)) => {
                    return self.end_query(generation, QueryFailure::Unreadable(fault.reason.into()));
                }
            }
        }
    }

    /// An answer has come whole.
    fn handle_discovery_answer(&mut self, generation: u64, reusable: bool) {
        let now = self.now();
        let Some(call) = self.discovery.call(generation) else { return };
        if call.status != Some(STATUS_OK) {
            return self.end_query(generation, QueryFailure::Declined);
        }
        let body = std::mem::take(&mut call.body);
        let (began, query) = (call.began, call.query);
        let list = match List::parse(&body) {
            Ok(list) => list,
            Err(why) => return self.end_query(generation, QueryFailure::Unreadable(why.0)),
        };
        if let Query::ChangesSince(held) = query {
            if list.revision < held {
                // Whatever it waited for, the service has less than was held: it counts its versions anew.
                self.server_list.forget_version();
                if !list.complete {
                    return self.end_query(generation, QueryFailure::VersionReset);
                }
            }
            let is_new = list.revision > held || !list.members.is_empty();
            if !list.complete && !is_new && now < began + MIN_WATCH_DURATION {
                return self.end_query(generation, QueryFailure::EmptyWatch);
            }
        }
        let version = list.revision;
        let overtaken = self.server_list.version().is_some_and(|held| version < held);
        let applied = match self.server_list.apply(&list) {
            Ok(applied) => applied,
            Err(why) => return self.end_query(generation, QueryFailure::Unreadable(why.0)),
        };
        tracing::debug!(version, lines = applied.entries.len(), kind = ?applied.kind, ?query, "server list");
        self.discovery.confirmed = true;
        self.discovery.failures = 0;
        if !overtaken {
            self.confirm_list(now, self.previous_poll_at);
        }
        if list.complete {
            self.discovery.verify_at = None;
        }
        self.servers_changed(&applied.changed);
        self.engine.list(now, applied.kind, &applied.entries);
        self.run_engine_orders();
        // The decisions may have asked for the list meanwhile.
        if self.discovery.call(generation).is_none() {
            return;
        }
        let call = self.discovery.call.take();
        let (kept, ended): (Option<Call>, Option<Call>) = if reusable { (call, None) } else { (None, call) };
        if let Some(ended) = ended {
            ended.socket.remove(&self.handle);
        }
        self.start_query(kept);
    }

    pub(super) fn discovery_timeout(&mut self, generation: u64) {
        let now = self.now();
        if self.discovery.call(generation).is_some_and(|call| now >= call.until) {
            self.end_query(generation, QueryFailure::TimedOut);
        }
    }

    /// A call is over without an answer that can be used.
    fn end_query(&mut self, generation: u64, end: QueryFailure) {
        let Some(call) = self.discovery.call.take_if(|call| call.generation == generation) else { return };
        let now = self.now();
        let after = now - call.began;
        tracing::debug!(asked = ?call.query, after_us = after, status = call.status, renewed = call.renewed, %end, "list call failed");
        call.socket.remove(&self.handle);
        match call.list_evidence(&end) {
            ListEvidence::WatchAlive => self.confirm_list(now, self.previous_poll_at),
            ListEvidence::ServiceAway => self.engine.change_list_lease(now, |lease| lease.away(call.began)),
            ListEvidence::PartialList => self.engine.change_list_lease(now, |lease| lease.missed(now)),
            ListEvidence::None => {}
        }
        match end {
            QueryFailure::TimedOut if call.renewed => self.schedule_retry(&end, WATCH_RETRY_INTERVAL),
            QueryFailure::EmptyWatch => self.retry_query(&end),
            _ if call.status == Some(STATUS_OK) => self.schedule_retry(&end, WATCH_RETRY_INTERVAL),
            _ => self.retry_query(&end),
        }
    }

    /// The last moment at which a call may still be answered before the list may be used no more.
    fn before_lease_ends(&mut self, now: Micros) -> Option<Micros> {
        let early = self.with_jitter(LEASE_RENEWAL_MARGIN / 2) + LEASE_RENEWAL_MARGIN / 2;
        let at = self.engine.permissions().list.until().saturating_sub(early);
        (at > now + EMPTY_LIST_RETRY_INTERVAL).then_some(at)
    }

    /// The list was current at that moment.
    fn confirm_list(&mut self, now: Micros, at: Micros) {
        let held = self.engine.permissions().list.holds(now);
        self.engine.change_list_lease(now, |lease| lease.confirm(at));
        let holds = self.engine.permissions().list.holds(now);
        if holds && !held {
            tracing::info!(version = self.server_list.version(), "the server list may be used");
        }
    }

    /// Whether requests may come: a list may be used, or the time for that is up.
    pub(super) fn is_ready(&mut self) -> bool {
        let now = self.now();
        let may_use = self.engine.permissions().list.holds(now);
        let listed = !self.server_list.is_empty();
        self.discovery.ready |= listed && (may_use || now >= self.discovery.ready_by);
        self.discovery.ready
    }

    fn retry_query(&mut self, end: &QueryFailure) {
        let span = match self.discovery.pushed {
            true => PUSHED_RETRY_INTERVAL,
            false if self.server_list.is_empty() => EMPTY_LIST_RETRY_INTERVAL,
            // One that is refused costs nobody anything.
            false if matches!(end, QueryFailure::ConnectionRefused) => self.discovery.tenths(RETRY_TENTHS),
            false => {
                let doublings = self.discovery.failures.min(MAX_BACKOFF_DOUBLINGS);
                self.discovery.failures = self.discovery.failures.saturating_add(1);
                self.discovery.tenths(RETRY_TENTHS) << doublings
            }
        };
        self.schedule_retry(end, span);
    }

    /// A call is over without an answer, and another one is made after about this span.
    fn schedule_retry(&mut self, end: &QueryFailure, span: Micros) {
        if self.may_log() {
            tracing::warn!("discovery: {end}");
        }
        let now = self.now();
        if self.discovery.pushed {
            self.engine.change_list_lease(now, |lease| lease.unwatched(now));
        }
        let drawn = now + self.with_jitter(span);
        let at = self.before_lease_ends(now).map_or(drawn, |last| drawn.min(last));
        self.discovery.next_query_at = Some(at);
        self.timers.set(at, TimerKind::DiscoveryRetry);
    }
}
