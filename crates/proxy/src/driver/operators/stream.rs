//! The byte stream of an operator's connection: a Unix-domain stream, or TCP with mutual TLS. It returns only
//! bytes from authenticated operators. The connection of a peer without a trusted certificate is closed
//! without a response.

use super::super::Proxy;
use calloop::{Interest, LoopHandle, Readiness};
use rustls::ServerConnection;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::net::UnixStream;
use violetseam_event_io::{ReadOutcome, Socket};

/// The size of the buffer for one read from the stream.
const READ_BUFFER_BYTES: usize = 4_096;

/// The socket of an operator's connection.
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

/// The stream of one connection, with its TLS session if it uses TLS.
pub(super) struct OperatorStream {
    socket: Socket<Transport>,
    tls: Option<Box<ServerConnection>>,
}

impl OperatorStream {
    /// Registers a connection on the event loop.
    pub(super) fn register(
        loop_handle: &LoopHandle<'static, Proxy>,
        stream: Transport,
        tls: Option<Box<ServerConnection>>,
        on_ready: impl FnMut(Readiness, &mut Proxy) + 'static,
    ) -> std::io::Result<OperatorStream> {
        Ok(OperatorStream { socket: Socket::register(loop_handle, stream, Interest::READ, on_ready)?, tls })
    }

    /// Whether the TLS handshake is not complete yet, so that the peer is not authenticated.
    pub(super) fn is_handshaking(&self) -> bool {
        self.tls.as_ref().is_some_and(|tls| tls.is_handshaking())
    }

    /// Returns the name in the peer's certificate. There is none over the local socket, where access is
    /// controlled by the socket's mode.
    pub(super) fn certificate_holder(&self) -> Option<String> {
        let certs = self.tls.as_ref()?.peer_certificates()?;
        certs.first().map(|cert| violetseam_tls_config::holder(cert))
    }

    /// Reads the socket once and appends the bytes, decrypted if the connection uses TLS, to `input`.
    pub(super) fn read(&mut self, input: &mut Vec<u8>) -> ReadOutcome {
        let mut buffer = [0; READ_BUFFER_BYTES];
        let outcome = self.socket.read(&mut buffer);
        let ReadOutcome::Bytes(length) = outcome else { return outcome };
        let Some(tls) = &mut self.tls else {
            input.extend_from_slice(&buffer[..length]);
            return outcome;
        };
        let length_before = input.len();
        let decrypt_outcome = decrypt(tls, &buffer[..length], input);
        let decrypted_bytes = input.len() - length_before;
        match decrypt_outcome {
            DecryptOutcome::Complete if self.flush().is_ok() => ReadOutcome::Bytes(decrypted_bytes),
            DecryptOutcome::CloseNotify if decrypted_bytes > 0 => ReadOutcome::Bytes(decrypted_bytes),
            DecryptOutcome::CloseNotify => ReadOutcome::Closed,
            // On an error nothing is flushed, so that a peer without a trusted certificate is not told why.
            DecryptOutcome::Complete | DecryptOutcome::Failed => ReadOutcome::Failed,
        }
    }

    /// Queues bytes, and writes as much as the socket accepts now.
    pub(super) fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        match &mut self.tls {
            Some(tls) => tls.writer().write_all(bytes)?,
            None => self.socket.write_buffer().extend_from_slice(bytes),
        }
        self.flush()
    }

    /// Writes as much of the queued bytes as the socket accepts now.
    pub(super) fn flush(&mut self) -> std::io::Result<()> {
        if let Some(tls) = &mut self.tls {
            while tls.wants_write() {
                tls.write_tls(self.socket.write_buffer())?;
            }
        }
        self.socket.flush().map(|_| ())
    }

    /// Returns how many queued bytes have not been written yet.
    pub(super) fn unwritten_bytes(&self) -> usize {
        self.socket.unwritten_bytes()
    }

    /// Sets whether the connection is polled for input.
    pub(super) fn set_read_interest(&self, loop_handle: &LoopHandle<'static, Proxy>, readable: bool) {
        self.socket.set_read_interest(loop_handle, readable);
    }

    /// Removes the connection from the event loop and closes it.
    pub(super) fn remove(&self, loop_handle: &LoopHandle<'static, Proxy>) {
        self.socket.remove(loop_handle);
    }

    /// Returns the Unix-domain stream, over which descriptors can be handed over; `None` for TCP.
    pub(super) fn unix_stream(&self) -> Option<&UnixStream> {
        match self.socket.stream() {
            Transport::Unix(stream) => Some(stream),
            Transport::Tcp(_) => None,
        }
    }
}

/// The outcome of decrypting received bytes.
enum DecryptOutcome {
    /// All bytes were decrypted.
    Complete,
    /// The peer ended the TLS session.
    CloseNotify,
    /// The peer violated the protocol, or its certificate is not trusted.
    Failed,
}

/// Decrypts received bytes and appends the plaintext to `input`.
fn decrypt(tls: &mut ServerConnection, mut ciphertext: &[u8], input: &mut Vec<u8>) -> DecryptOutcome {
    while !ciphertext.is_empty() {
        if !matches!(tls.read_tls(&mut ciphertext), Ok(1..)) || tls.process_new_packets().is_err() {
            return DecryptOutcome::Failed;
        }
        let mut plaintext = [0; READ_BUFFER_BYTES];
        loop {
            match tls.reader().read(&mut plaintext) {
                Ok(0) => return DecryptOutcome::CloseNotify,
                Ok(length) => input.extend_from_slice(&plaintext[..length]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(_) => return DecryptOutcome::Failed,
            }
        }
    }
    DecryptOutcome::Complete
}
