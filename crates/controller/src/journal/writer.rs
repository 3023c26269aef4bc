//! Appends records to the journal of the current term.

use super::record::{Record, encode};
use super::state_dir::StateDir;
use super::{FORMAT_VERSION, JournalError, SNAPSHOT_INTERVAL, io_error};
use std::fs::File;
use std::io::{Seek, SeekFrom, Write};
use violetseam_release::Release;

/// The reason why records were not appended.
#[derive(Debug, thiserror::Error)]
pub enum AppendError {
    /// A later term has begun. This leader must announce nothing more.
    #[error("another controller has begun a later term")]
    Superseded,
    /// The journal cannot be written. Nothing of the batch takes effect.
    #[error("{0}")]
    Write(#[from] std::io::Error),
    /// The check for a later term failed. Nothing of the batch takes effect.
    #[error("{0}")]
    TermCheck(#[from] JournalError),
}

/// Writes the journals of one term.
#[derive(Debug)]
pub struct Writer {
    state_dir: StateDir,
    term: u64,
    leader: String,
    /// The sequence number of the current journal within the term.
    sequence: u64,
    file: File,
    /// The length of the durable records, in bytes. Anything after them is truncated before the next append.
    durable_len: u64,
    events_since_snapshot: usize,
}

impl Writer {
    /// Creates a journal that holds a header and a snapshot.
    pub(super) fn create(
        state_dir: &StateDir,
        term: u64,
        sequence: u64,
        leader: &str,
        state: &Release,
    ) -> Result<Writer, JournalError> {
        let path = state_dir.journal_path(term, sequence);
        let temporary = path.with_file_name(format!("journal-{term}-{sequence}.new"));
        let mut bytes = encode(&Record::Header { version: FORMAT_VERSION, leader: leader.to_owned() });
        bytes.extend(encode(&Record::Snapshot(Box::new(state.clone()))));
        let mut file = File::create(&temporary).map_err(io_error(&temporary))?;
        file.write_all(&bytes).map_err(io_error(&temporary))?;
        file.sync_all().map_err(io_error(&temporary))?;
        std::fs::rename(&temporary, &path).map_err(io_error(&path))?;
        state_dir.sync()?;
        Ok(Writer {
            state_dir: state_dir.clone(),
            term,
            leader: leader.to_owned(),
            sequence,
            file,
            durable_len: bytes.len() as u64,
            events_since_snapshot: 0,
        })
    }

    /// Appends records that [`encode`] made. `state` is the state after these records; it is written if a
    /// snapshot is due. On success the records are durable, and no later term had begun by then.
    ///
    /// # Errors
    /// The records may not be durable, or a later term has begun, or the check for one failed.
    pub fn append(&mut self, records: &[u8], event_count: usize, state: &Release) -> Result<(), AppendError> {
        // A failed write may have left bytes behind, which must not remain before the new records.
        self.file.set_len(self.durable_len)?;
        self.file.seek(SeekFrom::Start(self.durable_len))?;
        self.file.write_all(records)?;
        self.file.sync_data()?;
        self.durable_len += records.len() as u64;
        self.events_since_snapshot += event_count;
        if self.state_dir.latest_term()? > self.term {
            return Err(AppendError::Superseded);
        }
        if self.events_since_snapshot >= SNAPSHOT_INTERVAL {
            self.rotate(state);
        }
        Ok(())
    }

    /// Begins the next journal with a snapshot. If that fails, the current journal stays in use and a new
    /// attempt follows later, since the events are durable in either case.
    fn rotate(&mut self, state: &Release) {
        match Writer::create(&self.state_dir, self.term, self.sequence + 1, &self.leader, state) {
            Ok(next) => {
                let outdated_journal = self.state_dir.journal_path(self.term, self.sequence.wrapping_sub(1));
                let _ = std::fs::remove_file(outdated_journal);
                *self = next;
            }
            Err(error) => {
                tracing::warn!("cannot begin a new journal, so the current one stays in use: {error}");
                self.events_since_snapshot = SNAPSHOT_INTERVAL / 2;
            }
        }
    }
}
