//! The server list over HTTP: one call at a time, for what is newer than the version held, or for the whole list where
//! no version is held.
//!
//! A call for what is newer waits at the service until there is something (a long poll), and is renewed as soon as it
//! is answered. It waits for less time than the decisions stay without a word, so that an answer without changes is
//! the service's heartbeat; a call that has gone dead without a word is replaced when the decisions ask again. A whole
//! list costs a service that works through its calls one by one a multiple of what a delta does, so it is asked for
//! only where a delta would not be sound.

use super::{Proxy, What};
use calloop::{Interest, Readiness};
use rand::RngExt;
use std::io::ErrorKind;
use std::net::SocketAddr;
use violetseam::interface::Micros;
use violetseam_http1::Limits;
use violetseam_http1::client::{ClientConn, ClientEvent};
use violetseam_loopio::{Got, Socket, connect};
use violetseam_platform::discovery::{ANSWER_MOST, List, WHOLE_PATH, watch_path};

/// What is drawn below is counted in parts of the time that the settings let a proxy go without a word, within these
/// bounds; a watch waits for 4 tenths of it at most, the decisions ask again after 7 tenths. What a watch misses that has
/// fallen silent counts as told 2 s after its wait is over or 6 s after it fell silent: 4 s of waiting give both.
const SILENCE_LEAST: Micros = 500_000;
const SILENCE_MOST: Micros = 10_000_000;
const WAIT_TENTHS: Micros = 4;
/// A new watch costs the service work, and one that it has declined costs it as much; only a watch that is renewed at
/// once is free. So proxies that all start, lose their watches or move together spread their next calls: the first
/// call of a life and the first one at another address within so many tenths, further ones after a failed call after
/// about so many (half to one and a half times).
const START_TENTHS: Micros = 4;
const MOVE_TENTHS: Micros = 2;
const RETRY_TENTHS: Micros = 3;
/// Discovery is one service with one count of versions, so that a move of its address is followed from the version held.
/// Should a service behind another address count otherwise, that would stay wrong: the whole list is asked for once
/// more, at a time drawn between these parts of the time without a word, so late and so far apart that it weighs
/// little on the service.
const VERIFY_FROM_TENTHS: Micros = 100;
const VERIFY_UNTIL_TENTHS: Micros = 400;
/// The first watch at an address waits no longer than this: its answer soon tells where the service's versions stand.
const FIRST_WAIT: Micros = 1_000_000;
/// A call for the whole list has so long, a watch so long beyond its wait. The service declines a call by itself that
/// waited for too long; one that is given up before that costs it as much, and is made again.
const CALL_TIMEOUT: Micros = 3_500_000;
/// A watch that was renewed in time and has said nothing so long after its wait is dead, and another one is opened after
/// about so long: the lease on the list ends soon.
const WATCH_LATE: Micros = 1_500_000;
const WATCH_AGAIN: Micros = 300_000;
/// Each call that fails doubles the wait for the next one, so many times at most: a service that works through its calls
/// one by one and has too many spends its time on calls that have waited for too long, until fewer come.
const DOUBLINGS_MOST: u32 = 1;
/// Where the lease on the list would end before that, a call is made this long before the lease ends, or up to half as long
/// again: it may wait in the service's queue for seconds.
const BEFORE_LEASE_ENDS: Micros = 2_000_000;
/// Where lists are pushed, what the service has counts at once, and its calls are free of cost: one that failed is made
/// again after about so long, and a watch is replaced after seven tenths of the second figure without a word.
const PUSHED_AGAIN: Micros = 300_000;
pub(super) const PUSHED_ASK_WITHIN: Micros = 5_000_000;
/// The same without any list, where nothing can be served: quicker than the decisions' back-off, so that a process
/// that starts while the service is down is ready soon after that.
const EMPTY_AGAIN: Micros = 1_000_000;
/// The status of an answer that carries a list.
const STATUS_OK: u16 = 200;
/// A watch that has nothing new to say so soon is not waiting: it would be asked without end.
const ANSWERED_AT_ONCE: Micros = 100_000;

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
    again: Option<Micros>,
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
    asked: Asked,
}

/// What a call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asked {
    /// The whole list.
    Whole,
    /// What is newer than this version, waited for.
    NewerThan(u64),
}

/// How a call ended that brought no list.
#[derive(Debug)]
enum CallEnd {
    /// No socket, or no way there from this machine.
    NotDialled,
    /// Nobody listens there.
    Refused,
    NotConnected,
    Closed,
    Reset,
    /// Any status but 200.
    Declined,
    TimedOut,
    Unreadable(String),
    /// The service has less than was held.
    CountedAnew,
    /// A watch that does not wait.
    NothingNew,
}

impl std::fmt::Display for CallEnd {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            CallEnd::NotDialled => "no connection could be begun",
            CallEnd::Refused => "connection refused",
            CallEnd::NotConnected => "no connection",
            CallEnd::Closed => "closed",
            CallEnd::Reset => "connection lost",
            CallEnd::Declined => "declined",
            CallEnd::TimedOut => "no answer in time",
            CallEnd::Unreadable(why) => why,
            CallEnd::CountedAnew => "versions counted anew",
            CallEnd::NothingNew => "a watch that answers with nothing new",
        })
    }
}

/// What the end of a call says of the list held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Word {
    /// The watch was alive until then: whatever had changed before that was told on it.
    Alive,
    /// Discovery was away when the call began, and told nobody of a change.
    Away,
    /// A part of a list has come: it was written, and counts as told though it cannot be read.
    Cut,
    Nothing,
}

impl Call {
    /// Writes the request once the connection is up; how the call has ended, if it has.
    fn write_what_waits(&mut self) -> Option<CallEnd> {
        match (self.socket.connect_error(), self.connected) {
            (Some(_), true) => return Some(CallEnd::Reset),
            (Some(e), false) if e.kind() == ErrorKind::ConnectionRefused => return Some(CallEnd::Refused),
            (Some(_), false) => return Some(CallEnd::NotConnected),
            (None, _) => self.connected = true,
        }
        self.socket.flush().is_err().then_some(CallEnd::Reset)
    }

    fn word(&self, end: &CallEnd) -> Word {
        match end {
            CallEnd::Declined if self.renewed => Word::Alive,
            CallEnd::NothingNew => Word::Alive,
            // A call that is declined or reset, even at once, may have met a service that is there and has too many.
            CallEnd::Refused => Word::Away,
            _ if self.status == Some(STATUS_OK) => Word::Cut,
            _ => Word::Nothing,
        }
    }
}

impl Discovery {
    /// `ask_within`: how long the settings let a proxy go without a word from discovery.
    pub fn new(address: SocketAddr, pushed: bool, ask_within: Micros) -> Self {
        let silence = ask_within.clamp(SILENCE_LEAST, SILENCE_MOST);
        Discovery {
            address,
            silence,
            pushed,
            ready_by: 0,
            ready: false,
            confirmed: false,
            failures: 0,
            call: None,
            again: None,
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
        self.call.as_ref().is_some_and(|call| call.asked == Asked::Whole)
    }

    fn call(&mut self, generation: u64) -> Option<&mut Call> {
        self.call.as_mut().filter(|call| call.generation == generation)
    }
}

impl Proxy {
    /// The decisions want the list, or have heard nothing for long. A call that is planned, or is out for the whole
    /// list, answers for this one; a watch that is out is taken for dead and replaced.
    pub(super) fn follow_list(&mut self) {
        if self.discovery.again.is_some() || self.discovery.is_fetching() {
            return;
        }
        if self.discovery.started || self.discovery.pushed || self.roster.is_empty() {
            return self.ask_discovery(None);
        }
        self.discovery.started = true;
        self.ask_discovery_within(self.discovery.tenths(START_TENTHS));
    }

    /// Draws when the whole list is asked for once more.
    fn verify_later(&mut self) {
        let [from, until] =
            [VERIFY_FROM_TENTHS, VERIFY_UNTIL_TENTHS].map(|tenths| self.discovery.tenths(tenths));
        self.discovery.verify_at = Some(self.now() + self.rng.random_range(from..until));
    }

    /// Plans a call at a drawn time within the span.
    fn ask_discovery_within(&mut self, span: Micros) {
        let at = self.now() + self.rng.random_range(0..span.max(1));
        self.discovery.again = Some(at);
        self.timers.set(at, What::ListAgain);
    }

    /// A planned call may be due.
    pub(super) fn discovery_due(&mut self) {
        let now = self.now();
        if self.discovery.again.is_some_and(|at| at <= now) {
            self.ask_discovery(None);
        }
    }

    /// Asks for what is newer than the version held, or for the whole list, on a connection that has just answered or
    /// on a new one.
    fn ask_discovery(&mut self, on: Option<Call>) {
        self.discovery.again = None;
        if let Some(dead) = self.discovery.call.take() {
            dead.socket.remove(&self.handle);
        }
        // Where lists are pushed no call costs anything, and the first one says whether the process is ready.
        let whole_first = self.discovery.pushed && !self.discovery.confirmed;
        let verify = self.discovery.verify_at.is_some_and(|at| at <= self.now());
        if verify {
            self.verify_later();
        }
        let asked = match self.roster.version().filter(|_| !whole_first && !verify) {
            Some(version) => Asked::NewerThan(version),
            None => Asked::Whole,
        };
        match self.call_discovery(asked, on) {
            Some(call) => self.discovery.call = Some(call),
            None => self.list_failed(&CallEnd::NotDialled),
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
        self.engine.update_list_lease(now, |lease| lease.move_discovery(now));
        self.verify_later();
        match self.discovery.pushed {
            true => self.ask_discovery(None),
            false => self.ask_discovery_within(self.discovery.tenths(MOVE_TENTHS)),
        }
    }

    /// Begins an exchange, on a connection that has just answered or on a new one.
    fn call_discovery(&mut self, asked: Asked, on: Option<Call>) -> Option<Call> {
        let generation = self.next_generation();
        let Discovery { address, confirmed, .. } = self.discovery;
        let (path, within) = match asked {
            Asked::Whole => (WHOLE_PATH.to_owned(), CALL_TIMEOUT),
            Asked::NewerThan(version) => {
                let wait = self.discovery.tenths(WAIT_TENTHS);
                // Drawn: watches that were all answered by one change come apart again.
                let wait = self.rng.random_range(wait / 4 * 3..=wait);
                let wait = if confirmed { wait } else { wait.min(FIRST_WAIT) };
                let late = if on.is_some() { WATCH_LATE } else { CALL_TIMEOUT };
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
                    asked,
                }
            }
        };
        let head = format!("GET {path} HTTP/1.1\r\nhost: {address}\r\n\r\n");
        call.socket.out().extend_from_slice(head.as_bytes());
        call.http.expect_answer(false);
        call.status = None;
        call.socket.want_connected(&self.handle);
        (call.began, call.asked) = (self.now(), asked);
        call.renewed = renewed && asked != Asked::Whole;
        call.until = call.began + within;
        self.timers.set(call.until, What::Discovery(call.generation));
        Some(call)
    }

    fn on_discovery(&mut self, generation: u64, readiness: Readiness) {
        let Some(call) = self.discovery.call(generation) else { return };
        if readiness.writable {
            if let Some(end) = call.write_what_waits() {
                return self.discovery_ended(generation, end);
            }
            call.socket.want(&self.handle, true);
        }
        if readiness.readable || readiness.error {
            self.read_discovery(generation);
        }
        self.pump();
    }

    fn read_discovery(&mut self, generation: u64) {
        let mut scratch = std::mem::take(&mut self.scratch);
        if let Some(call) = self.discovery.call(generation) {
            match call.socket.read(&mut scratch) {
                Got::Bytes(n) => {
                    call.http.feed(&scratch[..n]);
                    self.discovery_events(generation);
                }
                Got::Nothing => {}
                Got::Closed => match call.http.close() {
                    Some(ClientEvent::End { .. }) => self.discovery_answer(generation, false),
                    _ => self.discovery_ended(generation, CallEnd::Closed),
                },
                Got::Broken => self.discovery_ended(generation, CallEnd::Reset),
            }
        }
        self.scratch = scratch;
    }

    fn discovery_events(&mut self, generation: u64) {
        while let Some(call) = self.discovery.call(generation) {
            match call.http.next_event() {
                None => return,
                Some(ClientEvent::Head(head)) => call.status = Some(head.status.as_u16()),
                Some(ClientEvent::Body(bytes)) => {
                    call.body.extend_from_slice(&bytes);
                    if call.body.len() > ANSWER_MOST {
                        return self.discovery_ended(
                            generation,
                            CallEnd::Unreadable("an answer over the limit".into()),
                        );
                    }
                }
                Some(ClientEvent::End { reusable }) => return self.discovery_answer(generation, reusable),
                Some(ClientEvent::Fault(fault)) => {
                    return self.discovery_ended(generation, CallEnd::Unreadable(fault.reason.into()));
                }
            }
        }
    }

    /// An answer has come whole.
    fn discovery_answer(&mut self, generation: u64, reusable: bool) {
        let now = self.now();
        let Some(call) = self.discovery.call(generation) else { return };
        if call.status != Some(STATUS_OK) {
            return self.discovery_ended(generation, CallEnd::Declined);
        }
        let body = std::mem::take(&mut call.body);
        let (began, asked) = (call.began, call.asked);
        let list = match List::parse(&body) {
            Ok(list) => list,
            Err(why) => return self.discovery_ended(generation, CallEnd::Unreadable(why.0)),
        };
        if let Asked::NewerThan(held) = asked {
            if list.revision < held {
                // Whatever it waited for, the service has less than was held: it counts its versions anew.
                self.roster.forget_version();
                if !list.complete {
                    return self.discovery_ended(generation, CallEnd::CountedAnew);
                }
            }
            let is_new = list.revision > held || !list.members.is_empty();
            if !list.complete && !is_new && now < began + ANSWERED_AT_ONCE {
                return self.discovery_ended(generation, CallEnd::NothingNew);
            }
        }
        let version = list.revision;
        let overtaken = self.roster.version().is_some_and(|held| version < held);
        let applied = match self.roster.apply(&list) {
            Ok(applied) => applied,
            Err(why) => return self.discovery_ended(generation, CallEnd::Unreadable(why.0)),
        };
        tracing::debug!(version, lines = applied.entries.len(), kind = ?applied.kind, ?asked, "server list");
        self.discovery.confirmed = true;
        self.discovery.failures = 0;
        if !overtaken {
            self.list_confirmed(now, self.looked_before);
        }
        if list.complete {
            self.discovery.verify_at = None;
        }
        self.servers_changed(&applied.changed);
        self.engine.on_server_list(now, applied.kind, &applied.entries);
        self.pump();
        // The decisions may have asked for the list meanwhile.
        if self.discovery.call(generation).is_none() {
            return;
        }
        let call = self.discovery.call.take();
        let (kept, ended): (Option<Call>, Option<Call>) = if reusable { (call, None) } else { (None, call) };
        if let Some(ended) = ended {
            ended.socket.remove(&self.handle);
        }
        self.ask_discovery(kept);
    }

    pub(super) fn discovery_timeout(&mut self, generation: u64) {
        let now = self.now();
        if self.discovery.call(generation).is_some_and(|call| now >= call.until) {
            self.discovery_ended(generation, CallEnd::TimedOut);
        }
    }

    /// A call is over without an answer that can be used.
    fn discovery_ended(&mut self, generation: u64, end: CallEnd) {
        let Some(call) = self.discovery.call.take_if(|call| call.generation == generation) else { return };
        let now = self.now();
        let after = now - call.began;
        tracing::debug!(asked = ?call.asked, after_us = after, status = call.status, renewed = call.renewed, %end, "list call failed");
        call.socket.remove(&self.handle);
        match call.word(&end) {
            Word::Alive => self.list_confirmed(now, self.looked_before),
            Word::Away => self.engine.update_list_lease(now, |lease| lease.away(call.began)),
            Word::Cut => self.engine.update_list_lease(now, |lease| lease.missed(now)),
            Word::Nothing => {}
        }
        match end {
            CallEnd::TimedOut if call.renewed => self.list_failed_until(&end, WATCH_AGAIN),
            CallEnd::NothingNew => self.list_failed(&end),
            _ if call.status == Some(STATUS_OK) => self.list_failed_until(&end, WATCH_AGAIN),
            _ => self.list_failed(&end),
        }
    }

    /// The last moment at which a call may still be answered before the list may be used no more.
    fn before_lease_ends(&mut self, now: Micros) -> Option<Micros> {
        let early = self.jittered(BEFORE_LEASE_ENDS / 2) + BEFORE_LEASE_ENDS / 2;
        let at = self.engine.permissions().list.until().saturating_sub(early);
        (at > now + EMPTY_AGAIN).then_some(at)
    }

    /// The list was current at that moment.
    fn list_confirmed(&mut self, now: Micros, at: Micros) {
        let held = self.engine.permissions().list.holds(now);
        self.engine.update_list_lease(now, |lease| lease.confirm(at));
        let holds = self.engine.permissions().list.holds(now);
        if holds && !held {
            tracing::info!(version = self.roster.version(), "the server list may be used");
        }
    }

    /// Whether requests may come: a list may be used, or the time for that is up.
    pub(super) fn is_ready(&mut self) -> bool {
        let now = self.now();
        let may_use = self.engine.permissions().list.holds(now);
        let listed = !self.roster.is_empty();
        self.discovery.ready |= listed && (may_use || now >= self.discovery.ready_by);
        self.discovery.ready
    }

    fn list_failed(&mut self, end: &CallEnd) {
        let span = match self.discovery.pushed {
            true => PUSHED_AGAIN,
            false if self.roster.is_empty() => EMPTY_AGAIN,
            // One that is refused costs nobody anything.
            false if matches!(end, CallEnd::Refused) => self.discovery.tenths(RETRY_TENTHS),
            false => {
                let doublings = self.discovery.failures.min(DOUBLINGS_MOST);
                self.discovery.failures = self.discovery.failures.saturating_add(1);
                self.discovery.tenths(RETRY_TENTHS) << doublings
            }
        };
        self.list_failed_until(end, span);
    }

    /// A call is over without an answer, and another one is made after about this span.
    fn list_failed_until(&mut self, end: &CallEnd, span: Micros) {
        if self.may_say() {
            tracing::warn!("discovery: {end}");
        }
        let now = self.now();
        if self.discovery.pushed {
            self.engine.update_list_lease(now, |lease| lease.unwatched(now));
        }
        let drawn = now + self.jittered(span);
        let at = self.before_lease_ends(now).map_or(drawn, |last| drawn.min(last));
        self.discovery.again = Some(at);
        self.timers.set(at, What::ListAgain);
    }
}
