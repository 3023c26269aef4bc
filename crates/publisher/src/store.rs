//! The durable state of a publisher: its configuration and its log, in one `redb` file.
//!
//! Each row carries a CRC-32 of its bytes; the configuration has its digest, and each delta of the log goes
//! onto the one before. A store that fails any of these checks is refused.

use redb::{
    CommitError, Database, DatabaseError, ReadableDatabase, ReadableTable, StorageError, TableDefinition,
    TableError, TransactionError,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::io::ErrorKind;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use thiserror::Error;
use violetseam_distribution::publisher::{LogLimits, Publisher, RestoreError};
use violetseam_distribution::version::MAX_VERSION_NUMBER;
use violetseam_distribution::{
    ApplyError, Change, Configuration, Delta, Digest, Resource, ResourceKey, Term, Version,
};

/// The store's file in the state folder.
pub const FILE: &str = "publisher.redb";
/// The layout of the store; another one is refused.
pub const LAYOUT: u32 = 1;

/// A value's JSON and its CRC-32.
type Row = (u32, &'static [u8]);
const HEAD: TableDefinition<'_, &str, Row> = TableDefinition::new("head");
const RESOURCES: TableDefinition<'_, &[u8], Row> = TableDefinition::new("resources");
const LOG: TableDefinition<'_, u64, Row> = TableDefinition::new("log");
const HEAD_KEY: &str = "head";

/// Describes the other rows.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct Head {
    layout: u32,
    version: Version,
    digest: Digest,
}

/// Why a store cannot be used.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Another process has it open.
    #[error("{}: another publisher uses it", path.display())]
    InUse {
        /// The file of the store.
        path: PathBuf,
    },
    /// The stored data cannot be relied on.
    #[error(
        "{}: the store is damaged: {source}. Restore it from a copy and start with a higher --term, or move \
         it away and publish the whole configuration anew",
        path.display()
    )]
    Damaged {
        /// The file of the store.
        path: PathBuf,
        /// What is wrong with it.
        source: Box<StoreFailure>,
    },
    /// The folder or the file cannot be read or written.
    #[error("{}: {source}", path.display())]
    Unusable {
        /// The folder or file.
        path: PathBuf,
        /// Why it cannot be used.
        source: Box<StoreFailure>,
    },
}

/// The cause of a [`StoreError`].
#[derive(Debug, Error)]
pub enum StoreFailure {
    /// A file operation failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The database does not open.
    #[error(transparent)]
    Open(#[from] DatabaseError),
    /// A transaction cannot begin.
    #[error(transparent)]
    Transaction(#[from] TransactionError),
    /// A table cannot be opened.
    #[error(transparent)]
    Table(#[from] TableError),
    /// A row cannot be read or written.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// A transaction cannot be committed.
    #[error(transparent)]
    Commit(#[from] CommitError),
    /// A row is not the JSON of its table.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The rows do not make up a valid configuration.
    #[error(transparent)]
    Configuration(#[from] ApplyError),
    /// The log does not lead to the configuration.
    #[error(transparent)]
    Log(#[from] RestoreError),
    /// The database panicked on opening its file.
    #[error("the database does not open")]
    OpenPanicked,
    /// The database panicked on reading its file.
    #[error("the database cannot be read")]
    ReadPanicked,
    /// The row that describes the others is missing.
    #[error("it has no head")]
    MissingHead,
    /// The layout is not [`LAYOUT`].
    #[error("layout {found} where {LAYOUT} is known")]
    UnknownLayout {
        /// The layout of the file.
        found: u32,
    },
    /// A row does not match its CRC-32.
    #[error("a row's checksum is wrong")]
    Checksum,
}

/// The durable state of one publisher; drop it to release the folder.
#[derive(Debug)]
pub struct Store {
    path: PathBuf,
    database: Database,
}

impl Store {
    /// Opens the store of a folder, which is created if it does not exist.
    ///
    /// # Errors
    /// Another process has the store open, or the folder or file is damaged or cannot be used.
    pub fn open(folder: &Path) -> Result<Store, StoreError> {
        let path = folder.join(FILE);
        if let Err(error) = std::fs::create_dir_all(folder) {
            return Err(StoreError::Unusable { path: folder.to_owned(), source: Box::new(error.into()) });
        }
        // A damaged file may fail an assertion of the database's own: that is damage, too.
        match catch_unwind(AssertUnwindSafe(|| Database::create(&path))) {
            Ok(Ok(database)) => Ok(Store { path, database }),
            Ok(Err(error)) => Err(open_error(path, error)),
            Err(_) => Err(StoreError::Damaged { path, source: Box::new(StoreFailure::OpenPanicked) }),
        }
    }

    /// The publisher as it was stored; none where nothing ever was.
    ///
    /// # Errors
    /// The stored data is damaged.
    pub fn load(&self, limits: LogLimits) -> Result<Option<Publisher>, StoreError> {
        match catch_unwind(AssertUnwindSafe(|| self.read(limits))) {
            Ok(Ok(publisher)) => Ok(publisher),
            Ok(Err(failure)) => Err(self.damaged(failure)),
            Err(_) => Err(self.damaged(StoreFailure::ReadPanicked)),
        }
    }

    /// Makes a delta durable, and deletes log entries up to the version `oldest_base`, which have left the
    /// publisher's log.
    ///
    /// # Errors
    /// The file cannot be written; whether the delta is durable is not known.
    pub fn append(&self, delta: &Delta, oldest_base: Version) -> Result<(), StoreError> {
        self.write_delta(delta, oldest_base).map_err(|failure| self.unusable(failure))
    }

    /// Makes a complete configuration durable in place of everything; the log is empty after it.
    ///
    /// # Errors
    /// The file cannot be written; whether the configuration is durable is not known.
    pub fn replace(&self, configuration: &Configuration) -> Result<(), StoreError> {
        self.write_configuration(configuration).map_err(|failure| self.unusable(failure))
    }

    fn damaged(&self, failure: StoreFailure) -> StoreError {
        StoreError::Damaged { path: self.path.clone(), source: Box::new(failure) }
    }

    fn unusable(&self, failure: StoreFailure) -> StoreError {
        StoreError::Unusable { path: self.path.clone(), source: Box::new(failure) }
    }

    fn read(&self, limits: LogLimits) -> Result<Option<Publisher>, StoreFailure> {
        let transaction = self.database.begin_read()?;
        let head = match transaction.open_table(HEAD) {
            Ok(table) => table,
            Err(TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(error) => return Err(error.into()),
        };
        let row = head.get(HEAD_KEY)?.ok_or(StoreFailure::MissingHead)?;
        let head: Head = read_row(row.value())?;
        if head.layout != LAYOUT {
            return Err(StoreFailure::UnknownLayout { found: head.layout });
        }
        let resources = read_resources(&transaction.open_table(RESOURCES)?)?;
        let configuration = Configuration::from_resources_with_digest(head.version, resources, head.digest)?;
        let deltas = read_log(&transaction.open_table(LOG)?)?;
        Ok(Some(Publisher::restore(configuration, deltas, limits)?))
    }

    fn write_delta(&self, delta: &Delta, oldest_base: Version) -> Result<(), StoreFailure> {
        let transaction = self.database.begin_write()?;
        {
            let mut resources = transaction.open_table(RESOURCES)?;
            for change in &delta.changes {
                match change {
                    Change::Put(resource) => put_resource(&mut resources, resource)?,
                    Change::Remove(key) => {
                        resources.remove(key_bytes(key)?.as_slice())?;
                    }
                }
            }
            let mut log = transaction.open_table(LOG)?;
            log.insert(delta.version.number, row(&serde_json::to_vec(delta)?))?;
            log.retain_in(..=oldest_base.number, |_, _| false)?;
            let head = Head { layout: LAYOUT, version: delta.version, digest: delta.digest };
            transaction.open_table(HEAD)?.insert(HEAD_KEY, row(&serde_json::to_vec(&head)?))?;
        }
        transaction.commit()?;
        Ok(())
    }

    fn write_configuration(&self, configuration: &Configuration) -> Result<(), StoreFailure> {
        let transaction = self.database.begin_write()?;
        transaction.delete_table(RESOURCES)?;
        transaction.delete_table(LOG)?;
        {
            let mut resources = transaction.open_table(RESOURCES)?;
            for resource in configuration.resources() {
                put_resource(&mut resources, &resource)?;
            }
            transaction.open_table(LOG)?;
            let head =
                Head { layout: LAYOUT, version: configuration.version(), digest: configuration.digest() };
            transaction.open_table(HEAD)?.insert(HEAD_KEY, row(&serde_json::to_vec(&head)?))?;
        }
        transaction.commit()?;
        Ok(())
    }
}

/// The term of a publisher whose state is created now: the wall clock's milliseconds, so that it is above every
/// term that was begun this way before. A clock that was set back can make it lower; the calls of subscribers
/// then show it, and `--term` sets a higher one.
pub fn term_from_wall_clock() -> Term {
    let since_epoch = std::time::SystemTime::UNIX_EPOCH.elapsed();
    let milliseconds = since_epoch.map_or(1, |span| span.as_millis().max(1));
    Term(u64::try_from(milliseconds).map_or(MAX_VERSION_NUMBER, |term| term.min(MAX_VERSION_NUMBER)))
}

fn open_error(path: PathBuf, error: DatabaseError) -> StoreError {
    match error {
        DatabaseError::DatabaseAlreadyOpen => StoreError::InUse { path },
        // A file that cannot be opened or made is not a damaged one.
        DatabaseError::Storage(StorageError::Io(error))
            if !matches!(error.kind(), ErrorKind::InvalidData | ErrorKind::UnexpectedEof) =>
        {
            StoreError::Unusable { path, source: Box::new(error.into()) }
        }
        other => StoreError::Damaged { path, source: Box::new(other.into()) },
    }
}

fn row(json: &[u8]) -> (u32, &[u8]) {
    (crc32fast::hash(json), json)
}

fn read_row<T: DeserializeOwned>((checksum, json): (u32, &[u8])) -> Result<T, StoreFailure> {
    if crc32fast::hash(json) != checksum {
        return Err(StoreFailure::Checksum);
    }
    Ok(serde_json::from_slice(json)?)
}

fn key_bytes(key: &ResourceKey) -> Result<Vec<u8>, StoreFailure> {
    Ok(serde_json::to_vec(key)?)
}

fn put_resource(table: &mut redb::Table<'_, &[u8], Row>, resource: &Resource) -> Result<(), StoreFailure> {
    let key = key_bytes(&resource.key())?;
    let json = serde_json::to_vec(resource)?;
    table.insert(key.as_slice(), row(&json))?;
    Ok(())
}

fn read_resources(table: &impl ReadableTable<&'static [u8], Row>) -> Result<Vec<Resource>, StoreFailure> {
    table.iter()?.map(|entry| read_row(entry?.1.value())).collect()
}

fn read_log(table: &impl ReadableTable<u64, Row>) -> Result<Vec<Delta>, StoreFailure> {
    table.iter()?.map(|entry| read_row(entry?.1.value())).collect()
}
