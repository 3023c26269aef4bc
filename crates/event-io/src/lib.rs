//! Connections on a `calloop` event loop: a non-blocking stream (TCP or Unix-domain) with an interest that can change
//! while it is registered, and a buffer of the bytes that wait to be written.

pub mod quiet;
pub mod timers;

use calloop::generic::Generic;
use calloop::{
    EventSource, Interest, LoopHandle, Mode, Poll, PostAction, Readiness, RegistrationToken, Token,
    TokenFactory,
};
use std::cell::Cell;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::rc::Rc;

/// The system's error code for a connection that is being established.
const EINPROGRESS: i32 = 115;

/// With more unwritten bytes than this, a connection's owner reads nothing that would add to them.
pub const HIGH_WATER: usize = 256 * 1024;

/// An event source: `Generic` with an interest that the connection's owner sets.
struct StreamSource<S: AsFd> {
    inner: Generic<Rc<S>>,
    interest: Rc<Cell<Interest>>,
}

impl<S: AsFd> EventSource for StreamSource<S> {
    type Event = Readiness;
    type Metadata = ();
    type Ret = ();
    type Error = std::io::Error;

    fn process_events<F>(
        &mut self,
        readiness: Readiness,
        token: Token,
        mut callback: F,
    ) -> std::io::Result<PostAction>
    where
        F: FnMut(Readiness, &mut ()),
    {
        self.inner.process_events(readiness, token, |readiness, _| {
            callback(readiness, &mut ());
            Ok(PostAction::Continue)
        })
    }

    fn register(&mut self, poll: &mut Poll, tokens: &mut TokenFactory) -> calloop::Result<()> {
        self.inner.interest = self.interest.get();
        self.inner.register(poll, tokens)
    }

    fn reregister(&mut self, poll: &mut Poll, tokens: &mut TokenFactory) -> calloop::Result<()> {
        self.inner.interest = self.interest.get();
        self.inner.reregister(poll, tokens)
    }

    fn unregister(&mut self, poll: &mut Poll) -> calloop::Result<()> {
        self.inner.unregister(poll)
    }
}

/// The outcome of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// This many bytes were read.
    Bytes(usize),
    /// Nothing can be read now.
    Nothing,
    /// The peer closed its side.
    Closed,
    /// The connection broke.
    Broken,
}

/// A connection: its stream, its registration on the event loop and its unwritten bytes.
pub struct Socket<S = TcpStream> {
    stream: Rc<S>,
    token: RegistrationToken,
    interest: Rc<Cell<Interest>>,
    /// Bytes to be written; those before `written` have been.
    out: Vec<u8>,
    written: usize,
}

impl<S> Socket<S>
where
    S: AsFd + 'static,
    for<'a> &'a S: Read + Write,
{
    /// Registers a non-blocking stream on the event loop, which calls `on_ready` with its readiness.
    ///
    /// # Errors
    /// The system's error if the stream cannot be added to the event loop.
    pub fn register<D: 'static>(
        handle: &LoopHandle<'static, D>,
        stream: S,
        interest: Interest,
        mut on_ready: impl FnMut(Readiness, &mut D) + 'static,
    ) -> std::io::Result<Self> {
        let stream = Rc::new(stream);
        let shared_interest = Rc::new(Cell::new(interest));
        let inner = Generic::new(stream.clone(), interest, Mode::Level);
        let source = StreamSource { inner, interest: shared_interest.clone() };
        let token = handle
            .insert_source(source, move |readiness, (), data| on_ready(readiness, data))
            .map_err(|e| std::io::Error::other(e.error.to_string()))?;
        Ok(Socket { stream, token, interest: shared_interest, out: Vec::new(), written: 0 })
    }

    /// Removes the connection from the event loop. It closes when it is dropped, but within its own callback only once
    /// that returns, as the loop holds the stream until then; [`Socket::end`] does not wait for that.
    pub fn remove<D>(&self, handle: &LoopHandle<'static, D>) {
        handle.remove(self.token);
    }

    /// Sets whether the owner is called when bytes can be read; it is called for writing while bytes wait to be written.
    pub fn want<D>(&self, handle: &LoopHandle<'static, D>, read: bool) {
        self.set_interest(handle, Interest { readable: read, writable: self.waits() });
    }

    /// Sets that the owner is called when the connection is up.
    pub fn want_connected<D>(&self, handle: &LoopHandle<'static, D>) {
        self.set_interest(handle, Interest::BOTH);
    }

    fn set_interest<D>(&self, handle: &LoopHandle<'static, D>, interest: Interest) {
        let before = self.interest.replace(interest);
        if (before.readable, before.writable) != (interest.readable, interest.writable) {
            // Fails only for a source that is gone, which needs no update.
            let _ = handle.update(&self.token);
        }
    }

    /// The buffer of bytes to be written, to append to.
    pub fn out(&mut self) -> &mut Vec<u8> {
        &mut self.out
    }

    /// How many bytes wait to be written.
    pub fn unwritten(&self) -> usize {
        self.out.len() - self.written
    }

    /// Whether any bytes wait to be written.
    pub fn waits(&self) -> bool {
        self.unwritten() > 0
    }

    /// Writes as much as the connection accepts now and returns how many bytes that were.
    ///
    /// # Errors
    /// The system's error if the connection is broken.
    pub fn flush(&mut self) -> std::io::Result<usize> {
        let before = self.written;
        while self.written < self.out.len() {
            match (&*self.stream).write(&self.out[self.written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => self.written += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    let done = self.written - before;
                    if self.written > HIGH_WATER {
                        self.out.drain(..self.written);
                        self.written = 0;
                    }
                    return Ok(done);
                }
                Err(e) => return Err(e),
            }
        }
        let done = self.written - before;
        self.out.clear();
        self.written = 0;
        if self.out.capacity() > HIGH_WATER {
            self.out = Vec::new();
        }
        Ok(done)
    }

    /// Reads once.
    pub fn read(&self, buffer: &mut [u8]) -> ReadOutcome {
        loop {
            return match (&*self.stream).read(buffer) {
                Ok(0) => ReadOutcome::Closed,
                Ok(n) => ReadOutcome::Bytes(n),
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == ErrorKind::WouldBlock => ReadOutcome::Nothing,
                Err(_) => ReadOutcome::Broken,
            };
        }
    }

    /// The connection itself.
    pub fn stream(&self) -> &S {
        &self.stream
    }
}

impl Socket<TcpStream> {
    /// Closes the write side.
    pub fn close_write(&self) {
        // Fails only for a connection that is gone, which the next read reports.
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
    }

    /// Removes the connection from the event loop and shuts it down now, also within its own callback: whatever is
    /// written elsewhere after this is sent after the end of this connection.
    pub fn end<D>(&self, handle: &LoopHandle<'static, D>) {
        // Fails only for a connection that is not up or is gone, on which nothing is in flight.
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
        self.remove(handle);
    }

    /// The error of a connection attempt that failed, if it did.
    pub fn connect_error(&self) -> Option<std::io::Error> {
        self.stream.take_error().unwrap_or_else(Some)
    }

    /// Whether the peer has closed the connection or sent unexpected bytes: nothing may be sent on such a connection.
    pub fn is_stale(&self) -> bool {
        let mut byte = [0];
        !matches!(self.stream.peek(&mut byte), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }
}

/// Opens a non-blocking listener, which can take an address again at once after a restart.
///
/// # Errors
/// The system's error if the listener cannot be opened; an error of the address names it.
pub fn listen(address: SocketAddr, backlog: i32) -> std::io::Result<TcpListener> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, Some(socket2::Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into()).map_err(|e| std::io::Error::new(e.kind(), format!("{address}: {e}")))?;
    socket.listen(backlog)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// Begins a connection without waiting until it is up.
///
/// # Errors
/// The system's error if the connection cannot be begun.
pub fn connect(to: SocketAddr) -> std::io::Result<TcpStream> {
    let domain = socket2::Domain::for_address(to);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, Some(socket2::Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    match socket.connect(&to.into()) {
        Ok(()) => Ok(socket.into()),
        // The event loop reports when it is up.
        Err(e) if e.kind() == ErrorKind::WouldBlock || e.raw_os_error() == Some(EINPROGRESS) => {
            Ok(socket.into())
        }
        Err(e) => Err(e),
    }
}
