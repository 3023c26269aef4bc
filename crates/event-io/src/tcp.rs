//! Opens non-blocking TCP listeners and connections.

use socket2::{Domain, Protocol, Type};
use std::io::{Error, ErrorKind, Result};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// The error code `EINPROGRESS` on Linux: the connection is still being established.
const EINPROGRESS: i32 = 115;

/// Opens a non-blocking listener. Its address can be bound again immediately after a restart. `backlog` is
/// the maximum number of connections that may wait to be accepted.
///
/// # Errors
/// Returns the operating system's error if the listener cannot be opened. If the address cannot be bound, the
/// error names the address.
pub fn listen(address: SocketAddr, backlog: i32) -> Result<TcpListener> {
    let socket = new_socket(address)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into()).map_err(|e| Error::new(e.kind(), format!("cannot bind {address}: {e}")))?;
    socket.listen(backlog)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// Starts to establish a non-blocking connection and returns at once. The event loop reports the connection
/// as writable when it is established.
///
/// # Errors
/// Returns the operating system's error if the connection attempt cannot be started.
pub fn connect(address: SocketAddr) -> Result<TcpStream> {
    let socket = new_socket(address)?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    match socket.connect(&address.into()) {
        Ok(()) => Ok(socket.into()),
        Err(e) if is_in_progress(&e) => Ok(socket.into()),
        Err(e) => Err(e),
    }
}

fn new_socket(address: SocketAddr) -> Result<socket2::Socket> {
    socket2::Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))
}

/// Whether the error only means that the connection is not established yet.
fn is_in_progress(error: &Error) -> bool {
    error.kind() == ErrorKind::WouldBlock || error.raw_os_error() == Some(EINPROGRESS)
}
