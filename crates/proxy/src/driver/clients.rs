//! Client connections: from bytes to a whole request for the engine, and from an answer to bytes.

use super::ConnectionId;
use super::Proxy;
use super::timers::{ACCEPT_PAUSE, TimerKind};
use crate::engine::LocalResponse;
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, Readiness};
use http::header::{HeaderMap, HeaderName, RETRY_AFTER, VIA};
use http::{Method, StatusCode};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use violetseam::interface::{Idempotency, Micros, Request, RequestId};
use violetseam_http1::client::write_request_head;
use violetseam_http1::server::{ServerConn, ServerEvent};
use violetseam_http1::{Framing, RequestHead, ResponseHead, write_chunk, write_last_chunk};
use violetseam_loopio::{Got, HIGH_WATER, Socket, listen};
use violetseam_settings::HalfClose;
use violetseam_site::{flag, key_number};

/// Connections accepted in one turn of the loop.
const ACCEPTS_MOST: usize = 128;
/// A client's unread input is bounded by this and one read.
const INPUT_MOST: usize = 64 * 1024;
/// A closed connection's input is read and dropped for so long.
const LINGER: Micros = 1_000_000;
/// While draining, a connection that has carried no request yet may take so long to begin its first one.
const FIRST_REQUEST: Micros = 1_000_000;
/// Says how a final answer came about: served, refused or failed.
const OUTCOME: HeaderName = HeaderName::from_static("violetseam-answer");

/// A client connection.
pub(super) struct Client {
    generation: u64,
    socket: Socket,
    http: ServerConn,
    state: State,
    /// A request's head has come on it.
    used: bool,
    /// The client closed its side; it may still read.
    half_closed: bool,
    /// When the present state has lasted too long, and when a timer looks at that.
    limit_at: Micros,
    armed_at: Micros,
}

enum State {
    /// Between requests, or within a head.
    Idle,
    /// A head has come; its body is on the way.
    Collecting(Box<Pending>),
    /// The engine has the request.
    Waiting(RequestId),
    /// The last answer is being written.
    Closing,
    /// It is written and this side closed. What the client still sends is read and dropped for a while: to
    /// close at once would reset the connection, and the answer could be lost before it is read.
    Lingering,
}

/// A request whose body is not complete.
struct Pending {
    head: RequestHead,
    arrived: Micros,
    purpose: Purpose,
    body: Vec<u8>,
}

enum Purpose {
    /// To be routed, as of this class.
    Route(usize),
    /// A report of a wrong answer.
    Flag,
    /// To be answered so, once it is complete.
    Decline(StatusCode, &'static str),
}

/// What accepting has left in a listener's queue.
enum Queue {
    Empty,
    /// More may wait that could be taken now.
    More,
    /// No room or descriptor for what waits: accepting pauses.
    Paused,
}

/// A request that the engine has: what it takes to send it, and where its answer goes.
pub(super) struct Held {
    client: usize,
    client_generation: u64,
    pub class: usize,
    pub head: Vec<u8>,
    pub to_head: bool,
    /// What is kept of the body; all of it, unless the request grows.
    pub body: Vec<u8>,
    pub chunked: bool,
    /// The body is complete.
    pub complete: bool,
    /// Connections of the attempts, by number.
    pub attempts: Vec<Option<usize>>,
    /// The connection whose answer is being passed on.
    pub passing: Option<usize>,
}

impl Client {
    /// Nothing is owed and nothing of a next request has come.
    pub fn is_between_requests(&self) -> bool {
        matches!(self.state, State::Idle) && self.http.is_idle()
    }

    /// It takes its answer slower than it comes.
    pub fn is_slow(&self) -> bool {
        self.socket.unwritten() > HIGH_WATER
    }
}

impl Held {
    /// Where the client's connection stands.
    pub fn client(&self) -> usize {
        self.client
    }
}

impl Proxy {
    pub(super) fn bind_listeners(&mut self) -> std::io::Result<()> {
        let settings = self.settings.clone();
        for addr in &settings.listen {
            self.add_listener(listen(*addr, 4096)?)?;
        }
        Ok(())
    }

    /// Puts a listening socket on the loop.
    pub(super) fn add_listener(&mut self, listener: TcpListener) -> std::io::Result<()> {
        let listener: Rc<TcpListener> = Rc::new(listener);
        let source = Generic::new(listener.clone(), Interest::READ, Mode::Level);
        let token = self
            .handle
            .insert_source(source, |_, listener, proxy: &mut Proxy| {
                proxy.accept(listener);
                Ok(PostAction::Continue)
            })
            .map_err(|e| std::io::Error::other(e.to_string()))?;
        self.listeners.push((listener, Some(token)));
        Ok(())
    }

    /// Accepts one turn's share.
    fn accept(&mut self, listener: &TcpListener) -> Queue {
        self.had_socket_events = true;
        for _ in 0..ACCEPTS_MOST {
            if self.clients.len() >= self.settings.connections.max_clients {
                self.pause_accepting("as many clients as the settings allow");
                return Queue::Paused;
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    if let Err(e) = self.add_client(stream) {
                        tracing::warn!("client not taken: {e}");
                    }
                }
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return Queue::Empty,
                // The client left before it was accepted.
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionAborted => {}
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                // Out of descriptors or memory: connections wait in the kernel's queue, none is lost.
                Err(e) => {
                    self.pause_accepting(&e.to_string());
                    return Queue::Paused;
                }
            }
        }
        Queue::More
    }

    /// Stops or goes on accepting.
    pub(super) fn set_accepting(&mut self, accepting: bool) {
        for (_, token) in &self.listeners {
            let set = |token| if accepting { self.handle.enable(token) } else { self.handle.disable(token) };
            token.iter().for_each(|token| drop(set(token)));
        }
    }

    fn pause_accepting(&mut self, why: &str) {
        let now = self.now();
        if self.log_limit.allows(now) {
            tracing::warn!(open = self.clients.len(), "accepting pauses: {why}");
        }
        self.set_accepting(false);
        self.timers.set(now + ACCEPT_PAUSE, TimerKind::Accept);
    }

    /// Takes what waits in the kernel's queues, so that none is reset, and listens no more once they are empty. Where
    /// there is no room for all, the rest is taken as clients leave, for as long as it may have an answer in time.
    pub(super) fn drain_queues(&mut self) {
        let listeners: Vec<Rc<TcpListener>> = self.listeners.iter().map(|(l, _)| l.clone()).collect();
        if listeners.iter().all(|listener| self.drain_queue(listener)) || self.now() >= self.listen_until {
            self.stop_listening();
        }
    }

    /// Whether nothing is left in a listener's queue.
    fn drain_queue(&mut self, listener: &TcpListener) -> bool {
        loop {
            match self.accept(listener) {
                Queue::Empty => return true,
                Queue::More => {}
                Queue::Paused => return false,
            }
        }
    }

    /// When a drain gives up what still waits for room: first requests have had their time to come, and those that
    /// keep the room their deadline.
    pub(super) fn last_listening(&self) -> Micros {
        self.now() + FIRST_REQUEST + self.settings.decisions.longest_deadline()
    }

    /// Closes the listeners.
    pub(super) fn stop_listening(&mut self) {
        for (_, token) in self.listeners.drain(..) {
            token.into_iter().for_each(|token| self.handle.remove(token));
        }
    }

    /// Connections between requests.
    pub(super) fn idle_clients(&self) -> Vec<usize> {
        self.clients.iter().filter(|(_, c)| c.is_between_requests()).map(|(key, _)| key).collect()
    }

    /// The sockets of these connections.
    pub(super) fn streams_of(&self, keys: &[usize]) -> Vec<&TcpStream> {
        keys.iter().filter_map(|key| Some(self.clients.get(*key)?.socket.stream())).collect()
    }

    /// Before a drain: what has come on idle connections is read. The others close, but those whose first request
    /// may be on its way.
    pub(super) fn close_idle_clients(&mut self) {
        for key in self.idle_clients() {
            self.read_client(key);
            if self.clients.get(key).is_some_and(|c| c.used && c.is_between_requests()) {
                self.close_client(key);
            }
        }
    }

    /// After a drain that was called off: connections between requests have their ordinary time again.
    pub(super) fn keep_idle_clients(&mut self) {
        for key in self.idle_clients() {
            self.clients[key].limit_at = Micros::MAX;
            self.rest_client(key);
        }
    }

    /// How long a connection may be idle that has carried no request yet.
    fn unused_span(&self) -> Micros {
        let idle = self.settings.connections.client_idle;
        if self.draining { idle.min(FIRST_REQUEST) } else { idle }
    }

    pub(super) fn accept_again(&mut self) {
        if self.draining {
            self.drain_queues();
        } else if !self.is_handing_over() {
            self.set_accepting(true);
        }
    }

    pub(super) fn add_client(&mut self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let generation = self.next_generation();
        let limit_at = self.now() + self.unused_span();
        let http = ServerConn::new(self.head_limits);
        let entry = self.clients.vacant_entry();
        let key = entry.key();
        let on_ready = move |readiness: Readiness, proxy: &mut Proxy| proxy.on_client(key, readiness);
        let socket = Socket::register(&self.handle, stream, Interest::READ, on_ready)?;
        entry.insert(Client {
            generation,
            socket,
            http,
            state: State::Idle,
            used: false,
            half_closed: false,
            limit_at,
            armed_at: limit_at,
        });
        self.timers.set(limit_at, TimerKind::Client(ConnectionId { key, generation }));
        Ok(())
    }

    pub(super) fn close_client(&mut self, key: usize) {
        if self.clients.contains(key) {
            self.clients.remove(key).socket.remove(&self.handle);
        }
    }

    /// The connection broke, or its client closed it: nothing is owed any more.
    fn client_gone(&mut self, key: usize) {
        let Some(client) = self.clients.get(key) else { return };
        let waiting = if let State::Waiting(id) = client.state { Some(id) } else { None };
        self.close_client(key);
        if let Some(id) = waiting {
            let now = self.now();
            self.engine.on_client_disconnected(now, id);
        }
    }

    fn on_client(&mut self, key: usize, readiness: Readiness) {
        if readiness.writable {
            self.flush_client(key);
        }
        if readiness.readable || readiness.error {
            self.read_client(key);
        }
        self.pump();
    }

    fn read_client(&mut self, key: usize) {
        let mut scratch = std::mem::take(&mut self.scratch);
        if let Some(client) = self.clients.get_mut(key) {
            match client.socket.read(&mut scratch) {
                Got::Bytes(n) => {
                    client.http.feed(&scratch[..n]);
                    self.client_events(key);
                }
                Got::Nothing => {}
                Got::Closed => self.client_closed_its_side(key),
                Got::Broken => self.client_gone(key),
            }
        }
        self.scratch = scratch;
        self.rest_client(key);
    }

    fn client_closed_its_side(&mut self, key: usize) {
        let Some(client) = self.clients.get_mut(key) else { return };
        let serve = self.settings.connections.half_close == HalfClose::Serve;
        match client.state {
            State::Waiting(id) if serve && self.held.get(&id).is_some_and(|h| h.complete) => {
                client.half_closed = true;
            }
            State::Closing => client.half_closed = true,
            State::Lingering => self.close_client(key),
            _ => self.client_gone(key),
        }
    }

    /// Sets what the connection is to be woken for and when its present state has lasted too long.
    pub(super) fn rest_client(&mut self, key: usize) {
        let now = self.now();
        let settings = self.settings.clone();
        let c = &settings.connections;
        let unused_span = self.unused_span();
        let is_handing_over = self.is_handing_over();
        let Some(client) = self.clients.get_mut(key) else { return };
        let span = match &client.state {
            State::Waiting(_) => None,
            State::Collecting(_) => Some(c.body_timeout),
            State::Idle if client.http.is_receiving() => Some(c.head_timeout),
            State::Idle if client.used => Some(c.client_idle),
            State::Idle => Some(unused_span),
            State::Closing => Some(c.head_timeout),
            State::Lingering => Some(LINGER),
        };
        let running = client.limit_at != Micros::MAX;
        match span {
            None => client.limit_at = Micros::MAX,
            // A client that trickles its head must not push its own limit on with each byte.
            Some(span) if running && client.limit_at <= now + span => {}
            Some(span) => client.limit_at = now + span,
        }
        if client.limit_at < client.armed_at {
            client.armed_at = client.limit_at;
            self.timers
                .set(client.limit_at, TimerKind::Client(ConnectionId { key, generation: client.generation }));
        }
        let growing = match client.state {
            State::Waiting(id) => self.held.get(&id).filter(|h| !h.complete),
            _ => None,
        };
        // A body that grows is read as fast as its server takes it, and not before it has one.
        let stuck = growing.is_some_and(|h| {
            let on = h.attempts.iter().rev().flatten().next().and_then(|&s| self.servers.get(s));
            on.is_none_or(|s| s.unwritten() > HIGH_WATER) && h.body.len() > c.keep_body
        });
        let full = client.http.held() > INPUT_MOST || client.socket.unwritten() > HIGH_WATER;
        // While a process takes over, what comes next on a connection is for whoever has it then.
        client.socket.want(&self.handle, !client.half_closed && !stuck && !full && !is_handing_over);
    }

    pub(super) fn client_timeout(&mut self, now: Micros, id: ConnectionId) {
        let ConnectionId { key, generation } = id;
        let Some(client) = self.clients.get_mut(key).filter(|c| c.generation == generation) else { return };
        client.armed_at = Micros::MAX;
        if client.limit_at > now {
            if client.limit_at < Micros::MAX {
                client.armed_at = client.limit_at;
                self.timers.set(client.limit_at, TimerKind::Client(ConnectionId { key, generation }));
            }
            return;
        }
        let receiving = client.http.is_receiving() || matches!(client.state, State::Collecting(_));
        if receiving && !matches!(client.state, State::Closing | State::Lingering) {
            self.decline(key, StatusCode::REQUEST_TIMEOUT, "the request did not come in time");
        } else {
            self.close_client(key);
        }
    }

    /// Plays what a client's input gives, until it gives nothing more for now.
    fn client_events(&mut self, key: usize) {
        while let Some(client) = self.clients.get_mut(key) {
            let Some(event) = client.http.next_event() else { return };
            match event {
                ServerEvent::Head(head) => self.on_head(key, *head),
                ServerEvent::Body(bytes) => self.on_body(key, bytes),
                ServerEvent::End => self.on_end(key),
                ServerEvent::Fault(fault) => {
                    tracing::debug!("request refused: {fault}");
                    if let State::Waiting(id) = client.state {
                        client.state = State::Idle;
                        let now = self.now();
                        self.engine.on_client_disconnected(now, id);
                    }
                    self.decline(key, fault.status, fault.reason);
                }
            }
        }
    }

    /// Goes on with input that waited for the answer before it.
    pub(super) fn resume_client(&mut self, id: ConnectionId) {
        let ConnectionId { key, generation } = id;
        if self.clients.get(key).is_some_and(|c| c.generation == generation) {
            self.client_events(key);
            self.rest_client(key);
        }
    }

    fn on_head(&mut self, key: usize, head: RequestHead) {
        let purpose = self.purpose(&head);
        // The client's wait began when it sent; how late this loop is, the head may have lain unread.
        let now = self.now();
        let arrived = now - self.timers.behind(now, self.engine.next_deadline());
        let Some(client) = self.clients.get_mut(key) else { return };
        client.used = true;
        if head.expects_continue {
            client.http.write_continue(client.socket.out());
            client.state = State::Collecting(Box::new(Pending { head, arrived, purpose, body: Vec::new() }));
            return self.flush_client(key);
        }
        client.state = State::Collecting(Box::new(Pending { head, arrived, purpose, body: Vec::new() }));
    }

    fn purpose(&self, head: &RequestHead) -> Purpose {
        let s = &self.settings;
        let path = head.target.split(['?', '#']).next().unwrap_or("");
        if path == s.connections.flag_path {
            return match head.method {
                Method::POST => Purpose::Flag,
                _ => Purpose::Decline(StatusCode::METHOD_NOT_ALLOWED, "reports are posted"),
            };
        }
        let distributed = self.subscription.as_ref().and_then(|subscription| subscription.table());
        let routes = distributed.unwrap_or(&s.route_table);
        let Some(route) = routes.find(&head.method, path) else {
            return Purpose::Decline(StatusCode::NOT_FOUND, "no route");
        };
        // Without its key no server could drop a repeat.
        let keyed = s.decisions.classes[route.class].idempotency == Idempotency::Keyed;
        if keyed && !head.headers.contains_key(&s.headers.key) {
            return Purpose::Decline(StatusCode::BAD_REQUEST, "a request of this class needs its key");
        }
        Purpose::Route(route.class)
    }

    fn on_body(&mut self, key: usize, bytes: Vec<u8>) {
        let keep = self.settings.connections.keep_body;
        let Some(client) = self.clients.get_mut(key) else { return };
        match &mut client.state {
            State::Collecting(pending) => {
                match pending.purpose {
                    Purpose::Decline(..) => return,
                    Purpose::Flag if pending.body.len() > flag::BODY_MOST => return,
                    _ => pending.body.extend_from_slice(&bytes),
                }
                if pending.body.len() > keep && matches!(pending.purpose, Purpose::Route(_)) {
                    self.begin_request(key, false);
                }
            }
            State::Waiting(id) => {
                let id = *id;
                self.grow(id, &bytes);
            }
            State::Idle | State::Closing | State::Lingering => {}
        }
    }

    fn on_end(&mut self, key: usize) {
        let Some(client) = self.clients.get_mut(key) else { return };
        match &client.state {
            State::Collecting(pending) => match pending.purpose {
                Purpose::Route(_) => self.begin_request(key, true),
                Purpose::Flag => self.on_flag(key),
                Purpose::Decline(status, reason) => self.decline(key, status, reason),
            },
            State::Waiting(id) => {
                let id = *id;
                self.grown(id);
            }
            State::Idle | State::Closing | State::Lingering => {}
        }
    }

    /// Hands a request to the engine: complete, or past what is kept of it (`complete` false).
    fn begin_request(&mut self, key: usize, complete: bool) {
        let settings = self.settings.clone();
        let Some(client) = self.clients.get_mut(key) else { return };
        let State::Collecting(pending) = std::mem::replace(&mut client.state, State::Idle) else { return };
        let Pending { head, arrived, purpose: Purpose::Route(class), body } = *pending else { return };
        let framing = if complete { Framing::Length(body.len() as u64) } else { head.framing };
        let names = &settings.headers;
        let mut bytes = Vec::with_capacity(256);
        let kept = [
            names.key.clone(),
            names.tenant.clone(),
            names.cost.clone(),
            names.deadline.clone(),
            names.retry.clone(),
        ];
        write_request_head(&mut bytes, &head, &kept, &[("via", self.via.as_bytes())], framing);
        let text = |name: &HeaderName| head.headers.get(name).and_then(|v| v.to_str().ok());
        let number = |name: &HeaderName| text(name).and_then(|v| v.trim().parse::<u64>().ok());
        let longest = settings.decisions.classes[class].deadline;
        let wait = number(&names.deadline).map_or(longest, |ms| ms.saturating_mul(1_000).min(longest));
        let unknown = settings.decisions.tenants.len();
        let tenant = text(&names.tenant).and_then(|name| settings.tenants.get(name).copied());
        let request = Request {
            id: 0,
            deadline: arrived + wait,
            class,
            cost_hint: number(&names.cost).filter(|us| *us > 0 && *us < 3_600_000_000),
            key: head.headers.get(&names.key).map(|v| key_number(v.as_bytes())),
            tenant: tenant.unwrap_or(unknown),
            is_retry: head.headers.contains_key(&names.retry),
        };
        let held = Held {
            client: key,
            client_generation: client.generation,
            class,
            head: bytes,
            to_head: head.method == Method::HEAD,
            body,
            chunked: framing == Framing::Chunked,
            complete,
            attempts: Vec::new(),
            passing: None,
        };
        let now = self.now();
        let id = self.engine.on_request(now, request, true);
        if let Some(client) = self.clients.get_mut(key) {
            client.state = State::Waiting(id);
        }
        self.held.insert(id, held);
    }

    /// More of a growing body: to the server that has the rest, or kept until there is one.
    fn grow(&mut self, id: RequestId, bytes: &[u8]) {
        let Some(held) = self.held.get_mut(&id) else { return };
        let on = held.attempts.last().copied().flatten();
        match on.and_then(|key| self.servers.get_mut(key)) {
            Some(server) if server.took_request() => {
                let chunked = held.chunked;
                let out = server.out();
                if chunked {
                    write_chunk(out, bytes)
                } else {
                    out.extend_from_slice(bytes)
                }
                self.engine.mark_not_repeatable(id);
                on.into_iter().for_each(|key| self.flush_server(key));
            }
            _ => held.body.extend_from_slice(bytes),
        }
    }

    /// A growing body is complete.
    fn grown(&mut self, id: RequestId) {
        let Some(held) = self.held.get_mut(&id) else { return };
        held.complete = true;
        let on = held.attempts.last().copied().flatten();
        if let Some(server) = on.and_then(|key| self.servers.get_mut(key)).filter(|s| s.took_request()) {
            if held.chunked {
                write_last_chunk(server.out());
            }
            on.into_iter().for_each(|key| self.flush_server(key));
        }
    }

    fn on_flag(&mut self, key: usize) {
        let now = self.now();
        let Some(client) = self.clients.get_mut(key) else { return };
        let State::Collecting(pending) = std::mem::replace(&mut client.state, State::Idle) else { return };
        match flag::parse(&pending.body) {
            Ok(answer) if self.engine.on_answer_reported(now, answer) => {
                self.write_own(key, StatusCode::ACCEPTED, "", &[], false);
            }
            Ok(_) => self.write_own(key, StatusCode::NOT_FOUND, "no such answer\n", &[], false),
            Err(fault) => {
                self.write_own(key, StatusCode::BAD_REQUEST, &format!("{fault}\n"), &[], false);
            }
        }
    }

    /// Answers what never reaches the engine. Faults close the connection, refused routes do not.
    fn decline(&mut self, key: usize, status: StatusCode, reason: &str) {
        let Some(client) = self.clients.get_mut(key) else { return };
        client.state = State::Idle;
        self.write_own(key, status, &format!("{reason}\n"), &[], false);
    }

    /// Writes an answer of the proxy's own.
    fn write_own(
        &mut self,
        key: usize,
        status: StatusCode,
        body: &str,
        extra: &[(HeaderName, &[u8])],
        close: bool,
    ) {
        let close = close || self.is_leaving();
        let Some(client) = self.clients.get_mut(key) else { return };
        let mut fields = vec![(VIA, self.via.as_bytes())];
        if !body.is_empty() {
            fields.push((http::header::CONTENT_TYPE, b"text/plain"));
        }
        fields.extend_from_slice(extra);
        let framing = Framing::Length(body.len() as u64);
        client.http.start_answer(client.socket.out(), status, &HeaderMap::new(), &fields, framing, close);
        client.http.write_body(client.socket.out(), body.as_bytes());
        self.finish_answer(key);
    }

    /// A final answer that no server gave: refused 503, failed 502 or 504.
    pub(super) fn respond_now(&mut self, request: RequestId, answer: LocalResponse) {
        let Some((key, _)) = self.client_of(request) else { return };
        tracing::debug!(request, ?answer, "final answer");
        match answer {
            LocalResponse::Rejected { retry_after } => {
                // Whole seconds are all the field can say; rounded up, as "not before" is what it means.
                let seconds = retry_after.div_ceil(1_000_000).to_string();
                let advice = (RETRY_AFTER, seconds.as_bytes());
                let outcome = (OUTCOME, &b"refused"[..]);
                let fields = if retry_after > 0 { vec![outcome, advice] } else { vec![outcome] };
                self.write_own(key, StatusCode::SERVICE_UNAVAILABLE, "refused\n", &fields, false);
            }
            LocalResponse::Failed { timed_out } => {
                let status = if timed_out { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
                self.write_own(key, status, "failed\n", &[(OUTCOME, b"failed")], false);
            }
        }
    }

    /// The client that waits for a request, and the request as held.
    fn client_of(&mut self, id: RequestId) -> Option<(usize, &Held)> {
        let held = self.held.get(&id)?;
        let client = self.clients.get(held.client)?;
        let waits = matches!(client.state, State::Waiting(waiting) if waiting == id);
        (waits && client.generation == held.client_generation).then_some((held.client, held))
    }

    /// Starts passing a server's answer on.
    pub(super) fn pass_head(
        &mut self,
        id: RequestId,
        head: &ResponseHead,
        framing: Framing,
        answer: u64,
    ) -> Option<usize> {
        let (key, _) = self.client_of(id)?;
        let answer = flag::write_id(answer);
        let leaving = self.is_leaving();
        let client = self.clients.get_mut(key)?;
        let fields = [
            (VIA, self.via.as_bytes()),
            (self.settings.headers.answer.clone(), answer.as_bytes()),
            (OUTCOME, &b"served"[..]),
        ];
        let out = client.socket.out();
        client.http.start_answer(out, head.status, &head.headers, &fields, framing, leaving);
        Some(key)
    }

    /// Passes body bytes on; whether the client takes more for now.
    pub(super) fn pass_body(&mut self, key: usize, bytes: &[u8]) -> bool {
        let Some(client) = self.clients.get_mut(key) else { return true };
        client.http.write_body(client.socket.out(), bytes);
        client.socket.unwritten() <= HIGH_WATER
    }

    /// The client that an answer is being passed on to.
    pub(super) fn passing_to(&mut self, id: RequestId) -> Option<usize> {
        self.client_of(id).map(|(key, _)| key)
    }

    /// The present answer is complete: the connection carries on or closes once all is written.
    pub(super) fn finish_answer(&mut self, key: usize) {
        let Some(client) = self.clients.get_mut(key) else { return };
        let carries_on = client.http.finish_answer(client.socket.out()) && !client.half_closed;
        client.state = if carries_on { State::Idle } else { State::Closing };
        self.flush_client(key);
    }

    /// Writes what waits; then the connection may close, or a next request or a paused server go on.
    pub(super) fn flush_client(&mut self, key: usize) {
        let Some(client) = self.clients.get_mut(key) else { return };
        if client.socket.flush().is_err() {
            return self.client_gone(key);
        }
        let drained = !client.socket.waits();
        match client.state {
            State::Closing if drained && client.half_closed => return self.close_client(key),
            State::Closing if drained => {
                client.state = State::Lingering;
                client.limit_at = Micros::MAX;
                client.socket.close_write();
            }
            State::Waiting(id) if client.socket.unwritten() <= HIGH_WATER => {
                let server = self.held.get(&id).and_then(|h| h.passing);
                server.into_iter().for_each(|server| self.rest_server(server));
            }
            State::Idle if self.draining && client.http.is_idle() && drained => {
                return self.close_client(key);
            }
            // A pipelined request may be waiting in the input: it gets its turn from `pump`, as to play it
            // from here would go a level deeper with each one that is answered at once.
            State::Idle if client.http.held() > 0 => {
                self.resumed_clients.push(ConnectionId { key, generation: client.generation })
            }
            _ => {}
        }
        self.rest_client(key);
    }

    /// The engine has nothing in hand of the request any more.
    pub(super) fn forget(&mut self, id: RequestId) {
        self.held.remove(&id);
    }
}
