//! The client side of the control socket, for the command line.

use super::{MAX_LINE_LEN, Request, Response};
use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Why a controller's response could not be had.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The socket cannot be used, or nothing came in time.
    #[error("{}: {source}", .path.display())]
    Io {
        /// The socket.
        path: PathBuf,
        /// What the system reported.
        source: std::io::Error,
    },
    /// The request cannot be written as JSON.
    #[error("{0}")]
    Encode(#[source] serde_json::Error),
    /// The response cannot be parsed.
    #[error("{}: no answer that can be read: {source}", .path.display())]
    Decode {
        /// The socket.
        path: PathBuf,
        /// Where the parser stopped.
        source: serde_json::Error,
    },
}

/// Sends a request to a controller and waits for its response.
///
/// # Errors
/// The socket cannot be used, nothing came within `timeout`, or the response cannot be parsed.
pub fn send_request(path: &Path, request: &Request, timeout: Duration) -> Result<Response, ControlError> {
    let io_error = |source| ControlError::Io { path: path.to_owned(), source };
    let stream = UnixStream::connect(path).map_err(io_error)?;
    stream.set_read_timeout(Some(timeout)).map_err(io_error)?;
    stream.set_write_timeout(Some(timeout)).map_err(io_error)?;
    let mut line = serde_json::to_vec(request).map_err(ControlError::Encode)?;
    line.push(b'\n');
    (&stream).write_all(&line).map_err(io_error)?;
    let mut response = Vec::new();
    BufReader::new((&stream).take(MAX_LINE_LEN)).read_until(b'\n', &mut response).map_err(io_error)?;
    serde_json::from_slice(&response).map_err(|source| ControlError::Decode { path: path.to_owned(), source })
}
