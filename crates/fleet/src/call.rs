//! One request to one daemon: connect, write a line, read a line, all before one deadline; over its local
//! socket, or over TCP with mutual TLS.

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

/// The longest response line, in bytes: a state is longer than a request.
const MAX_RESPONSE_BYTES: usize = 4 * MAX_LINE_BYTES;
const READ_BUFFER_BYTES: usize = 4096;
/// How the fleet file marks a control address that is reached over TCP with TLS.
const TLS_PREFIX: &str = "tls://";

/// Why a daemon gave no response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No request was sent to this daemon.
    #[error("not asked")]
    NotSent,
    /// The daemon is reached over TLS and the fleet file names no identity.
    #[error("no identity to show it")]
    NoIdentity,
    /// The host of the control address is not a valid TLS server name.
    #[error("not a name that TLS knows")]
    InvalidServerName(#[source] InvalidDnsNameError),
    /// TLS could not be set up.
    #[error("{0}")]
    Tls(#[source] rustls::Error),
    /// The connection failed.
    #[error("no connection: {0}")]
    Connect(#[source] Error),
    /// The connection was not established before the deadline.
    #[error("no connection in time")]
    ConnectTimeout,
    /// The response did not begin before the deadline.
    #[error("no answer in time")]
    Timeout,
    /// The daemon closed the local connection.
    #[error("closed the connection without an answer")]
    Closed,
    /// The daemon closed the TLS connection.
    #[error("closed the connection without an answer: does it trust this certificate?")]
    ClosedTls,
    /// TLS rejected the daemon's certificate or what it sent.
    #[error("not trusted: {0}")]
    NotTrusted(#[source] Error),
    /// Reading or writing failed.
    #[error("{0}")]
    Io(#[source] Error),
    /// The response began and did not end before the deadline or an error.
    #[error("half an answer, then nothing")]
    Truncated,
    /// The response is longer than a daemon may send.
    #[error("an answer without an end")]
    TooLong,
    /// The response is not valid JSON of a response.
    #[error("an answer that cannot be read: {0}")]
    Malformed(#[source] serde_json::Error),
    /// The response belongs to another kind of request.
    #[error("answered something else: {0:?}")]
    Unexpected(Box<Response>),
}

/// A daemon's response, or why there is none.
pub type CallResult = Result<Response, CallError>;

/// Sends a request to a daemon and reads the response. Takes no longer than `timeout`, whatever the other
/// side does.
///
/// # Errors
/// If no response that can be parsed arrives within the timeout.
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

/// The host of an address `host:port`; the brackets of an IPv6 address are not part of the name.
fn server_name(address: &str) -> Result<ServerName<'static>, CallError> {
    let host = address.rsplit_once(':').map_or(address, |(host, _)| host);
    let name = host.trim_matches(['[', ']']).to_owned();
    ServerName::try_from(name).map_err(CallError::InvalidServerName)
}

/// Connects to the first of a name's addresses that accepts the connection.
fn connect_tcp(address: &str, timeout: Duration) -> std::io::Result<TcpStream> {
    let mut last_error = Error::other("the name has no address");
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

/// Connects on a thread of its own. The queue of a Unix-domain socket can be full for as long as its daemon is
/// stopped, and a name look-up has no timeout; neither may delay the other calls.
fn connect_before<S: SetTimeout + Send + 'static>(
    deadline: Instant,
    connect: impl FnOnce(Duration) -> std::io::Result<S> + Send + 'static,
) -> Result<S, CallError> {
    let remaining = deadline.saturating_duration_since(Instant::now());
    let (sender, receiver) = channel();
    std::thread::spawn(move || {
        // The receiver is gone if the deadline has passed.
        let _ = sender.send(connect(remaining));
    });
    match receiver.recv_timeout(remaining) {
        Ok(connected) => connected.map_err(CallError::Connect),
        Err(_) => Err(CallError::ConnectTimeout),
    }
}

/// Writes the request and reads the line of the response. `closed` is the error for a closed connection.
fn exchange(
    stream: &mut (impl Read + Write),
    request: &Request,
    closed: impl Fn() -> CallError,
) -> CallResult {
    let io_error = |error: Error| match error.kind() {
        ErrorKind::WouldBlock | ErrorKind::TimedOut => CallError::Timeout,
        ErrorKind::BrokenPipe | ErrorKind::ConnectionReset | ErrorKind::UnexpectedEof => closed(),
        ErrorKind::InvalidData => CallError::NotTrusted(error),
        _ => CallError::Io(error),
    };
    stream.write_all(&encode_line(request)).map_err(io_error)?;
    stream.flush().map_err(io_error)?;
    let mut received = Vec::new();
    let mut buffer = [0; READ_BUFFER_BYTES];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return Err(closed()),
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
