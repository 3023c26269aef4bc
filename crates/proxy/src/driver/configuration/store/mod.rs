//! The last good distributed configuration on disk, in one `redb` file for each position, so that a restarted
//! proxy begins with it and asks only for what changed since.
//!
//! A delta is written at the cost of its own changes. Writes happen on a thread of their own, as a slow disk
//! must not hold up traffic; one that does not keep up, or fails, misses deltas, and is given the whole
//! configuration as soon as it can take it. What is read back must have the digest that was written with it;
//! a file that has not is set aside.
//!
//! - `database.rs`: the file

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

/// Tasks that wait for the disk; past it the complete configuration is written instead.
const MAX_QUEUED_TASKS: usize = 64;
/// How often a file is tried that another process has.
const IN_USE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Why the store was not opened.
#[derive(Debug, thiserror::Error)]
pub(super) enum OpenError {
    /// The folder cannot be made.
    #[error("{}: the folder cannot be made: {source}", folder.display())]
    CreateFolder { folder: PathBuf, source: std::io::Error },
    /// Another process has the file.
    #[error("{}: another process has it", path.display())]
    InUse { path: PathBuf },
    /// The file cannot be opened or made.
    #[error("{}: {source}", path.display())]
    Unusable { path: PathBuf, source: StorageError },
    /// A damaged file cannot be moved out of the way.
    #[error("{}: the damaged file cannot be set aside: {source}", path.display())]
    SetAside { path: PathBuf, source: std::io::Error },
    /// No thread for the writes.
    #[error("the thread that stores the configuration cannot be started: {0}")]
    SpawnWriter(#[source] std::io::Error),
}

/// What the writing thread is to write.
enum WriteTask {
    /// Changes that lead from the base to the version of the head.
    Delta { base: Version, head: Head, changes: Vec<Change> },
    /// A configuration in place of everything.
    Snapshot(Box<Configuration>),
}

/// The proxy's side of the store; dropped, what waits is still written and then the file released.
#[derive(Debug)]
pub(super) struct ConfigurationStore {
    tasks: SyncSender<WriteTask>,
    /// The version that the file has once all that was sent is written.
    sent: Option<Version>,
    /// The file misses something: the complete configuration is to be written.
    is_behind: Arc<AtomicBool>,
    writer: JoinHandle<()>,
}

/// A store that was opened.
pub(super) struct OpenedStore {
    pub(super) store: ConfigurationStore,
    /// The configuration that it has, if that is undamaged.
    pub(super) configuration: Option<Configuration>,
}

/// Opens the file, after setting aside one that is damaged.
fn open_database(path: &Path, wait: Duration) -> Result<OpenedDatabase, OpenError> {
    let until = Instant::now() + wait;
    loop {
        match Database::open(path) {
            Ok(opened) => return Ok(opened),
            Err(FileError::InUse) if Instant::now() < until => std::thread::sleep(IN_USE_POLL_INTERVAL),
            Err(FileError::InUse) => return Err(OpenError::InUse { path: path.to_owned() }),
            Err(FileError::Unusable(source)) => {
                return Err(OpenError::Unusable { path: path.to_owned(), source });
            }
            Err(FileError::Damaged(error)) => {
                let aside = set_aside(path)
                    .map_err(|source| OpenError::SetAside { path: path.to_owned(), source })?;
                tracing::warn!(moved_to = %aside.display(), "the stored configuration is damaged: {error}");
            }
        }
    }
}

fn set_aside(path: &Path) -> std::io::Result<PathBuf> {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let aside = path.with_extension(format!("damaged-{}", now.as_micros()));
    std::fs::rename(path, &aside)?;
    Ok(aside)
}

/// Writes what comes until the store is dropped.
fn run_writer(mut database: Database, queue: &Receiver<WriteTask>, is_behind: &AtomicBool) {
    while let Ok(task) = queue.recv() {
        if let Err(error) = database.write(&task) {
            tracing::warn!("the configuration is not stored: {error}");
            is_behind.store(true, Ordering::Relaxed);
        }
    }
}

impl ConfigurationStore {
    /// Opens the store of a position, for at most `wait` while another process has it.
    ///
    /// # Errors
    ///
    /// If the file cannot be opened in that time, or the writing thread not started.
    pub(super) fn open(folder: &Path, position: usize, wait: Duration) -> Result<OpenedStore, OpenError> {
        let path = folder.join(format!("configuration-{position}.redb"));
        std::fs::create_dir_all(folder)
            .map_err(|source| OpenError::CreateFolder { folder: folder.to_owned(), source })?;
        let OpenedDatabase { database, configuration } = open_database(&path, wait)?;
        let is_behind = Arc::new(AtomicBool::new(false));
        let (tasks, queue) = sync_channel(MAX_QUEUED_TASKS);
        let writer_is_behind = is_behind.clone();
        let thread = std::thread::Builder::new().name("configuration".into());
        let writer = thread
            .spawn(move || run_writer(database, &queue, &writer_is_behind))
            .map_err(OpenError::SpawnWriter)?;
        let sent = configuration.as_ref().map(Configuration::version);
        Ok(OpenedStore { store: ConfigurationStore { tasks, sent, is_behind, writer }, configuration })
    }

    /// Stores changes that lead from what was stored before to this configuration.
    pub(super) fn apply(&mut self, configuration: &Configuration, changes: Vec<Change>) {
        match self.sent.replace(configuration.version()) {
            Some(base) => self.send(WriteTask::Delta { base, head: Head::of(configuration), changes }),
            None => self.replace(configuration),
        }
    }

    /// Stores a configuration in place of everything.
    pub(super) fn replace(&mut self, configuration: &Configuration) {
        self.sent = Some(configuration.version());
        self.send(WriteTask::Snapshot(Box::new(configuration.clone())));
    }

    /// Writes what waits and releases the file.
    pub(super) fn finish(self) {
        drop(self.tasks);
        if self.writer.join().is_err() {
            tracing::warn!("the configuration is not stored: its thread failed");
        }
    }

    /// Whether the file has missed something since the last call.
    pub(super) fn take_is_behind(&self) -> bool {
        self.is_behind.swap(false, Ordering::Relaxed)
    }

    fn send(&self, task: WriteTask) {
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) = self.tasks.try_send(task) {
            self.is_behind.store(true, Ordering::Relaxed);
        }
    }
}
