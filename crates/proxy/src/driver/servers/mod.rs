//! Connections to servers: idle in a pool, or with one attempt in flight.
//!
//! How an attempt's end is reported to the decisions is settled here: `ConnectFailed` only while not one byte
//! of the request was written, `Rejected` only for the answer that the servers' protocol states was never
//! run, `Reset` for a connection that was lost after that, whoever closed it and why.

mod answers;

use super::clients::{Client, InFlightRequest};
use super::timers::{StateTimeout, TimerKind};
use super::{ConnectionId, Proxy};
use calloop::{Interest, Readiness};
use violetseam::interface::{Micros, Outcome, RequestId, ServerId};
use violetseam_event_io::{Socket, connect};
use violetseam_http1::client::ClientConnection;
use violetseam_http1::{ResponseHead, write_chunk, write_last_chunk};

/// A connection to a server.
pub(super) struct Server {
    generation: u64,
    id: ServerId,
    socket: Socket,
    http: ClientConnection,
    state: State,
    timeout: StateTimeout,
}

/// What a connection to a server is doing.
enum State {
    /// Not up yet; nothing was written.
    Connecting(ActiveAttempt),
    /// The request is being written, or its answer read.
    Busy(ActiveAttempt),
    /// The answer is nobody's any more; once it is read the connection can be used again.
    Discarding { body_bytes: usize },
    /// Ready for an attempt.
    Idle,
}

/// The attempt on a connection.
struct ActiveAttempt {
    request: RequestId,
    attempt: usize,
    /// At least one byte of the request was written.
    written: bool,
    answer: AnswerState,
}

/// How far an attempt's answer has come.
enum AnswerState {
    Awaited,
    /// Its head is there, its body is buffered until it is complete.
    Buffered {
        head: Box<ResponseHead>,
        body: Vec<u8>,
    },
    /// It is the client's: passed on as it comes.
    Streaming,
}

impl AnswerState {
    fn is_streaming(&self) -> bool {
        matches!(self, AnswerState::Streaming)
    }
}

impl Server {
    /// No attempt is on it.
    pub fn is_idle(&self) -> bool {
        matches!(self.state, State::Idle | State::Discarding { .. })
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

    fn active(&self) -> Option<&ActiveAttempt> {
        match &self.state {
            State::Connecting(active) | State::Busy(active) => Some(active),
            State::Discarding { .. } | State::Idle => None,
        }
    }

    fn active_mut(&mut self) -> Option<&mut ActiveAttempt> {
        match &mut self.state {
            State::Connecting(active) | State::Busy(active) => Some(active),
            State::Discarding { .. } | State::Idle => None,
        }
    }
}

impl Proxy {
    /// Starts an attempt on an idle connection, or on a new one.
    pub(super) fn start_attempt(&mut self, request: RequestId, attempt: usize, id: ServerId) {
        // Cancelled again by the very actions that started it: nothing of it is sent.
        if !self.engine.is_attempt_pending(request, attempt) {
            return;
        }
        self.count_attempt(id);
        let Some(in_flight) = self.in_flight.get_mut(&request) else { return };
        in_flight.connections.resize(attempt + 1, None);
        let active = ActiveAttempt { request, attempt, written: false, answer: AnswerState::Awaited };
        while let Some(key) = self.idle_servers.get_mut(&id).and_then(Vec::pop) {
            let Some(server) = self.servers.get_mut(key) else { continue };
            // Closed by the server while idle: seen now, the request need not be lost on it.
            if server.socket.is_stale() {
                self.close_server(key);
                continue;
            }
            server.state = State::Busy(active);
            if let Some(in_flight) = self.in_flight.get_mut(&request) {
                in_flight.connections[attempt] = Some(key);
            }
            self.send_request(key);
            #[cfg(feature = "sabotage")]
            self.send_twice(request, id);
            return;
        }
        if self.open_server(id, active).is_none() {
            self.end_attempt(request, attempt, Outcome::ConnectFailed);
        }
    }

    fn open_server(&mut self, id: ServerId, active: ActiveAttempt) -> Option<()> {
        let stream = connect(self.server_list.address(id)?).ok()?;
        let generation = self.next_generation();
        let timeout_at = self.now() + self.settings.connections.connect_timeout;
        let entry = self.servers.vacant_entry();
        let key = entry.key();
        let on_ready = move |readiness: Readiness, proxy: &mut Proxy| proxy.on_server(key, readiness);
        let socket = Socket::register(&self.handle, stream, Interest::WRITE, on_ready).ok()?;
        let request = active.request;
        let attempt = active.attempt;
        let kind = TimerKind::Server(ConnectionId { key, generation });
        entry.insert(Server {
            generation,
            id,
            socket,
            http: ClientConnection::new(self.head_limits),
            state: State::Connecting(active),
            timeout: StateTimeout::start(timeout_at, &mut self.timers, kind),
        });
        if let Some(in_flight) = self.in_flight.get_mut(&request) {
            in_flight.connections[attempt] = Some(key);
        }
        Some(())
    }

    /// Writes the request on a connection that is up.
    fn send_request(&mut self, key: usize) {
        let Some(server) = self.servers.get_mut(key) else { return };
        let Some(active) = server.active() else { return };
        let Some(in_flight) = self.in_flight.get(&active.request) else { return self.close_server(key) };
        let request = active.request;
        let buffered = in_flight.body.len();
        server.http.expect_response(in_flight.is_head_request);
        let out = server.socket.out();
        out.extend_from_slice(&in_flight.head);
        if in_flight.is_chunked {
            write_chunk(out, &in_flight.body);
            if in_flight.is_complete {
                write_last_chunk(out);
            }
        } else {
            out.extend_from_slice(&in_flight.body);
        }
        if !in_flight.is_complete || buffered > self.settings.connections.keep_body {
            // What grows from here on goes to this server alone and is not buffered.
            self.engine.mark_not_repeatable(request);
        }
        self.flush_server(key);
    }

    /// Writes what waits. A connection that breaks before its first byte never carried the request.
    pub(super) fn flush_server(&mut self, key: usize) {
        let Some(server) = self.servers.get_mut(key) else { return };
        let flushed = server.socket.flush();
        if let (Some(active), Ok(n)) = (server.active_mut(), &flushed) {
            active.written |= *n > 0;
        }
        match flushed {
            Ok(_) => self.rearm_server(key),
            Err(_) => self.on_server_lost(key),
        }
    }

    /// Sets what the connection is to be woken for and when its present state has lasted too long.
    pub(super) fn rearm_server(&mut self, key: usize) {
        let now = self.now();
        let settings = &self.settings.connections;
        let Some(server) = self.servers.get_mut(key) else { return };
        let mut reads = true;
        let timeout = match &server.state {
            State::Connecting(_) => return server.socket.want_connected(&self.handle),
            State::Busy(active) if active.answer.is_streaming() => {
                let client = self.in_flight.get(&active.request).map(InFlightRequest::client_key);
                let client = client.and_then(|key| self.clients.get(key));
                reads = !client.is_some_and(Client::is_slow);
                Some(settings.stream_idle)
            }
            State::Busy(_) => None,
            State::Discarding { .. } | State::Idle => Some(settings.server_idle),
        };
        server.timeout.set(timeout.map(|timeout| now + timeout));
        let id = ConnectionId { key, generation: server.generation };
        server.timeout.arm(&mut self.timers, TimerKind::Server(id));
        server.socket.want(&self.handle, reads);
    }

    /// The time that was set for a server connection's state may be over.
    pub(super) fn server_timeout(&mut self, now: Micros, id: ConnectionId) {
        let Some(server) = self.servers.get_mut(id.key).filter(|s| s.generation == id.generation) else {
            return;
        };
        if !server.timeout.on_timer(now, &mut self.timers, TimerKind::Server(id)) {
            return;
        }
        match server.state {
            State::Idle | State::Discarding { .. } => self.close_server(id.key),
            State::Connecting(_) | State::Busy(_) => self.on_server_lost(id.key),
        }
    }

    /// Closes a connection without a report: its attempt, if any, has ended already. It ends before anything
    /// else is written, as the next attempt of the same request would be a second copy beside an open one.
    fn close_server(&mut self, key: usize) {
        if !self.servers.contains(key) {
            return;
        }
        let server = self.servers.remove(key);
        server.socket.end(&self.handle);
        if let Some(idle) = self.idle_servers.get_mut(&server.id) {
            idle.retain(|k| *k != key);
            if idle.is_empty() {
                self.idle_servers.remove(&server.id);
            }
        }
    }

    /// The engine has ended an attempt: its connection closes, as its answer could come at any time.
    pub(super) fn close_attempt(&mut self, request: RequestId, attempt: usize) {
        let Some(request) = self.in_flight.get_mut(&request) else { return };
        let connection = request.connections.get_mut(attempt).and_then(Option::take);
        if let Some(key) = connection {
            self.close_server(key);
        }
    }

    /// The connection is gone: what that says of its attempt depends on whether a byte of it was written.
    fn on_server_lost(&mut self, key: usize) {
        let Some(server) = self.servers.get(key) else { return };
        let active = match &server.state {
            State::Connecting(active) | State::Busy(active) => active,
            State::Discarding { .. } | State::Idle => return self.close_server(key),
        };
        let request = active.request;
        let attempt = active.attempt;
        let outcome = if active.written { Outcome::Reset } else { Outcome::ConnectFailed };
        let was_streaming = active.answer.is_streaming();
        self.close_server(key);
        self.detach_attempt(request, attempt);
        // The client has had the answer's beginning: closing is all that can tell it.
        if was_streaming && let Some(client) = self.waiting_client(request) {
            self.close_client(client);
        }
        self.end_attempt(request, attempt, outcome);
    }

    /// The attempt is no longer on a connection.
    fn detach_attempt(&mut self, request: RequestId, attempt: usize) {
        let Some(request) = self.in_flight.get_mut(&request) else { return };
        if let Some(connection) = request.connections.get_mut(attempt) {
            *connection = None;
        }
    }

    fn on_server(&mut self, key: usize, readiness: Readiness) {
        let Some(server) = self.servers.get_mut(key) else { return };
        if matches!(server.state, State::Connecting(_)) {
            if server.socket.connect_error().is_some() {
                self.on_server_lost(key);
            } else if readiness.writable {
                self.on_server_connected(key);
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

    fn on_server_connected(&mut self, key: usize) {
        let now = self.now();
        let Some(active) = self.servers.get(key).and_then(Server::active) else { return };
        // Decided a while ago: asked again before the first byte, as its server may run it from then on.
        if !self.engine.may_send(now, active.request, active.attempt) {
            return;
        }
        let Some(server) = self.servers.get_mut(key) else { return };
        if let State::Connecting(active) = std::mem::replace(&mut server.state, State::Idle) {
            server.state = State::Busy(active);
            self.send_request(key);
            self.resume_growing(key);
        }
    }

    /// A client whose growing body waited for this server may be read again.
    fn resume_growing(&mut self, key: usize) {
        let request = self.servers.get(key).and_then(Server::active).map(|active| active.request);
        let request = request.and_then(|id| self.in_flight.get(&id));
        if let Some(request) = request.filter(|request| !request.is_complete) {
            self.rearm_client(request.client_key());
        }
    }

    /// Keeps a connection for later attempts, if it can carry them and there are not too many.
    fn pool_or_close(&mut self, key: usize, reusable: bool) {
        let max_idle = self.settings.connections.idle_per_server;
        let Some(server) = self.servers.get(key) else { return };
        let idle = self.idle_servers.entry(server.id).or_default();
        if reusable && idle.len() < max_idle {
            idle.push(key);
            self.rearm_server(key);
        } else {
            self.close_server(key);
        }
    }

    /// Sends every twentieth request a second time behind the engine's back.
    #[cfg(feature = "sabotage")]
    fn send_twice(&mut self, request: RequestId, id: ServerId) {
        if self.sabotage != Some(super::Sabotage::DoubleSend) || !request.is_multiple_of(20) {
            return;
        }
        let Some(in_flight) = self.in_flight.get(&request) else { return };
        let Some(addr) = self.server_list.address(id) else { return };
        let bytes = [&in_flight.head[..], &in_flight.body].concat();
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
