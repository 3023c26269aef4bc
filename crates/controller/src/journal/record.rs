//! The records of a journal. Each is one line of a checksum and JSON.

use serde::{Deserialize, Serialize};
use violetseam_release::{Announcement, Event, Now, Release};

/// The length of the checksum's hexadecimal digits and the space after them, in bytes.
const CHECKSUM_PREFIX_LEN: usize = 9;

/// A record of a journal.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// The first record of each journal.
    Header {
        /// The version of the journal's format.
        version: u32,
        /// The name of the leader that writes the journal.
        #[serde(rename = "holder")]
        leader: String,
    },
    /// The second record of each journal: a snapshot of the whole state.
    #[serde(rename = "state")]
    Snapshot(Box<Release>),
    /// An event that changed the state.
    Event {
        /// The time of the event.
        now: Now,
        /// The event.
        event: Event,
        /// The announcement after the event; `None` if the event did not change the announcement.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        after: Option<Announcement>,
    },
}

/// Encodes a record as a line, including its line feed.
pub fn encode(record: &Record) -> Vec<u8> {
    let json = serde_json::to_vec(record).unwrap_or_default();
    let mut line = format!("{:08x} ", crc32fast::hash(&json)).into_bytes();
    line.extend_from_slice(&json);
    line.push(b'\n');
    line
}

/// Decodes a line, which is given without its line feed. Returns `None` if the line is torn or damaged.
pub(super) fn decode(line: &[u8]) -> Option<Record> {
    let (prefix, json) = line.split_at_checked(CHECKSUM_PREFIX_LEN)?;
    let digits = std::str::from_utf8(prefix).ok()?.strip_suffix(' ')?;
    let checksum = u32::from_str_radix(digits, 16).ok()?;
    if crc32fast::hash(json) != checksum {
        return None;
    }
    serde_json::from_slice(json).ok()
}
