//! Why input of the platform's protocol was not accepted. Each message names the source of the input.

use thiserror::Error;
use violetseam_resp::FramingError;

/// Why a client's command is not a valid call. The message is sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// The command has no words.
    #[error("empty command")]
    Empty,
    /// The first word names no known command.
    #[error("unknown command")]
    UnknownCommand,
    /// The command has too many or too few words.
    #[error("wrong number of words")]
    WordCount,
    /// The key, the id or the options are empty or too long.
    #[error("a word is empty or too long")]
    WordLength,
    /// An option has no name.
    #[error("a value without a name")]
    UnnamedOption,
    /// An option is given more than once.
    #[error("a value given twice")]
    DuplicateOption,
    /// The class is missing or not one of the settings'.
    #[error("unknown class")]
    UnknownClass,
    /// The class is served by the other command.
    #[error("this class is not served by this command")]
    WrongCommand,
    /// A keyed class needs an idempotency key.
    #[error("no k= in a class with keys")]
    MissingIdempotencyKey,
    /// The wait is missing.
    #[error("no d=")]
    MissingWait,
    /// The wait is not a number of milliseconds within its bounds.
    #[error("d= is no time")]
    InvalidWait,
}

/// Why a server's answer is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ResponseError {
    /// A reply of another kind.
    #[error("neither an array nor an error")]
    UnexpectedReply,
    /// An array of other elements.
    #[error("an array that is no answer")]
    UnexpectedArray,
    /// The bytes are not valid RESP.
    #[error(transparent)]
    Framing(#[from] FramingError),
}

/// Why a server list was not accepted.
#[derive(Debug, Error)]
pub enum ListError {
    /// The body is not the expected JSON.
    #[error("discovery: {0}")]
    Json(#[source] serde_json::Error),
    /// The list is longer than the limit.
    #[error("discovery: too many servers")]
    TooManyServers,
    /// A server's size or id is out of bounds.
    #[error("discovery: a server without a usable size or id")]
    UnusableServer,
    /// Changes have arrived before any full list.
    #[error("discovery: changes to no list")]
    NoBaseList,
}

/// Why a message of the release service was not accepted.
#[derive(Debug, Error)]
pub enum ReleaseServiceError {
    /// The line is not the expected JSON.
    #[error("pipeline: {0}")]
    Json(#[source] serde_json::Error),
    /// The line is of another protocol or version.
    #[error("pipeline: not JSON-RPC 2.0")]
    NotJsonRpc,
    /// The line has neither a method nor a call's number.
    #[error("pipeline: neither a call's answer nor news")]
    UnknownMessage,
    /// The reply to a call has neither a result nor an error.
    #[error("pipeline: an answer without a result")]
    MissingResult,
    /// The exposure cap is not between 0 and 1.
    #[error("pipeline: a cap that is no share")]
    InvalidCap,
}

/// Why a configuration was not accepted.
#[derive(Debug, Error)]
pub enum ConfigurationError {
    /// The text is longer than the limit.
    #[error("configuration: over {limit} bytes")]
    TooLong {
        /// The limit, in bytes.
        limit: usize,
    },
    /// The text is not the expected JSON.
    #[error("configuration: {0}")]
    Json(#[source] serde_json::Error),
    /// The settings were not accepted.
    #[error("configuration: {reason}")]
    Settings {
        /// What is wrong with them.
        reason: String,
    },
    /// The settings name no class.
    #[error("configuration: settings without classes")]
    NoClasses,
    /// Too few descriptors for a proxy.
    #[error("configuration: under 32 sockets")]
    TooFewSockets,
    /// The seed has other characters than hexadecimal digits.
    #[error("configuration: seed is not hexadecimal")]
    InvalidSeed,
    /// The cached server list was not accepted.
    #[error(transparent)]
    CachedList(#[from] ListError),
}
