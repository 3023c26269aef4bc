//! Messages between publisher and subscribers: JSON, one message a line, checked and bounded on reading.

use crate::Micros;
use crate::digest::Digest;
use crate::resource::{Resource, ResourceError, ResourceKey};
use crate::version::{Term, Version};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::sync::Arc;

/// The longest line that is read, in bytes; the HTTP watch's bound.
pub const LINE_BYTES_MOST: usize = 4 << 20;
/// The longest report of a subscriber, in bytes.
pub const REPORT_BYTES_MOST: usize = 2 << 10;
/// The most changes of one delta.
pub const CHANGES_MOST: usize = 16_384;
/// The most that the changes of one delta may weigh together, in bytes.
pub const DELTA_BYTES_MOST: usize = 2 << 20;
/// The most that the resources of one snapshot part weigh together, in bytes.
pub const PART_BYTES_MOST: usize = 1 << 20;
/// The most parts of one snapshot.
pub const PARTS_MOST: usize = 64;
/// The longest name of a subscriber, in bytes: ASCII letters, digits, `-`, `_` and `.`.
pub const SUBSCRIBER_BYTES_MOST: usize = 64;
/// The longest reason of a refusal, in bytes; longer ones are cut.
pub const REASON_BYTES_MOST: usize = 512;
/// The longest wait that a publisher may tell, in microseconds.
pub const RETRY_AFTER_MOST: Micros = 15 * 60 * 1_000_000;

/// A line as it goes out, its end included; shared among all that it is sent to.
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
    pub fn weight(&self) -> usize {
        match self {
            Change::Put(resource) => resource.weight(),
            Change::Remove(key) => key.weight(),
        }
    }

    /// Checks lengths, characters and numbers.
    pub fn check(&self) -> Result<(), ResourceError> {
        match self {
            Change::Put(resource) => resource.check(),
            Change::Remove(key) => key.check(),
        }
    }
}

/// Changes that lead from one version to the next, taken whole or not at all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delta {
    /// The version that it goes onto.
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
    /// How many parts the snapshot has; 1 to [`PARTS_MOST`].
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
    /// The watch is open and this is the newest version; sent when nothing else was for a while.
    Heartbeat {
        /// The publisher's newest version.
        version: Version,
        /// The digest of its configuration.
        digest: Digest,
    },
    /// No snapshot now; the watch ends with this message.
    RetryAfter {
        /// When to call again, in microseconds from now; a place is kept for the caller then.
        micros: Micros,
    },
}

/// A call for everything after the version known. Carried as the query of the watch's path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Subscribe {
    /// The subscriber's name.
    pub subscriber: String,
    /// The version held; none: nothing yet.
    pub known: Option<Version>,
    /// A snapshot is wanted even where deltas would lead on from `known`, and not an older one: what is
    /// held has proved to differ from what was published.
    pub whole: bool,
}

/// What a subscriber tells of a version.
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
    /// The version was not taken; the one before stays in force.
    Refuse {
        /// The subscriber's name.
        subscriber: String,
        /// The version that was not taken.
        version: Version,
        /// Why, for people.
        reason: String,
    },
}

/// Why a message was not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ParseError {
    /// The line is longer than this many bytes.
    Length(usize),
    /// Not JSON, or not of a known message.
    Json(String),
    /// A term or number above [`crate::version::NUMBER_MOST`].
    Version,
    /// A delta whose version is not above its base in the same term.
    Order,
    /// A delta without changes, with too many, or too heavy.
    Changes,
    /// A part's number or count is out of range, or its resources too heavy.
    Part,
    /// A resource that is not well formed.
    Resource(ResourceError),
    /// A subscriber's name that is empty, too long, or holds another character.
    Subscriber,
    /// A refusal's reason that is too long or holds a control character.
    Reason,
    /// A wait above [`RETRY_AFTER_MOST`].
    Wait,
    /// A query with a field missing, repeated, unknown or malformed.
    Query,
}

impl Message {
    /// Reads one line, with or without its end.
    pub fn parse(line: &[u8]) -> Result<Message, ParseError> {
        let message: Message = read_json(line, LINE_BYTES_MOST)?;
        message.check()?;
        Ok(message)
    }

    /// Writes one line, its end included.
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
    pub fn check(&self) -> Result<(), ParseError> {
        match self {
            Message::Delta(delta) => delta.check(),
            Message::SnapshotPart(part) => part.check(),
            Message::Heartbeat { version, .. } => check_version(*version),
            Message::RetryAfter { micros } if *micros > RETRY_AFTER_MOST => Err(ParseError::Wait),
            Message::RetryAfter { .. } => Ok(()),
        }
    }
}

impl Delta {
    /// Checks all bounds; not whether it goes onto a configuration.
    pub fn check(&self) -> Result<(), ParseError> {
        check_version(self.base)?;
        check_version(self.version)?;
        if self.version <= self.base || self.version.term != self.base.term {
            return Err(ParseError::Order);
        }
        let bytes: usize = self.changes.iter().map(Change::weight).sum();
        if self.changes.is_empty() || self.changes.len() > CHANGES_MOST || bytes > DELTA_BYTES_MOST {
            return Err(ParseError::Changes);
        }
        self.changes.iter().try_for_each(Change::check).map_err(ParseError::Resource)
    }
}

impl SnapshotPart {
    /// Checks all bounds of this part; the whole snapshot is checked when it is complete.
    pub fn check(&self) -> Result<(), ParseError> {
        check_version(self.version)?;
        let bytes: usize = self.resources.iter().map(Resource::weight).sum();
        let in_range = self.part < self.parts && self.parts as usize <= PARTS_MOST;
        if !in_range || bytes > PART_BYTES_MOST {
            return Err(ParseError::Part);
        }
        self.resources.iter().try_for_each(Resource::check).map_err(ParseError::Resource)
    }
}

impl Report {
    /// A refusal; a reason that is too long is cut, control characters become spaces.
    pub fn refuse(subscriber: &str, version: Version, reason: &str) -> Report {
        let printable = reason.chars().map(|c| if c.is_control() { ' ' } else { c });
        let mut cut = String::new();
        for character in printable {
            if cut.len() + character.len_utf8() > REASON_BYTES_MOST {
                break;
            }
            cut.push(character);
        }
        Report::Refuse { subscriber: subscriber.to_owned(), version, reason: cut }
    }

    /// Who tells it.
    pub fn subscriber(&self) -> &str {
        match self {
            Report::Acknowledge { subscriber, .. } | Report::Refuse { subscriber, .. } => subscriber,
        }
    }

    /// Reads a report.
    pub fn parse(line: &[u8]) -> Result<Report, ParseError> {
        let report: Report = read_json(line, REPORT_BYTES_MOST)?;
        check_subscriber(report.subscriber())?;
        match &report {
            Report::Acknowledge { version, .. } => check_version(*version)?,
            Report::Refuse { version, reason, .. } => {
                check_version(*version)?;
                if reason.len() > REASON_BYTES_MOST || reason.chars().any(char::is_control) {
                    return Err(ParseError::Reason);
                }
            }
        }
        Ok(report)
    }

    /// Writes one line, its end included.
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
        if self.whole {
            query.push_str("&whole=true");
        }
        query
    }

    /// Reads the query of the watch's path.
    pub fn from_query(query: &str) -> Result<Subscribe, ParseError> {
        let [mut subscriber, mut term, mut number, mut whole] = [None; 4];
        for field in query.split('&') {
            let (name, value) = field.split_once('=').ok_or(ParseError::Query)?;
            let place = match name {
                "subscriber" => &mut subscriber,
                "term" => &mut term,
                "number" => &mut number,
                "whole" => &mut whole,
                _ => return Err(ParseError::Query),
            };
            if place.replace(value).is_some() {
                return Err(ParseError::Query);
            }
        }
        let subscriber = subscriber.ok_or(ParseError::Query)?.to_owned();
        check_subscriber(&subscriber)?;
        let known = match (term, number) {
            (None, None) => None,
            (Some(term), Some(number)) => {
                Some(Version::new(Term(read_integer(term)?), read_integer(number)?))
            }
            _ => return Err(ParseError::Query),
        };
        known.map_or(Ok(()), check_version)?;
        let whole = match whole {
            None | Some("false") => false,
            Some("true") => true,
            Some(_) => return Err(ParseError::Query),
        };
        Ok(Subscribe { subscriber, known, whole })
    }
}

/// Checks a subscriber's name.
pub fn check_subscriber(name: &str) -> Result<(), ParseError> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if name.is_empty() || name.len() > SUBSCRIBER_BYTES_MOST || !name.bytes().all(allowed) {
        return Err(ParseError::Subscriber);
    }
    Ok(())
}

fn check_version(version: Version) -> Result<(), ParseError> {
    if version.is_bounded() { Ok(()) } else { Err(ParseError::Version) }
}

fn read_integer(text: &str) -> Result<u64, ParseError> {
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(ParseError::Query);
    }
    text.parse().map_err(|_| ParseError::Query)
}

fn read_json<T: DeserializeOwned>(line: &[u8], most: usize) -> Result<T, ParseError> {
    if line.len() > most {
        return Err(ParseError::Length(most));
    }
    serde_json::from_slice(line).map_err(|error| ParseError::Json(error.to_string()))
}

fn write_line<T: Serialize>(message: &T) -> Line {
    // Plain structures with string keys: serialization does not fail.
    let mut line = serde_json::to_vec(message).unwrap_or_default();
    line.push(b'\n');
    line.into()
}

impl std::fmt::Display for ParseError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ParseError::Length(most) => write!(f, "a line of more than {most} bytes"),
            ParseError::Json(reason) => write!(f, "not a known message: {reason}"),
            ParseError::Version => write!(f, "a term or number above {}", crate::version::NUMBER_MOST),
            ParseError::Order => f.write_str("a delta whose version is not above its base in the same term"),
            ParseError::Changes => {
                write!(f, "a delta has 1 to {CHANGES_MOST} changes and {DELTA_BYTES_MOST} bytes at most")
            }
            ParseError::Part => {
                write!(f, "a snapshot has {PARTS_MOST} parts of {PART_BYTES_MOST} bytes at most")
            }
            ParseError::Resource(error) => error.fmt(f),
            ParseError::Subscriber => write!(
                f,
                "a subscriber's name has 1 to {SUBSCRIBER_BYTES_MOST} letters, digits, '-', '_' or '.'"
            ),
            ParseError::Reason => write!(f, "a reason has {REASON_BYTES_MOST} printable bytes at most"),
            ParseError::Wait => write!(f, "a wait of more than {RETRY_AFTER_MOST} microseconds"),
            ParseError::Query => f.write_str("query: subscriber, term and number (both or none), whole"),
        }
    }
}

impl std::error::Error for ParseError {}
