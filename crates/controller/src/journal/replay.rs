//! Rebuilds the state from a journal.

use super::record::{Record, decode};
use super::{FORMAT_VERSION, JournalError};
use std::path::Path;
use violetseam_release::Release;

/// Records before the first event: the header and the snapshot.
const LEADING_RECORDS: usize = 2;

/// What a journal holds.
#[derive(Debug)]
pub struct Replay {
    /// The state after all complete records.
    pub release: Release,
    /// Events after the snapshot.
    pub event_count: usize,
    /// The last record was torn.
    pub torn: bool,
}

/// Replays a journal's bytes: the state after all complete records.
pub(super) fn replay(path: &Path, bytes: &[u8]) -> Result<Replay, JournalError> {
    let damaged = |line: usize| JournalError::Damaged { path: path.to_owned(), line };
    let mut release: Option<Release> = None;
    let mut event_count = 0;
    let mut torn = false;
    let mut end = 0;
    for (index, line) in bytes.split_inclusive(|byte| *byte == b'\n').enumerate() {
        end += line.len();
        let line_number = index + 1;
        let Some(record) = line.strip_suffix(b"\n").and_then(decode) else {
            // Only the last record can be torn: each is durable before the next is begun.
            if end == bytes.len() && index >= LEADING_RECORDS {
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
