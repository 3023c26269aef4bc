//! The publisher's HTTP interface: paths, and what requests and answers carry beside the messages of
//! `violetseam-distribution`.
//!
//! | request | body | answer |
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
use violetseam_distribution::publisher::SubscriberStatus;
use violetseam_distribution::{Digest, Version};

/// Opens a watch.
pub const WATCH_PATH: &str = "/v1/configuration/watch";
/// Takes a subscriber's acknowledgement or refusal.
pub const ACKNOWLEDGE_PATH: &str = "/v1/configuration/acknowledge";
/// Publishes changes.
pub const CHANGES_PATH: &str = "/v1/configuration/changes";
/// Publishes a whole configuration in place of the present one.
pub const WHOLE_PATH: &str = "/v1/configuration/whole";
/// Shows who has which version.
pub const STATUS_PATH: &str = "/v1/configuration/status";
/// On a 503: when to call again, in milliseconds.
pub const RETRY_AFTER_HEADER: &str = "retry-after-ms";

/// What was published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// The version under which it stands.
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
    /// Its version, the age of that and what it refused.
    #[serde(flatten)]
    pub status: SubscriberStatus,
    /// Whether its watch is open.
    pub watching: bool,
}

/// How a publisher and its subscribers stand.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The newest version.
    pub version: Version,
    /// The digest of its resources.
    pub digest: Digest,
    /// The number of resources.
    pub resources: usize,
    /// The oldest version from which the log leads on.
    pub oldest_known: Version,
    /// Watches that are open.
    pub watches: usize,
    /// Subscribers that were told when to come for a snapshot.
    pub snapshots_waiting: usize,
    /// Why nothing is published any more, if so.
    pub halted: Option<String>,
    /// All subscribers that are known, by name.
    pub subscribers: Vec<SubscriberRow>,
}

/// A line that could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LineError {
    /// Its number, from 1; one past the last that is allowed where there are too many.
    pub line: usize,
    /// What is wrong with it.
    pub reason: String,
}

impl std::fmt::Display for LineError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "line {}: {}", self.line, self.reason)
    }
}

impl std::error::Error for LineError {}

/// Reads JSON lines, each checked by `check`; empty lines are passed over, more than `most` are refused.
pub fn read_lines<T: DeserializeOwned, E: std::fmt::Display>(
    body: &[u8],
    most: usize,
    check: impl Fn(&T) -> Result<(), E>,
) -> Result<Vec<T>, LineError> {
    let mut read = Vec::new();
    for (index, text) in body.split(|byte| *byte == b'\n').enumerate() {
        let fault = |reason: String| LineError { line: index + 1, reason };
        if text.trim_ascii().is_empty() {
            continue;
        }
        if read.len() == most {
            return Err(fault(format!("more than {most} at once")));
        }
        let value: T = serde_json::from_slice(text).map_err(|error| fault(error.to_string()))?;
        check(&value).map_err(|error| fault(error.to_string()))?;
        read.push(value);
    }
    Ok(read)
}
