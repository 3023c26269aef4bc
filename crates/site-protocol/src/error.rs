//! Why a JSON message was rejected.

use std::fmt;
use thiserror::Error;
use violetseam::interface::ServerId;

/// The types of JSON messages. The display form is the prefix of the error messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageType {
    /// An update of the endpoint list.
    EndpointList,
    /// A status from the release service.
    ReleaseStatus,
    /// A vote.
    Vote,
    /// The response to a vote.
    VoteReply,
    /// Builds that are to run, or reports on those that run.
    Placement,
    /// A client's report of a wrong answer.
    AnswerReport,
}

impl fmt::Display for MessageType {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MessageType::EndpointList => "roster",
            MessageType::ReleaseStatus => "desk",
            MessageType::Vote => "vote",
            MessageType::VoteReply => "vote reply",
            MessageType::Placement => "places",
            MessageType::AnswerReport => "flag",
        })
    }
}

/// Why a message was rejected.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The message is not JSON of its form.
    #[error("{message}: {source}")]
    InvalidJson {
        /// What was being parsed.
        message: MessageType,
        /// What is wrong with it, and where.
        source: serde_json::Error,
    },
    /// A line is longer than the reader's bound.
    #[error("line over {max_bytes} bytes")]
    LineTooLong {
        /// The bound, in bytes.
        max_bytes: usize,
    },
    /// An update of the endpoint list has more servers than are supported.
    #[error("roster: too many servers")]
    TooManyServers,
    /// A server's size is zero, negative, not finite or far too large.
    #[error("roster: server {0} has no usable size")]
    InvalidSize(ServerId),
    /// A full list has a server that has been removed.
    #[error("roster: server {0} gone in a whole list")]
    RemovedInFullList(ServerId),
    /// An update has the same server twice.
    #[error("roster: server {0} twice")]
    DuplicateServer(ServerId),
    /// The endpoint list's version went back.
    #[error("roster: version {received} after {current}")]
    VersionRegressed {
        /// The version of the update.
        received: u64,
        /// The version that is in force.
        current: u64,
    },
    /// Changes apply to another version than the one that is in force.
    #[error("roster: changes to version {base} on top of {current}")]
    BaseMismatch {
        /// The version that the changes apply to.
        base: u64,
        /// The version that is in force, 0 for none.
        current: u64,
    },
    /// An exposure cap is outside 0 to 1.
    #[error("desk: a cap outside 0 to 1")]
    CapOutOfRange,
    /// A place has a number that is too high.
    #[error("places: a place past the most there are")]
    PlaceOutOfRange,
    /// The body of an answer report is too long.
    #[error("flag: too long")]
    ReportTooLong,
    /// An answer's id does not have the form of one.
    #[error("flag: an answer id has 16 hexadecimal digits")]
    InvalidAnswerId,
}
