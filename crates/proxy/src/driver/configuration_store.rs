//! The last good distributed configuration on disk, in one `redb` file for each position, so that a restarted
//! proxy begins with it and asks only for what changed since.
//!
//! A delta is written at the cost of its own changes. Writes happen on a thread of their own, as a slow disk
//! must not hold up traffic; one that does not keep up, or fails, misses deltas, and is given the whole
//! configuration as soon as it can take it. What is read back must have the digest that was written with it;
//! a file that has not is set aside.

use redb::{
    Database, DatabaseError, ReadableDatabase, ReadableTable, StorageError, TableDefinition, TableError,
};
use serde::{Deserialize, Serialize};
use std::io::ErrorKind;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use violetseam_distribution::{ApplyError, Change, Configuration, Digest, Resource, ResourceKey, Version};

/// Tasks that wait for the disk; past it the whole configuration is written instead.
const MAX_QUEUED_TASKS: usize = 64;
/// How often a file is tried that another process has.
const IN_USE_POLL_INTERVAL: Duration = Duration::from_millis(5);

const HEAD: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("head");
const RESOURCES: TableDefinition<'_, &[u8], &[u8]> = TableDefinition::new("resources");
const HEAD_KEY: &str = "head";

/// What the stored resources must amount to.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct Head {
    version: Version,
    digest: Digest,
}

/// Why the store was not opened.
#[derive(Debug, thiserror::Error)]
pub(super) enum OpenError {
    #[error("{}: the folder cannot be made: {source}", folder.display())]
    CreateFolder { folder: PathBuf, source: std::io::Error },
    #[error("{}: another process has it", path.display())]
    InUse { path: PathBuf },
    #[error("{}: {source}", path.display())]
    Unusable { path: PathBuf, source: StorageError },
    #[error("{}: the damaged file cannot be set aside: {source}", path.display())]
    SetAside { path: PathBuf, source: std::io::Error },
    #[error("the thread that stores the configuration cannot be started: {0}")]
    SpawnWriter(#[source] std::io::Error),
}

/// Why a database file was not opened.
#[derive(Debug)]
enum FileError {
    /// Another process has it.
    InUse,
    /// The file cannot be opened or made.
    Unusable(StorageError),
    /// What it holds cannot be relied on.
    Damaged(DamageError),
}

/// Why the contents of a file cannot be relied on.
#[derive(Debug, thiserror::Error)]
enum DamageError {
    #[error("an assertion of the database failed")]
    Assertion,
    #[error(transparent)]
    Open(DatabaseError),
    #[error(transparent)]
    Read(StoreError),
}

/// Why the configuration could not be read from the database or written to it.
#[derive(Debug, thiserror::Error)]
enum StoreError {
    #[error(transparent)]
    Transaction(#[from] redb::TransactionError),
    #[error(transparent)]
    Table(#[from] TableError),
    #[error(transparent)]
    Storage(#[from] StorageError),
    #[error(transparent)]
    Commit(#[from] redb::CommitError),
    #[error(transparent)]
    Row(#[from] serde_json::Error),
    #[error(transparent)]
    Configuration(#[from] ApplyError),
    #[error("it has no head")]
    NoHead,
    #[error("the file misses what came before")]
    MissingDelta,
}

/// The database, and the version that it holds.
#[derive(Debug)]
struct Store {
    database: Database,
    /// The version stored.
    version: Option<Version>,
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
    /// The file misses something: it is to be given the whole configuration.
    is_behind: Arc<AtomicBool>,
    writer: JoinHandle<()>,
}

/// Opens the store of a position, for at most `wait` while another process has it; also the configuration
/// that it held, if that is undamaged.
pub(super) fn open(
    folder: &Path,
    position: usize,
    wait: Duration,
) -> Result<(ConfigurationStore, Option<Configuration>), OpenError> {
    let path = folder.join(format!("configuration-{position}.redb"));
    std::fs::create_dir_all(folder)
        .map_err(|source| OpenError::CreateFolder { folder: folder.to_owned(), source })?;
    let (store, configuration) = open_file(&path, wait)?;
    let is_behind = Arc::new(AtomicBool::new(false));
    let (tasks, queue) = sync_channel(MAX_QUEUED_TASKS);
    let writer_is_behind = is_behind.clone();
    let thread = std::thread::Builder::new().name("configuration".into());
    let writer =
        thread.spawn(move || run_writer(store, &queue, &writer_is_behind)).map_err(OpenError::SpawnWriter)?;
    let sent = configuration.as_ref().map(Configuration::version);
    Ok((ConfigurationStore { tasks, sent, is_behind, writer }, configuration))
}

/// Opens the file, after setting aside one that is damaged.
fn open_file(path: &Path, wait: Duration) -> Result<(Store, Option<Configuration>), OpenError> {
    let until = Instant::now() + wait;
    loop {
        match Store::open(path) {
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
fn run_writer(mut store: Store, queue: &Receiver<WriteTask>, is_behind: &AtomicBool) {
    while let Ok(task) = queue.recv() {
        if let Err(error) = store.write(&task) {
            tracing::warn!("the configuration is not stored: {error}");
            is_behind.store(true, Ordering::Relaxed);
        }
    }
}

impl ConfigurationStore {
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

    /// Whether the file has missed something since this was asked last.
    pub(super) fn take_is_behind(&self) -> bool {
        self.is_behind.swap(false, Ordering::Relaxed)
    }

    fn send(&self, task: WriteTask) {
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) = self.tasks.try_send(task) {
            self.is_behind.store(true, Ordering::Relaxed);
        }
    }
}

impl Head {
    fn of(configuration: &Configuration) -> Head {
        Head { version: configuration.version(), digest: configuration.digest() }
    }
}

impl Store {
    fn open(path: &Path) -> Result<(Store, Option<Configuration>), FileError> {
        // A damaged file may fail an assertion of the database's own: that is damage, too.
        let opened = catch_unwind(AssertUnwindSafe(|| {
            let database = Database::create(path).map_err(open_error)?;
            let configuration =
                read(&database).map_err(|error| FileError::Damaged(DamageError::Read(error)))?;
            let version = configuration.as_ref().map(Configuration::version);
            Ok((Store { database, version }, configuration))
        }));
        opened.unwrap_or(Err(FileError::Damaged(DamageError::Assertion)))
    }

    fn write(&mut self, task: &WriteTask) -> Result<(), StoreError> {
        let version = match task {
            WriteTask::Delta { base, .. } if self.version != Some(*base) => {
                return Err(StoreError::MissingDelta);
            }
            WriteTask::Delta { head, changes, .. } => {
                self.write_changes(*head, changes)?;
                head.version
            }
            WriteTask::Snapshot(configuration) => {
                self.write_snapshot(configuration)?;
                configuration.version()
            }
        };
        self.version = Some(version);
        Ok(())
    }

    fn write_changes(&self, head: Head, changes: &[Change]) -> Result<(), StoreError> {
        let transaction = self.database.begin_write()?;
        {
            let mut resources = transaction.open_table(RESOURCES)?;
            for change in changes {
                match change {
                    Change::Put(resource) => put(&mut resources, resource)?,
                    Change::Remove(key) => drop(resources.remove(key_bytes(key)?.as_slice())?),
                }
            }
            transaction.open_table(HEAD)?.insert(HEAD_KEY, serde_json::to_vec(&head)?.as_slice())?;
        }
        transaction.commit()?;
        Ok(())
    }

    fn write_snapshot(&self, configuration: &Configuration) -> Result<(), StoreError> {
        let transaction = self.database.begin_write()?;
        transaction.delete_table(RESOURCES)?;
        {
            let mut resources = transaction.open_table(RESOURCES)?;
            for resource in configuration.resources() {
                put(&mut resources, &resource)?;
            }
            let head = Head::of(configuration);
            transaction.open_table(HEAD)?.insert(HEAD_KEY, serde_json::to_vec(&head)?.as_slice())?;
        }
        transaction.commit()?;
        Ok(())
    }
}

fn open_error(error: DatabaseError) -> FileError {
    match error {
        DatabaseError::DatabaseAlreadyOpen => FileError::InUse,
        // A file that cannot be opened or made is not a damaged one.
        DatabaseError::Storage(StorageError::Io(error))
            if !matches!(error.kind(), ErrorKind::InvalidData | ErrorKind::UnexpectedEof) =>
        {
            FileError::Unusable(StorageError::Io(error))
        }
        other => FileError::Damaged(DamageError::Open(other)),
    }
}

fn read(database: &Database) -> Result<Option<Configuration>, StoreError> {
    let transaction = database.begin_read()?;
    let head = match transaction.open_table(HEAD) {
        Ok(table) => table,
        Err(TableError::TableDoesNotExist(_)) => return Ok(None),
        Err(error) => return Err(error.into()),
    };
    let row = head.get(HEAD_KEY)?.ok_or(StoreError::NoHead)?;
    let head: Head = serde_json::from_slice(row.value())?;
    let mut resources = Vec::new();
    for entry in transaction.open_table(RESOURCES)?.iter()? {
        resources.push(serde_json::from_slice::<Resource>(entry?.1.value())?);
    }
    Ok(Some(Configuration::from_resources_with_digest(head.version, resources, head.digest)?))
}

fn key_bytes(key: &ResourceKey) -> Result<Vec<u8>, StoreError> {
    Ok(serde_json::to_vec(key)?)
}

fn put(table: &mut redb::Table<'_, &[u8], &[u8]>, resource: &Resource) -> Result<(), StoreError> {
    let key = key_bytes(&resource.key())?;
    let value = serde_json::to_vec(resource)?;
    table.insert(key.as_slice(), value.as_slice())?;
    Ok(())
}
