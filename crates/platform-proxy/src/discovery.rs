//! The server list over HTTP: the whole list when the decisions ask, then a watch that is renewed as soon as
//! it answers.
//!
//! Calls of both kinds are exchanges on one connection each. The decisions ask again when they have heard
//! nothing for a while; with a watch out that is a call for the whole list beside it, which tells a watch
//! that has gone dead without a word from one that has nothing to say.

use super::{Proxy, What};
use calloop::{Interest, Readiness};
use std::net::SocketAddr;
use violetseam::interface::{ListKind, Micros};
use violetseam_http1::Limits;
use violetseam_http1::client::{ClientConn, ClientEvent};
use violetseam_loopio::{Got, Socket, connect};
use violetseam_platform::discovery::{ANSWER_MOST, List, WHOLE_PATH, watch_path};

/// A watch asks discovery to wait so long.
const WAIT: Micros = 20_000_000;
/// A call for the whole list has so long, a watch so long beyond its wait.
const CALL_TIMEOUT: Micros = 1_300_000;
/// Where lists are pushed, what the service has counts at once, and its calls are free of cost: one that failed is made
/// again after about so long, and the whole list is asked for at seven tenths of the second figure without a word.
const PUSHED_AGAIN: Micros = 300_000;
pub(super) const PUSHED_ASK_WITHIN: Micros = 5_000_000;
/// The same without any list, where nothing can be served: quicker than the decisions' back-off, so that a process
/// that starts while the service is down is ready soon after that.
const EMPTY_AGAIN: Micros = 1_000_000;
/// A watch that has nothing new to say so soon is not waiting: it would be asked without end.
const ANSWERED_AT_ONCE: Micros = 100_000;

/// Discovery as this proxy speaks to it.
pub(super) struct Discovery {
    address: SocketAddr,
    /// What the service has counts as told from a process's first moment, heard or not.
    pushed: bool,
    /// A call has ended, with an answer or without.
    answered: bool,
    /// The decisions want to hear of changes.
    following: bool,
    watch: Option<Call>,
    whole: Option<Call>,
}

/// One exchange.
struct Call {
    generation: u64,
    socket: Socket,
    http: ClientConn,
    body: Vec<u8>,
    accepted: bool,
    /// The present exchange has time until then; timers of earlier ones may still come.
    until: Micros,
    /// When it began, and the version held then.
    began: Micros,
    since: Option<u64>,
}

impl Discovery {
    pub fn new(address: SocketAddr, pushed: bool) -> Self {
        Discovery { address, pushed, answered: false, following: false, watch: None, whole: None }
    }

    /// Whether the list held may be used for the first requests of a life: where lists are pushed, only after the
    /// first call, which ends within [`CALL_TIMEOUT`].
    pub fn is_ready(&self) -> bool {
        !self.pushed || self.answered
    }

    fn place(&mut self, generation: u64) -> Option<&mut Option<Call>> {
        let is = |c: &Option<Call>| c.as_ref().is_some_and(|c| c.generation == generation);
        match (is(&self.watch), is(&self.whole)) {
            (true, _) => Some(&mut self.watch),
            (_, true) => Some(&mut self.whole),
            _ => None,
        }
    }

    fn call(&mut self, generation: u64) -> Option<&mut Call> {
        self.place(generation).and_then(Option::as_mut)
    }
}

impl Proxy {
    pub(super) fn follow_list(&mut self) {
        self.discovery.following = true;
        self.fetch_list();
    }

    /// Asks for the whole list; a call that is out already answers for this one too.
    pub(super) fn fetch_list(&mut self) {
        if self.discovery.whole.is_none() {
            let call = self.call_discovery(WHOLE_PATH, CALL_TIMEOUT, None);
            let failed = call.is_none();
            self.discovery.whole = call;
            if failed {
                self.list_failed("no connection");
            }
        }
    }

    /// SIGHUP named an address: the list is asked for there at once.
    pub(super) fn move_discovery(&mut self, address: SocketAddr) {
        if self.discovery.address == address {
            return;
        }
        self.discovery.address = address;
        let calls = [self.discovery.watch.take(), self.discovery.whole.take()];
        calls.into_iter().flatten().for_each(|call| call.socket.remove(&self.handle));
        // Versions are the service's own: behind another address they may mean another thing.
        self.roster.forget_version();
        self.fetch_list();
    }

    fn watch_list(&mut self, on: Option<Call>) {
        let Some(version) = self.roster.version().filter(|_| self.discovery.following) else { return };
        let path = watch_path(version, WAIT);
        let call = self.call_discovery(&path, WAIT + CALL_TIMEOUT, on);
        let failed = call.is_none();
        self.discovery.watch = call;
        if failed {
            self.list_failed("no connection");
        }
    }

    /// Begins an exchange, on a connection that has just answered or on a new one.
    fn call_discovery(&mut self, path: &str, within: Micros, on: Option<Call>) -> Option<Call> {
        let generation = self.next_generation();
        let address = self.discovery.address;
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
                    accepted: false,
                    until: 0,
                    began: 0,
                    since: None,
                }
            }
        };
        let head = format!("GET {path} HTTP/1.1\r\nhost: {address}\r\n\r\n");
        call.socket.out().extend_from_slice(head.as_bytes());
        call.http.expect_answer(false);
        call.accepted = false;
        call.socket.want_connected(&self.handle);
        (call.began, call.since) = (self.now(), self.roster.version());
        call.until = call.began + within;
        self.timers.set(call.until, What::Discovery(call.generation));
        Some(call)
    }

    fn on_discovery(&mut self, generation: u64, readiness: Readiness) {
        let Some(call) = self.discovery.call(generation) else { return };
        if readiness.writable {
            if call.socket.connect_error().is_some() || call.socket.flush().is_err() {
                return self.discovery_ended(generation, "no connection");
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
                    _ => self.discovery_ended(generation, "closed"),
                },
                Got::Broken => self.discovery_ended(generation, "connection lost"),
            }
        }
        self.scratch = scratch;
    }

    fn discovery_events(&mut self, generation: u64) {
        while let Some(call) = self.discovery.call(generation) {
            match call.http.next_event() {
                None => return,
                Some(ClientEvent::Head(head)) => call.accepted = head.status == 200,
                Some(ClientEvent::Body(bytes)) => {
                    call.body.extend_from_slice(&bytes);
                    if call.body.len() > ANSWER_MOST {
                        return self.discovery_ended(generation, "an answer over the limit");
                    }
                }
                Some(ClientEvent::End { reusable }) => return self.discovery_answer(generation, reusable),
                Some(ClientEvent::Fault(fault)) => {
                    return self.discovery_ended(generation, fault.reason);
                }
            }
        }
    }

    /// An answer has come whole.
    fn discovery_answer(&mut self, generation: u64, reusable: bool) {
        let now = self.now();
        self.discovery.answered = true;
        let Some(call) = self.discovery.call(generation) else { return };
        if !call.accepted {
            return self.discovery_ended(generation, "declined");
        }
        let body = std::mem::take(&mut call.body);
        let (began, since) = (call.began, call.since);
        let list = match List::parse(&body) {
            Ok(list) => list,
            Err(why) => return self.discovery_ended(generation, &why.0),
        };
        // Older than what was held when it was asked for: no answer overtaken on its way, the service counts anew.
        let counts_anew = since.is_some_and(|since| list.revision < since);
        let is_new = !list.members.is_empty() || since.is_none_or(|since| list.revision > since);
        if !list.complete && (counts_anew || (!is_new && now < began + ANSWERED_AT_ONCE)) {
            return self.discovery_ended(generation, "a watch that answers with nothing new");
        }
        if counts_anew && list.complete {
            self.roster.forget_version();
        }
        let (held, version) = (self.roster.version(), list.revision);
        let applied = match self.roster.apply(&list) {
            Ok(applied) => applied,
            Err(why) => return self.discovery_ended(generation, &why.0),
        };
        tracing::debug!(version, lines = applied.entries.len(), kind = ?applied.kind, "server list");
        self.servers_changed(&applied.changed);
        self.engine.list(now, applied.kind, &applied.entries);
        self.pump();
        let Some(place) = self.discovery.place(generation) else { return };
        let Some(call) = place.take() else { return };
        let kept = if reusable {
            Some(call)
        } else {
            call.socket.remove(&self.handle);
            None
        };
        // A watch that should have told this version by now has gone dead.
        if held.is_none_or(|held| version > held)
            && let Some(dead) = self.discovery.watch.take()
        {
            dead.socket.remove(&self.handle);
        }
        if self.discovery.watch.is_none() {
            self.watch_list(kept);
        } else if let Some(call) = kept {
            call.socket.remove(&self.handle);
        }
    }

    pub(super) fn discovery_timeout(&mut self, generation: u64) {
        let now = self.now();
        if self.discovery.call(generation).is_some_and(|call| now >= call.until) {
            self.discovery_ended(generation, "no answer in time");
        }
    }

    /// A call is over without an answer.
    fn discovery_ended(&mut self, generation: u64, why: &str) {
        let Some(call) = self.discovery.place(generation).and_then(Option::take) else { return };
        call.socket.remove(&self.handle);
        self.list_failed(why);
    }

    fn list_failed(&mut self, why: &str) {
        if self.may_say() {
            tracing::warn!("discovery: {why}");
        }
        let now = self.now();
        self.discovery.answered = true;
        let soon = match self.discovery.pushed {
            true => Some(PUSHED_AGAIN),
            false => self.roster.is_empty().then_some(EMPTY_AGAIN),
        };
        if let Some(span) = soon {
            let wait = self.jittered(span);
            return self.timers.set(now + wait, What::ListAgain);
        }
        self.engine.list(now, ListKind::Failed, &[]);
        self.pump();
    }
}
