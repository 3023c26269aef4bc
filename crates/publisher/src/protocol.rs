//! The publisher's HTTP interface: its paths, and those bodies of requests and responses that are not
//! messages of `violetseam-distribution`.
//!
//! | request | body | response |
//! | --- | --- | --- |
//! | `GET /v1/configuration/watch?QUERY` ([`Subscribe::to_query`]) | none | 200 and an endless stream of message lines; 503 with a `RetryAfter` line and the header `retry-after-ms`; 409 with a [`Refused`] |
//! | `POST /v1/configuration/acknowledge` | one `Report` | 200; 409 for a version that this publisher has not published |
//! | `POST /v1/configuration/changes` | JSON lines of `Change` | 200 with a [`Published`], otherwise a [`Refused`] |
//! | `POST /v1/configuration/whole` | JSON lines of `Resource` | as for changes |
//! | `GET /v1/configuration/status` | none | 200 with a [`StatusReport`] |
//!
//! [`Subscribe::to_query`]: violetseam_distribution::Subscribe::to_query

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use violetseam_distribution::publisher::SubscriberStatus;
use violetseam_distribution::resource::ResourceError;
use violetseam_distribution::{Digest, Version};

/// The path that opens a watch.
pub const WATCH_PATH: &str = "/v1/configuration/watch";
/// The path to which subscribers send an acknowledgement or a rejection of a version.
pub const ACKNOWLEDGE_PATH: &str = "/v1/configuration/acknowledge";
/// The path that publishes changes.
pub const CHANGES_PATH: &str = "/v1/configuration/changes";
/// The path that replaces the complete configuration.
pub const WHOLE_CONFIGURATION_PATH: &str = "/v1/configuration/whole";
/// The path that returns a [`StatusReport`].
pub const STATUS_PATH: &str = "/v1/configuration/status";
/// The header of a 503 response that says after how many milliseconds the subscriber may retry.
pub const RETRY_AFTER_HEADER: &str = "retry-after-ms";

/// The response to a request that published a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// The version that was published.
    pub version: Version,
    /// The digest of all resources of that version.
    pub digest: Digest,
}

/// The response to a request that was refused. Nothing has changed, unless the reason says that it is not
/// known whether the update is durable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// The reason, as text for the operator.
    pub reason: String,
}

/// One subscriber, and whether its watch is open.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SubscriberRow {
    /// The subscriber's version, the age of that version and what the subscriber rejected.
    #[serde(flatten)]
    pub status: SubscriberStatus,
    /// Whether the subscriber has an open watch.
    pub watching: bool,
}

/// The state of a publisher and its subscribers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The newest version.
    pub version: Version,
    /// The digest of the resources of the newest version.
    pub digest: Digest,
    /// The number of resources.
    pub resources: usize,
    /// The oldest version that the deltas in the log can bring to the newest version. A subscriber with an
    /// older version needs a snapshot.
    pub oldest_known: Version,
    /// The number of open watches.
    pub watches: usize,
    /// The number of subscribers that wait for a reserved slot to get a snapshot.
    pub snapshots_waiting: usize,
    /// Why the publisher has halted, or none if it can publish.
    pub halted: Option<String>,
    /// All known subscribers, ordered by name.
    pub subscribers: Vec<SubscriberRow>,
}

/// A line of a request body that is not valid.
#[derive(Debug, Error)]
#[error("line {line}: {reason}")]
pub struct LineError {
    /// The line's number in the body, from 1. If there are too many lines, the first one over the maximum.
    pub line: usize,
    /// What is wrong with the line.
    #[source]
    pub reason: LineErrorKind,
}

/// What is wrong with a line of a request body.
#[derive(Debug, Error)]
pub enum LineErrorKind {
    /// The body has more than this number of lines, which is the maximum for one request.
    #[error("more than {0} at once")]
    TooMany(usize),
    /// The line is not the expected JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The line has a resource with an invalid value.
    #[error(transparent)]
    Resource(#[from] ResourceError),
}

/// Parses a body of JSON lines and checks each value with `validate`. Empty lines are skipped.
///
/// # Errors
/// A line is not valid, or there are more than `max_lines` of them.
pub fn read_lines<T: DeserializeOwned>(
    body: &[u8],
    max_lines: usize,
    validate: impl Fn(&T) -> Result<(), ResourceError>,
) -> Result<Vec<T>, LineError> {
    let mut values = Vec::new();
    for (index, text) in body.split(|byte| *byte == b'\n').enumerate() {
        if text.trim_ascii().is_empty() {
            continue;
        }
        let error = |reason: LineErrorKind| LineError { line: index + 1, reason };
        if values.len() == max_lines {
            return Err(error(LineErrorKind::TooMany(max_lines)));
        }
        let value: T = serde_json::from_slice(text).map_err(|json_error| error(json_error.into()))?;
        validate(&value).map_err(|resource_error| error(resource_error.into()))?;
        values.push(value);
    }
    Ok(values)
}
