//! A TCP listener on the event loop. Accepting can be paused. New connections then wait in the kernel's
//! queue.

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
    /// Registers a non-blocking listener on the event loop. The event loop calls `on_ready` as long as
    /// connections are waiting in the listener's queue.
    ///
    /// # Errors
    /// Returns the operating system's error if the listener cannot be registered on the event loop.
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

    /// Pauses or resumes accepting.
    pub fn set_accepting<D>(&self, handle: &LoopHandle<'static, D>, is_accepting: bool) {
        // This fails only if the listener is no longer registered, and then it accepts nothing in any case.
        let _ = if is_accepting { handle.enable(&self.token) } else { handle.disable(&self.token) };
    }

    /// Removes the listener from the event loop. The socket is closed when its last owner drops it. If this
    /// is called from the listener's own callback, the event loop owns the socket until the callback returns.
    pub fn remove<D>(self, handle: &LoopHandle<'static, D>) {
        handle.remove(self.token);
    }

    /// Returns the listening socket.
    pub fn socket(&self) -> &Rc<TcpListener> {
        &self.socket
    }
}

/// The outcome of [`accept`].
#[derive(Debug)]
pub enum AcceptOutcome {
    /// A connection was accepted. It is in blocking mode.
    Accepted(TcpStream),
    /// No connection is waiting in the listener's queue.
    QueueEmpty,
    /// The client disconnected before it was accepted, or a signal interrupted the call. Another call may
    /// succeed.
    Retry,
    /// No descriptor or memory is free. Connections stay in the listener's queue, so none is lost.
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
