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
use violetseam_distribution::{Change, Configuration, Digest, Resource, ResourceKey, Version};

/// Deltas that wait for the disk; past it the whole configuration is written instead.
const WAITING_MOST: usize = 64;
/// Between two looks at a file that another process has.
const TAKEN_PAUSE: Duration = Duration::from_millis(5);

const HEAD: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("head");
const RESOURCES: TableDefinition<'_, &[u8], &[u8]> = TableDefinition::new("resources");
const HEAD_KEY: &str = "head";

/// What the stored resources must amount to.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct Head {
    version: Version,
    digest: Digest,
}

/// Why a store was not opened.
#[derive(Debug)]
enum StoreError {
    /// Another process has it.
    Taken,
    /// The file cannot be opened or made.
    Unusable(String),
    /// What it holds cannot be relied on.
    Damaged(String),
}

/// A failure of the database or of reading a row, in its own words.
#[derive(Debug)]
struct Failure(String);

impl<E: std::error::Error> From<E> for Failure {
    fn from(error: E) -> Failure {
        Failure(error.to_string())
    }
}

#[derive(Debug)]
struct Store {
    database: Database,
    /// The version stored.
    version: Option<Version>,
}

/// What the writing thread is told.
enum Job {
    Delta { base: Version, head: Head, changes: Vec<Change> },
    Whole(Box<Configuration>),
}

/// The proxy's side of the store; dropped, what waits is still written and then the file released.
#[derive(Debug)]
pub(super) struct ConfigurationStore {
    jobs: SyncSender<Job>,
    /// The version that the file has once all that was sent is written.
    sent: Option<Version>,
    /// The file misses something: it is to be given the whole configuration.
    behind: Arc<AtomicBool>,
    writer: JoinHandle<()>,
}

/// Opens the store of a position, for at most `wait` while another process has it; also the configuration
/// that it held, if that is sound.
pub(super) fn open(
    folder: &Path,
    position: usize,
    wait: Duration,
) -> std::io::Result<(ConfigurationStore, Option<Configuration>)> {
    let path = folder.join(format!("configuration-{position}.redb"));
    let failed = |why: String| std::io::Error::other(format!("{}: {why}", path.display()));
    std::fs::create_dir_all(folder)?;
    let until = Instant::now() + wait;
    let (store, configuration) = loop {
        match Store::open(&path) {
            Ok(opened) => break opened,
            Err(StoreError::Taken) if Instant::now() < until => std::thread::sleep(TAKEN_PAUSE),
            Err(StoreError::Taken) => return Err(failed("another process has it".to_owned())),
            Err(StoreError::Unusable(why)) => return Err(failed(why)),
            Err(StoreError::Damaged(why)) => {
                let aside = set_aside(&path)?;
                tracing::warn!(moved_to = %aside.display(), "the stored configuration is damaged: {why}");
            }
        }
    };
    let behind = Arc::new(AtomicBool::new(false));
    let (jobs, waiting) = sync_channel(WAITING_MOST);
    let told = behind.clone();
    let thread = std::thread::Builder::new().name("configuration".into());
    let writer = thread.spawn(move || write_all(store, waiting, told))?;
    let sent = configuration.as_ref().map(Configuration::version);
    Ok((ConfigurationStore { jobs, sent, behind, writer }, configuration))
}

fn set_aside(path: &Path) -> std::io::Result<PathBuf> {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let aside = path.with_extension(format!("damaged-{}", now.as_micros()));
    std::fs::rename(path, &aside)?;
    Ok(aside)
}

fn write_all(mut store: Store, jobs: Receiver<Job>, behind: Arc<AtomicBool>) {
    while let Ok(job) = jobs.recv() {
        if let Err(Failure(why)) = store.write(&job) {
            tracing::warn!("the configuration is not stored: {why}");
            behind.store(true, Ordering::Relaxed);
        }
    }
}

impl ConfigurationStore {
    /// Stores changes that lead from what was stored before to this configuration.
    pub(super) fn apply(&mut self, configuration: &Configuration, changes: Vec<Change>) {
        match self.sent.replace(configuration.version()) {
            Some(base) => self.send(Job::Delta { base, head: Head::of(configuration), changes }),
            None => self.replace(configuration),
        }
    }

    /// Stores a configuration in place of everything.
    pub(super) fn replace(&mut self, configuration: &Configuration) {
        self.sent = Some(configuration.version());
        self.send(Job::Whole(Box::new(configuration.clone())));
    }

    /// Writes what waits and releases the file.
    pub(super) fn finish(self) {
        drop(self.jobs);
        if self.writer.join().is_err() {
            tracing::warn!("the configuration is not stored: its thread failed");
        }
    }

    /// Whether it missed something since this was asked last.
    pub(super) fn take_behind(&self) -> bool {
        self.behind.swap(false, Ordering::Relaxed)
    }

    fn send(&self, job: Job) {
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) = self.jobs.try_send(job) {
            self.behind.store(true, Ordering::Relaxed);
        }
    }
}

impl Head {
    fn of(configuration: &Configuration) -> Head {
        Head { version: configuration.version(), digest: configuration.digest() }
    }
}

impl Store {
    fn open(path: &Path) -> Result<(Store, Option<Configuration>), StoreError> {
        // A damaged file may fail an assertion of the database's own: that is damage, too.
        let opened = catch_unwind(AssertUnwindSafe(|| {
            let database = Database::create(path).map_err(open_error)?;
            let configuration = read(&database).map_err(|Failure(why)| StoreError::Damaged(why))?;
            let version = configuration.as_ref().map(Configuration::version);
            Ok((Store { database, version }, configuration))
        }));
        opened.unwrap_or_else(|_| Err(StoreError::Damaged("an assertion of the database failed".to_owned())))
    }

    fn write(&mut self, job: &Job) -> Result<(), Failure> {
        let version = match job {
            Job::Delta { base, .. } if self.version != Some(*base) => {
                return Err(Failure("the file misses what came before".to_owned()));
            }
            Job::Delta { head, changes, .. } => {
                self.write_changes(*head, changes)?;
                head.version
            }
            Job::Whole(configuration) => {
                self.write_whole(configuration)?;
                configuration.version()
            }
        };
        self.version = Some(version);
        Ok(())
    }

    fn write_changes(&self, head: Head, changes: &[Change]) -> Result<(), Failure> {
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

    fn write_whole(&self, configuration: &Configuration) -> Result<(), Failure> {
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

fn open_error(error: DatabaseError) -> StoreError {
    match error {
        DatabaseError::DatabaseAlreadyOpen => StoreError::Taken,
        // A file that cannot be opened or made is not a damaged one.
        DatabaseError::Storage(StorageError::Io(error))
            if !matches!(error.kind(), ErrorKind::InvalidData | ErrorKind::UnexpectedEof) =>
        {
            StoreError::Unusable(error.to_string())
        }
        other => StoreError::Damaged(other.to_string()),
    }
}

fn read(database: &Database) -> Result<Option<Configuration>, Failure> {
    let transaction = database.begin_read()?;
    let head = match transaction.open_table(HEAD) {
        Ok(table) => table,
        Err(TableError::TableDoesNotExist(_)) => return Ok(None),
        Err(error) => return Err(error.into()),
    };
    let row = head.get(HEAD_KEY)?.ok_or_else(|| Failure("it has no head".to_owned()))?;
    let head: Head = serde_json::from_slice(row.value())?;
    let mut resources = Vec::new();
    for entry in transaction.open_table(RESOURCES)?.iter()? {
        resources.push(serde_json::from_slice::<Resource>(entry?.1.value())?);
    }
    Ok(Some(Configuration::from_resources_with_digest(head.version, resources, head.digest)?))
}

fn key_bytes(key: &ResourceKey) -> Result<Vec<u8>, Failure> {
    Ok(serde_json::to_vec(key)?)
}

fn put(table: &mut redb::Table<'_, &[u8], &[u8]>, resource: &Resource) -> Result<(), Failure> {
    let (key, value) = (key_bytes(&resource.key())?, serde_json::to_vec(resource)?);
    table.insert(key.as_slice(), value.as_slice())?;
    Ok(())
}
