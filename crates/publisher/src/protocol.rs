//! The publisher's HTTP interface: paths, and the bodies of requests and responses beside the messages of
//! `violetseam-distribution`.
//!
//! | request | body | response |
//! | --- | --- | --- |
//! | `GET /v1/configuration/watch?QUERY` ([`Subscribe::to_query`]) | none | 200 and message lines without an end; 503 with a `RetryAfter` line and the header `retry-after-ms`; 409 with a [`Refused`] |
//! | `POST /v1/configuration/acknowledge` | one `Report` | 200; 409 for a version that was not published here |
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

/// Opens a watch.
pub const WATCH_PATH: &str = "/v1/configuration/watch";
/// Takes a subscriber's acknowledgement or rejection.
pub const ACKNOWLEDGE_PATH: &str = "/v1/configuration/acknowledge";
/// Publishes changes.
pub const CHANGES_PATH: &str = "/v1/configuration/changes";
/// Publishes a whole configuration in place of the present one.
pub const WHOLE_PATH: &str = "/v1/configuration/whole";
/// Shows which version each subscriber has.
pub const STATUS_PATH: &str = "/v1/configuration/status";
/// On a 503: when to call again, in milliseconds.
pub const RETRY_AFTER_HEADER: &str = "retry-after-ms";

/// What was published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// Its version.
    pub version: Version,
    /// The digest of all resources.
    pub digest: Digest,
}

/// Why a request was refused; nothing has changed unless the reason says that this is not known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// The reason, for people.
    pub reason: String,
}

/// One subscriber, and whether its watch is open.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SubscriberRow {
    /// Its version, the age of that and what it rejected.
    #[serde(flatten)]
    pub status: SubscriberStatus,
    /// Whether its watch is open.
    pub watching: bool,
}

/// The state of a publisher and its subscribers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The newest version.
    pub version: Version,
    /// The digest of its resources.
    pub digest: Digest,
    /// The number of resources.
    pub resources: usize,
    /// The oldest version from which the log leads to the newest one.
    pub oldest_known: Version,
    /// Watches that are open.
    pub watches: usize,
    /// Subscribers with a reserved slot for a snapshot.
    pub snapshots_waiting: usize,
    /// Why nothing is published any more, if that is so.
    pub halted: Option<String>,
    /// All known subscribers, by name.
    pub subscribers: Vec<SubscriberRow>,
}

/// A line that could not be read.
#[derive(Debug, Error)]
#[error("line {line}: {reason}")]
pub struct LineError {
    /// Its number, from 1; one past the last that is allowed where there are too many.
    pub line: usize,
    /// What is wrong with it.
    #[source]
    pub reason: LineFault,
}

/// What is wrong with a line.
#[derive(Debug, Error)]
pub enum LineFault {
    /// There are more lines than are allowed at once.
    #[error("more than {0} at once")]
    TooMany(usize),
    /// Not the expected JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A resource that is not well formed.
    #[error(transparent)]
    Resource(#[from] ResourceError),
}

/// Reads JSON lines, each checked by `validate`; empty lines are skipped.
///
/// # Errors
/// A line is not valid, or there are more than `max_lines`.
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
        let error = |reason: LineFault| LineError { line: index + 1, reason };
        if values.len() == max_lines {
            return Err(error(LineFault::TooMany(max_lines)));
        }
        let value: T = serde_json::from_slice(text).map_err(|json| error(json.into()))?;
        validate(&value).map_err(|resource| error(resource.into()))?;
        values.push(value);
    }
    Ok(values)
}
