//! The wire format of the control socket: one JSON value per line, and one response per request.

use crate::command::Command;
use crate::daemon_state::DaemonState;
use serde::{Deserialize, Serialize};

/// The maximum length of a request line, in bytes.
pub const MAX_LINE_BYTES: usize = 64 * 1024;

/// The maximum length of a command's id or issuer, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// A request to a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Request {
    /// Asks for the daemon's name, boot number and version.
    Whoami,
    /// Asks for a snapshot of the daemon's state.
    State,
    /// Submits a command.
    Command(Command),
    /// Hands over to a new process of the daemon. The proxy's `takeover` module defines what follows on the
    /// connection.
    Takeover,
}

/// The outcome of a command at a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The daemon has applied the command, now or when it first arrived.
    #[serde(rename = "agreed")]
    Applied {
        /// Whether the command had been applied before this request.
        #[serde(rename = "again")]
        already: bool,
    },
    /// The command is prepared until its expiry.
    Prepared,
    /// The prepared command has been released and is not applied.
    Released,
    /// The daemon has not applied the command.
    #[serde(rename = "refused")]
    Rejected {
        /// The reason, as text for the operator.
        reason: String,
    },
}

impl Reply {
    /// Returns a rejection with this reason.
    pub fn rejected(reason: impl Into<String>) -> Self {
        Reply::Rejected { reason: reason.into() }
    }
}

/// A daemon's response to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Response {
    /// The response to [`Request::Whoami`].
    Whoami {
        /// The daemon's name in its fleet.
        name: String,
        /// The daemon's boot number, which increases by one at each start.
        boot: u64,
        /// The version of the daemon's program.
        version: String,
    },
    /// The response to [`Request::State`].
    State(Box<DaemonState>),
    /// The response to [`Request::Command`].
    Command(Reply),
    /// The response to a line that cannot be parsed as a request.
    Malformed {
        /// The reason, as text for the operator.
        reason: String,
    },
}

/// Why a line is not a valid request.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// The line is longer than [`MAX_LINE_BYTES`].
    #[error("line too long")]
    LineTooLong,
    /// The line is not the JSON of a request.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The id or the issuer of a command is empty, is too long or contains control characters.
    #[error("an id and an issuer have 1 to 128 printable characters")]
    InvalidName,
}

/// Parses a line, without its line feed, as a request.
///
/// # Errors
/// [`RequestError`] if the line is too long or is not a request in JSON, or if the id or issuer of a command
/// is empty, too long or not printable.
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

/// Encodes a request or a response as a line of JSON.
pub fn encode_line<T: Serialize>(message: &T) -> Vec<u8> {
    let mut line = serde_json::to_vec(message).unwrap_or_default();
    line.push(b'\n');
    line
}
