//! Connections to servers: kept idle, or with one attempt out.
//!
//! One request a connection, though servers would begin several: an answer that waits behind another's would
//! be late for reasons that are not its server's, and giving one attempt up closes all that share its
//! connection. How an attempt's end is told to the decisions is settled here: `ConnectFailed` only while the
//! request's last byte was not written, `Reset` for a connection that was lost after that or whose answer
//! was spoilt, whoever closed it and why.

use super::{Proxy, What};
use calloop::{Interest, Readiness};
use std::collections::VecDeque;
use violetseam::interface::{Micros, Outcome, RequestId, ServerId};
use violetseam_loopio::{Got, Socket, connect};
use violetseam_platform::answer::{self, Answer, answer};

/// An idle connection is closed at this share of the time after which its server would, and so long before it at
/// least: the server counts from when it wrote, this side from when it read, and a turn of the loop lies between.
const IDLE_SHARE: f64 = 0.8;
const IDLE_MARGIN: Micros = 30_000;
/// A connection rests so long before it is used again: a second answer comes some milliseconds after the first, and
/// would else be taken for the answer to what was written meanwhile.
const REST: Micros = 10_000;
/// The bytes of one answer, its load report included, are read at one go: half an answer is none when its time is over.
const READS_MOST: usize = 4;

/// A connection to a server.
pub(super) struct Server {
    generation: u64,
    id: ServerId,
    socket: Socket,
    state: State,
    input: Vec<u8>,
    idle_since: Micros,
}

enum State {
    /// Not up yet.
    Connecting(Job),
    /// The request is out, or being written.
    Busy(Job),
    /// Ready for an attempt.
    Idle,
}

/// An attempt on a connection.
#[derive(Clone, Copy)]
struct Job {
    request: RequestId,
    attempt: usize,
}

impl Server {
    /// Since when it has been idle.
    pub fn idle_since(&self) -> Micros {
        self.idle_since
    }

    fn job(&self) -> Option<Job> {
        match self.state {
            State::Connecting(job) | State::Busy(job) => Some(job),
            State::Idle => None,
        }
    }
}

impl Proxy {
    /// Starts an attempt on an idle connection, or on a new one.
    pub(super) fn start_attempt(&mut self, request: RequestId, attempt: usize, id: ServerId) {
        // Given up again by the very actions that started it: nothing of it leaves.
        if !self.engine.is_attempt_pending(request, attempt) {
            return;
        }
        let Some(held) = self.held.get_mut(&request) else { return };
        held.attempts.resize(attempt + 1, None);
        let key = held.call.key;
        tracing::debug!(request, attempt, server = id, key, "attempt");
        let job = Job { request, attempt };
        // The one that has rested longest: what may still follow an answer on it has come by now, and is
        // seen before the connection is used.
        let (now, most) = (self.now(), self.idle_most());
        while let Some(key) = self.idle.get(&id).and_then(|keys| keys.front().copied()) {
            let Some(server) = self.servers.get_mut(key) else { break };
            if now < server.idle_since + REST {
                break;
            }
            self.idle.get_mut(&id).map(VecDeque::pop_front);
            let Some(server) = self.servers.get_mut(key) else { continue };
            // Its age is looked at here, as upkeep comes too seldom for short times.
            if now >= server.idle_since + most || server.socket.is_stale() {
                self.close_server(key);
                continue;
            }
            server.state = State::Busy(job);
            self.place(job, Some(key));
            return self.send_request(key);
        }
        if !self.room_for_server() {
            // A bound of this process says nothing of the server: the attempt was never made.
            return self.end_attempt(job, Outcome::NotSent);
        }
        if self.open_server(id, job).is_none() {
            self.end_attempt(job, Outcome::ConnectFailed);
        }
    }

    fn open_server(&mut self, id: ServerId, job: Job) -> Option<()> {
        let stream = connect(self.roster.address(id)?).ok()?;
        let (generation, now) = (self.next_generation(), self.now());
        let entry = self.servers.vacant_entry();
        let key = entry.key();
        let on_ready = move |readiness: Readiness, proxy: &mut Proxy| proxy.on_server(key, readiness);
        let socket = Socket::register(&self.handle, stream, Interest::WRITE, on_ready).ok()?;
        let state = State::Connecting(job);
        entry.insert(Server { generation, id, socket, state, input: Vec::new(), idle_since: now });
        let until = now + self.config.instance.connect_timeout;
        self.timers.set(until, What::Connect(key, generation));
        self.place(job, Some(key));
        Some(())
    }

    /// Notes which connection an attempt is on, or that it is on none any more.
    fn place(&mut self, job: Job, key: Option<usize>) {
        let held = self.held.get_mut(&job.request);
        if let Some(place) = held.and_then(|h| h.attempts.get_mut(job.attempt)) {
            *place = key;
        }
    }

    /// Whether an attempt that could not leave when it was ordered may leave now.
    fn may_leave(&mut self, job: Job) -> bool {
        let now = self.now();
        let may = self.engine.may_send(now, job.request, job.attempt);
        if !may {
            tracing::debug!(request = job.request, attempt = job.attempt, "withheld");
        }
        may
    }

    fn end_attempt(&mut self, job: Job, outcome: Outcome) {
        let now = self.now();
        self.engine.on_attempt_ended(now, job.request, job.attempt, outcome);
    }

    /// Writes the request on a connection that is up, with the time that this attempt will be waited for.
    fn send_request(&mut self, key: usize) {
        let now = self.now();
        let Some(server) = self.servers.get_mut(key) else { return };
        let Some(job) = server.job() else { return };
        let cut_at = self.engine.attempt_deadline(job.request, job.attempt);
        let (Some(held), Some(cut_at)) = (self.held.get(&job.request), cut_at) else {
            return self.close_server(key);
        };
        if !self.engine.may_write(now, job.request, job.attempt) {
            tracing::warn!(
                request = job.request,
                attempt = job.attempt,
                "held back at the moment of writing"
            );
            return;
        }
        held.call.write(server.socket.out(), cut_at.saturating_sub(now));
        self.flush_server(key);
    }

    fn flush_server(&mut self, key: usize) {
        let Some(server) = self.servers.get_mut(key) else { return };
        match server.socket.flush() {
            Ok(_) => server.socket.want(&self.handle, true),
            Err(_) => self.server_lost(key),
        }
    }

    fn on_server(&mut self, key: usize, readiness: Readiness) {
        let Some(server) = self.servers.get_mut(key) else { return };
        if let State::Connecting(job) = server.state {
            if server.socket.connect_error().is_some() {
                self.server_lost(key);
            } else if readiness.writable && self.may_leave(job) {
                if let Some(server) = self.servers.get_mut(key) {
                    server.state = State::Busy(job);
                }
                self.send_request(key);
            }
            return self.pump();
        }
        if readiness.writable && server.socket.waits() {
            // The rest of a request counts from its last byte: until that is written the server has none of it.
            let job = server.job();
            if job.is_none_or(|job| self.may_leave(job)) {
                self.flush_server(key);
            }
        }
        if readiness.readable || readiness.error {
            self.read_server(key);
        }
        self.pump();
    }

    fn read_server(&mut self, key: usize) {
        let mut scratch = std::mem::take(&mut self.scratch);
        let mut got = Got::Nothing;
        for _ in 0..READS_MOST {
            let Some(server) = self.servers.get_mut(key) else { break };
            got = server.socket.read(&mut scratch);
            match got {
                Got::Bytes(n) if matches!(server.state, State::Busy(_)) => {
                    server.input.extend_from_slice(&scratch[..n]);
                    // A short read has taken all that was there.
                    if n < scratch.len() {
                        break;
                    }
                }
                _ => break,
            }
        }
        if self.servers.get(key).is_some_and(|s| matches!(s.state, State::Busy(_)) && !s.input.is_empty()) {
            self.server_answer(key);
            got = if matches!(got, Got::Bytes(_)) { Got::Nothing } else { got };
        }
        if let Some(server) = self.servers.get_mut(key) {
            match (got, &server.state) {
                (Got::Nothing, _) => {}
                // Bytes that nobody asked for: whatever they are, they must not answer what is sent next.
                (Got::Bytes(_), _) => self.close_server(key),
                (Got::Closed | Got::Broken, _) => {
                    if matches!(server.state, State::Idle) {
                        let (id, since) = (server.id, server.idle_since);
                        let rested_us = self.now().saturating_sub(since);
                        tracing::debug!(server = id, rested_us, "closed while idle");
                    }
                    self.server_lost(key);
                }
            }
        }
        self.scratch = scratch;
    }

    /// Looks whether the answer is whole. What a server sends is held up to the bounds and one read.
    fn server_answer(&mut self, key: usize) {
        let Some(server) = self.servers.get_mut(key) else { return };
        let Some(job) = server.job() else { return };
        let input = std::mem::take(&mut server.input);
        let id = server.id;
        let waits = server.socket.waits();
        match answer(&input, &self.bounds) {
            Answer::More => server.input = input,
            Answer::Served { value, reusable } => {
                self.place(job, None);
                self.rest_or_close(key, reusable && !waits);
                let now = self.now();
                if self.engine.on_attempt_ended(now, job.request, job.attempt, Outcome::Ok) {
                    tracing::debug!(request = job.request, attempt = job.attempt, server = id, "served");
                    let mut bytes = Vec::with_capacity(value.len() + 16);
                    answer::write_served(&mut bytes, value);
                    self.answer(job.request, bytes);
                }
            }
            Answer::Ended { outcome, reusable } => {
                if !input.starts_with(b"-BUSY") && !input.starts_with(b"-ERR failed") && self.may_say() {
                    let text = String::from_utf8_lossy(&input[..input.len().min(80)]).into_owned();
                    tracing::warn!(server = id, "an error that servers do not word so: {text:?}");
                }
                self.place(job, None);
                self.rest_or_close(key, reusable && !waits);
                self.end_attempt(job, outcome);
            }
            Answer::Spoilt(why) => {
                tracing::debug!(request = job.request, server = id, "spoilt answer: {why}");
                self.place(job, None);
                self.close_server(key);
                self.end_attempt(job, Outcome::Reset);
            }
        }
    }

    fn rest_or_close(&mut self, key: usize, reusable: bool) {
        let now = self.now();
        let Some(server) = self.servers.get_mut(key) else { return };
        // Only a connection to what is listed there now may be used again.
        let same = self.roster.address(server.id) == server.socket.stream().peer_addr().ok();
        if !reusable || !same {
            return self.close_server(key);
        }
        (server.state, server.idle_since) = (State::Idle, now);
        server.input = Vec::new();
        let id = server.id;
        self.idle.entry(id).or_default().push_back(key);
    }

    /// Closes a connection and tells nobody: its attempt, if any, has ended already. It ends before anything
    /// else is written, as the next attempt of the same request would be a second copy beside an open one.
    pub(super) fn close_server(&mut self, key: usize) {
        let Some(server) = self.servers.try_remove(key) else { return };
        server.socket.end(&self.handle);
        if let Some(idle) = self.idle.get_mut(&server.id) {
            idle.retain(|k| *k != key);
            if idle.is_empty() {
                self.idle.remove(&server.id);
            }
        }
    }

    /// The engine gave an attempt up: its connection closes, as its answer could come at any time.
    pub(super) fn drop_attempt(&mut self, request: RequestId, attempt: usize) {
        let place = self.held.get_mut(&request).and_then(|h| h.attempts.get_mut(attempt));
        let key = place.and_then(Option::take);
        tracing::debug!(request, attempt, out = key.is_some(), "given up");
        key.into_iter().for_each(|key| self.close_server(key));
    }

    /// The connection is gone: what that says of its attempt depends on whether all of it was written.
    fn server_lost(&mut self, key: usize) {
        let Some(server) = self.servers.get(key) else { return };
        let (job, id) = (server.job(), server.id);
        let whole = matches!(server.state, State::Busy(_)) && !server.socket.waits();
        self.close_server(key);
        if let Some(job) = job {
            let outcome = if whole { Outcome::Reset } else { Outcome::ConnectFailed };
            tracing::debug!(request = job.request, attempt = job.attempt, server = id, ?outcome, "lost");
            self.place(job, None);
            self.end_attempt(job, outcome);
        }
    }

    pub(super) fn connect_timeout(&mut self, key: usize, generation: u64) {
        let connecting = |s: &&Server| s.generation == generation && matches!(s.state, State::Connecting(_));
        if self.servers.get(key).filter(connecting).is_some() {
            self.server_lost(key);
        }
    }

    /// Idle connections to servers that are not what they were carry nothing new.
    pub(super) fn servers_changed(&mut self, changed: &[ServerId]) {
        for id in changed {
            let keys: Vec<usize> = self.idle.get(id).into_iter().flatten().copied().collect();
            keys.into_iter().for_each(|key| self.close_server(key));
        }
    }

    /// How long a connection may rest: a request written after its server has closed it would be lost on it.
    fn idle_most(&self) -> Micros {
        let close = self.config.instance.idle_close;
        close.saturating_sub(IDLE_MARGIN).min((close as f64 * IDLE_SHARE) as Micros)
    }

    /// Closes connections before their servers would.
    pub(super) fn servers_upkeep(&mut self, now: Micros) {
        let most = self.idle_most();
        let old = |s: &Server| matches!(s.state, State::Idle) && now >= s.idle_since + most;
        let old: Vec<usize> = self.servers.iter().filter(|(_, s)| old(s)).map(|(key, _)| key).collect();
        old.into_iter().for_each(|key| self.close_server(key));
    }
}
