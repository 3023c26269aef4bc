//! Appends to the journal of the current term.

use super::record::{Record, encode};
use super::state_dir::StateDir;
use super::{FORMAT_VERSION, JournalError, SNAPSHOT_INTERVAL, io_error};
use std::fs::File;
use std::io::{Seek, SeekFrom, Write};
use violetseam_release::Release;

/// Why records were not appended.
#[derive(Debug, thiserror::Error)]
pub enum AppendError {
    /// A later term has begun: this leader must announce nothing more.
    #[error("another controller has begun a later term")]
    Superseded,
    /// The journal cannot be written; nothing of the batch is in force.
    #[error("{0}")]
    Write(#[from] std::io::Error),
    /// Whether a later term has begun is unknown; nothing of the batch is in force.
    #[error("{0}")]
    TermCheck(#[from] JournalError),
}

/// Writes the journals of one term.
#[derive(Debug)]
pub struct Writer {
    state_dir: StateDir,
    term: u64,
    leader: String,
    number: u64,
    file: File,
    /// Bytes that are complete and durable; what follows them is truncated before anything is appended.
    durable_len: u64,
    events_since_snapshot: usize,
}

impl Writer {
    /// Creates a journal with its header and a snapshot.
    pub(super) fn create(
        state_dir: &StateDir,
        term: u64,
        number: u64,
        leader: &str,
        state: &Release,
    ) -> Result<Writer, JournalError> {
        let path = state_dir.journal_path(term, number);
        let temporary = path.with_file_name(format!("journal-{term}-{number}.new"));
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
            number,
            file,
            durable_len: bytes.len() as u64,
            events_since_snapshot: 0,
        })
    }

    /// Appends records, as [`encode`] makes them; `state` is the state after them, for the next snapshot. Returns
    /// only once they would survive a crash and no later term has begun.
    ///
    /// # Errors
    /// The records are not durable, or a later term has begun.
    pub fn append(&mut self, records: &[u8], event_count: usize, state: &Release) -> Result<(), AppendError> {
        // A failed write may have left bytes behind; they must not stand before what is appended now.
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

    /// Begins the next journal with a snapshot. The events are durable without it, so that a failure is only
    /// retried later.
    fn rotate(&mut self, state: &Release) {
        match Writer::create(&self.state_dir, self.term, self.number + 1, &self.leader, state) {
            Ok(next) => {
                let superseded = self.state_dir.journal_path(self.term, self.number.wrapping_sub(1));
                let _ = std::fs::remove_file(superseded);
                *self = next;
            }
            Err(error) => {
                tracing::warn!("no new journal: {error}");
                self.events_since_snapshot = SNAPSHOT_INTERVAL / 2;
            }
        }
    }
}
