//! A blocking stream whose reads and writes all end at one deadline.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant};

/// A stream whose reads and writes time out at a deadline.
pub(crate) struct DeadlineStream<S> {
    stream: S,
    deadline: Instant,
}

/// A socket with timeouts for its reads and writes.
pub(crate) trait SetTimeout: Read + Write {
    /// Sets the timeout of each further read and write.
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

    /// The stream, with the time that is left as its timeout.
    fn before_deadline(&mut self) -> std::io::Result<&mut S> {
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
        self.before_deadline()?.read(buffer)
    }
}

impl<S: SetTimeout> Write for DeadlineStream<S> {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.before_deadline()?.write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        self.before_deadline()?.flush()
    }
}
