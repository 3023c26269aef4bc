//! Connections to servers: kept idle, or with one attempt out.
//!
//! How an attempt's end is told to the decisions is settled here: `ConnectFailed` only while not one byte
//! of the request was written, `Rejected` only for the answer that the servers' protocol states was never
//! run, `Reset` for a connection that was lost after that, whoever closed it and why.

use super::ConnectionId;
use super::Proxy;
use super::timers::TimerKind;
use calloop::{Interest, Readiness};
use http::StatusCode;
use violetseam::interface::{Micros, Outcome, RequestId, ServerId};
use violetseam_http1::client::{ClientConn, ClientEvent};
use violetseam_http1::{Framing, ResponseHead, write_chunk, write_last_chunk};
use violetseam_loopio::{Got, Socket, connect};

/// A connection to a server.
pub(super) struct Server {
    generation: u64,
    id: ServerId,
    socket: Socket,
    http: ClientConn,
    state: State,
    /// When the present state has lasted too long, and when a timer looks at that.
    limit_at: Micros,
    armed_at: Micros,
}

enum State {
    /// Not up yet; nothing was written.
    Connecting(Job),
    /// The request is out.
    Busy(Job),
    /// The answer is nobody's any more; once it is read the connection can be used again.
    Discarding(usize),
    /// Ready for an attempt.
    Idle,
}

/// An attempt on a connection.
struct Job {
    request: RequestId,
    attempt: usize,
    /// At least one byte of the request was written.
    written: bool,
    answer: Answer,
}

enum Answer {
    Awaited,
    /// Its head is there, its body is gathered until it is whole.
    Gathered(Box<ResponseHead>, Vec<u8>),
    /// It is the client's: passed on as it comes.
    Passed,
}

impl Server {
    /// No attempt is on it.
    pub fn is_idle(&self) -> bool {
        matches!(self.state, State::Idle | State::Discarding(_))
    }

    /// The request's beginning has been handed over, so that what grows of it may follow.
    pub fn took_request(&self) -> bool {
        matches!(self.state, State::Busy(_))
    }

    /// Bytes that wait to be written.
    pub fn unwritten(&self) -> usize {
        self.socket.unwritten()
    }

    /// Bytes to be written.
    pub fn out(&mut self) -> &mut Vec<u8> {
        self.socket.out()
    }

    fn job(&self) -> Option<&Job> {
        match &self.state {
            State::Connecting(job) | State::Busy(job) => Some(job),
            State::Discarding(_) | State::Idle => None,
        }
    }

    fn job_mut(&mut self) -> Option<&mut Job> {
        match &mut self.state {
            State::Connecting(job) | State::Busy(job) => Some(job),
            State::Discarding(_) | State::Idle => None,
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
        self.count_attempt(id);
        let Some(held) = self.held.get_mut(&request) else { return };
        held.attempts.resize(attempt + 1, None);
        let job = Job { request, attempt, written: false, answer: Answer::Awaited };
        while let Some(key) = self.idle.get_mut(&id).and_then(Vec::pop) {
            let Some(server) = self.servers.get_mut(key) else { continue };
            // Closed by the server while idle: seen now, the request need not be lost on it.
            if server.socket.is_stale() {
                self.close_server(key);
                continue;
            }
            server.state = State::Busy(job);
            if let Some(held) = self.held.get_mut(&request) {
                held.attempts[attempt] = Some(key);
            }
            self.send_request(key);
            #[cfg(feature = "sabotage")]
            self.double_send(request, id);
            return;
        }
        if self.open_server(id, job).is_none() {
            self.end_attempt(request, attempt, Outcome::ConnectFailed);
        }
    }

    fn open_server(&mut self, id: ServerId, job: Job) -> Option<()> {
        let stream = connect(self.roster.address(id)?).ok()?;
        let generation = self.next_generation();
        let limit_at = self.now() + self.settings.connections.connect_timeout;
        let entry = self.servers.vacant_entry();
        let key = entry.key();
        let on_ready = move |readiness: Readiness, proxy: &mut Proxy| proxy.on_server(key, readiness);
        let socket = Socket::register(&self.handle, stream, Interest::WRITE, on_ready).ok()?;
        let (request, attempt) = (job.request, job.attempt);
        entry.insert(Server {
            generation,
            id,
            socket,
            http: ClientConn::new(self.head_limits),
            state: State::Connecting(job),
            limit_at,
            armed_at: limit_at,
        });
        self.timers.set(limit_at, TimerKind::Server(ConnectionId { key, generation }));
        if let Some(held) = self.held.get_mut(&request) {
            held.attempts[attempt] = Some(key);
        }
        Some(())
    }

    /// Writes the request on a connection that is up.
    fn send_request(&mut self, key: usize) {
        let Some(server) = self.servers.get_mut(key) else { return };
        let Some(job) = server.job() else { return };
        let Some(held) = self.held.get(&job.request) else { return self.close_server(key) };
        let (request, kept) = (job.request, held.body.len());
        server.http.expect_answer(held.to_head);
        let out = server.socket.out();
        out.extend_from_slice(&held.head);
        if held.chunked {
            write_chunk(out, &held.body);
            if held.complete {
                write_last_chunk(out);
            }
        } else {
            out.extend_from_slice(&held.body);
        }
        if !held.complete || kept > self.settings.connections.keep_body {
            // What grows from here on goes to this server alone and is not kept.
            self.engine.mark_not_repeatable(request);
        }
        self.flush_server(key);
    }

    /// Writes what waits. A connection that breaks before its first byte never carried the request.
    pub(super) fn flush_server(&mut self, key: usize) {
        let Some(server) = self.servers.get_mut(key) else { return };
        let flushed = server.socket.flush();
        if let (Some(job), Ok(n)) = (server.job_mut(), &flushed) {
            job.written |= *n > 0;
        }
        match flushed {
            Ok(_) => self.rest_server(key),
            Err(_) => self.server_lost(key),
        }
    }

    /// Sets what the connection is to be woken for and when its present state has lasted too long.
    pub(super) fn rest_server(&mut self, key: usize) {
        let now = self.now();
        let c = &self.settings.connections;
        let Some(server) = self.servers.get_mut(key) else { return };
        let mut read = true;
        let span = match &server.state {
            State::Connecting(_) => return server.socket.want_connected(&self.handle),
            State::Busy(job) if matches!(job.answer, Answer::Passed) => {
                let to = self.held.get(&job.request).map(|h| h.client());
                let slow = to.and_then(|c| self.clients.get(c)).is_some_and(|c| c.is_slow());
                read = !slow;
                Some(c.stream_idle)
            }
            State::Busy(_) => None,
            State::Discarding(_) | State::Idle => Some(c.server_idle),
        };
        server.limit_at = span.map_or(Micros::MAX, |span| now + span);
        if server.limit_at < server.armed_at {
            server.armed_at = server.limit_at;
            self.timers
                .set(server.limit_at, TimerKind::Server(ConnectionId { key, generation: server.generation }));
        }
        server.socket.want(&self.handle, read);
    }

    pub(super) fn server_timeout(&mut self, now: Micros, id: ConnectionId) {
        let ConnectionId { key, generation } = id;
        let Some(server) = self.servers.get_mut(key).filter(|s| s.generation == generation) else { return };
        server.armed_at = Micros::MAX;
        if server.limit_at > now {
            if server.limit_at < Micros::MAX {
                server.armed_at = server.limit_at;
                self.timers.set(server.limit_at, TimerKind::Server(ConnectionId { key, generation }));
            }
            return;
        }
        match server.state {
            State::Idle | State::Discarding(_) => self.close_server(key),
            State::Connecting(_) | State::Busy(_) => self.server_lost(key),
        }
    }

    /// Closes a connection and tells nobody: its attempt, if any, has ended already. It ends before anything
    /// else is written, as the next attempt of the same request would be a second copy beside an open one.
    fn close_server(&mut self, key: usize) {
        if !self.servers.contains(key) {
            return;
        }
        let server = self.servers.remove(key);
        server.socket.end(&self.handle);
        if let Some(idle) = self.idle.get_mut(&server.id) {
            idle.retain(|k| *k != key);
            if idle.is_empty() {
                self.idle.remove(&server.id);
            }
        }
    }

    /// The engine gave an attempt up: its connection closes, as its answer could come at any time.
    pub(super) fn close_attempt(&mut self, request: RequestId, attempt: usize) {
        let key =
            self.held.get_mut(&request).and_then(|h| h.attempts.get_mut(attempt)).and_then(Option::take);
        key.into_iter().for_each(|key| self.close_server(key));
    }

    /// The connection is gone: what that says of its attempt depends on whether a byte of it was written.
    fn server_lost(&mut self, key: usize) {
        let Some(server) = self.servers.get(key) else { return };
        let job = server.job().map(|j| (j.request, j.attempt, j.written, matches!(j.answer, Answer::Passed)));
        self.close_server(key);
        let Some((request, attempt, written, passed)) = job else { return };
        self.detach(request, attempt);
        if passed {
            // The client has had the answer's beginning: closing is all that can tell it.
            if let Some(client) = self.passing_to(request) {
                self.close_client(client);
            }
        }
        self.end_attempt(request, attempt, if written { Outcome::Reset } else { Outcome::ConnectFailed });
    }

    /// The attempt is no longer on a connection.
    fn detach(&mut self, request: RequestId, attempt: usize) {
        let place = self.held.get_mut(&request).and_then(|held| held.attempts.get_mut(attempt));
        place.into_iter().for_each(|place| *place = None);
    }

    fn on_server(&mut self, key: usize, readiness: Readiness) {
        let Some(server) = self.servers.get_mut(key) else { return };
        if let State::Connecting(job) = &server.state {
            let (request, attempt) = (job.request, job.attempt);
            if server.socket.connect_error().is_some() {
                self.server_lost(key);
            } else if readiness.writable {
                let now = self.now();
                // Decided a while ago: asked again before the first byte, as its server may run it from then on.
                if self.engine.may_send(now, request, attempt)
                    && let Some(server) = self.servers.get_mut(key)
                    && let State::Connecting(job) = std::mem::replace(&mut server.state, State::Idle)
                {
                    server.state = State::Busy(job);
                    self.send_request(key);
                    self.resume_growing(key);
                }
            }
            return self.pump();
        }
        if readiness.writable {
            self.flush_server(key);
            self.resume_growing(key);
        }
        if readiness.readable || readiness.error {
            self.read_server(key);
        }
        self.pump();
    }

    /// A client whose growing body waited for this server may be read again.
    fn resume_growing(&mut self, key: usize) {
        let request = self.servers.get(key).and_then(Server::job).map(|job| job.request);
        let held = request.and_then(|id| self.held.get(&id)).filter(|h| !h.complete);
        if let Some(client) = held.map(|h| h.client()) {
            self.rest_client(client);
        }
    }

    fn read_server(&mut self, key: usize) {
        let mut scratch = std::mem::take(&mut self.scratch);
        if let Some(server) = self.servers.get_mut(key) {
            match server.socket.read(&mut scratch) {
                Got::Bytes(n) => {
                    server.http.feed(&scratch[..n]);
                    self.server_events(key);
                }
                Got::Nothing => {}
                Got::Closed => match server.http.close() {
                    Some(ClientEvent::End { .. }) => self.answer_whole(key, false),
                    _ => self.server_lost(key),
                },
                Got::Broken => self.server_lost(key),
            }
        }
        self.scratch = scratch;
    }

    fn server_events(&mut self, key: usize) {
        while let Some(server) = self.servers.get_mut(key) {
            let Some(event) = server.http.next_event() else { return self.rest_server(key) };
            match event {
                ClientEvent::Head(head) => self.answer_head(key, head),
                ClientEvent::Body(bytes) => self.answer_body(key, &bytes),
                ClientEvent::End { reusable } => {
                    self.answer_whole(key, reusable);
                    if self.servers.get(key).is_none_or(Server::is_idle) {
                        return;
                    }
                }
                ClientEvent::Fault(fault) => {
                    let id = server.id;
                    tracing::debug!(server = id, "malformed answer: {fault}");
                    return self.server_lost(key);
                }
            }
        }
    }

    /// What an answer's status says of the attempt.
    fn outcome_of(&self, head: &ResponseHead) -> Outcome {
        let not_run = head.headers.contains_key(&self.settings.headers.not_run);
        match head.status {
            StatusCode::SERVICE_UNAVAILABLE if not_run => Outcome::Rejected,
            status if status.is_server_error() => Outcome::Error,
            _ => Outcome::Ok,
        }
    }

    fn answer_head(&mut self, key: usize, head: Box<ResponseHead>) {
        let outcome = self.outcome_of(&head);
        let Some(server) = self.servers.get_mut(key) else { return };
        let State::Busy(job) = &mut server.state else { return };
        let (request, attempt) = (job.request, job.attempt);
        let stream = self.held.get(&request).is_some_and(|h| self.settings.decisions.classes[h.class].stream);
        if outcome != Outcome::Ok {
            // Told at once: what follows of such an answer is read only to use the connection again.
            server.state = State::Discarding(0);
            self.detach(request, attempt);
            self.end_attempt(request, attempt, outcome);
        } else if stream {
            self.pass(key, &head, &[]);
        } else {
            job.answer = Answer::Gathered(head, Vec::new());
        }
    }

    fn answer_body(&mut self, key: usize, bytes: &[u8]) {
        let most = self.settings.connections.keep_answer;
        let Some(server) = self.servers.get_mut(key) else { return };
        match &mut server.state {
            State::Discarding(seen) => {
                *seen += bytes.len();
                if *seen > most {
                    self.close_server(key);
                }
            }
            State::Busy(job) => match &mut job.answer {
                Answer::Gathered(head, body) => {
                    body.extend_from_slice(bytes);
                    if body.len() > most {
                        let (head, body) = (head.clone(), std::mem::take(body));
                        self.pass(key, &head, &body);
                    }
                }
                Answer::Passed => {
                    let request = job.request;
                    if let Some(client) = self.passing_to(request) {
                        self.pass_body(client, bytes);
                        self.flush_client(client);
                    }
                }
                Answer::Awaited => {}
            },
            State::Connecting(_) | State::Idle => {}
        }
    }

    /// From here on the answer is the client's: no time-out of the request applies any more.
    fn pass(&mut self, key: usize, head: &ResponseHead, body: &[u8]) {
        let Some(job) = self.servers.get_mut(key).and_then(Server::job_mut) else { return };
        job.answer = Answer::Passed;
        let (request, attempt) = (job.request, job.attempt);
        let now = self.now();
        if !self.engine.on_stream_started(now, request, attempt) {
            // Somebody else's answer is the client's already.
            self.detach(request, attempt);
            self.close_server(key);
            self.end_attempt(request, attempt, Outcome::Cancelled);
            return;
        }
        let answer = self.draw();
        self.engine.record_delivered_answer(request, attempt, answer);
        let framing = if head.framing == Framing::UntilClose { Framing::Chunked } else { head.framing };
        if let Some(held) = self.held.get_mut(&request) {
            held.passing = Some(key);
        }
        if let Some(client) = self.pass_head(request, head, framing, answer) {
            self.pass_body(client, body);
            self.flush_client(client);
        }
    }

    /// The answer is complete.
    fn answer_whole(&mut self, key: usize, reusable: bool) {
        let Some(server) = self.servers.get_mut(key) else { return };
        // A request that is not written whole cannot be told from a next one by the server.
        let reusable = reusable && !server.socket.waits();
        let state = std::mem::replace(&mut server.state, State::Idle);
        let State::Busy(job) = state else { return self.rest_or_close(key, reusable) };
        let (request, attempt) = (job.request, job.attempt);
        let whole = self.held.get(&request).is_none_or(|h| h.complete);
        self.detach(request, attempt);
        self.rest_or_close(key, reusable && whole);
        match job.answer {
            Answer::Gathered(head, body) => {
                let answer = self.draw();
                self.engine.record_delivered_answer(request, attempt, answer);
                if self.end_attempt(request, attempt, Outcome::Ok) {
                    self.pass_whole(request, &head, &body, answer);
                }
            }
            Answer::Passed => {
                let client = self.passing_to(request);
                self.end_attempt(request, attempt, Outcome::Ok);
                client.into_iter().for_each(|client| self.finish_answer(client));
            }
            Answer::Awaited => {}
        }
    }

    fn pass_whole(&mut self, request: RequestId, head: &ResponseHead, body: &[u8], answer: u64) {
        tracing::debug!(request, status = head.status.as_u16(), "final answer");
        // An answer without a body may still state the length that one would have (HEAD, 304).
        let stated =
            head.headers.get(http::header::CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
        let bodiless = body.is_empty() && head.framing == Framing::Length(0);
        let framing = match stated {
            Some(length) if bodiless => Framing::Length(length),
            None if head.status == StatusCode::NOT_MODIFIED => Framing::UntilClose,
            _ => Framing::Length(body.len() as u64),
        };
        if let Some(client) = self.pass_head(request, head, framing, answer) {
            self.pass_body(client, body);
            self.finish_answer(client);
        }
    }

    fn rest_or_close(&mut self, key: usize, reusable: bool) {
        let most = self.settings.connections.idle_per_server;
        let Some(server) = self.servers.get(key) else { return };
        let idle = self.idle.entry(server.id).or_default();
        if reusable && idle.len() < most {
            idle.push(key);
            self.rest_server(key);
        } else {
            self.close_server(key);
        }
    }

    /// Sends every twentieth request a second time behind the engine's back.
    #[cfg(feature = "sabotage")]
    fn double_send(&mut self, request: RequestId, id: ServerId) {
        if self.sabotage != Some(super::Sabotage::DoubleSend) || !request.is_multiple_of(20) {
            return;
        }
        let (Some(held), Some(addr)) = (self.held.get(&request), self.roster.address(id)) else { return };
        let bytes = [&held.head[..], &held.body].concat();
        std::thread::spawn(move || {
            use std::io::{Read, Write};
            if let Ok(mut stream) = std::net::TcpStream::connect(addr) {
                let _ = stream.write_all(&bytes);
                let _ = stream.set_read_timeout(Some(std::time::Duration::from_millis(500)));
                let _ = stream.read(&mut [0; 1024]);
            }
        });
    }
}
