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

/// The size of one read.
const READ_BUFFER_BYTES: usize = 4_096;

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

/// One connection, with its TLS state if it has any.
pub(super) struct OperatorStream {
    socket: Socket<Transport>,
    tls: Option<Box<ServerConnection>>,
}

impl OperatorStream {
    /// Registers a connection on the event loop.
    pub(super) fn register(
        handle: &LoopHandle<'static, Proxy>,
        stream: Transport,
        tls: Option<Box<ServerConnection>>,
        on_ready: impl FnMut(Readiness, &mut Proxy) + 'static,
    ) -> std::io::Result<OperatorStream> {
        Ok(OperatorStream { socket: Socket::register(handle, stream, Interest::READ, on_ready)?, tls })
    }

    /// Whether the TLS handshake is not complete, so that the peer is not authenticated yet.
    pub(super) fn is_handshaking(&self) -> bool {
        self.tls.as_ref().is_some_and(|tls| tls.is_handshaking())
    }

    /// The name in the peer's certificate; none over the local socket, whose mode says who can open it.
    pub(super) fn certificate_holder(&self) -> Option<String> {
        let certs = self.tls.as_ref()?.peer_certificates()?;
        certs.first().map(|cert| violetseam_tls_config::holder(cert))
    }

    /// Reads once and appends the operator's bytes to `input`.
    pub(super) fn read(&mut self, input: &mut Vec<u8>) -> ReadOutcome {
        let mut bytes = [0; READ_BUFFER_BYTES];
        let outcome = self.socket.read(&mut bytes);
        let ReadOutcome::Bytes(n) = outcome else { return outcome };
        let Some(tls) = &mut self.tls else {
            input.extend_from_slice(&bytes[..n]);
            return outcome;
        };
        let length_before = input.len();
        let decrypted = decrypt(tls, &bytes[..n], input);
        let read = input.len() - length_before;
        match decrypted {
            DecryptOutcome::Complete if self.flush().is_ok() => ReadOutcome::Bytes(read),
            DecryptOutcome::CloseNotify if read > 0 => ReadOutcome::Bytes(read),
            DecryptOutcome::CloseNotify => ReadOutcome::Closed,
            // Nothing is flushed on an error: a peer without a trusted certificate gets no reason.
            DecryptOutcome::Complete | DecryptOutcome::Failed => ReadOutcome::Failed,
        }
    }

    /// Queues bytes and writes what the connection accepts.
    pub(super) fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        match &mut self.tls {
            Some(tls) => tls.writer().write_all(bytes)?,
            None => self.socket.write_buffer().extend_from_slice(bytes),
        }
        self.flush()
    }

    /// Writes as much as the connection accepts now.
    pub(super) fn flush(&mut self) -> std::io::Result<()> {
        if let Some(tls) = &mut self.tls {
            while tls.wants_write() {
                tls.write_tls(self.socket.write_buffer())?;
            }
        }
        self.socket.flush().map(|_| ())
    }

    /// How many bytes have not been written yet.
    pub(super) fn unwritten_bytes(&self) -> usize {
        self.socket.unwritten_bytes()
    }

    /// Sets whether the connection is to be read.
    pub(super) fn set_read_interest(&self, handle: &LoopHandle<'static, Proxy>, readable: bool) {
        self.socket.set_read_interest(handle, readable);
    }

    /// Removes the connection from the event loop and closes it.
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

/// How the decryption of received bytes ended.
enum DecryptOutcome {
    /// All are decrypted.
    Complete,
    /// The peer ended the TLS session.
    CloseNotify,
    /// The peer violated the protocol, or is not trusted.
    Failed,
}

/// Decrypts received bytes and appends the plain text to `input`.
fn decrypt(tls: &mut ServerConnection, mut sealed: &[u8], input: &mut Vec<u8>) -> DecryptOutcome {
    while !sealed.is_empty() {
        if !matches!(tls.read_tls(&mut sealed), Ok(1..)) || tls.process_new_packets().is_err() {
            return DecryptOutcome::Failed;
        }
        let mut plain = [0; READ_BUFFER_BYTES];
        loop {
            match tls.reader().read(&mut plain) {
                Ok(0) => return DecryptOutcome::CloseNotify,
                Ok(n) => input.extend_from_slice(&plain[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => return DecryptOutcome::Failed,
            }
        }
    }
    DecryptOutcome::Complete
}
