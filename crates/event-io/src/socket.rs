//! A connection on the event loop, with its write buffer.

use calloop::generic::Generic;
use calloop::{
    EventSource, Interest, LoopHandle, Mode, Poll, PostAction, Readiness, RegistrationToken, Token,
    TokenFactory,
};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::cell::Cell;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::os::fd::AsFd;
use std::rc::Rc;

/// While a connection's write buffer holds more bytes than this, the owner must not read input that would add
/// to the buffer.
pub const WRITE_BUFFER_HIGH_WATERMARK: usize = 256 * 1024;

/// A write buffer of at most this capacity is kept while it is empty. A process has many connections, most of
/// them idle.
const RETAINED_BUFFER_BYTES: usize = 1024;

/// An event source like `Generic`, except that its interest can be changed from outside while it is
/// registered.
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

/// The outcome of [`Socket::read`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// This many bytes, never 0, were read into the start of the buffer.
    Bytes(usize),
    /// No bytes have arrived since the last read. The event loop reports when there are some.
    WouldBlock,
    /// The peer has closed its write side. It may still read what is written to it.
    Closed,
    /// The read failed, for example after a reset by the peer. The connection cannot be used any more.
    Failed,
}

/// What the peer has done with its side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// The peer may still send.
    Open,
    /// The peer has closed its write side. Bytes that it sent before may still be unread.
    Closed,
    /// The connection has failed, for example after a reset by the peer.
    Failed,
}

/// A connection: its stream, its registration on the event loop and its write buffer.
pub struct Socket<S = TcpStream> {
    stream: Rc<S>,
    token: RegistrationToken,
    interest: Rc<Cell<Interest>>,
    write_buffer: Vec<u8>,
    /// How many bytes at the start of `write_buffer` have already been written.
    written_len: usize,
}

impl<S> Socket<S>
where
    S: AsFd + 'static,
    for<'a> &'a S: Read + Write,
{
    /// Registers a non-blocking stream on the event loop. The event loop calls `on_ready` when the stream is
    /// ready for what `interest` states.
    ///
    /// # Errors
    /// Returns the operating system's error if the stream cannot be registered on the event loop.
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
        Ok(Socket { stream, token, interest: shared_interest, write_buffer: Vec::new(), written_len: 0 })
    }

    /// Removes the connection from the event loop. The connection is closed when the socket is dropped. If
    /// this is called from the connection's own callback, the event loop holds the stream until the callback
    /// returns, so it is closed only then. [`Socket::close_now`] closes it at once.
    pub fn remove<D>(&self, handle: &LoopHandle<'static, D>) {
        handle.remove(self.token);
    }

    /// Sets whether the owner is called when bytes can be read. If there are unwritten bytes, the owner is
    /// also called when bytes can be written.
    pub fn set_read_interest<D>(&self, handle: &LoopHandle<'static, D>, readable: bool) {
        self.set_interest(handle, Interest { readable, writable: self.has_unwritten_bytes() });
    }

    /// Makes the event loop call the owner when the connection is established, which makes it writable.
    pub fn set_connect_interest<D>(&self, handle: &LoopHandle<'static, D>) {
        self.set_interest(handle, Interest::BOTH);
    }

    fn set_interest<D>(&self, handle: &LoopHandle<'static, D>, interest: Interest) {
        let previous = self.interest.replace(interest);
        let has_changed = previous.readable != interest.readable || previous.writable != interest.writable;
        if has_changed {
            // This fails only if the stream is no longer registered, and then no update is needed.
            let _ = handle.update(&self.token);
        }
    }

    /// Returns the write buffer. The owner appends bytes to it, and [`Socket::flush`] writes them.
    pub fn write_buffer(&mut self) -> &mut Vec<u8> {
        &mut self.write_buffer
    }

    /// Returns how many bytes of memory the write buffer takes.
    pub fn write_buffer_capacity(&self) -> usize {
        self.write_buffer.capacity()
    }

    /// Returns how many bytes of the write buffer have not been written yet.
    pub fn unwritten_bytes(&self) -> usize {
        self.write_buffer.len() - self.written_len
    }

    /// Returns whether any bytes of the write buffer have not been written yet.
    pub fn has_unwritten_bytes(&self) -> bool {
        self.unwritten_bytes() > 0
    }

    /// Writes as much of the write buffer as the connection accepts now. Returns how many bytes it has
    /// written.
    ///
    /// # Errors
    /// Returns the operating system's error if the write failed. The connection cannot be used any more.
    pub fn flush(&mut self) -> std::io::Result<usize> {
        let written_before = self.written_len;
        while self.has_unwritten_bytes() {
            match (&*self.stream).write(&self.write_buffer[self.written_len..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => self.written_len += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    let flushed = self.written_len - written_before;
                    self.drop_written_part();
                    return Ok(flushed);
                }
                Err(e) => return Err(e),
            }
        }
        let flushed = self.written_len - written_before;
        self.reset_write_buffer();
        Ok(flushed)
    }

    /// Removes the written part of the buffer if it is longer than the rest. Doing this after every write
    /// would move the rest too often.
    fn drop_written_part(&mut self) {
        if self.written_len > self.unwritten_bytes() {
            self.write_buffer.drain(..self.written_len);
            self.written_len = 0;
            self.write_buffer.shrink_to(RETAINED_BUFFER_BYTES);
        }
    }

    /// Empties the buffer, and frees its memory unless the buffer is small.
    fn reset_write_buffer(&mut self) {
        self.write_buffer.clear();
        self.written_len = 0;
        if self.write_buffer.capacity() > RETAINED_BUFFER_BYTES {
            self.write_buffer = Vec::new();
        }
    }

    /// Reads once into the start of `buffer`, which must not be empty.
    pub fn read(&self, buffer: &mut [u8]) -> ReadOutcome {
        loop {
            return match (&*self.stream).read(buffer) {
                Ok(0) => ReadOutcome::Closed,
                Ok(n) => ReadOutcome::Bytes(n),
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == ErrorKind::WouldBlock => ReadOutcome::WouldBlock,
                Err(_) => ReadOutcome::Failed,
            };
        }
    }

    /// Returns the underlying stream.
    pub fn stream(&self) -> &S {
        &self.stream
    }
}

impl Socket<TcpStream> {
    /// Closes the write side of the connection.
    pub fn close_write(&self) {
        // This fails only if the connection is no longer established, which the next read reports.
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Removes the connection from the event loop and shuts it down at once, even if this is called from its
    /// own callback. Bytes that are written to other connections after this call are sent after the end of
    /// this connection.
    pub fn close_now<D>(&self, handle: &LoopHandle<'static, D>) {
        // This fails only if the connection is not established yet or no longer, and then nothing is in
        // flight on it.
        let _ = self.stream.shutdown(Shutdown::Both);
        self.remove(handle);
    }

    /// Returns the error with which establishing the connection failed, if it failed.
    pub fn connect_error(&self) -> Option<std::io::Error> {
        self.stream.take_error().unwrap_or_else(Some)
    }

    /// Returns what the peer has done with its side by now, whether or not the event loop has reported it yet
    /// and whether or not bytes are unread before it. Reads nothing.
    pub fn peer_state(&self) -> PeerState {
        let mut byte = [0];
        match self.stream.peek(&mut byte) {
            Ok(0) => PeerState::Closed,
            Ok(_) => self.peer_state_behind_unread_bytes(),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => PeerState::Open,
            Err(_) => PeerState::Failed,
        }
    }

    fn peer_state_behind_unread_bytes(&self) -> PeerState {
        let mut descriptors = [PollFd::new(&*self.stream, PollFlags::RDHUP)];
        if poll(&mut descriptors, Some(&Timespec::default())).is_err() {
            return PeerState::Open;
        }
        let events = descriptors[0].revents();
        if events.intersects(PollFlags::ERR | PollFlags::HUP) {
            PeerState::Failed
        } else if events.contains(PollFlags::RDHUP) {
            PeerState::Closed
        } else {
            PeerState::Open
        }
    }

    /// Returns whether an idle connection must not be used again, because the peer has closed it or has sent
    /// bytes that were not requested.
    pub fn is_stale(&self) -> bool {
        let mut byte = [0];
        !matches!(self.stream.peek(&mut byte), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }
}
