//! The store of one identity: it opens the file, moves a damaged file aside, and writes the state.

use crate::database::{StoredState, Update, read_audit_lines, read_state, write_update};
use crate::error::{DatabaseError, StoreError};
use redb::Database;
use std::io::ErrorKind;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use violetseam_operator_commands::PersistedState;
use violetseam_proxy::driver::{StateWriter, StateWriterError};

const MICROS_PER_SECOND: u64 = 1_000_000;

/// A store that was just opened, and its contents.
#[derive(Debug)]
pub struct OpenedStore {
    /// The store. Dropping it allows another process to use the identity.
    pub store: Store,
    /// The boot number, which is the number of this start.
    pub boot: u64,
    /// The state that the previous process stored.
    pub state: PersistedState,
    /// The path to which a damaged file was moved, if the file was damaged. `state` is then a safe
    /// assumption, because the stored one is unknown.
    pub moved_aside: Option<PathBuf>,
}

/// The durable state of one identity.
#[derive(Debug)]
pub struct Store {
    path: PathBuf,
    /// None after a failed write; the next write then opens the file again. The file must be opened again
    /// because `redb` accepts no writes after a failed one, but a later write may succeed, for example once a
    /// full disk has free space.
    database: Option<Database>,
}

/// Why one attempt to open the file failed. Only a damaged file is moved aside and replaced.
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
            // An I/O error of another kind does not mean that the file is damaged.
            redb::DatabaseError::Storage(redb::StorageError::Io(error)) if !is_damage(error.kind()) => {
                OpenFailure::Unusable(DatabaseError::Io(error))
            }
            other => OpenFailure::Damaged(other.into()),
        }
    }
}

/// Whether an I/O error of this kind means that the file is damaged.
fn is_damage(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::InvalidData | ErrorKind::UnexpectedEof)
}

impl Store {
    /// Opens the store of the daemon with this fleet position, and counts this start. A damaged file is moved
    /// aside and replaced by a new one. `now_us` is the time on the wall clock, in microseconds.
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
        let moved_to = folder.join(format!("daemon-{position}.damaged-{now_us}"));
        std::fs::rename(&path, &moved_to).map_err(folder_error)?;
        tracing::error!(
            moved_to = %moved_to.display(),
            "the state file is damaged and was moved aside: {damage}"
        );
        Store::replace_damaged(path, moved_to, now_us)
    }

    /// Creates a new file in place of a damaged one, which was moved to `moved_to`.
    fn replace_damaged(path: PathBuf, moved_to: PathBuf, now_us: u64) -> Result<OpenedStore, StoreError> {
        let store = match Store::open_file(&path) {
            Ok(opened) => opened.store,
            Err(failure) => return Err(failure.into_error(path)),
        };
        // The new boot number must differ from all earlier ones, which commands may still name as their
        // fence. The earlier ones are unknown, so the wall clock's seconds are used.
        let boot = now_us / MICROS_PER_SECOND;
        let state = PersistedState::paused_after_damage(now_us);
        let update = Update { boot: Some(boot), state: &state, audit_line: None };
        store.write_update(&update).map_err(|source| StoreError::Unusable { path, source })?;
        Ok(OpenedStore { store, boot, state, moved_aside: Some(moved_to) })
    }

    /// Opens or creates the file and counts this start.
    fn open_file(path: &Path) -> Result<OpenedStore, OpenFailure> {
        // The database library may panic on a damaged file.
        let read_result = catch_unwind(AssertUnwindSafe(|| Store::read_file(path)));
        let mut opened = read_result.unwrap_or(Err(OpenFailure::Damaged(DatabaseError::Panicked)))?;
        opened.boot += 1;
        let update = Update { boot: Some(opened.boot), state: &opened.state, audit_line: None };
        opened.store.write_update(&update).map_err(OpenFailure::Unusable)?;
        Ok(opened)
    }

    /// Opens or creates the file and reads it. The boot number is that of the previous start.
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
        // The database library may panic on the file that the failed write has left.
        let open_result = catch_unwind(AssertUnwindSafe(|| Database::create(&self.path)));
        let database = open_result.map_err(|_| DatabaseError::PanickedOnReopen)??;
        self.database = Some(database);
        Ok(())
    }

    /// Returns the audit log, oldest line first.
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
        let write_result = self.write_update(&update);
        if write_result.is_err() {
            self.database = None;
        }
        write_result.map_err(StateWriterError::from)
    }
}
