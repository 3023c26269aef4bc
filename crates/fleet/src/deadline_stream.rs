//! A blocking stream whose reads and writes share one deadline.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant};

/// A blocking stream whose reads and writes time out at a deadline. Socket timeouts alone bound each read or
/// write, not their sum.
pub(crate) struct DeadlineStream<S> {
    stream: S,
    deadline: Instant,
}

/// A blocking socket whose reads and writes can be given a timeout.
pub(crate) trait SetTimeout: Read + Write {
    /// Sets the timeout of each later read and write.
    fn set_timeout(&self, timeout: Duration) -> std::io::Result<()>;
}

impl SetTimeout for UnixStream {
    fn set_timeout(&self, timeout: Duration) -> std::io::Result<()> {
        self.set_read_timeout(Some(timeout))?;
        self.set_write_timeout(Some(timeout))
    }
}

impl SetTimeout for TcpStream {
    fn set_timeout(&self, timeout: Duration) -> std::io::Result<()> {
        self.set_read_timeout(Some(timeout))?;
        self.set_write_timeout(Some(timeout))
    }
}

impl<S: SetTimeout> DeadlineStream<S> {
    pub(crate) fn new(stream: S, deadline: Instant) -> Self {
        DeadlineStream { stream, deadline }
    }

    /// Sets the socket's timeout to the time left until the deadline, and returns the socket.
    fn with_remaining_timeout(&mut self) -> std::io::Result<&mut S> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        self.stream.set_timeout(remaining)?;
        Ok(&mut self.stream)
    }
}

impl<S: SetTimeout> Read for DeadlineStream<S> {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        self.with_remaining_timeout()?.read(buffer)
    }
}

impl<S: SetTimeout> Write for DeadlineStream<S> {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.with_remaining_timeout()?.write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        self.with_remaining_timeout()?.flush()
    }
}
