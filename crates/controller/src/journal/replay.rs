//! Rebuilds the state of the release from a journal.

use super::record::{Record, decode};
use super::{FORMAT_VERSION, JournalError};
use std::path::Path;
use violetseam_release::Release;

/// The number of records before the first event: the header and the snapshot.
const LEADING_RECORDS: usize = 2;

/// The result of replaying a journal.
#[derive(Debug)]
pub struct Replay {
    /// The state after all complete records.
    pub release: Release,
    /// The number of events after the snapshot.
    pub event_count: usize,
    /// Whether the last record was torn.
    pub torn: bool,
}

/// Replays the bytes of a journal up to the last complete record.
pub(super) fn replay(path: &Path, bytes: &[u8]) -> Result<Replay, JournalError> {
    let damaged = |line: usize| JournalError::Damaged { path: path.to_owned(), line };
    let mut release: Option<Release> = None;
    let mut event_count = 0;
    let mut torn = false;
    let mut line_end = 0;
    for (index, line) in bytes.split_inclusive(|byte| *byte == b'\n').enumerate() {
        line_end += line.len();
        let line_number = index + 1;
        let Some(record) = line.strip_suffix(b"\n").and_then(decode) else {
            // Only the end of a journal can be torn: the writer appends only after durable records.
            if line_end == bytes.len() && index >= LEADING_RECORDS {
                torn = true;
                break;
            }
            return Err(damaged(line_number));
        };
        match (index, record) {
            (0, Record::Header { version, .. }) if version <= FORMAT_VERSION => {}
            (0, Record::Header { version, .. }) => {
                return Err(JournalError::NewerFormat { path: path.to_owned(), version });
            }
            (1, Record::Snapshot(state)) => release = Some(*state),
            (LEADING_RECORDS.., Record::Event { now, event, after }) => {
                let release = release.as_mut().ok_or_else(|| damaged(line_number))?;
                let before = release.announcement();
                release.on_event(now, &event);
                let announced = release.announcement();
                let replayed = (announced != before).then_some(announced);
                if after != replayed {
                    return Err(JournalError::Diverged { path: path.to_owned(), line: line_number });
                }
                event_count += 1;
            }
            _ => return Err(damaged(line_number)),
        }
    }
    let release = release.ok_or_else(|| damaged(LEADING_RECORDS))?;
    Ok(Replay { release, event_count, torn })
}
