//! The reasons for which a call to discovery or to the release service ends.

/// Why a call ended. The texts appear in log lines that operators read.
#[derive(Debug, thiserror::Error)]
pub(super) enum CallError {
    /// A connection to discovery could not be started.
    #[error("no connection to discovery could be started")]
    NoDiscoveryConnection,
    /// The connection could not be established.
    #[error("the connection could not be established")]
    NoConnection,
    /// Reading from the connection or writing to it failed.
    #[error("connection lost")]
    ConnectionLost,
    /// The other side ended the response or closed the connection.
    #[error("the other side ended the response or closed the connection")]
    Closed,
    /// The response's status is not 200.
    #[error("the response's status is not 200")]
    UnexpectedStatus,
    /// The reply to a vote is longer than a line may be.
    #[error("the reply to the vote is too long")]
    ReplyTooLong,
    /// The response is not valid HTTP.
    #[error("the response is not valid HTTP")]
    MalformedResponse,
    /// A line of the response cannot be parsed or applied.
    #[error("{0}")]
    MalformedLine(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The release status came from a release service that another one has superseded.
    #[error("release status with fencing number {fence}, which is below {highest}, received before")]
    Superseded {
        /// The fencing number of the status.
        fence: u64,
        /// The highest fencing number received before.
        highest: u64,
    },
    /// No line was received on a stream within the idle time-out in the settings.
    #[error("no line was received within the idle time-out")]
    StreamIdle,
    /// No response was received before the call's time-out.
    #[error("no response was received before the time-out")]
    NoResponse,
}

impl CallError {
    /// Returns the error for a line that cannot be parsed or applied because of `error`.
    pub(super) fn malformed(error: impl std::error::Error + Send + Sync + 'static) -> Self {
        CallError::MalformedLine(Box::new(error))
    }
}
