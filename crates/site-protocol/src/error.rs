//! The reasons for rejecting a JSON message.

use crate::placement::MAX_PLACES;
use std::fmt;
use thiserror::Error;
use violetseam::interface::ServerId;

/// The types of JSON messages. The display form is the prefix of error messages about messages of the type.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageType {
    /// An update of the endpoint list, which the settings call the roster.
    EndpointList,
    /// A status from the release service, which the settings call the desk.
    ReleaseStatus,
    /// A vote.
    Vote,
    /// The response to a vote.
    VoteReply,
    /// The desired builds of the places, or reports on the builds that run at them.
    Placement,
    /// A client's report that an answer was wrong.
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
    /// The message is not JSON of the expected form.
    #[error("{message}: {source}")]
    InvalidJson {
        /// The type of the message.
        message: MessageType,
        /// What is wrong with the JSON, and at which position.
        source: serde_json::Error,
    },
    /// A line is longer than the reader accepts.
    #[error("a line is longer than the maximum of {max_bytes} bytes")]
    LineTooLong {
        /// The maximum length, in bytes.
        max_bytes: usize,
    },
    /// An update of the endpoint list has more servers than are supported.
    #[error("roster: too many servers")]
    TooManyServers,
    /// A server's size is zero, negative, not finite or too large.
    #[error("roster: the size of server {0} is zero, negative, not finite or too large")]
    InvalidSize(ServerId),
    /// A full list contains a server with the state of a removed one.
    #[error("roster: a full list contains the removed server {0}")]
    RemovedInFullList(ServerId),
    /// An update lists the same server twice.
    #[error("roster: server {0} is listed twice")]
    DuplicateServer(ServerId),
    /// The version of an update is older than the current version of the list.
    #[error("roster: received version {received}, which is older than the current version {current}")]
    VersionRegressed {
        /// The version of the update.
        received: u64,
        /// The current version.
        current: u64,
    },
    /// A delta applies to another version than the current one.
    #[error("roster: received changes since version {base}, but the current version is {current}")]
    BaseMismatch {
        /// The version that the delta applies to.
        base: u64,
        /// The current version; 0 if there is none.
        current: u64,
    },
    /// An exposure cap is outside 0 to 1.
    #[error("desk: the exposure cap is outside 0 to 1")]
    CapOutOfRange,
    /// The number of a place is too high.
    #[error("places: the number of a place is not below {MAX_PLACES}")]
    PlaceOutOfRange,
    /// The body of an answer report is too long.
    #[error("flag: too long")]
    ReportTooLong,
    /// The id of an answer is not 16 hexadecimal digits.
    #[error("flag: an answer id has 16 hexadecimal digits")]
    InvalidAnswerId,
}
