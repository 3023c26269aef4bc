//! Messages between publisher and subscribers: JSON, one message a line, checked and bounded on reading.

use crate::Micros;
use crate::digest::Digest;
use crate::resource::{Resource, ResourceError, ResourceKey};
use crate::version::{MAX_VERSION_NUMBER, Term, Version};
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

/// A call for everything after the version known. Carried as the query of the watch's path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Subscribe {
    /// The subscriber's name.
    pub subscriber: String,
    /// The current version; none: nothing yet.
    pub known: Option<Version>,
    /// A snapshot not older than `known` is required even where deltas would lead on from it: the current
    /// configuration has proved to differ from what was published. `whole` in the query.
    pub snapshot_required: bool,
}

/// What a subscriber reports on a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Report {
    /// The version is in force.
    Acknowledge {
        /// The subscriber's name.
        subscriber: String,
        /// The version in force.
        version: Version,
    },
    /// The version was rejected; the one before stays in force.
    #[serde(rename = "refuse")]
    Reject {
        /// The subscriber's name.
        subscriber: String,
        /// The rejected version.
        version: Version,
        /// The reason, for people.
        reason: String,
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

impl Report {
    /// A rejection; a reason that is too long is cut, control characters become spaces.
    pub fn reject(subscriber: &str, version: Version, reason: &str) -> Report {
        let printable = reason.chars().map(|c| if c.is_control() { ' ' } else { c });
        let mut cut = String::new();
        for character in printable {
            if cut.len() + character.len_utf8() > MAX_REASON_BYTES {
                break;
            }
            cut.push(character);
        }
        Report::Reject { subscriber: subscriber.to_owned(), version, reason: cut }
    }

    /// The name of the reporting subscriber.
    pub fn subscriber(&self) -> &str {
        match self {
            Report::Acknowledge { subscriber, .. } | Report::Reject { subscriber, .. } => subscriber,
        }
    }

    /// Parses a report.
    ///
    /// # Errors
    /// The line is too long, or holds no valid report.
    pub fn parse(line: &[u8]) -> Result<Report, ParseError> {
        let report: Report = read_json(line, MAX_REPORT_BYTES)?;
        validate_subscriber_name(report.subscriber())?;
        match &report {
            Report::Acknowledge { version, .. } => check_version(*version)?,
            Report::Reject { version, reason, .. } => {
                check_version(*version)?;
                if reason.len() > MAX_REASON_BYTES || reason.chars().any(char::is_control) {
                    return Err(ParseError::InvalidReason);
                }
            }
        }
        Ok(report)
    }

    /// Encodes one line, with its line feed.
    pub fn write(&self) -> Line {
        write_line(self)
    }
}

impl Subscribe {
    /// Writes the query of the watch's path: `subscriber=proxy-1&term=3&number=1402`, without term and
    /// number where nothing is known, and with `whole=true` where a snapshot is wanted.
    pub fn to_query(&self) -> String {
        let mut query = format!("subscriber={}", self.subscriber);
        if let Some(known) = self.known {
            query.push_str(&format!("&term={}&number={}", known.term, known.number));
        }
        if self.snapshot_required {
            query.push_str("&whole=true");
        }
        query
    }

    /// Parses the query of the watch's path.
    ///
    /// # Errors
    /// A field is missing, repeated, unknown or malformed.
    pub fn from_query(query: &str) -> Result<Subscribe, ParseError> {
        let mut subscriber = None;
        let mut term = None;
        let mut number = None;
        let mut whole = None;
        for field in query.split('&') {
            let (name, value) = field.split_once('=').ok_or(ParseError::InvalidQuery)?;
            let slot = match name {
                "subscriber" => &mut subscriber,
                "term" => &mut term,
                "number" => &mut number,
                "whole" => &mut whole,
                _ => return Err(ParseError::InvalidQuery),
            };
            if slot.replace(value).is_some() {
                return Err(ParseError::InvalidQuery);
            }
        }
        let subscriber = subscriber.ok_or(ParseError::InvalidQuery)?.to_owned();
        validate_subscriber_name(&subscriber)?;
        let known = match (term, number) {
            (None, None) => None,
            (Some(term), Some(number)) => {
                Some(Version::new(Term(read_integer(term)?), read_integer(number)?))
            }
            _ => return Err(ParseError::InvalidQuery),
        };
        known.map_or(Ok(()), check_version)?;
        let snapshot_required = match whole {
            None | Some("false") => false,
            Some("true") => true,
            Some(_) => return Err(ParseError::InvalidQuery),
        };
        Ok(Subscribe { subscriber, known, snapshot_required })
    }
}

/// Checks a subscriber's name.
///
/// # Errors
/// The name is empty, too long, or holds another character.
pub fn validate_subscriber_name(name: &str) -> Result<(), ParseError> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if name.is_empty() || name.len() > MAX_SUBSCRIBER_NAME_BYTES || !name.bytes().all(allowed) {
        return Err(ParseError::InvalidSubscriberName);
    }
    Ok(())
}

fn check_version(version: Version) -> Result<(), ParseError> {
    if version.is_bounded() { Ok(()) } else { Err(ParseError::VersionOutOfRange) }
}

fn read_integer(text: &str) -> Result<u64, ParseError> {
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(ParseError::InvalidQuery);
    }
    text.parse().map_err(|_| ParseError::InvalidQuery)
}

fn read_json<T: DeserializeOwned>(line: &[u8], max_bytes: usize) -> Result<T, ParseError> {
    if line.len() > max_bytes {
        return Err(ParseError::LineTooLong(max_bytes));
    }
    serde_json::from_slice(line).map_err(|error| ParseError::InvalidJson(JsonError(Arc::new(error))))
}

fn write_line<T: Serialize>(message: &T) -> Line {
    // Plain structures with string keys: serialization does not fail.
    let mut line = serde_json::to_vec(message).unwrap_or_default();
    line.push(b'\n');
    line.into()
}
