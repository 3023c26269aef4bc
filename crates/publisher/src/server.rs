//! The server: accepts connections, passes requests to the service, and writes published updates to the
//! watches.

use crate::connection::{BodyBudget, Connection, ReadResult};
use crate::http_messages::{Request, Response};
use crate::service::{Outcome, RequestContext, Service};
use crate::settings::Bounds;
use crate::watch::{Watch, WatchCheck};
use calloop::generic::Generic;
use calloop::timer::{TimeoutAction, Timer};
use calloop::{Interest, LoopHandle, Mode, PostAction, Readiness, RegistrationToken};
use http::StatusCode;
use slab::Slab;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};
use violetseam_distribution::Micros;
use violetseam_distribution::message::Line;
use violetseam_distribution::subscriber::HEARTBEAT_INTERVAL;
use violetseam_event_io::Socket;
use violetseam_event_io::log_rate_limit::LogRateLimit;
use violetseam_event_io::timers::Timers;
use violetseam_http1::server::ServerEvent;

/// After a connection could not be accepted, none is accepted for this long.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Each connection is checked at least this often, in microseconds.
const CHECK_INTERVAL: Micros = HEARTBEAT_INTERVAL;

/// A timer for the periodic check of a connection. If the connection has been closed since, its key is unused
/// or belongs to a connection of another generation, and the timer has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ConnectionCheck {
    key: usize,
    generation: u64,
}

/// A publisher's service and its connections, on the event loop.
pub(crate) struct Server {
    bounds: Bounds,
    loop_handle: LoopHandle<'static, Server>,
    service: Service,
    connections: Slab<Connection>,
    next_generation: u64,
    /// The connection key of each subscriber's watch.
    watches: HashMap<String, usize>,
    body_budget: BodyBudget,
    timers: Timers<ConnectionCheck>,
    log_rate_limit: LogRateLimit,
    started_at: Instant,
    stopping: bool,
    listener_token: Option<RegistrationToken>,
}

impl Server {
    pub(crate) fn new(bounds: Bounds, loop_handle: LoopHandle<'static, Server>, service: Service) -> Server {
        Server {
            bounds,
            loop_handle,
            service,
            connections: Slab::new(),
            next_generation: 1,
            watches: HashMap::new(),
            body_budget: BodyBudget::new(bounds.body_bytes),
            timers: Timers::default(),
            log_rate_limit: LogRateLimit::default(),
            started_at: Instant::now(),
            stopping: false,
            listener_token: None,
        }
    }

    /// Starts to accept connections on this listener.
    pub(crate) fn listen_on(&mut self, listener: TcpListener) -> Result<(), calloop::Error> {
        let source = Generic::new(listener, Interest::READ, Mode::Level);
        let token = self.loop_handle.insert_source(source, |_, listener, server: &mut Server| {
            server.accept(listener);
            Ok(PostAction::Continue)
        });
        self.listener_token = Some(token.map_err(|error| error.error)?);
        Ok(())
    }

    /// Ends the event loop once the current events are processed.
    pub(crate) fn stop(&mut self) {
        self.stopping = true;
    }

    pub(crate) fn is_running(&self) -> bool {
        !self.stopping && !self.service.has_failed()
    }

    /// Closes the connections and returns the service.
    pub(crate) fn into_service(self) -> Service {
        self.service
    }

    /// How long the event loop may wait for events before a timer is due.
    pub(crate) fn poll_timeout(&self) -> Duration {
        self.timers.poll_timeout(self.now(), None)
    }

    /// Runs the checks of connections that are due: sends heartbeats, and closes the connections of slow
    /// readers and idle ones.
    pub(crate) fn check_due_connections(&mut self) {
        let now = self.now();
        while let Some(check) = self.timers.pop(now) {
            let key = check.key;
            let is_live = |connection: &&mut Connection| connection.generation() == check.generation;
            let Some(connection) = self.connections.get_mut(key).filter(is_live) else { continue };
            let next_check_at = match &connection.watch {
                Some(_) => self.check_watch(key, now),
                None if connection.is_idle(now) => None,
                None => Some(now + CHECK_INTERVAL),
            };
            match next_check_at {
                Some(at) => self.timers.set(at, check),
                None => self.close(key),
            }
        }
    }

    /// The time on the event loop's clock, in microseconds since the server was created.
    fn now(&self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros
    }

    fn accept(&mut self, listener: &TcpListener) {
        loop {
            match listener.accept() {
                Ok((stream, _)) if self.connections.len() < self.bounds.connections => {
                    self.add_connection(stream);
                }
                Ok(_) => {
                    if self.log_rate_limit.allows(self.now()) {
                        tracing::warn!(
                            connections = self.connections.len(),
                            "connection closed: the maximum number of connections is open"
                        );
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::ConnectionAborted => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => {
                    if self.log_rate_limit.allows(self.now()) {
                        tracing::warn!("cannot accept connections: {error}");
                    }
                    return self.pause_accepting();
                }
            }
        }
    }

    /// Stops accepting connections for [`ACCEPT_PAUSE`], because the system lacks the resources for another
    /// one.
    fn pause_accepting(&mut self) {
        let Some(token) = self.listener_token else { return };
        let resume = move |_, _: &mut (), server: &mut Server| {
            let _ = server.loop_handle.enable(&token);
            TimeoutAction::Drop
        };
        // Without a timer that ends the pause, the listener stays enabled.
        if self.loop_handle.insert_source(Timer::from_duration(ACCEPT_PAUSE), resume).is_ok() {
            let _ = self.loop_handle.disable(&token);
        }
    }

    fn add_connection(&mut self, stream: TcpStream) {
        if stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true)).is_err() {
            return;
        }
        let now = self.now();
        let generation = self.next_generation;
        self.next_generation += 1;
        let entry = self.connections.vacant_entry();
        let key = entry.key();
        let on_ready = move |ready: Readiness, server: &mut Server| server.on_ready(key, ready);
        let Ok(socket) = Socket::register(&self.loop_handle, stream, Interest::READ, on_ready) else {
            return;
        };
        entry.insert(Connection::new(generation, socket, self.bounds.body_bytes, now));
        self.timers.set(now + CHECK_INTERVAL, ConnectionCheck { key, generation });
    }

    fn close(&mut self, key: usize) {
        if !self.connections.contains(key) {
            return;
        }
        let mut connection = self.connections.remove(key);
        connection.socket.remove(&self.loop_handle);
        connection.discard_body(&mut self.body_budget);
        if let Some(watch) = &connection.watch
            && self.watches.get(watch.subscriber()) == Some(&key)
        {
            self.watches.remove(watch.subscriber());
        }
    }

    fn on_ready(&mut self, key: usize, ready: Readiness) {
        if ready.writable {
            self.write(key);
        }
        if ready.readable || ready.error {
            self.read(key);
        }
    }

    fn read(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        match connection.read() {
            ReadResult::Received => self.process_input(key),
            ReadResult::WouldBlock => {}
            ReadResult::Closed => self.close(key),
        }
    }

    fn process_input(&mut self, key: usize) {
        while let Some(connection) = self.connections.get_mut(key) {
            match connection.next_event() {
                None => return,
                Some(ServerEvent::Head(head)) => {
                    connection.begin_request(head);
                    self.write(key);
                }
                Some(ServerEvent::Body(bytes)) => {
                    if !connection.append_body(&bytes, &mut self.body_budget) {
                        return self.refuse_and_close(
                            key,
                            StatusCode::PAYLOAD_TOO_LARGE,
                            "the body is too long",
                        );
                    }
                }
                Some(ServerEvent::End) => self.finish_request(key),
                Some(ServerEvent::Error(error)) => {
                    return self.refuse_and_close(key, error.status(), error.reason());
                }
            }
        }
    }

    fn finish_request(&mut self, key: usize) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(key) else { return };
        let Some(request) = connection.finish_request(now, &mut self.body_budget) else { return };
        if connection.is_congested() {
            return self.close(key);
        }
        self.handle_request(key, &request);
    }

    fn handle_request(&mut self, key: usize, request: &Request) {
        let now = self.now();
        let mut context =
            RequestContext { now, watches: &self.watches, log_rate_limit: &mut self.log_rate_limit };
        match self.service.handle(request, &mut context) {
            Outcome::Respond(response) => self.respond(key, &response, false),
            Outcome::BeginWatch { subscriber, lines } => self.begin_watch(key, subscriber, lines),
            Outcome::Broadcast { line, response } => {
                self.broadcast(&line);
                self.respond(key, &response, false);
            }
            Outcome::CloseWatches(response) => {
                self.close_watches();
                self.respond(key, &response, false);
            }
        }
    }

    /// Sends a response. If `close` is set, the connection is closed after it.
    fn respond(&mut self, key: usize, response: &Response, close: bool) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        connection.respond(response, close);
        self.write(key);
    }

    /// Responds to a request that is malformed or too long, and closes the connection.
    fn refuse_and_close(&mut self, key: usize, status: StatusCode, reason: &str) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.discard_body(&mut self.body_budget);
        }
        self.respond(key, &Response::refused(status, reason), true);
    }

    /// Writes as many bytes as the connection accepts, and closes it if that fails.
    fn write(&mut self, key: usize) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(key) else { return };
        if connection.write(now).is_err() {
            return self.close(key);
        }
        connection.socket.set_read_interest(&self.loop_handle, true);
    }

    /// Starts the endless response to a subscriber's watch request. An earlier watch of the same subscriber
    /// is closed.
    fn begin_watch(&mut self, key: usize, subscriber: String, lines: Vec<Line>) {
        if let Some(earlier_key) = self.watches.insert(subscriber.clone(), key) {
            self.close(earlier_key);
        }
        let now = self.now();
        let Some(connection) = self.connections.get_mut(key) else { return };
        connection.begin_watch(now, subscriber, lines);
        self.write(key);
    }

    /// Sends a line to all watches. The watch of a subscriber that reads too slowly is closed; the subscriber
    /// then reconnects and says which version it has.
    fn broadcast(&mut self, line: &Line) {
        let max_unread = self.bounds.unread_bytes;
        let keys: Vec<usize> = self.watches.values().copied().collect();
        for key in keys {
            let watch = self.connections.get_mut(key).and_then(|connection| connection.watch.as_mut());
            let Some(watch) = watch else { continue };
            watch.push(line.clone());
            let exceeds_limit = watch.unread_bytes() > max_unread;
            self.write(key);
            if exceeds_limit && self.unread_bytes(key) > max_unread {
                self.warn_slow_subscriber(key, "the subscriber has more unread bytes than allowed");
                self.close(key);
            }
        }
    }

    /// Closes all watches. Their subscribers reconnect and get a new response.
    fn close_watches(&mut self) {
        let keys: Vec<usize> = self.watches.values().copied().collect();
        for key in keys {
            self.close(key);
        }
    }

    /// Sends a heartbeat if one is due. Returns the time of the next check, or none if the watch must be
    /// closed.
    fn check_watch(&mut self, key: usize, now: Micros) -> Option<Micros> {
        let catch_up = self.bounds.catch_up.as_micros() as Micros;
        let watch = self.connections.get_mut(key)?.watch.as_mut()?;
        match watch.check(now, catch_up) {
            WatchCheck::TooSlow => {
                self.warn_slow_subscriber(key, "the subscriber has not caught up in time");
                None
            }
            WatchCheck::HeartbeatDue => {
                watch.push(self.service.heartbeat());
                self.write(key);
                Some(now + HEARTBEAT_INTERVAL)
            }
            WatchCheck::CheckAt(at) => Some(at),
        }
    }

    fn unread_bytes(&self, key: usize) -> usize {
        let watch = self.connections.get(key).and_then(|connection| connection.watch.as_ref());
        watch.map_or(0, Watch::unread_bytes)
    }

    fn warn_slow_subscriber(&mut self, key: usize, reason: &str) {
        if !self.log_rate_limit.allows(self.now()) {
            return;
        }
        if let Some(watch) = self.connections.get(key).and_then(|connection| connection.watch.as_ref()) {
            tracing::warn!(subscriber = watch.subscriber(), "watch closed: {reason}");
        }
    }
}
