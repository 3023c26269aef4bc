//! Sends one request to one daemon, over its local control socket or over TCP with mutual TLS. Connecting,
//! writing the request line and reading the response line share one deadline.

use crate::deadline_stream::{DeadlineStream, SetTimeout};
use rustls::pki_types::{InvalidDnsNameError, ServerName};
use rustls::{ClientConfig, ClientConnection, StreamOwned};
use std::io::{Error, ErrorKind, Read, Write};
use std::net::{TcpStream, ToSocketAddrs};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};
use violetseam_operator_commands::wire::{MAX_LINE_BYTES, Request, Response, encode_line};

/// The maximum length of a response line, in bytes. A daemon's state is longer than a request.
const MAX_RESPONSE_BYTES: usize = 4 * MAX_LINE_BYTES;
const READ_BUFFER_BYTES: usize = 4096;
/// The prefix of a control address in the fleet file that is reached over TCP with TLS.
const TLS_PREFIX: &str = "tls://";

/// Why there is no valid response from a daemon.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No request was sent to this daemon.
    #[error("no request was sent to it")]
    NotSent,
    /// The daemon is reached over TLS, but the fleet file names no identity for the operator.
    #[error("reached over TLS, but the fleet file names no identity")]
    NoIdentity,
    /// The host of the control address is not a valid TLS server name.
    #[error("the host of its control address is not a valid TLS server name: {0}")]
    InvalidServerName(#[source] InvalidDnsNameError),
    /// The TLS session could not be set up.
    #[error("setting up TLS failed: {0}")]
    Tls(#[source] rustls::Error),
    /// The connection could not be established.
    #[error("no connection: {0}")]
    Connect(#[source] Error),
    /// The connection was not established before the deadline.
    #[error("no connection in time")]
    ConnectTimeout,
    /// The request could not be written, or the response did not begin, before the deadline.
    #[error("no answer in time")]
    Timeout,
    /// The daemon closed the connection to its local socket.
    #[error("closed the connection without an answer")]
    Closed,
    /// The daemon closed the TLS connection, as it does if it does not trust the operator's certificate.
    #[error("closed the connection without an answer: it may not trust the operator's certificate")]
    ClosedTls,
    /// TLS rejected the daemon's certificate or the data that it sent.
    #[error("not trusted: {0}")]
    NotTrusted(#[source] Error),
    /// Reading or writing failed.
    #[error("reading or writing failed: {0}")]
    Io(#[source] Error),
    /// The response began, but its end did not arrive before the deadline or before reading failed.
    #[error("half an answer: the end of its line did not arrive")]
    Truncated,
    /// The response line is longer than `MAX_RESPONSE_BYTES`.
    #[error("an answer without an end of line in {MAX_RESPONSE_BYTES} bytes")]
    TooLong,
    /// The line is not the JSON of a response.
    #[error("an answer that cannot be read: {0}")]
    Malformed(#[source] serde_json::Error),
    /// The response belongs to another kind of request.
    #[error("answered another kind of request: {0:?}")]
    Unexpected(Box<Response>),
}

/// A daemon's response, or why there is no valid one.
pub type CallResult = Result<Response, CallError>;

/// Sends a request to the daemon with the address `control` and reads its response. Takes no longer than
/// `timeout`, whatever the daemon does. `identity` holds the operator's certificate and key.
///
/// # Errors
/// [`CallError`] if no valid response arrives within the timeout.
pub fn call(
    control: &str,
    request: &Request,
    timeout: Duration,
    identity: Option<&Arc<ClientConfig>>,
) -> CallResult {
    let deadline = Instant::now() + timeout;
    match control.strip_prefix(TLS_PREFIX) {
        Some(address) => call_over_tls(address, request, deadline, identity),
        None => call_local_socket(control, request, deadline),
    }
}

fn call_local_socket(path: &str, request: &Request, deadline: Instant) -> CallResult {
    let path = path.to_owned();
    let stream = connect_before(deadline, move |_| UnixStream::connect(path))?;
    exchange(&mut DeadlineStream::new(stream, deadline), request, || CallError::Closed)
}

fn call_over_tls(
    address: &str,
    request: &Request,
    deadline: Instant,
    identity: Option<&Arc<ClientConfig>>,
) -> CallResult {
    let identity = identity.ok_or(CallError::NoIdentity)?;
    let server_name = server_name(address)?;
    let owned_address = address.to_owned();
    let stream = connect_before(deadline, move |remaining| connect_tcp(&owned_address, remaining))?;
    let tls = ClientConnection::new(identity.clone(), server_name).map_err(CallError::Tls)?;
    let mut stream = StreamOwned::new(tls, DeadlineStream::new(stream, deadline));
    exchange(&mut stream, request, || CallError::ClosedTls)
}

/// Returns the host of an address `host:port`, without the brackets of an IPv6 address, as a TLS server name.
fn server_name(address: &str) -> Result<ServerName<'static>, CallError> {
    let host = address.rsplit_once(':').map_or(address, |(host, _)| host);
    let name = host.trim_matches(['[', ']']).to_owned();
    ServerName::try_from(name).map_err(CallError::InvalidServerName)
}

/// Connects to the first IP address of the host that accepts the connection.
fn connect_tcp(address: &str, timeout: Duration) -> std::io::Result<TcpStream> {
    let mut last_error = Error::other("the host name resolves to no address");
    for socket_address in address.to_socket_addrs()? {
        match TcpStream::connect_timeout(&socket_address, timeout) {
            Ok(stream) => {
                stream.set_nodelay(true)?;
                return Ok(stream);
            }
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}

/// Connects on a separate thread and stops waiting at the deadline. Connecting to a Unix-domain socket blocks
/// while its queue is full, as it can be for as long as its daemon is stopped, and a name look-up has no
/// timeout. Neither may delay the other calls.
fn connect_before<S: SetTimeout + Send + 'static>(
    deadline: Instant,
    connect: impl FnOnce(Duration) -> std::io::Result<S> + Send + 'static,
) -> Result<S, CallError> {
    let remaining = deadline.saturating_duration_since(Instant::now());
    let (sender, receiver) = channel();
    std::thread::spawn(move || {
        // The receiver has been dropped if the deadline has passed; the result is of no use then.
        let _ = sender.send(connect(remaining));
    });
    match receiver.recv_timeout(remaining) {
        Ok(connected) => connected.map_err(CallError::Connect),
        Err(_) => Err(CallError::ConnectTimeout),
    }
}

/// Writes the request line and reads the response line. `closed` returns the error for a connection that the
/// daemon closed.
fn exchange(
    stream: &mut (impl Read + Write),
    request: &Request,
    closed_error: impl Fn() -> CallError,
) -> CallResult {
    let io_error = |error: Error| match error.kind() {
        ErrorKind::WouldBlock | ErrorKind::TimedOut => CallError::Timeout,
        ErrorKind::BrokenPipe | ErrorKind::ConnectionReset | ErrorKind::UnexpectedEof => closed_error(),
        ErrorKind::InvalidData => CallError::NotTrusted(error),
        _ => CallError::Io(error),
    };
    stream.write_all(&encode_line(request)).map_err(io_error)?;
    stream.flush().map_err(io_error)?;
    let mut received = Vec::new();
    let mut buffer = [0; READ_BUFFER_BYTES];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return Err(closed_error()),
            Ok(length) => received.extend_from_slice(&buffer[..length]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) if !received.is_empty() => return Err(CallError::Truncated),
            Err(error) => return Err(io_error(error)),
        }
        if let Some(end) = received.iter().position(|byte| *byte == b'\n') {
            return serde_json::from_slice(&received[..end]).map_err(CallError::Malformed);
        }
        if received.len() > MAX_RESPONSE_BYTES {
            return Err(CallError::TooLong);
        }
    }
}
