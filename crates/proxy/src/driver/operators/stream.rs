//! An operator's connection: a Unix-domain stream, or TCP under mutual TLS. The bytes that come out of it are
//! an operator's; a peer that shows no trusted certificate gets no answer, its connection closes.

use super::super::Proxy;
use calloop::{Interest, LoopHandle, Readiness};
use rustls::ServerConnection;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::net::UnixStream;
use violetseam_event_io::{ReadOutcome, Socket};

/// One read takes at most so much.
const READ_BYTES: usize = 4_096;

/// The stream under an operator's connection.
pub(super) enum Transport {
    Unix(UnixStream),
    Tcp(TcpStream),
}

impl AsFd for Transport {
    fn as_fd(&self) -> BorrowedFd<'_> {
        match self {
            Transport::Unix(stream) => stream.as_fd(),
            Transport::Tcp(stream) => stream.as_fd(),
        }
    }
}

impl Read for &Transport {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        match self {
            Transport::Unix(stream) => (&*stream).read(buffer),
            Transport::Tcp(stream) => (&*stream).read(buffer),
        }
    }
}

impl Write for &Transport {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        match self {
            Transport::Unix(stream) => (&*stream).write(bytes),
            Transport::Tcp(stream) => (&*stream).write(bytes),
        }
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// One connection, with what TLS keeps of it.
pub(super) struct OperatorStream {
    socket: Socket<Transport>,
    tls: Option<Box<ServerConnection>>,
}

impl OperatorStream {
    /// Puts a connection on the event loop.
    pub(super) fn register(
        handle: &LoopHandle<'static, Proxy>,
        stream: Transport,
        tls: Option<Box<ServerConnection>>,
        on_ready: impl FnMut(Readiness, &mut Proxy) + 'static,
    ) -> std::io::Result<OperatorStream> {
        Ok(OperatorStream { socket: Socket::register(handle, stream, Interest::READ, on_ready)?, tls })
    }

    /// Whether the other side has still to show who it is.
    pub(super) fn is_handshaking(&self) -> bool {
        self.tls.as_ref().is_some_and(|tls| tls.is_handshaking())
    }

    /// Who the certificate says it is; none over the local socket, whose mode says who can open it.
    pub(super) fn certificate_holder(&self) -> Option<String> {
        let certs = self.tls.as_ref()?.peer_certificates()?;
        certs.first().map(|cert| violetseam_tls_config::holder(cert))
    }

    /// Reads once; what an operator sent is appended to `input`.
    pub(super) fn read(&mut self, input: &mut Vec<u8>) -> ReadOutcome {
        let mut bytes = [0; READ_BYTES];
        let got = self.socket.read(&mut bytes);
        let ReadOutcome::Bytes(n) = got else { return got };
        let Some(tls) = &mut self.tls else {
            input.extend_from_slice(&bytes[..n]);
            return got;
        };
        let before = input.len();
        let mut sealed = &bytes[..n];
        while !sealed.is_empty() {
            // Nothing is flushed on a fault: a peer without a trusted certificate gets no reason.
            if !matches!(tls.read_tls(&mut sealed), Ok(1..)) || tls.process_new_packets().is_err() {
                return ReadOutcome::Failed;
            }
            let mut plain = [0; READ_BYTES];
            loop {
                match tls.reader().read(&mut plain) {
                    Ok(0) => {
                        let read = input.len() - before;
                        return if read > 0 { ReadOutcome::Bytes(read) } else { ReadOutcome::Closed };
                    }
                    Ok(n) => input.extend_from_slice(&plain[..n]),
                    Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                    Err(_) => return ReadOutcome::Failed,
                }
            }
        }
        if self.flush().is_err() { ReadOutcome::Failed } else { ReadOutcome::Bytes(input.len() - before) }
    }

    /// Takes bytes to be sent.
    pub(super) fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        match &mut self.tls {
            Some(tls) => tls.writer().write_all(bytes)?,
            None => self.socket.write_buffer().extend_from_slice(bytes),
        }
        self.flush()
    }

    /// Writes what it can.
    pub(super) fn flush(&mut self) -> std::io::Result<()> {
        if let Some(tls) = &mut self.tls {
            while tls.wants_write() {
                tls.write_tls(self.socket.write_buffer())?;
            }
        }
        self.socket.flush().map(|_| ())
    }

    /// Bytes that wait to be written.
    pub(super) fn unwritten(&self) -> usize {
        self.socket.unwritten_bytes()
    }

    /// Sets whether the connection is to be read.
    pub(super) fn set_read_interest(&self, handle: &LoopHandle<'static, Proxy>, readable: bool) {
        self.socket.set_read_interest(handle, readable);
    }

    /// Takes the connection off the event loop and closes it.
    pub(super) fn remove(&self, handle: &LoopHandle<'static, Proxy>) {
        self.socket.remove(handle);
    }

    /// The stream that sockets can be handed over on.
    pub(super) fn unix_stream(&self) -> Option<&UnixStream> {
        match self.socket.stream() {
            Transport::Unix(stream) => Some(stream),
            Transport::Tcp(_) => None,
        }
    }
}
