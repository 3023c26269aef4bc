//! Opening non-blocking TCP listeners and connections.

use socket2::{Domain, Protocol, Type};
use std::io::{Error, ErrorKind, Result};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// The system's error code for a connection that is being established (`EINPROGRESS` on Linux).
const EINPROGRESS: i32 = 115;

/// Opens a non-blocking listener whose address can be bound again at once after a restart. `backlog` bounds
/// the connections that may wait to be accepted.
///
/// # Errors
/// The system's error if the listener cannot be opened; an error of the address names it.
pub fn listen(address: SocketAddr, backlog: i32) -> Result<TcpListener> {
    let socket = new_socket(address)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into()).map_err(|e| Error::new(e.kind(), format!("{address}: {e}")))?;
    socket.listen(backlog)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// Begins a non-blocking connection without waiting until it is established; the event loop reports it as
/// writable then.
///
/// # Errors
/// The system's error if the connection cannot be begun.
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

/// Whether a connection attempt has only not completed yet.
fn is_in_progress(error: &Error) -> bool {
    error.kind() == ErrorKind::WouldBlock || error.raw_os_error() == Some(EINPROGRESS)
}
