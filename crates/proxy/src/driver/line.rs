//! An operator's connection: a Unix-domain stream, or TCP under mutual TLS. The bytes that come out of it are
//! an operator's; a peer that shows no trusted certificate is told nothing, its connection closes.

use super::Proxy;
use calloop::{Interest, LoopHandle, Readiness};
use rustls::ServerConnection;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::net::UnixStream;
use violetseam_loopio::{Got, Socket};

/// The stream under an operator's connection.
pub(super) enum Stream {
    Unix(UnixStream),
    Tcp(TcpStream),
}

impl AsFd for Stream {
    fn as_fd(&self) -> BorrowedFd<'_> {
        match self {
            Stream::Unix(s) => s.as_fd(),
            Stream::Tcp(s) => s.as_fd(),
        }
    }
}

impl Read for &Stream {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        match self {
            Stream::Unix(s) => (&*s).read(buffer),
            Stream::Tcp(s) => (&*s).read(buffer),
        }
    }
}

impl Write for &Stream {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        match self {
            Stream::Unix(s) => (&*s).write(bytes),
            Stream::Tcp(s) => (&*s).write(bytes),
        }
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// One connection.
pub(super) struct Line {
    socket: Socket<Stream>,
    tls: Option<Box<ServerConnection>>,
}

impl Line {
    pub fn register(
        on: &LoopHandle<'static, Proxy>,
        stream: Stream,
        tls: Option<Box<ServerConnection>>,
        call: impl FnMut(Readiness, &mut Proxy) + 'static,
    ) -> std::io::Result<Line> {
        Ok(Line { socket: Socket::register(on, stream, Interest::READ, call)?, tls })
    }

    /// Whether the other side has still to show who it is.
    pub fn is_a_stranger(&self) -> bool {
        self.tls.as_ref().is_some_and(|tls| tls.is_handshaking())
    }

    /// Who the certificate says it is; none over the local socket, whose mode says who can open it.
    pub fn holder(&self) -> Option<String> {
        let certs = self.tls.as_ref()?.peer_certificates()?;
        certs.first().map(|cert| violetseam_keys::holder(cert))
    }

    /// Reads once; what an operator sent is appended to `input`.
    pub fn read(&mut self, input: &mut Vec<u8>) -> Got {
        let mut bytes = [0; 4096];
        let got = self.socket.read(&mut bytes);
        let Got::Bytes(n) = got else { return got };
        let Some(tls) = &mut self.tls else {
            input.extend_from_slice(&bytes[..n]);
            return got;
        };
        let (before, mut sealed) = (input.len(), &bytes[..n]);
        while !sealed.is_empty() {
            // Nothing is flushed on a fault: a stranger is not told what was wrong with its certificate.
            if !matches!(tls.read_tls(&mut sealed), Ok(1..)) || tls.process_new_packets().is_err() {
                return Got::Broken;
            }
            let mut plain = [0; 4096];
            loop {
                match tls.reader().read(&mut plain) {
                    Ok(0) => {
                        return if input.len() > before {
                            Got::Bytes(input.len() - before)
                        } else {
                            Got::Closed
                        };
                    }
                    Ok(n) => input.extend_from_slice(&plain[..n]),
                    Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                    Err(_) => return Got::Broken,
                }
            }
        }
        if self.flush().is_err() { Got::Broken } else { Got::Bytes(input.len() - before) }
    }

    /// Takes bytes to be sent.
    pub fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        match &mut self.tls {
            Some(tls) => tls.writer().write_all(bytes)?,
            None => self.socket.out().extend_from_slice(bytes),
        }
        self.flush()
    }

    /// Writes what it can.
    pub fn flush(&mut self) -> std::io::Result<()> {
        if let Some(tls) = &mut self.tls {
            while tls.wants_write() {
                tls.write_tls(self.socket.out())?;
            }
        }
        self.socket.flush().map(|_| ())
    }

    pub fn unwritten(&self) -> usize {
        self.socket.unwritten()
    }

    pub fn want(&self, on: &LoopHandle<'static, Proxy>, read: bool) {
        self.socket.want(on, read);
    }

    pub fn remove(&self, from: &LoopHandle<'static, Proxy>) {
        self.socket.remove(from);
    }

    /// The stream that sockets can be handed over on.
    pub fn local(&self) -> Option<&UnixStream> {
        match self.socket.stream() {
            Stream::Unix(stream) => Some(stream),
            Stream::Tcp(_) => None,
        }
    }
}
