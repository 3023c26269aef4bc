//! Accepts client connections, and pauses while no connection slot or descriptor is free.

use crate::client::Client;
use crate::event_loop::TimerKind;
use crate::proxy::Proxy;
use calloop::{Interest, Readiness};
use std::net::{TcpListener, TcpStream};
use violetseam::interface::Micros;
use violetseam_event_io::{AcceptOutcome, Listener, Socket, accept, listen};

/// How many connections are accepted in one iteration of the event loop.
const MAX_ACCEPTS_PER_TURN: usize = 64;
/// How long the listener pauses after it found no free connection slot or descriptor.
const ACCEPT_PAUSE: Micros = 20_000;
/// The maximum length of the kernel's queue of connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 1024;

/// The listener for clients.
pub(super) struct ClientListener {
    listener: Listener,
    /// False while accepting is paused.
    is_accepting: bool,
}

impl Proxy {
    /// Opens the listener for clients.
    pub(super) fn listen(&mut self) -> std::io::Result<()> {
        let socket = listen(self.config.listen, LISTEN_BACKLOG)?;
        let on_ready = |socket: &TcpListener, proxy: &mut Proxy| proxy.accept_clients(socket);
        let listener = Listener::register(&self.loop_handle, socket, on_ready)?;
        self.client_listener = Some(ClientListener { listener, is_accepting: true });
        Ok(())
    }

    /// Accepts the connections in the kernel's queue, up to the maximum for one iteration of the event loop.
    fn accept_clients(&mut self, socket: &TcpListener) {
        self.sockets_were_ready = true;
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            if !self.make_room_for_client() {
                return self.pause_accepting();
            }
            match accept(socket) {
                AcceptOutcome::Accepted(stream) => {
                    if let Err(e) = self.add_client(stream)
                        && self.may_log()
                    {
                        tracing::warn!("accepted client connection could not be set up: {e}");
                    }
                }
                AcceptOutcome::QueueEmpty => {
                    if self.is_draining() {
                        self.stop_listening();
                    }
                    return;
                }
                AcceptOutcome::Retry => {}
                AcceptOutcome::OutOfResources(e) => {
                    if self.may_log() {
                        tracing::warn!("accepting pauses: {e}");
                    }
                    return self.pause_accepting();
                }
            }
        }
    }

    fn pause_accepting(&mut self) {
        if let Some(client_listener) = &mut self.client_listener
            && std::mem::replace(&mut client_listener.is_accepting, false)
        {
            client_listener.listener.set_accepting(&self.loop_handle, false);
            self.timers.set(self.now() + ACCEPT_PAUSE, TimerKind::ResumeAccepting);
        }
    }

    /// Ends a pause.
    pub(super) fn resume_accepting(&mut self) {
        let Some(client_listener) = &mut self.client_listener else { return };
        client_listener.listener.set_accepting(&self.loop_handle, true);
        client_listener.is_accepting = true;
        if self.is_draining() {
            self.accept_queued_connections();
        }
    }

    /// Accepts the connections in the kernel's queue during a shutdown, and stops listening once the queue is
    /// empty. A connection that stayed in the queue would not be served, and its client could not tell that
    /// it should connect elsewhere.
    pub(super) fn accept_queued_connections(&mut self) {
        if let Some(client_listener) = &self.client_listener {
            let socket = client_listener.listener.socket().clone();
            self.accept_clients(&socket);
        }
    }

    fn stop_listening(&mut self) {
        if let Some(client_listener) = self.client_listener.take() {
            client_listener.listener.remove(&self.loop_handle);
        }
    }

    fn add_client(&mut self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let generation = self.next_generation();
        let now = self.now();
        let entry = self.clients.vacant_entry();
        let slot = entry.key();
        let on_ready =
            move |readiness: Readiness, proxy: &mut Proxy| proxy.on_client_readiness(slot, readiness);
        let socket = Socket::register(&self.loop_handle, stream, Interest::READ, on_ready)?;
        entry.insert(Client::new(socket, generation, now));
        Ok(())
    }
}
