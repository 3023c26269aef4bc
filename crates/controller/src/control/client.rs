//! The client side of the control socket, for the command line.

use super::{MAX_LINE_LEN, Request, Response};
use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The reason why there is no response from the controller.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The socket cannot be used, or no response arrived in time.
    #[error("control socket {}: {source}", .path.display())]
    Io {
        /// The path of the socket.
        path: PathBuf,
        /// The error that the system reported.
        source: std::io::Error,
    },
    /// The request cannot be encoded as JSON.
    #[error("cannot encode the request as JSON: {0}")]
    Encode(#[source] serde_json::Error),
    /// The response cannot be parsed.
    #[error("control socket {}: cannot parse the response: {source}", .path.display())]
    Decode {
        /// The path of the socket.
        path: PathBuf,
        /// The error of the JSON parser.
        source: serde_json::Error,
    },
}

/// Sends a request to a controller and waits for its response.
///
/// # Errors
/// The socket cannot be used, no response arrived within `timeout`, or the response cannot be parsed.
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
