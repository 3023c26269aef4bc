//! A connection (TCP or a Unix-domain stream) on a `calloop` loop: a source whose interest can change while it is registered, and the
//! bytes that wait to be written. Used by the proxy and by the stand-ins.

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

/// Above so many bytes waiting to be written, nothing more is read that would add to them.
pub const HIGH_WATER: usize = 256 * 1024;

/// The source: `Generic` with an interest that the connection's owner sets.
struct Watched<S: AsFd> {
    inner: Generic<Rc<S>>,
    wanted: Rc<Cell<Interest>>,
}

impl<S: AsFd> EventSource for Watched<S> {
    type Event = Readiness;
    type Metadata = ();
    type Ret = ();
    type Error = std::io::Error;

    fn process_events<F>(
        &mut self,
        readiness: Readiness,
        token: Token,
        mut call: F,
    ) -> std::io::Result<PostAction>
    where
        F: FnMut(Readiness, &mut ()),
    {
        self.inner.process_events(readiness, token, |readiness, _| {
            call(readiness, &mut ());
            Ok(PostAction::Continue)
        })
    }

    fn register(&mut self, poll: &mut Poll, tokens: &mut TokenFactory) -> calloop::Result<()> {
        self.inner.interest = self.wanted.get();
        self.inner.register(poll, tokens)
    }

    fn reregister(&mut self, poll: &mut Poll, tokens: &mut TokenFactory) -> calloop::Result<()> {
        self.inner.interest = self.wanted.get();
        self.inner.reregister(poll, tokens)
    }

    fn unregister(&mut self, poll: &mut Poll) -> calloop::Result<()> {
        self.inner.unregister(poll)
    }
}

/// What a read gave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// So many bytes.
    Bytes(usize),
    /// Nothing now.
    Nothing,
    /// The peer closed its side.
    Closed,
    /// The connection broke.
    Broken,
}

/// The former name of [`ReadOutcome`], for callers that have not moved to it yet.
pub use ReadOutcome as Got;

/// A connection: its stream, its registration and its unwritten bytes.
pub struct Socket<S = TcpStream> {
    stream: Rc<S>,
    token: RegistrationToken,
    wanted: Rc<Cell<Interest>>,
    out: Vec<u8>,
    written: usize,
}

impl<S> Socket<S>
where
    S: AsFd + 'static,
    for<'a> &'a S: Read + Write,
{
    /// Puts a non-blocking stream on the loop. `call` gets its readiness.
    pub fn register<D: 'static>(
        on: &LoopHandle<'static, D>,
        stream: S,
        interest: Interest,
        mut call: impl FnMut(Readiness, &mut D) + 'static,
    ) -> std::io::Result<Self> {
        let (stream, wanted) = (Rc::new(stream), Rc::new(Cell::new(interest)));
        let inner = Generic::new(stream.clone(), interest, Mode::Level);
        let source = Watched { inner, wanted: wanted.clone() };
        let token = on
            .insert_source(source, move |readiness, (), data| call(readiness, data))
            .map_err(|e| std::io::Error::other(e.error.to_string()))?;
        Ok(Socket { stream, token, wanted, out: Vec::new(), written: 0 })
    }

    /// Takes the connection off the loop; it closes when dropped, but within its own callback only once that
    /// returns, as the loop holds the stream till then. [`Socket::end`] does not wait for that.
    pub fn remove<D>(&self, from: &LoopHandle<'static, D>) {
        from.remove(self.token);
    }

    /// Asks for reading or not; writing is asked for while bytes wait.
    pub fn want<D>(&self, on: &LoopHandle<'static, D>, read: bool) {
        self.set(on, Interest { readable: read, writable: self.waits() });
    }

    /// Asks to hear when the connection is up.
    pub fn want_connected<D>(&self, on: &LoopHandle<'static, D>) {
        self.set(on, Interest::BOTH);
    }

    fn set<D>(&self, on: &LoopHandle<'static, D>, interest: Interest) {
        let before = self.wanted.replace(interest);
        if (before.readable, before.writable) != (interest.readable, interest.writable) {
            // Fails only for a source that is gone, which then needs nothing.
            let _ = on.update(&self.token);
        }
    }

    /// Bytes to be written; append here.
    pub fn out(&mut self) -> &mut Vec<u8> {
        &mut self.out
    }

    /// Bytes that wait to be written.
    pub fn unwritten(&self) -> usize {
        self.out.len() - self.written
    }

    /// Whether any do.
    pub fn waits(&self) -> bool {
        self.unwritten() > 0
    }

    /// Writes what it can: how many bytes, or that the connection is broken.
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
    /// Says that nothing more will be written.
    pub fn close_write(&self) {
        // Fails only for a connection that is gone, which the next read tells.
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
    }

    /// Takes the connection off the loop and ends it now, also within its own callback: whatever is written
    /// elsewhere after this leaves after the end of this connection.
    pub fn end<D>(&self, from: &LoopHandle<'static, D>) {
        // Fails only for a connection that is not up or is gone: nothing of it is out.
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
        self.remove(from);
    }

    /// The error of a connection attempt that failed, if it did.
    pub fn connect_error(&self) -> Option<std::io::Error> {
        self.stream.take_error().unwrap_or_else(Some)
    }

    /// Whether the peer has closed or sent something unasked: nothing may be sent on such a connection.
    pub fn is_stale(&self) -> bool {
        let mut byte = [0];
        !matches!(self.stream.peek(&mut byte), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }
}

/// A listener that does not block and takes an address again at once after a restart.
pub fn listen(addr: SocketAddr, backlog: i32) -> std::io::Result<TcpListener> {
    let domain = socket2::Domain::for_address(addr);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, Some(socket2::Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into()).map_err(|e| std::io::Error::new(e.kind(), format!("{addr}: {e}")))?;
    socket.listen(backlog)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// Begins a connection without waiting for it.
pub fn connect(to: SocketAddr) -> std::io::Result<TcpStream> {
    let domain = socket2::Domain::for_address(to);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, Some(socket2::Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    match socket.connect(&to.into()) {
        Ok(()) => Ok(socket.into()),
        // EINPROGRESS: the loop tells when it is up.
        Err(e) if e.kind() == ErrorKind::WouldBlock || e.raw_os_error() == Some(115) => Ok(socket.into()),
        Err(e) => Err(e),
    }
}
