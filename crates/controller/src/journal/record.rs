//! One line of a journal: a checksum and JSON.

use serde::{Deserialize, Serialize};
use violetseam_release::{Announcement, Event, Now, Release};

/// Hexadecimal digits of the checksum, and the space after them.
const CHECKSUM_PREFIX_LEN: usize = 9;

/// One line of a journal.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// The first record.
    Header {
        /// The journal's format.
        version: u32,
        /// The leader's name.
        #[serde(rename = "holder")]
        leader: String,
    },
    /// The second record: the whole state.
    #[serde(rename = "state")]
    Snapshot(Box<Release>),
    /// An event, and the announcement after it if the event changed it.
    Event {
        /// When it happened.
        now: Now,
        /// What happened.
        event: Event,
        /// The changed announcement.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        after: Option<Announcement>,
    },
}

/// Encodes a record as a line.
pub fn encode(record: &Record) -> Vec<u8> {
    let json = serde_json::to_vec(record).unwrap_or_default();
    let mut line = format!("{:08x} ", crc32fast::hash(&json)).into_bytes();
    line.extend_from_slice(&json);
    line.push(b'\n');
    line
}

/// Decodes a line without its line feed; `None` if it is torn or damaged.
pub(super) fn decode(line: &[u8]) -> Option<Record> {
    let (prefix, json) = line.split_at_checked(CHECKSUM_PREFIX_LEN)?;
    let digits = std::str::from_utf8(prefix).ok()?.strip_suffix(' ')?;
    let checksum = u32::from_str_radix(digits, 16).ok()?;
    if crc32fast::hash(json) != checksum {
        return None;
    }
    serde_json::from_slice(json).ok()
}
