//! Why a call to discovery or to the release service ended.

/// Why a call is over. The texts are in log lines that operators know.
#[derive(Debug, thiserror::Error)]
pub(super) enum CallError {
    /// No connection to discovery could be begun.
    #[error("no connection to the roster")]
    NoDiscovery,
    /// The connection was not established.
    #[error("no connection")]
    NoConnection,
    /// The connection broke.
    #[error("connection lost")]
    ConnectionLost,
    /// The other side ended the answer or the connection.
    #[error("closed")]
    Closed,
    /// The answer's status is not 200.
    #[error("not accepted")]
    NotAccepted,
    /// A vote's reply is longer than a line may be.
    #[error("reply too long")]
    ReplyTooLong,
    /// The answer is not HTTP.
    #[error("malformed answer")]
    MalformedAnswer,
    /// A line of the answer cannot be read or applied.
    #[error("{0}")]
    MalformedLine(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// A release service that another one has superseded.
    #[error("news under number {fence} after {highest}")]
    Fenced {
        /// The fencing number received.
        fence: u64,
        /// The highest one received before.
        highest: u64,
    },
    /// No line came on a stream for as long as the settings allow.
    #[error("silent for too long")]
    Silent,
    /// The answer did not come in time.
    #[error("no answer in time")]
    NoAnswer,
}

impl CallError {
    /// A line that cannot be read or applied, with the cause.
    pub(super) fn malformed(error: impl std::error::Error + Send + Sync + 'static) -> Self {
        CallError::MalformedLine(Box::new(error))
    }
}
