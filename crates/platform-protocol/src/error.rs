//! Errors for input that is not valid in the platform's protocol.

use crate::config::MIN_SOCKETS;
use crate::discovery::MAX_SERVERS;
use thiserror::Error;
use violetseam_resp::FramingError;

/// Why a client's command is not valid. The message is sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// The command has no name.
    #[error("empty command")]
    Empty,
    /// The command's name is unknown.
    #[error("unknown command")]
    UnknownCommand,
    /// The command has too many or too few arguments.
    #[error("wrong number of words")]
    ArgumentCount,
    /// The key, the identity or the text of the options is empty or too long.
    #[error("a word is empty or too long")]
    ArgumentLength,
    /// An option has no name.
    #[error("a value without a name")]
    UnnamedOption,
    /// An option occurs more than once.
    #[error("a value given twice")]
    DuplicateOption,
    /// The class is missing, or the settings have no class of that name.
    #[error("unknown class")]
    UnknownClass,
    /// Calls of this class must use the other command.
    #[error("this class is not served by this command")]
    WrongCommand,
    /// The class needs an idempotency key, and the call has none or an empty one.
    #[error("no k= in a class with keys")]
    MissingIdempotencyKey,
    /// The call has no timeout.
    #[error("no d=")]
    MissingTimeout,
    /// The timeout is not a whole number of milliseconds from 1 to its maximum.
    #[error("d= is no time")]
    InvalidTimeout,
}

/// Why a server's response is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ResponseError {
    /// The response is of a RESP type that servers do not use for responses.
    #[error("response is neither an array nor an error")]
    UnexpectedReply,
    /// The response is an array of other elements than a value, a null and a load report or null.
    #[error("response is not an array of a value, a null and a load report or null")]
    UnexpectedArray,
    /// The bytes are not valid RESP.
    #[error(transparent)]
    Framing(#[from] FramingError),
}

/// Why a server list, or a delta to it, cannot be used.
#[derive(Debug, Error)]
pub enum ListError {
    /// The text is not the expected JSON.
    #[error("server list is not the expected JSON: {0}")]
    Json(#[source] serde_json::Error),
    /// The list has more servers than the limit.
    #[error("server list has more than {MAX_SERVERS} servers")]
    TooManyServers,
    /// A server's size or id is out of bounds.
    #[error("server list has a server whose size or id is out of bounds")]
    UnusableServer,
    /// A delta has arrived before any full list.
    #[error("delta has no full list to apply to")]
    NoBaseList,
}

/// Why a message from the release service cannot be used.
#[derive(Debug, Error)]
pub enum ReleaseServiceError {
    /// The line is not the expected JSON.
    #[error("message from the release service is not the expected JSON: {0}")]
    Json(#[source] serde_json::Error),
    /// The line is JSON of another protocol or version.
    #[error("message from the release service is not JSON-RPC 2.0")]
    NotJsonRpc,
    /// The line has neither a method nor the id of a call.
    #[error("message from the release service is neither a notification nor a reply to a call")]
    UnknownMessage,
    /// The reply to a call has neither a result nor an error.
    #[error("reply from the release service has neither a result nor an error")]
    MissingResult,
    /// The exposure cap is not between 0 and 1.
    #[error("exposure cap from the release service is not between 0 and 1")]
    InvalidCap,
}

/// Why a configuration cannot be used.
#[derive(Debug, Error)]
pub enum ConfigurationError {
    /// The text is longer than the limit.
    #[error("configuration: longer than {limit} bytes")]
    TooLong {
        /// The limit, in bytes.
        limit: usize,
    },
    /// The text is not the expected JSON.
    #[error("configuration: not the expected JSON: {0}")]
    Json(#[source] serde_json::Error),
    /// The settings are not valid.
    #[error("configuration: settings are not valid: {reason}")]
    Settings {
        /// What is wrong with the settings.
        reason: String,
    },
    /// The settings have no request class.
    #[error("configuration: settings have no classes")]
    NoClasses,
    /// The limit on file descriptors is too low for a proxy.
    #[error("configuration: limits.sockets is less than {MIN_SOCKETS}")]
    TooFewSockets,
    /// The seed has characters that are not hexadecimal digits.
    #[error("configuration: seed has characters that are not hexadecimal digits")]
    InvalidSeed,
    /// The cached server list is not valid.
    #[error(transparent)]
    CachedList(#[from] ListError),
}
