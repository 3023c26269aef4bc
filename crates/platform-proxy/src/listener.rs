//! The listener: accepts client connections, and pauses when room or descriptors run out.

use crate::client::Client;
use crate::event_loop::TimerKind;
use crate::proxy::Proxy;
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, Readiness, RegistrationToken};
use std::io::ErrorKind;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use violetseam::interface::Micros;
use violetseam_event_io::{Socket, listen};

/// Connections accepted in one turn of the loop.
const MAX_ACCEPTS_PER_TURN: usize = 64;
/// A listener that ran out of room or descriptors pauses for this span.
const ACCEPT_PAUSE: Micros = 20_000;
/// The length of the kernel's queue of connections that wait to be accepted.
const BACKLOG: i32 = 1024;

/// The listening socket and its registration on the event loop.
pub(super) struct Listener {
    socket: Rc<TcpListener>,
    token: RegistrationToken,
    /// It is not paused.
    is_enabled: bool,
}

impl Proxy {
    /// Listens for clients.
    pub(super) fn listen(&mut self) -> std::io::Result<()> {
        let socket: Rc<TcpListener> = Rc::new(listen(self.config.listen, BACKLOG)?);
        let source = Generic::new(socket.clone(), Interest::READ, Mode::Level);
        let token = self
            .handle
            .insert_source(source, |_, socket, proxy: &mut Proxy| {
                proxy.accept(socket);
                Ok(PostAction::Continue)
            })
            .map_err(|e| std::io::Error::other(e.to_string()))?;
        self.listener = Some(Listener { socket, token, is_enabled: true });
        Ok(())
    }

    fn accept(&mut self, socket: &TcpListener) {
        self.sockets_were_ready = true;
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            if !self.make_room_for_client() {
                return self.pause_accepting();
            }
            match socket.accept() {
                Ok((stream, _)) => {
                    if let Err(e) = self.add_client(stream)
                        && self.may_log()
                    {
                        tracing::warn!("client not taken: {e}");
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    if self.is_draining() {
                        self.stop_listening();
                    }
                    return;
                }
                // The client left before it was accepted.
                Err(e) if e.kind() == ErrorKind::ConnectionAborted => {}
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // Out of descriptors or memory: connections wait in the kernel's queue, none is lost.
                Err(e) => {
                    if self.may_log() {
                        tracing::warn!("accepting pauses: {e}");
                    }
                    return self.pause_accepting();
                }
            }
        }
    }

    fn pause_accepting(&mut self) {
        if let Some(listener) = &mut self.listener
            && std::mem::replace(&mut listener.is_enabled, false)
        {
            // Fails only for a source that is gone, which accepts nothing either.
            drop(self.handle.disable(&listener.token));
            self.timers.set(self.now() + ACCEPT_PAUSE, TimerKind::ResumeAccepting);
        }
    }

    /// Ends a pause.
    pub(super) fn resume_accepting(&mut self) {
        let Some(listener) = &mut self.listener else { return };
        drop(self.handle.enable(&listener.token));
        listener.is_enabled = true;
        if self.is_draining() {
            self.accept_queued();
        }
    }

    /// In a shutdown: accepts the connections that wait in the kernel's queue, and stops listening once that is empty.
    /// A connection left in the queue would be neither served nor free to go elsewhere.
    pub(super) fn accept_queued(&mut self) {
        if let Some(listener) = &self.listener {
            let socket = listener.socket.clone();
            self.accept(&socket);
        }
    }

    fn stop_listening(&mut self) {
        if let Some(listener) = self.listener.take() {
            self.handle.remove(listener.token);
        }
    }

    fn add_client(&mut self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let generation = self.next_generation();
        let now = self.now();
        let entry = self.clients.vacant_entry();
        let key = entry.key();
        let on_ready = move |readiness: Readiness, proxy: &mut Proxy| proxy.on_client(key, readiness);
        let socket = Socket::register(&self.handle, stream, Interest::READ, on_ready)?;
        entry.insert(Client::new(socket, generation, now));
        Ok(())
    }
}
