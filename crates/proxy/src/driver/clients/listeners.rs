//! The listeners for clients, and accepting connections on them.

use super::super::timers::{ACCEPT_PAUSE, StateTimeout, TimerKind};
use super::super::{ConnectionId, Proxy};
use super::{Client, ClientPhase, ClientState, FIRST_REQUEST_TIMEOUT};
use calloop::{Interest, Readiness};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use violetseam::interface::Micros;
use violetseam_event_io::{AcceptOutcome, Listener, Socket, TurnUsage, accept, listen};
use violetseam_http1::server::ServerConnection;

/// How many connections may wait in a listener's queue.
const LISTEN_BACKLOG: i32 = 4_096;
/// The most connections accepted from a listener at once. Except in a drain, further ones wait for the next
/// iteration of the event loop.
const MAX_ACCEPTS_AT_ONCE: usize = 128;

/// The state of a listener's queue after connections have been accepted from it.
enum QueueState {
    /// No connection is waiting.
    Empty,
    /// More connections may be waiting and could be accepted now.
    MoreQueued,
    /// Connections may be waiting, but there is no room or no file descriptor for them: accepting is paused.
    Paused,
}

impl Proxy {
    /// Binds the addresses that the settings state.
    pub(in super::super) fn bind_listeners(&mut self) -> std::io::Result<()> {
        let settings = self.settings.clone();
        for address in &settings.listen {
            self.add_listener(listen(*address, LISTEN_BACKLOG)?)?;
        }
        Ok(())
    }

    /// Registers a listening socket on the event loop.
    pub(in super::super) fn add_listener(&mut self, listener: TcpListener) -> std::io::Result<()> {
        let on_ready = |listener: &TcpListener, proxy: &mut Proxy| {
            proxy.accept_clients(listener);
        };
        self.listeners.push(Listener::register(&self.loop_handle, listener, on_ready)?);
        Ok(())
    }

    /// Accepts waiting connections, at most [`MAX_ACCEPTS_AT_ONCE`].
    fn accept_clients(&mut self, listener: &TcpListener) -> QueueState {
        self.had_socket_events = true;
        for _ in 0..MAX_ACCEPTS_AT_ONCE {
            if self.clients.len() >= self.settings.connections.max_clients {
                self.pause_accepting("the limit of client connections in the settings is reached");
                return QueueState::Paused;
            }
            match accept(listener) {
                AcceptOutcome::Accepted(stream) => {
                    if let Err(error) = self.add_client(stream) {
                        tracing::warn!("accepted client connection dropped: {error}");
                    }
                }
                AcceptOutcome::QueueEmpty => return QueueState::Empty,
                AcceptOutcome::Retry => {}
                AcceptOutcome::OutOfResources(error) => {
                    self.pause_accepting(&error.to_string());
                    return QueueState::Paused;
                }
            }
        }
        QueueState::MoreQueued
    }

    /// Starts or stops accepting connections on all listeners.
    pub(in super::super) fn set_accepting(&mut self, is_accepting: bool) {
        for listener in &self.listeners {
            listener.set_accepting(&self.loop_handle, is_accepting);
        }
    }

    fn pause_accepting(&mut self, reason: &str) {
        let now = self.now();
        if self.log_limit.allows(now) {
            tracing::warn!(open = self.clients.len(), "accepting connections is paused: {reason}");
        }
        self.set_accepting(false);
        self.timers.set(now + ACCEPT_PAUSE, TimerKind::ResumeAccepting);
    }

    /// Resumes accepting after a pause.
    pub(in super::super) fn resume_accepting(&mut self) {
        if self.lifecycle.is_draining() {
            self.accept_queued();
        } else if !self.is_handing_over() {
            self.set_accepting(true);
        }
    }

    /// Accepts the connections that wait in the kernel's queues, so that none is reset, and closes the
    /// listeners once the queues are empty. If there is no room for all of them, the rest is accepted as
    /// clients leave, for as long as their requests can still be answered in time.
    pub(in super::super) fn accept_queued(&mut self) {
        let listeners: Vec<Rc<TcpListener>> =
            self.listeners.iter().map(|listener| listener.socket().clone()).collect();
        let are_queues_empty = listeners.iter().all(|listener| self.accept_queued_on(listener));
        if are_queues_empty || self.now() >= self.listen_until {
            self.stop_listening();
        }
    }

    /// Accepts what waits in a listener's queue; returns whether the queue is empty.
    fn accept_queued_on(&mut self, listener: &TcpListener) -> bool {
        loop {
            match self.accept_clients(listener) {
                QueueState::Empty => return true,
                QueueState::MoreQueued => {}
                QueueState::Paused => return false,
            }
        }
    }

    /// Returns the time at which a drain gives up on connections that still wait for room. By then the first
    /// request of every accepted connection has had time to arrive, and the requests that occupy the room
    /// have reached their deadlines.
    pub(in super::super) fn listen_deadline(&self) -> Micros {
        self.now() + FIRST_REQUEST_TIMEOUT + self.settings.decisions.longest_deadline()
    }

    /// Closes the listeners.
    pub(in super::super) fn stop_listening(&mut self) {
        for listener in self.listeners.drain(..) {
            listener.remove(&self.loop_handle);
        }
    }

    /// Registers a client connection on the event loop.
    pub(in super::super) fn add_client(&mut self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let generation = self.next_generation();
        let now = self.now();
        let timeout_at = now + self.first_request_timeout();
        let http = ServerConnection::new(self.head_limits);
        let entry = self.clients.vacant_entry();
        let key = entry.key();
        let on_ready = move |readiness: Readiness, proxy: &mut Proxy| proxy.on_client_ready(key, readiness);
        let socket = Socket::register(&self.loop_handle, stream, Interest::READ, on_ready)?;
        let kind = TimerKind::Client(ConnectionId { key, generation });
        entry.insert(Client {
            generation,
            socket,
            http,
            state: ClientState::Idle,
            has_received_request: false,
            turn_usage: TurnUsage::default(),
            is_half_closed: false,
            timeout: StateTimeout::start(timeout_at, &mut self.timers, kind),
            timed_phase: Some(ClientPhase::AwaitingFirstRequest),
            phase_since: now,
            stated_bytes: 0,
        });
        Ok(())
    }
}
