//! A TCP listener on the event loop. Accepting can be paused: connections wait in the kernel's queue
//! meanwhile.

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use std::io::{Error, ErrorKind, Result};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

/// A listening socket and its registration on the event loop.
pub struct Listener {
    socket: Rc<TcpListener>,
    token: RegistrationToken,
}

impl Listener {
    /// Registers a non-blocking listener on the event loop, which calls `on_ready` while connections wait in
    /// its queue.
    ///
    /// # Errors
    /// The system's error if the listener cannot be added to the event loop.
    pub fn register<D: 'static>(
        handle: &LoopHandle<'static, D>,
        socket: TcpListener,
        mut on_ready: impl FnMut(&TcpListener, &mut D) + 'static,
    ) -> Result<Self> {
        let socket = Rc::new(socket);
        let source = Generic::new(socket.clone(), Interest::READ, Mode::Level);
        let token = handle
            .insert_source(source, move |_, socket, data| {
                on_ready(socket, data);
                Ok(PostAction::Continue)
            })
            .map_err(|e| Error::other(e.to_string()))?;
        Ok(Listener { socket, token })
    }

    /// Pauses accepting, or goes on after a pause.
    pub fn set_accepting<D>(&self, handle: &LoopHandle<'static, D>, is_accepting: bool) {
        // Fails only for a source that is gone, which accepts nothing either.
        let _ = if is_accepting { handle.enable(&self.token) } else { handle.disable(&self.token) };
    }

    /// Removes the listener from the event loop. The socket closes when it is dropped, but within its own
    /// callback only once that returns.
    pub fn remove<D>(self, handle: &LoopHandle<'static, D>) {
        handle.remove(self.token);
    }

    /// The listening socket.
    pub fn socket(&self) -> &Rc<TcpListener> {
        &self.socket
    }
}

/// The outcome of [`accept`].
#[derive(Debug)]
pub enum AcceptOutcome {
    /// A connection, which is in blocking mode.
    Accepted(TcpStream),
    /// No connection waits in the listener's queue.
    QueueEmpty,
    /// The client left before it was accepted, or a signal interrupted the call: another call may succeed.
    Retry,
    /// No descriptor or memory is free: connections wait in the listener's queue, none is lost.
    OutOfResources(Error),
}

/// Accepts one connection from a non-blocking listener.
pub fn accept(listener: &TcpListener) -> AcceptOutcome {
    match listener.accept() {
        Ok((stream, _)) => AcceptOutcome::Accepted(stream),
        Err(e) if e.kind() == ErrorKind::WouldBlock => AcceptOutcome::QueueEmpty,
        Err(e) if e.kind() == ErrorKind::ConnectionAborted => AcceptOutcome::Retry,
        Err(e) if e.kind() == ErrorKind::Interrupted => AcceptOutcome::Retry,
        Err(e) => AcceptOutcome::OutOfResources(e),
    }
}
