//! The messages that a publisher sends to its subscribers: JSON, one message per line. Size and content are
//! checked when a line is parsed.

use crate::Micros;
use crate::digest::Digest;
use crate::resource::{Resource, ResourceError, ResourceKey};
use crate::version::{MAX_VERSION_NUMBER, Version};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::sync::Arc;
use thiserror::Error;

/// The maximum length of a line, in bytes. The HTTP watch has the same limit.
pub const MAX_LINE_BYTES: usize = 4 << 20;
/// The maximum length of a subscriber's report, in bytes.
pub const MAX_REPORT_BYTES: usize = 2 << 10;
/// The maximum number of changes in one delta.
pub const MAX_DELTA_CHANGES: usize = 16_384;
/// The maximum total size of the changes in one delta, in bytes.
pub const MAX_DELTA_BYTES: usize = 2 << 20;
/// The maximum total size of the resources in one snapshot part, in bytes.
pub const MAX_PART_BYTES: usize = 1 << 20;
/// The maximum number of parts in one snapshot.
pub const MAX_SNAPSHOT_PARTS: usize = 64;
/// The maximum length of a subscriber's name, in bytes. A name consists of ASCII letters, digits, `-`, `_`
/// and `.`.
pub const MAX_SUBSCRIBER_NAME_BYTES: usize = 64;
/// The maximum length of a rejection's reason, in bytes. Longer reasons are truncated.
pub const MAX_REASON_BYTES: usize = 512;
/// The longest wait that a publisher may ask of a subscriber, in microseconds.
pub const MAX_RETRY_AFTER: Micros = 15 * 60 * 1_000_000;

/// An encoded line, including its line feed. All connections to which it is sent share the same bytes.
pub type Line = Arc<[u8]>;

/// One change to a configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Change {
    /// Adds a resource, or replaces the resource with the same key.
    Put(Resource),
    /// Removes the resource with this key.
    Remove(ResourceKey),
}

impl Change {
    /// Returns the key of the resource that is changed.
    pub fn key(&self) -> ResourceKey {
        match self {
            Change::Put(resource) => resource.key(),
            Change::Remove(key) => key.clone(),
        }
    }

    /// Returns an upper bound of the length of the change in JSON, in bytes.
    pub fn max_encoded_bytes(&self) -> usize {
        match self {
            Change::Put(resource) => resource.max_encoded_bytes(),
            Change::Remove(key) => key.max_encoded_bytes(),
        }
    }

    /// Checks the lengths, characters and numbers of all fields.
    ///
    /// # Errors
    /// Returns an error if a field is not valid.
    pub fn validate(&self) -> Result<(), ResourceError> {
        match self {
            Change::Put(resource) => resource.validate(),
            Change::Remove(key) => key.validate(),
        }
    }
}

/// Changes that lead from one version to a later one. Either all of them are applied or none.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delta {
    /// The version that the changes are based on.
    pub base: Version,
    /// The version after the changes, in the same term as `base`.
    pub version: Version,
    /// The changes, each to a different key.
    pub changes: Vec<Change>,
    /// The digest of the configuration after the changes.
    pub digest: Digest,
}

/// A part of a snapshot. All parts together make up the configuration of one version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotPart {
    /// The snapshot's version.
    pub version: Version,
    /// The index of this part, starting with 0.
    pub part: u32,
    /// The number of parts in the snapshot, from 1 to [`MAX_SNAPSHOT_PARTS`].
    pub parts: u32,
    /// The digest of the whole snapshot.
    pub digest: Digest,
    /// The resources in this part.
    pub resources: Vec<Resource>,
}

/// A message from a publisher to a subscriber.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Message {
    /// The changes that lead to the next version.
    Delta(Delta),
    /// A part of a snapshot.
    SnapshotPart(SnapshotPart),
    /// Shows that the watch is still open and which version is the newest. It is sent when nothing else has
    /// been sent for a while.
    Heartbeat {
        /// The publisher's newest version.
        version: Version,
        /// The digest of the newest configuration.
        digest: Digest,
    },
    /// The publisher cannot send a snapshot now. The watch ends with this message.
    RetryAfter {
        /// How long the subscriber waits before its next call, in microseconds. Usually admission has
        /// reserved a slot for it at that time.
        micros: Micros,
    },
}

/// The reason why a message, a report or a subscription is not valid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ParseError {
    /// The line is longer than this number of bytes.
    #[error("a line of more than {0} bytes")]
    LineTooLong(usize),
    /// The line is not JSON, or not a known message.
    #[error("not a known message: {0}")]
    InvalidJson(#[source] JsonError),
    /// A version's term or number is greater than [`MAX_VERSION_NUMBER`].
    #[error("a term or number above {MAX_VERSION_NUMBER}")]
    VersionOutOfRange,
    /// The delta's version is not greater than its base version, or belongs to a different term.
    #[error("the delta's version is not greater than its base version in the same term")]
    VersionOrder,
    /// The delta has no changes, too many changes, or too many bytes.
    #[error("a delta must have 1 to {MAX_DELTA_CHANGES} changes and at most {MAX_DELTA_BYTES} bytes")]
    InvalidChanges,
    /// The part's index or the number of parts is out of range, or the part has too many bytes.
    #[error("a snapshot must have at most {MAX_SNAPSHOT_PARTS} parts of at most {MAX_PART_BYTES} bytes each")]
    InvalidPart,
    /// A resource or key is not well formed.
    #[error(transparent)]
    InvalidResource(#[from] ResourceError),
    /// The subscriber's name is empty, is too long, or contains a character that is not allowed.
    #[error("a subscriber's name has 1 to {MAX_SUBSCRIBER_NAME_BYTES} letters, digits, '-', '_' or '.'")]
    InvalidSubscriberName,
    /// The rejection's reason is too long or contains a control character.
    #[error("a reason has {MAX_REASON_BYTES} printable bytes at most")]
    InvalidReason,
    /// The wait is longer than [`MAX_RETRY_AFTER`].
    #[error("the publisher asks for a wait of more than {MAX_RETRY_AFTER} microseconds")]
    WaitTooLong,
    /// A field of the query is missing, repeated, unknown or malformed.
    #[error("query: subscriber, term and number (both or none), whole")]
    InvalidQuery,
}

/// An error of the JSON parser. Two errors are equal if their texts are equal.
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
    /// Parses and checks one line, with or without its line feed.
    ///
    /// # Errors
    /// Returns an error if the line is too long or does not contain a valid message.
    pub fn parse(line: &[u8]) -> Result<Message, ParseError> {
        let message: Message = parse_json(line, MAX_LINE_BYTES)?;
        message.validate()?;
        Ok(message)
    }

    /// Encodes the message as one line, including its line feed.
    pub fn write(&self) -> Line {
        encode_line(self)
    }

    /// Returns the version that the message names, or `None` for [`Message::RetryAfter`].
    pub fn version(&self) -> Option<Version> {
        match self {
            Message::Delta(delta) => Some(delta.version),
            Message::SnapshotPart(part) => Some(part.version),
            Message::Heartbeat { version, .. } => Some(*version),
            Message::RetryAfter { .. } => None,
        }
    }

    /// Checks all values against their bounds.
    ///
    /// # Errors
    /// Returns an error if a version, size, resource or wait is not valid.
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
    /// Checks all values against their bounds, but not whether the delta applies to a configuration.
    ///
    /// # Errors
    /// Returns an error if a version, a change, or the number or size of the changes is not valid.
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
    /// Checks this part's values against their bounds. The snapshot as a whole is checked once it is
    /// complete.
    ///
    /// # Errors
    /// Returns an error if the version, the part's index, its size or a resource is not valid.
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

pub(crate) fn parse_json<T: DeserializeOwned>(line: &[u8], max_bytes: usize) -> Result<T, ParseError> {
    if line.len() > max_bytes {
        return Err(ParseError::LineTooLong(max_bytes));
    }
    serde_json::from_slice(line).map_err(|error| ParseError::InvalidJson(JsonError(Arc::new(error))))
}

pub(crate) fn encode_line<T: Serialize>(message: &T) -> Line {
    // Serialization cannot fail: the messages are plain structures with string keys.
    let mut line = serde_json::to_vec(message).unwrap_or_default();
    line.push(b'\n');
    line.into()
}
