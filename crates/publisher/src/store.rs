//! The durable state of a publisher: its configuration and its log, in one `redb` file.
//!
//! Each row has a CRC-32 of its bytes, the configuration has a digest, and each delta of the log applies to
//! the version of the delta before it. A store that fails one of these checks is not used.

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

/// The name of the store's file in the state folder.
pub const FILE_NAME: &str = "publisher.redb";
/// The version of the store's layout. A store with another layout is not used.
pub const LAYOUT_VERSION: u32 = 1;

/// The CRC-32 of a value's JSON, and the JSON.
type Row = (u32, &'static [u8]);
const HEAD_TABLE: TableDefinition<'_, &str, Row> = TableDefinition::new("head");
const RESOURCES_TABLE: TableDefinition<'_, &[u8], Row> = TableDefinition::new("resources");
const LOG_TABLE: TableDefinition<'_, u64, Row> = TableDefinition::new("log");
const HEAD_KEY: &str = "head";

/// The row that describes the store: its layout, and the version and digest of its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct Head {
    layout: u32,
    version: Version,
    digest: Digest,
}

/// Why a store cannot be used.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Another process has the store open.
    #[error("{}: another publisher has the store open", path.display())]
    InUse {
        /// The file of the store.
        path: PathBuf,
    },
    /// The stored data is damaged.
    #[error(
        "{}: the store is damaged: {source}. Restore it from a backup and start with a higher --term, or \
         move the file away and publish the complete configuration again",
        path.display()
    )]
    Damaged {
        /// The file of the store.
        path: PathBuf,
        /// What is wrong with the data.
        source: Box<StoreErrorCause>,
    },
    /// The folder or the file cannot be read or written.
    #[error("{}: {source}", path.display())]
    Unusable {
        /// The folder or file.
        path: PathBuf,
        /// Why it cannot be used.
        source: Box<StoreErrorCause>,
    },
}

/// The cause of a [`StoreError`].
#[derive(Debug, Error)]
pub enum StoreErrorCause {
    /// A file operation failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The database cannot be opened.
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
    /// A row does not have the JSON that its table holds.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The stored resources are not a valid configuration, or do not match its digest.
    #[error(transparent)]
    Configuration(#[from] ApplyError),
    /// The deltas of the log do not end at the version of the configuration.
    #[error(transparent)]
    Log(#[from] RestoreError),
    /// The database library panicked while it opened the file.
    #[error("the database library panicked while it opened the file")]
    OpenPanicked,
    /// The database library panicked while it read the file.
    #[error("the database library panicked while it read the file")]
    ReadPanicked,
    /// The row that describes the store is missing.
    #[error("the row that describes the store is missing")]
    MissingHead,
    /// The layout is not [`LAYOUT_VERSION`].
    #[error("the store has layout {found}, but only layout {LAYOUT_VERSION} is supported")]
    UnknownLayout {
        /// The layout version of the file.
        found: u32,
    },
    /// A row does not match its CRC-32.
    #[error("a row does not match its CRC-32")]
    Checksum,
}

/// The durable state of one publisher. Dropping it allows another process to open the store.
#[derive(Debug)]
pub struct Store {
    path: PathBuf,
    database: Database,
}

impl Store {
    /// Opens the store in a folder. The folder and the file are created if they do not exist.
    ///
    /// # Errors
    /// Another process has the store open, or the folder or file is damaged or cannot be used.
    pub fn open(folder: &Path) -> Result<Store, StoreError> {
        let path = folder.join(FILE_NAME);
        if let Err(error) = std::fs::create_dir_all(folder) {
            return Err(StoreError::Unusable { path: folder.to_owned(), source: Box::new(error.into()) });
        }
        // A damaged file can make the database library panic, so a panic is reported as damage, too.
        match catch_unwind(AssertUnwindSafe(|| Database::create(&path))) {
            Ok(Ok(database)) => Ok(Store { path, database }),
            Ok(Err(error)) => Err(open_error(path, error)),
            Err(_) => Err(StoreError::Damaged { path, source: Box::new(StoreErrorCause::OpenPanicked) }),
        }
    }

    /// Reads the stored publisher. Returns none if nothing has ever been stored.
    ///
    /// # Errors
    /// The stored data is damaged.
    pub fn load(&self, limits: LogLimits) -> Result<Option<Publisher>, StoreError> {
        match catch_unwind(AssertUnwindSafe(|| self.read(limits))) {
            Ok(Ok(publisher)) => Ok(publisher),
            Ok(Err(failure)) => Err(self.damaged(failure)),
            Err(_) => Err(self.damaged(StoreErrorCause::ReadPanicked)),
        }
    }

    /// Makes a delta durable. Also deletes the log entries up to the version `oldest_base`, which the
    /// publisher has already removed from its own log.
    ///
    /// # Errors
    /// The file cannot be written. It is not known then whether the delta is durable.
    pub fn append(&self, delta: &Delta, oldest_base: Version) -> Result<(), StoreError> {
        self.write_delta(delta, oldest_base).map_err(|failure| self.unusable(failure))
    }

    /// Makes a complete configuration durable, in place of all stored resources. The log is empty after that.
    ///
    /// # Errors
    /// The file cannot be written. It is not known then whether the configuration is durable.
    pub fn replace(&self, configuration: &Configuration) -> Result<(), StoreError> {
        self.write_configuration(configuration).map_err(|failure| self.unusable(failure))
    }

    fn damaged(&self, failure: StoreErrorCause) -> StoreError {
        StoreError::Damaged { path: self.path.clone(), source: Box::new(failure) }
    }

    fn unusable(&self, failure: StoreErrorCause) -> StoreError {
        StoreError::Unusable { path: self.path.clone(), source: Box::new(failure) }
    }

    fn read(&self, limits: LogLimits) -> Result<Option<Publisher>, StoreErrorCause> {
        let transaction = self.database.begin_read()?;
        let head_table = match transaction.open_table(HEAD_TABLE) {
            Ok(table) => table,
            Err(TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(error) => return Err(error.into()),
        };
        let row = head_table.get(HEAD_KEY)?.ok_or(StoreErrorCause::MissingHead)?;
        let head: Head = read_row(row.value())?;
        if head.layout != LAYOUT_VERSION {
            return Err(StoreErrorCause::UnknownLayout { found: head.layout });
        }
        let resources = read_resources(&transaction.open_table(RESOURCES_TABLE)?)?;
        let configuration = Configuration::from_resources_with_digest(head.version, resources, head.digest)?;
        let deltas = read_log(&transaction.open_table(LOG_TABLE)?)?;
        Ok(Some(Publisher::restore(configuration, deltas, limits)?))
    }

    fn write_delta(&self, delta: &Delta, oldest_base: Version) -> Result<(), StoreErrorCause> {
        let transaction = self.database.begin_write()?;
        {
            let mut resources = transaction.open_table(RESOURCES_TABLE)?;
            for change in &delta.changes {
                match change {
                    Change::Put(resource) => put_resource(&mut resources, resource)?,
                    Change::Remove(key) => {
                        resources.remove(serialize_key(key)?.as_slice())?;
                    }
                }
            }
            let mut log = transaction.open_table(LOG_TABLE)?;
            log.insert(delta.version.number, checksummed_row(&serde_json::to_vec(delta)?))?;
            log.retain_in(..=oldest_base.number, |_, _| false)?;
            let head = Head { layout: LAYOUT_VERSION, version: delta.version, digest: delta.digest };
            transaction
                .open_table(HEAD_TABLE)?
                .insert(HEAD_KEY, checksummed_row(&serde_json::to_vec(&head)?))?;
        }
        transaction.commit()?;
        Ok(())
    }

    fn write_configuration(&self, configuration: &Configuration) -> Result<(), StoreErrorCause> {
        let transaction = self.database.begin_write()?;
        transaction.delete_table(RESOURCES_TABLE)?;
        transaction.delete_table(LOG_TABLE)?;
        {
            let mut resources = transaction.open_table(RESOURCES_TABLE)?;
            for resource in configuration.resources() {
                put_resource(&mut resources, &resource)?;
            }
            transaction.open_table(LOG_TABLE)?;
            let head = Head {
                layout: LAYOUT_VERSION,
                version: configuration.version(),
                digest: configuration.digest(),
            };
            transaction
                .open_table(HEAD_TABLE)?
                .insert(HEAD_KEY, checksummed_row(&serde_json::to_vec(&head)?))?;
        }
        transaction.commit()?;
        Ok(())
    }
}

/// Returns the term for a publisher whose state is created now: the milliseconds of the wall clock, so that
/// it is higher than every term that was created in this way before. If the clock was set back, the term can
/// be lower. The publisher then learns of the higher term from its subscribers and halts, and `--term` sets a
/// higher one.
pub fn term_from_wall_clock() -> Term {
    let since_epoch = std::time::SystemTime::UNIX_EPOCH.elapsed();
    let milliseconds = since_epoch.map_or(1, |span| span.as_millis().max(1));
    Term(u64::try_from(milliseconds).map_or(MAX_VERSION_NUMBER, |term| term.min(MAX_VERSION_NUMBER)))
}

fn open_error(path: PathBuf, error: DatabaseError) -> StoreError {
    match error {
        DatabaseError::DatabaseAlreadyOpen => StoreError::InUse { path },
        // An I/O error of another kind does not mean that the file is damaged.
        DatabaseError::Storage(StorageError::Io(error))
            if !matches!(error.kind(), ErrorKind::InvalidData | ErrorKind::UnexpectedEof) =>
        {
            StoreError::Unusable { path, source: Box::new(error.into()) }
        }
        other => StoreError::Damaged { path, source: Box::new(other.into()) },
    }
}

fn checksummed_row(json: &[u8]) -> (u32, &[u8]) {
    (crc32fast::hash(json), json)
}

fn read_row<T: DeserializeOwned>((checksum, json): (u32, &[u8])) -> Result<T, StoreErrorCause> {
    if crc32fast::hash(json) != checksum {
        return Err(StoreErrorCause::Checksum);
    }
    Ok(serde_json::from_slice(json)?)
}

fn serialize_key(key: &ResourceKey) -> Result<Vec<u8>, StoreErrorCause> {
    Ok(serde_json::to_vec(key)?)
}

fn put_resource(table: &mut redb::Table<'_, &[u8], Row>, resource: &Resource) -> Result<(), StoreErrorCause> {
    let key = serialize_key(&resource.key())?;
    let json = serde_json::to_vec(resource)?;
    table.insert(key.as_slice(), checksummed_row(&json))?;
    Ok(())
}

fn read_resources(table: &impl ReadableTable<&'static [u8], Row>) -> Result<Vec<Resource>, StoreErrorCause> {
    table.iter()?.map(|entry| read_row(entry?.1.value())).collect()
}

fn read_log(table: &impl ReadableTable<u64, Row>) -> Result<Vec<Delta>, StoreErrorCause> {
    table.iter()?.map(|entry| read_row(entry?.1.value())).collect()
}
