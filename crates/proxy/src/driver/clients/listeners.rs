//! Listeners for clients, and the connections that they accept.

use super::super::timers::{ACCEPT_PAUSE, StateTimeout, TimerKind};
use super::super::{ConnectionId, Proxy};
use super::{Client, ClientState, FIRST_REQUEST_TIMEOUT};
use calloop::{Interest, Readiness};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use violetseam::interface::Micros;
use violetseam_event_io::{AcceptOutcome, Listener, Socket, accept, listen};
use violetseam_http1::server::ServerConnection;

/// Connections that may wait in a listener's queue.
const LISTEN_BACKLOG: i32 = 4_096;
/// Connections accepted in one turn of the event loop.
const MAX_ACCEPTS_PER_TURN: usize = 128;

/// The state of a listener's queue after one turn of accepting.
enum QueueState {
    /// No connection waits.
    Empty,
    /// More connections may wait that could be accepted now.
    MoreQueued,
    /// Connections may wait for which there is no room or descriptor: accepting pauses.
    Paused,
}

impl Proxy {
    /// Binds the addresses of the settings.
    pub(in super::super) fn bind_listeners(&mut self) -> std::io::Result<()> {
        let settings = self.settings.clone();
        for addr in &settings.listen {
            self.add_listener(listen(*addr, LISTEN_BACKLOG)?)?;
        }
        Ok(())
    }

    /// Puts a listening socket on the event loop.
    pub(in super::super) fn add_listener(&mut self, listener: TcpListener) -> std::io::Result<()> {
        let on_ready = |listener: &TcpListener, proxy: &mut Proxy| {
            proxy.accept_clients(listener);
        };
        self.listeners.push(Listener::register(&self.handle, listener, on_ready)?);
        Ok(())
    }

    /// Accepts one turn's share of the connections that wait.
    fn accept_clients(&mut self, listener: &TcpListener) -> QueueState {
        self.had_socket_events = true;
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            if self.clients.len() >= self.settings.connections.max_clients {
                self.pause_accepting("as many clients as the settings allow");
                return QueueState::Paused;
            }
            match accept(listener) {
                AcceptOutcome::Accepted(stream) => {
                    if let Err(e) = self.add_client(stream) {
                        tracing::warn!("client not taken: {e}");
                    }
                }
                AcceptOutcome::QueueEmpty => return QueueState::Empty,
                AcceptOutcome::Retry => {}
                AcceptOutcome::OutOfResources(e) => {
                    self.pause_accepting(&e.to_string());
                    return QueueState::Paused;
                }
            }
        }
        QueueState::MoreQueued
    }

    /// Stops or goes on accepting.
    pub(in super::super) fn set_accepting(&mut self, is_accepting: bool) {
        for listener in &self.listeners {
            listener.set_accepting(&self.handle, is_accepting);
        }
    }

    fn pause_accepting(&mut self, why: &str) {
        let now = self.now();
        if self.log_limit.allows(now) {
            tracing::warn!(open = self.clients.len(), "accepting pauses: {why}");
        }
        self.set_accepting(false);
        self.timers.set(now + ACCEPT_PAUSE, TimerKind::ResumeAccepting);
    }

    /// Goes on accepting after a pause.
    pub(in super::super) fn resume_accepting(&mut self) {
        if self.lifecycle.is_draining() {
            self.accept_queued();
        } else if !self.is_handing_over() {
            self.set_accepting(true);
        }
    }

    /// Takes what waits in the kernel's queues, so that none is reset, and listens no more once they are
    /// empty. Where there is no room for all, the rest is taken as clients leave, for as long as it may have
    /// an answer in time.
    pub(in super::super) fn accept_queued(&mut self) {
        let listeners: Vec<Rc<TcpListener>> =
            self.listeners.iter().map(|open| open.socket().clone()).collect();
        let are_queues_empty = listeners.iter().all(|listener| self.accept_queued_on(listener));
        if are_queues_empty || self.now() >= self.listen_until {
            self.stop_listening();
        }
    }

    /// Whether nothing is left in a listener's queue.
    fn accept_queued_on(&mut self, listener: &TcpListener) -> bool {
        loop {
            match self.accept_clients(listener) {
                QueueState::Empty => return true,
                QueueState::MoreQueued => {}
                QueueState::Paused => return false,
            }
        }
    }

    /// When a drain abandons what still waits for room: first requests have had their time to come, and those
    /// that keep the room their deadline.
    pub(in super::super) fn listen_deadline(&self) -> Micros {
        self.now() + FIRST_REQUEST_TIMEOUT + self.settings.decisions.longest_deadline()
    }

    /// Closes the listeners.
    pub(in super::super) fn stop_listening(&mut self) {
        for listener in self.listeners.drain(..) {
            listener.remove(&self.handle);
        }
    }

    /// Puts a client connection on the event loop.
    pub(in super::super) fn add_client(&mut self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let generation = self.next_generation();
        let timeout_at = self.now() + self.first_request_timeout();
        let http = ServerConnection::new(self.head_limits);
        let entry = self.clients.vacant_entry();
        let key = entry.key();
        let on_ready = move |readiness: Readiness, proxy: &mut Proxy| proxy.on_client(key, readiness);
        let socket = Socket::register(&self.handle, stream, Interest::READ, on_ready)?;
        let kind = TimerKind::Client(ConnectionId { key, generation });
        entry.insert(Client {
            generation,
            socket,
            http,
            state: ClientState::Idle,
            has_received_request: false,
            half_closed: false,
            timeout: StateTimeout::start(timeout_at, &mut self.timers, kind),
        });
        Ok(())
    }
}
