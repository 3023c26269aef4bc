//! A connection on the event loop: its stream, its registration and its write buffer.

use calloop::generic::Generic;
use calloop::{
    EventSource, Interest, LoopHandle, Mode, Poll, PostAction, Readiness, RegistrationToken, Token,
    TokenFactory,
};
use std::cell::Cell;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::os::fd::AsFd;
use std::rc::Rc;

/// While a connection's write buffer holds more bytes than this, its owner reads nothing that would add to
/// them.
pub const WRITE_BUFFER_HIGH_WATERMARK: usize = 256 * 1024;

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

/// The outcome of [`Socket::read`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// This many bytes were read into the start of the buffer; never 0.
    Bytes(usize),
    /// No bytes have arrived since the last read: the event loop reports when there are some.
    WouldBlock,
    /// End of stream: the peer has closed its write side. It may still read what is written to it.
    Closed,
    /// The read failed, as after a reset by the peer: the connection cannot be used any more.
    Failed,
}

/// A connection: its stream, its registration on the event loop and its write buffer.
pub struct Socket<S = TcpStream> {
    stream: Rc<S>,
    token: RegistrationToken,
    interest: Rc<Cell<Interest>>,
    write_buffer: Vec<u8>,
    /// The length of the part of `write_buffer` that has been written already.
    written_len: usize,
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
        Ok(Socket { stream, token, interest: shared_interest, write_buffer: Vec::new(), written_len: 0 })
    }

    /// Removes the connection from the event loop. It closes when it is dropped, but within its own callback
    /// only once that returns, as the loop holds the stream until then; [`Socket::close_now`] does not wait
    /// for that.
    pub fn remove<D>(&self, handle: &LoopHandle<'static, D>) {
        handle.remove(self.token);
    }

    /// Sets whether the owner is called when bytes can be read. It is called for writing while bytes are
    /// unwritten.
    pub fn set_read_interest<D>(&self, handle: &LoopHandle<'static, D>, readable: bool) {
        self.set_interest(handle, Interest { readable, writable: self.has_unwritten_bytes() });
    }

    /// Sets that the owner is called when the connection is established.
    pub fn set_connect_interest<D>(&self, handle: &LoopHandle<'static, D>) {
        self.set_interest(handle, Interest::BOTH);
    }

    fn set_interest<D>(&self, handle: &LoopHandle<'static, D>, interest: Interest) {
        let before = self.interest.replace(interest);
        let has_changed = before.readable != interest.readable || before.writable != interest.writable;
        if has_changed {
            // Fails only for a source that is gone, which needs no update.
            let _ = handle.update(&self.token);
        }
    }

    /// The buffer of bytes to be written, to append to; [`Socket::flush`] writes them.
    pub fn write_buffer(&mut self) -> &mut Vec<u8> {
        &mut self.write_buffer
    }

    /// How many bytes of the write buffer have not been written yet.
    pub fn unwritten_bytes(&self) -> usize {
        self.write_buffer.len() - self.written_len
    }

    /// Whether any bytes of the write buffer have not been written yet.
    pub fn has_unwritten_bytes(&self) -> bool {
        self.unwritten_bytes() > 0
    }

    /// Writes as much of the write buffer as the connection accepts now and returns how many bytes that were.
    ///
    /// # Errors
    /// The system's error if the write failed: the connection cannot be used any more.
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

    /// Drops the written part of the buffer once it is long; moving the rest after each write would cost
    /// more.
    fn drop_written_part(&mut self) {
        if self.written_len > WRITE_BUFFER_HIGH_WATERMARK {
            self.write_buffer.drain(..self.written_len);
            self.written_len = 0;
        }
    }

    /// Empties the buffer, and frees its memory where that is large.
    fn reset_write_buffer(&mut self) {
        self.write_buffer.clear();
        self.written_len = 0;
        if self.write_buffer.capacity() > WRITE_BUFFER_HIGH_WATERMARK {
            self.write_buffer = Vec::new();
        }
    }

    /// Reads once, into the start of `buffer`, which must not be empty.
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

    /// The stream itself.
    pub fn stream(&self) -> &S {
        &self.stream
    }
}

impl Socket<TcpStream> {
    /// Closes the write side.
    pub fn close_write(&self) {
        // Fails only for a connection that is gone, which the next read reports.
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Removes the connection from the event loop and shuts it down now, also within its own callback:
    /// whatever is written elsewhere after this is sent after the end of this connection.
    pub fn close_now<D>(&self, handle: &LoopHandle<'static, D>) {
        // Fails only for a connection that is not established or is gone, on which nothing is in flight.
        let _ = self.stream.shutdown(Shutdown::Both);
        self.remove(handle);
    }

    /// The error of a connection attempt that failed, if it did.
    pub fn connect_error(&self) -> Option<std::io::Error> {
        self.stream.take_error().unwrap_or_else(Some)
    }

    /// Whether the peer has closed the connection or sent unexpected bytes: nothing may be sent on such a
    /// connection.
    pub fn is_stale(&self) -> bool {
        let mut byte = [0];
        !matches!(self.stream.peek(&mut byte), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }
}
