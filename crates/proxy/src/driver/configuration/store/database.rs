//! The database file of the store: its tables, and how it is opened, read and written.

use super::WriteTask;
use redb::{DatabaseError, ReadableDatabase, ReadableTable, StorageError, TableDefinition, TableError};
use serde::{Deserialize, Serialize};
use std::io::ErrorKind;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;
use violetseam_distribution::{ApplyError, Change, Configuration, Digest, Resource, ResourceKey, Version};

/// The table with a single row, which maps [`HEAD_KEY`] to the [`Head`] as JSON.
const HEAD: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("head");
/// The table with a row for each resource, which maps its key to the resource, both as JSON.
const RESOURCES: TableDefinition<'_, &[u8], &[u8]> = TableDefinition::new("resources");
/// The key of the one row of [`HEAD`].
const HEAD_KEY: &str = "head";

/// The version and the digest that the stored resources must have together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Head {
    version: Version,
    digest: Digest,
}

/// Why a database file was not opened.
#[derive(Debug)]
pub(super) enum FileError {
    /// Another process has the file open.
    InUse,
    /// The file cannot be opened or created.
    Unusable(StorageError),
    /// The contents of the file are damaged.
    Damaged(DamageError),
}

/// How a file was found to be damaged.
#[derive(Debug, thiserror::Error)]
pub(super) enum DamageError {
    /// `redb` panicked while it opened or read the file.
    #[error("the database library panicked while opening or reading it")]
    Assertion,
    /// `redb` rejected the file.
    #[error(transparent)]
    Open(DatabaseError),
    /// The tables contain no valid configuration with the stored digest.
    #[error(transparent)]
    Read(StoreError),
}

/// Why the configuration could not be read from the database or written to it.
#[derive(Debug, thiserror::Error)]
pub(super) enum StoreError {
    /// A transaction could not be started.
    #[error(transparent)]
    Transaction(#[from] redb::TransactionError),
    /// A table could not be opened.
    #[error(transparent)]
    Table(#[from] TableError),
    /// The file could not be read or written.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// A transaction could not be committed.
    #[error(transparent)]
    Commit(#[from] redb::CommitError),
    /// A row is not JSON of the expected form.
    #[error(transparent)]
    Row(#[from] serde_json::Error),
    /// The resources do not match the version and the digest in the head.
    #[error(transparent)]
    Configuration(#[from] ApplyError),
    /// The head table exists but has no row.
    #[error("the table `head` has no row")]
    NoHead,
    /// The changes are relative to a version other than the one in the file.
    #[error("the changes are relative to a version other than the stored one")]
    MissingDelta,
}

/// An open database file.
#[derive(Debug)]
pub(super) struct Database {
    file: redb::Database,
    /// The version in the file; `None` if it contains no configuration.
    version: Option<Version>,
}

/// A database that was opened, with its contents.
pub(super) struct OpenedDatabase {
    pub(super) database: Database,
    /// The configuration in the file, if it contains one.
    pub(super) configuration: Option<Configuration>,
}

impl Head {
    /// Returns the head for a configuration.
    pub(super) fn of(configuration: &Configuration) -> Head {
        Head { version: configuration.version(), digest: configuration.digest() }
    }
}

impl Database {
    /// Opens the file, or creates it, and reads its contents.
    ///
    /// # Errors
    ///
    /// Returns an error if another process has the file open, or if the file cannot be opened or read.
    pub(super) fn open(path: &Path) -> Result<OpenedDatabase, FileError> {
        // A damaged file can violate an assertion in `redb`, which then panics. This is treated as damage,
        // too.
        let opened = catch_unwind(AssertUnwindSafe(|| {
            let file = redb::Database::create(path).map_err(open_error)?;
            let configuration = read(&file).map_err(|error| FileError::Damaged(DamageError::Read(error)))?;
            let version = configuration.as_ref().map(Configuration::version);
            Ok(OpenedDatabase { database: Database { file, version }, configuration })
        }));
        opened.unwrap_or(Err(FileError::Damaged(DamageError::Assertion)))
    }

    /// Performs a write task.
    ///
    /// # Errors
    ///
    /// Returns an error if the task's base is not the version in the file, or if the task cannot be written.
    /// The file is then unchanged.
    pub(super) fn write(&mut self, task: &WriteTask) -> Result<(), StoreError> {
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
        let transaction = self.file.begin_write()?;
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
        let transaction = self.file.begin_write()?;
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
        // An I/O error of another kind does not mean that the contents of the file are damaged.
        DatabaseError::Storage(StorageError::Io(error))
            if !matches!(error.kind(), ErrorKind::InvalidData | ErrorKind::UnexpectedEof) =>
        {
            FileError::Unusable(StorageError::Io(error))
        }
        other => FileError::Damaged(DamageError::Open(other)),
    }
}

fn read(file: &redb::Database) -> Result<Option<Configuration>, StoreError> {
    let transaction = file.begin_read()?;
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
