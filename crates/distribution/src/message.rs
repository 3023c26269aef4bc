//! Messages of a publisher to its subscribers: JSON, one message a line, checked and bounded on reading.

use crate::Micros;
use crate::digest::Digest;
use crate::resource::{Resource, ResourceError, ResourceKey};
use crate::version::{MAX_VERSION_NUMBER, Version};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::sync::Arc;
use thiserror::Error;

/// The longest line that is read, in bytes; the HTTP watch's bound.
pub const MAX_LINE_BYTES: usize = 4 << 20;
/// The longest report of a subscriber, in bytes.
pub const MAX_REPORT_BYTES: usize = 2 << 10;
/// The maximum number of changes of one delta.
pub const MAX_DELTA_CHANGES: usize = 16_384;
/// The maximum size of the changes of one delta, in bytes.
pub const MAX_DELTA_BYTES: usize = 2 << 20;
/// The maximum size of the resources of one snapshot part, in bytes.
pub const MAX_PART_BYTES: usize = 1 << 20;
/// The maximum number of parts of one snapshot.
pub const MAX_SNAPSHOT_PARTS: usize = 64;
/// The longest name of a subscriber, in bytes: ASCII letters, digits, `-`, `_` and `.`.
pub const MAX_SUBSCRIBER_NAME_BYTES: usize = 64;
/// The longest reason of a rejection, in bytes; longer ones are cut.
pub const MAX_REASON_BYTES: usize = 512;
/// The longest wait that a publisher may state, in microseconds.
pub const MAX_RETRY_AFTER: Micros = 15 * 60 * 1_000_000;

/// An encoded line with its line feed, shared among all that it is sent to.
pub type Line = Arc<[u8]>;

/// One change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Change {
    /// Adds a resource, or replaces that of the same key.
    Put(Resource),
    /// Removes the resource of this key.
    Remove(ResourceKey),
}

impl Change {
    /// The key of the resource that it changes.
    pub fn key(&self) -> ResourceKey {
        match self {
            Change::Put(resource) => resource.key(),
            Change::Remove(key) => key.clone(),
        }
    }

    /// Upper bound of its length in JSON, in bytes.
    pub fn max_encoded_bytes(&self) -> usize {
        match self {
            Change::Put(resource) => resource.max_encoded_bytes(),
            Change::Remove(key) => key.max_encoded_bytes(),
        }
    }

    /// Checks lengths, characters and numbers.
    ///
    /// # Errors
    /// A field is out of bounds.
    pub fn validate(&self) -> Result<(), ResourceError> {
        match self {
            Change::Put(resource) => resource.validate(),
            Change::Remove(key) => key.validate(),
        }
    }
}

/// Changes that lead from one version to the next, applied all or none.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delta {
    /// The version that it is based on.
    pub base: Version,
    /// The version after it; of the same term.
    pub version: Version,
    /// The changes, each of another key.
    pub changes: Vec<Change>,
    /// The digest of the configuration after it.
    pub digest: Digest,
}

/// A part of a snapshot: all parts together are the configuration of one version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotPart {
    /// The snapshot's version.
    pub version: Version,
    /// Which part this is, from 0.
    pub part: u32,
    /// How many parts the snapshot has; 1 to [`MAX_SNAPSHOT_PARTS`].
    pub parts: u32,
    /// The digest of the whole snapshot.
    pub digest: Digest,
    /// This part's resources.
    pub resources: Vec<Resource>,
}

/// What a publisher sends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Message {
    /// The changes to the next version.
    Delta(Delta),
    /// A part of a snapshot.
    SnapshotPart(SnapshotPart),
    /// The watch is open and this is the newest version; sent when nothing else was sent for a while.
    Heartbeat {
        /// The publisher's newest version.
        version: Version,
        /// The digest of its configuration.
        digest: Digest,
    },
    /// No snapshot now; the watch ends with this message.
    RetryAfter {
        /// When to call again, in microseconds from now; a slot is reserved for the caller then.
        micros: Micros,
    },
}

/// Why a message was not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ParseError {
    /// The line is longer than this many bytes.
    #[error("a line of more than {0} bytes")]
    LineTooLong(usize),
    /// Not JSON, or not of a known message.
    #[error("not a known message: {0}")]
    InvalidJson(#[source] JsonError),
    /// A term or number above [`MAX_VERSION_NUMBER`].
    #[error("a term or number above {MAX_VERSION_NUMBER}")]
    VersionOutOfRange,
    /// A delta whose version is not above its base in the same term.
    #[error("a delta whose version is not above its base in the same term")]
    VersionOrder,
    /// A delta without changes, with too many, or too large.
    #[error("a delta has 1 to {MAX_DELTA_CHANGES} changes and {MAX_DELTA_BYTES} bytes at most")]
    InvalidChanges,
    /// A part's number or count is out of range, or its resources are too large.
    #[error("a snapshot has {MAX_SNAPSHOT_PARTS} parts of {MAX_PART_BYTES} bytes at most")]
    InvalidPart,
    /// A resource that is not well formed.
    #[error(transparent)]
    InvalidResource(#[from] ResourceError),
    /// A subscriber's name that is empty, too long, or holds another character.
    #[error("a subscriber's name has 1 to {MAX_SUBSCRIBER_NAME_BYTES} letters, digits, '-', '_' or '.'")]
    InvalidSubscriberName,
    /// A rejection's reason that is too long or holds a control character.
    #[error("a reason has {MAX_REASON_BYTES} printable bytes at most")]
    InvalidReason,
    /// A wait above [`MAX_RETRY_AFTER`].
    #[error("a wait of more than {MAX_RETRY_AFTER} microseconds")]
    WaitTooLong,
    /// A query with a field missing, repeated, unknown or malformed.
    #[error("query: subscriber, term and number (both or none), whole")]
    InvalidQuery,
}

/// An error of the JSON reader; two are equal if their texts are.
#[derive(Clone, Debug, Error)]
#[error(transparent)]
pub struct JsonError(Arc<serde_json::Error>);

impl PartialEq for JsonError {
    fn eq(&self, other: &JsonError) -> bool {
        self.to_string() == other.to_string()
    }
}

impl Eq for JsonError {}

impl Message {
    /// Parses one line, with or without its line feed.
    ///
    /// # Errors
    /// The line is too long, or holds no valid message.
    pub fn parse(line: &[u8]) -> Result<Message, ParseError> {
        let message: Message = read_json(line, MAX_LINE_BYTES)?;
        message.validate()?;
        Ok(message)
    }

    /// Encodes one line, with its line feed.
    pub fn write(&self) -> Line {
        write_line(self)
    }

    /// The version that it is about; none for a wait.
    pub fn version(&self) -> Option<Version> {
        match self {
            Message::Delta(delta) => Some(delta.version),
            Message::SnapshotPart(part) => Some(part.version),
            Message::Heartbeat { version, .. } => Some(*version),
            Message::RetryAfter { .. } => None,
        }
    }

    /// Checks all bounds.
    ///
    /// # Errors
    /// A version, size or wait is out of bounds.
    pub fn validate(&self) -> Result<(), ParseError> {
        match self {
            Message::Delta(delta) => delta.validate(),
            Message::SnapshotPart(part) => part.validate(),
            Message::Heartbeat { version, .. } => check_version(*version),
            Message::RetryAfter { micros } if *micros > MAX_RETRY_AFTER => Err(ParseError::WaitTooLong),
            Message::RetryAfter { .. } => Ok(()),
        }
    }
}

impl Delta {
    /// Checks all bounds; not whether it applies to a configuration.
    ///
    /// # Errors
    /// A version, a change or their number is out of bounds.
    pub fn validate(&self) -> Result<(), ParseError> {
        check_version(self.base)?;
        check_version(self.version)?;
        if self.version <= self.base || self.version.term != self.base.term {
            return Err(ParseError::VersionOrder);
        }
        let bytes: usize = self.changes.iter().map(Change::max_encoded_bytes).sum();
        if self.changes.is_empty() || self.changes.len() > MAX_DELTA_CHANGES || bytes > MAX_DELTA_BYTES {
            return Err(ParseError::InvalidChanges);
        }
        self.changes.iter().try_for_each(Change::validate).map_err(ParseError::from)
    }
}

impl SnapshotPart {
    /// Checks all bounds of this part; the snapshot is checked when it is complete.
    ///
    /// # Errors
    /// The part number, the size or a resource is out of bounds.
    pub fn validate(&self) -> Result<(), ParseError> {
        check_version(self.version)?;
        let bytes: usize = self.resources.iter().map(Resource::max_encoded_bytes).sum();
        let in_range = self.part < self.parts && self.parts as usize <= MAX_SNAPSHOT_PARTS;
        if !in_range || bytes > MAX_PART_BYTES {
            return Err(ParseError::InvalidPart);
        }
        self.resources.iter().try_for_each(Resource::validate).map_err(ParseError::from)
    }
}

pub(crate) fn check_version(version: Version) -> Result<(), ParseError> {
    if version.is_bounded() { Ok(()) } else { Err(ParseError::VersionOutOfRange) }
}

pub(crate) fn read_json<T: DeserializeOwned>(line: &[u8], max_bytes: usize) -> Result<T, ParseError> {
    if line.len() > max_bytes {
        return Err(ParseError::LineTooLong(max_bytes));
    }
    serde_json::from_slice(line).map_err(|error| ParseError::InvalidJson(JsonError(Arc::new(error))))
}

pub(crate) fn write_line<T: Serialize>(message: &T) -> Line {
    // Plain structures with string keys: serialization does not fail.
    let mut line = serde_json::to_vec(message).unwrap_or_default();
    line.push(b'\n');
    line.into()
}
