//! Stores the last valid distributed configuration on disk, in one `redb` file for each position. A restarted
//! proxy starts with it and requests only the changes since then.
//!
//! The cost of writing a delta depends only on its own changes. Writes are performed on a thread of their
//! own, because a slow disk must not delay client requests. If the thread does not keep up or a write fails,
//! deltas are missing from the file; the complete configuration is then written as soon as the thread can
//! accept it. The configuration that is read from a file must have the digest that was written with it;
//! otherwise the file is renamed and a new one is created.
//!
//! - `database.rs`: the database file

mod database;

use database::{Database, FileError, Head, OpenedDatabase};
use redb::StorageError;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use violetseam_distribution::{Change, Configuration, Version};

/// How many write tasks may be queued. A task over the limit is dropped, and the complete configuration is
/// written later instead.
const MAX_QUEUED_TASKS: usize = 64;
/// The time between two attempts to open a file that another process has open.
const IN_USE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Why the store was not opened.
#[derive(Debug, thiserror::Error)]
pub(super) enum OpenError {
    /// The folder cannot be created.
    #[error("{}: the folder cannot be created: {source}", folder.display())]
    CreateFolder { folder: PathBuf, source: std::io::Error },
    /// Another process has the file open.
    #[error("{}: the file is in use by another process", path.display())]
    InUse { path: PathBuf },
    /// The file cannot be opened or created.
    #[error("{}: the file cannot be opened or created: {source}", path.display())]
    Unusable { path: PathBuf, source: StorageError },
    /// A damaged file cannot be renamed.
    #[error("{}: the damaged file cannot be renamed: {source}", path.display())]
    SetAside { path: PathBuf, source: std::io::Error },
    /// The thread for the writes cannot be started.
    #[error("the thread that stores the configuration cannot be started: {0}")]
    SpawnWriter(#[source] std::io::Error),
}

/// What the writer thread has to write.
enum WriteTask {
    /// Changes relative to version `base`, which result in the version and digest of `head`.
    Delta { base: Version, head: Head, changes: Vec<Change> },
    /// A complete configuration, which replaces the stored one.
    Snapshot(Box<Configuration>),
}

/// The event loop's side of the store. After it is dropped, the writer thread completes the queued writes and
/// then releases the file.
#[derive(Debug)]
pub(super) struct ConfigurationStore {
    tasks: SyncSender<WriteTask>,
    /// The version in the file once all queued tasks are written.
    last_queued_version: Option<Version>,
    /// Whether a task was dropped or a write failed, so that the complete configuration must be written.
    has_missed_writes: Arc<AtomicBool>,
    writer: JoinHandle<()>,
}

/// A store that was opened, with its contents.
pub(super) struct OpenedStore {
    pub(super) store: ConfigurationStore,
    /// The configuration in the file, if it contains one that is not damaged.
    pub(super) configuration: Option<Configuration>,
}

/// Opens the file. A damaged file is renamed first, and a new one is created in its place.
fn open_database(path: &Path, max_wait: Duration) -> Result<OpenedDatabase, OpenError> {
    let deadline = Instant::now() + max_wait;
    loop {
        match Database::open(path) {
            Ok(opened) => return Ok(opened),
            Err(FileError::InUse) if Instant::now() < deadline => std::thread::sleep(IN_USE_POLL_INTERVAL),
            Err(FileError::InUse) => return Err(OpenError::InUse { path: path.to_owned() }),
            Err(FileError::Unusable(source)) => {
                return Err(OpenError::Unusable { path: path.to_owned(), source });
            }
            Err(FileError::Damaged(error)) => {
                let new_path = rename_damaged_file(path)
                    .map_err(|source| OpenError::SetAside { path: path.to_owned(), source })?;
                tracing::warn!(moved_to = %new_path.display(), "damaged configuration file renamed: {error}");
            }
        }
    }
}

fn rename_damaged_file(path: &Path) -> std::io::Result<PathBuf> {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let new_path = path.with_extension(format!("damaged-{}", now.as_micros()));
    std::fs::rename(path, &new_path)?;
    Ok(new_path)
}

/// Performs write tasks until the store is dropped.
fn run_writer(mut database: Database, tasks: &Receiver<WriteTask>, has_missed_writes: &AtomicBool) {
    while let Ok(task) = tasks.recv() {
        if let Err(error) = database.write(&task) {
            tracing::warn!("the configuration could not be written to the store: {error}");
            has_missed_writes.store(true, Ordering::Relaxed);
        }
    }
}

impl ConfigurationStore {
    /// Opens the store of the proxy at a position. Waits for at most `max_wait` while another process has the
    /// file open.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be opened within that time, or if the writer thread cannot be
    /// started.
    pub(super) fn open(folder: &Path, position: usize, max_wait: Duration) -> Result<OpenedStore, OpenError> {
        let path = folder.join(format!("configuration-{position}.redb"));
        std::fs::create_dir_all(folder)
            .map_err(|source| OpenError::CreateFolder { folder: folder.to_owned(), source })?;
        let OpenedDatabase { database, configuration } = open_database(&path, max_wait)?;
        let has_missed_writes = Arc::new(AtomicBool::new(false));
        let (tasks, received_tasks) = sync_channel(MAX_QUEUED_TASKS);
        let writer_has_missed_writes = has_missed_writes.clone();
        let thread = std::thread::Builder::new().name("configuration".into());
        let writer = thread
            .spawn(move || run_writer(database, &received_tasks, &writer_has_missed_writes))
            .map_err(OpenError::SpawnWriter)?;
        let last_queued_version = configuration.as_ref().map(Configuration::version);
        Ok(OpenedStore {
            store: ConfigurationStore { tasks, last_queued_version, has_missed_writes, writer },
            configuration,
        })
    }

    /// Stores changes that turn the configuration stored last into this one.
    pub(super) fn apply(&mut self, configuration: &Configuration, changes: Vec<Change>) {
        match self.last_queued_version.replace(configuration.version()) {
            Some(base) => self.send(WriteTask::Delta { base, head: Head::of(configuration), changes }),
            None => self.replace(configuration),
        }
    }

    /// Replaces the stored configuration.
    pub(super) fn replace(&mut self, configuration: &Configuration) {
        self.last_queued_version = Some(configuration.version());
        self.send(WriteTask::Snapshot(Box::new(configuration.clone())));
    }

    /// Completes the queued writes and releases the file.
    pub(super) fn finish(self) {
        drop(self.tasks);
        if self.writer.join().is_err() {
            tracing::warn!("the configuration could not be written to the store: its thread panicked");
        }
    }

    /// Returns whether a task was dropped or a write failed since the last call.
    pub(super) fn take_missed_writes(&self) -> bool {
        self.has_missed_writes.swap(false, Ordering::Relaxed)
    }

    fn send(&self, task: WriteTask) {
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) = self.tasks.try_send(task) {
            self.has_missed_writes.store(true, Ordering::Relaxed);
        }
    }
}
