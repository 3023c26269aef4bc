//! The wire format of the control socket: one JSON object a line, one response for each request.

use crate::command::Command;
use crate::daemon_state::DaemonState;
use serde::{Deserialize, Serialize};

/// The longest line that a daemon accepts, in bytes.
pub const MAX_LINE_BYTES: usize = 64 * 1024;

/// The longest id or issuer of a command, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// A request to a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Request {
    /// The daemon's name, boot number and version.
    Whoami,
    /// A snapshot of the daemon's state.
    State,
    /// Execute a command.
    Command(Command),
    /// Hand over to a new process. What follows on the connection is defined by `takeover` in the proxy.
    Takeover,
}

/// What became of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// Applied now, or before under the same id.
    #[serde(rename = "agreed")]
    Applied {
        /// It had been applied before.
        #[serde(rename = "again")]
        already: bool,
    },
    /// Prepared until its expiry.
    Prepared,
    /// A prepared command was released.
    Released,
    /// Not applied.
    #[serde(rename = "refused")]
    Rejected {
        /// Why, for people.
        reason: String,
    },
}

impl Reply {
    /// A rejection with this reason.
    pub fn rejected(reason: impl Into<String>) -> Self {
        Reply::Rejected { reason: reason.into() }
    }
}

/// A daemon's response to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Response {
    /// To `whoami`.
    Whoami {
        /// The daemon's name in its fleet.
        name: String,
        /// Its boot number.
        boot: u64,
        /// The program's version.
        version: String,
    },
    /// To `state`.
    State(Box<DaemonState>),
    /// To a command.
    Command(Reply),
    /// The request could not be parsed.
    Malformed {
        /// Why, for people.
        reason: String,
    },
}

/// Why a line is not a request.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// The line is longer than [`MAX_LINE_BYTES`].
    #[error("line too long")]
    LineTooLong,
    /// The line is not the JSON of a request.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A command's id or issuer is empty, too long or has control characters.
    #[error("an id and an issuer have 1 to 128 printable characters")]
    InvalidName,
}

/// Parses a line, without its end, as a request.
///
/// # Errors
/// If the line is too long, is not a request in JSON, or is a command whose id or issuer is not printable.
pub fn parse_request(line: &[u8]) -> Result<Request, RequestError> {
    if line.len() > MAX_LINE_BYTES {
        return Err(RequestError::LineTooLong);
    }
    let request: Request = serde_json::from_slice(line)?;
    if let Request::Command(command) = &request
        && !(is_valid_name(&command.id) && is_valid_name(&command.issuer))
    {
        return Err(RequestError::InvalidName);
    }
    Ok(request)
}

fn is_valid_name(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && !text.chars().any(char::is_control)
}

/// Encodes a request or a response as a line.
pub fn encode_line<T: Serialize>(message: &T) -> Vec<u8> {
    let mut line = serde_json::to_vec(message).unwrap_or_default();
    line.push(b'\n');
    line
}
