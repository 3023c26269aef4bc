//! A client that writes its message in pieces and reads what comes back without looking at it.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A connection and what of its message has not been written yet.
pub struct PiecewiseWriter {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl PiecewiseWriter {
    /// Connects, or returns `None` if that takes longer than `timeout`.
    pub fn connect(addr: SocketAddr, timeout: Duration, message: Vec<u8>) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&addr, timeout).ok()?;
        stream.set_nonblocking(true).unwrap();
        Some(PiecewiseWriter { stream, rest: message })
    }

    /// Writes the next piece, as far as the connection takes it, and reads what has come. Returns whether the
    /// connection is still open.
    pub fn write_piece(&mut self, bytes: usize) -> bool {
        let length = self.rest.len().min(bytes);
        match (&self.stream).write(&self.rest[..length]) {
            Ok(count) => drop(self.rest.drain(..count)),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
        let read = (&self.stream).read(&mut [0; 4096]);
        !matches!(read, Ok(0)) && read.err().is_none_or(|e| e.kind() == ErrorKind::WouldBlock)
    }
}
