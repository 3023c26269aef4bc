//! The store of one identity: opening it, moving a damaged file aside, and writing state.

use crate::database::{StoredState, Update, read_audit_lines, read_state, write_update};
use crate::error::{DatabaseError, StoreError};
use redb::Database;
use std::io::ErrorKind;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use violetseam_operator_commands::PersistedState;
use violetseam_proxy::driver::{StateWriter, StateWriterError};

const MICROS_PER_SECOND: u64 = 1_000_000;

/// A store that was just opened, and what it held.
#[derive(Debug)]
pub struct OpenedStore {
    /// The store; dropping it releases the identity.
    pub store: Store,
    /// The number of this start.
    pub boot: u64,
    /// The state that the previous process stored.
    pub state: PersistedState,
    /// Where a damaged file was moved. Its contents are unknown, and `state` is a safe assumption.
    pub moved_aside: Option<PathBuf>,
}

/// The durable state of one identity.
#[derive(Debug)]
pub struct Store {
    path: PathBuf,
    /// None after a failed write: the next write opens the file again. `redb` accepts no writes after one
    /// that failed, but a full disk may have room again.
    database: Option<Database>,
}

/// Why one attempt to open the file failed, by what can be done about it.
enum OpenFailure {
    InUse,
    Unusable(DatabaseError),
    Damaged(DatabaseError),
}

impl OpenFailure {
    fn into_error(self, path: PathBuf) -> StoreError {
        match self {
            OpenFailure::InUse => StoreError::InUse { path },
            OpenFailure::Unusable(source) | OpenFailure::Damaged(source) => {
                StoreError::Unusable { path, source }
            }
        }
    }
}

impl From<redb::DatabaseError> for OpenFailure {
    fn from(error: redb::DatabaseError) -> Self {
        match error {
            redb::DatabaseError::DatabaseAlreadyOpen => OpenFailure::InUse,
            // A file that cannot be opened or created is not a damaged one.
            redb::DatabaseError::Storage(redb::StorageError::Io(error)) if !is_damage(error.kind()) => {
                OpenFailure::Unusable(DatabaseError::Io(error))
            }
            other => OpenFailure::Damaged(other.into()),
        }
    }
}

fn is_damage(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::InvalidData | ErrorKind::UnexpectedEof)
}

impl Store {
    /// Opens the store of a position in a folder and counts this start. `now_us` is the wall clock. A damaged
    /// file is moved aside and replaced.
    ///
    /// # Errors
    /// If another process has the store open, or the folder or the file cannot be used.
    pub fn open(folder: &Path, position: usize, now_us: u64) -> Result<OpenedStore, StoreError> {
        let folder_error = |source| StoreError::Folder { folder: folder.to_owned(), source };
        std::fs::create_dir_all(folder).map_err(folder_error)?;
        let path = folder.join(format!("daemon-{position}.redb"));
        let damage = match Store::open_file(&path) {
            Ok(opened) => return Ok(opened),
            Err(OpenFailure::Damaged(damage)) => damage,
            Err(failure) => return Err(failure.into_error(path)),
        };
        let aside = folder.join(format!("daemon-{position}.damaged-{now_us}"));
        std::fs::rename(&path, &aside).map_err(folder_error)?;
        tracing::error!(moved_to = %aside.display(), "the state file is damaged: {damage}");
        Store::replace_damaged(path, aside, now_us)
    }

    /// Starts a new file in place of a damaged one.
    fn replace_damaged(path: PathBuf, aside: PathBuf, now_us: u64) -> Result<OpenedStore, StoreError> {
        let store = match Store::open_file(&path) {
            Ok(opened) => opened.store,
            Err(failure) => return Err(failure.into_error(path)),
        };
        // The boot number must not repeat one that commands were fenced with, so the clock gives it.
        let boot = now_us / MICROS_PER_SECOND;
        let state = PersistedState::paused_after_damage(now_us);
        let update = Update { boot: Some(boot), state: &state, audit_line: None };
        store.write_update(&update).map_err(|source| StoreError::Unusable { path, source })?;
        Ok(OpenedStore { store, boot, state, moved_aside: Some(aside) })
    }

    /// Opens or creates the file and counts this start.
    fn open_file(path: &Path) -> Result<OpenedStore, OpenFailure> {
        // The library may panic on a damaged file.
        let read = catch_unwind(AssertUnwindSafe(|| Store::read_file(path)));
        let mut opened = read.unwrap_or(Err(OpenFailure::Damaged(DatabaseError::Panicked)))?;
        opened.boot += 1;
        let update = Update { boot: Some(opened.boot), state: &opened.state, audit_line: None };
        opened.store.write_update(&update).map_err(OpenFailure::Unusable)?;
        Ok(opened)
    }

    /// Opens or creates the file and reads it; the boot number is the one of the last start.
    fn read_file(path: &Path) -> Result<OpenedStore, OpenFailure> {
        let database = Database::create(path)?;
        let StoredState { boot, state } = read_state(&database).map_err(OpenFailure::Damaged)?;
        let store = Store { path: path.to_owned(), database: Some(database) };
        Ok(OpenedStore { store, boot, state, moved_aside: None })
    }

    fn database(&self) -> Result<&Database, DatabaseError> {
        self.database.as_ref().ok_or(DatabaseError::NotOpen)
    }

    fn write_update(&self, update: &Update<'_>) -> Result<(), DatabaseError> {
        write_update(self.database()?, update)
    }

    /// Opens the file again after a failed write.
    fn reopen(&mut self) -> Result<(), DatabaseError> {
        // The library may panic on what the failure left behind.
        let opened = catch_unwind(AssertUnwindSafe(|| Database::create(&self.path)));
        let database = opened.map_err(|_| DatabaseError::PanickedOnReopen)??;
        self.database = Some(database);
        Ok(())
    }

    /// The audit log, oldest line first.
    ///
    /// # Errors
    /// If the file is not open or cannot be read.
    pub fn audit(&self) -> Result<Vec<String>, DatabaseError> {
        read_audit_lines(self.database()?)
    }
}

impl StateWriter for Store {
    fn write(&mut self, state: &PersistedState, audit_line: &str) -> Result<(), StateWriterError> {
        if self.database.is_none() {
            self.reopen()?;
        }
        let update = Update { boot: None, state, audit_line: Some(audit_line) };
        let written = self.write_update(&update);
        if written.is_err() {
            self.database = None;
        }
        written.map_err(StateWriterError::from)
    }
}
