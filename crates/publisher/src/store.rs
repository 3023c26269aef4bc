//! The durable state of a publisher: its configuration and its log, in one `redb` file.
//!
//! Each row carries a CRC-32 of its bytes; the configuration has its digest, and each delta of the log goes
//! onto the one before. A store that fails any of these checks is refused.

use redb::{Database, DatabaseError, ReadableDatabase, ReadableTable, StorageError, TableDefinition};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::io::ErrorKind;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use violetseam_distribution::publisher::{LogLimits, Publisher};
use violetseam_distribution::version::MAX_VERSION_NUMBER;
use violetseam_distribution::{Change, Configuration, Delta, Digest, Resource, ResourceKey, Term, Version};

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

/// What the rows together must amount to.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct Head {
    layout: u32,
    version: Version,
    digest: Digest,
}

/// Why a store cannot be used.
#[derive(Debug)]
pub enum StoreError {
    /// Another process has it.
    Taken(PathBuf),
    /// What is stored cannot be relied on.
    Damaged(PathBuf, String),
    /// The folder or the file cannot be read or written.
    Unusable(PathBuf, String),
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StoreError::Taken(path) => write!(f, "{}: another publisher uses it", path.display()),
            StoreError::Damaged(path, why) => write!(
                f,
                "{}: the store is damaged: {why}. Restore it from a copy and start with a higher --term, or move \
                 it away and publish the whole configuration anew",
                path.display()
            ),
            StoreError::Unusable(path, why) => write!(f, "{}: {why}", path.display()),
        }
    }
}

impl std::error::Error for StoreError {}

/// A failure of the database, as its own words.
#[derive(Debug)]
struct Failure(String);

impl<E: std::error::Error> From<E> for Failure {
    fn from(error: E) -> Failure {
        Failure(error.to_string())
    }
}

/// The durable state of one publisher; drop it to release the folder.
#[derive(Debug)]
pub struct Store {
    path: PathBuf,
    database: Database,
}

impl Store {
    /// Opens the store of a folder, made if it is not there.
    pub fn open(folder: &Path) -> Result<Store, StoreError> {
        let path = folder.join(FILE);
        std::fs::create_dir_all(folder)
            .map_err(|error| StoreError::Unusable(folder.to_owned(), error.to_string()))?;
        // A damaged file may fail an assertion of the database's own: that is damage, too.
        match catch_unwind(AssertUnwindSafe(|| Database::create(&path))) {
            Ok(Ok(database)) => Ok(Store { path, database }),
            Ok(Err(error)) => Err(open_error(path, error)),
            Err(_) => Err(StoreError::Damaged(path, "the database does not open".to_owned())),
        }
    }

    /// The publisher as it was stored; none where nothing ever was.
    pub fn load(&self, limits: LogLimits) -> Result<Option<Publisher>, StoreError> {
        match catch_unwind(AssertUnwindSafe(|| self.read(limits))) {
            Ok(Ok(publisher)) => Ok(publisher),
            Ok(Err(Failure(why))) => Err(StoreError::Damaged(self.path.clone(), why)),
            Err(_) => Err(StoreError::Damaged(self.path.clone(), "the database cannot be read".to_owned())),
        }
    }

    /// Makes a delta durable, and forgets what has left the log: versions up to `forgotten`.
    pub fn append(&self, delta: &Delta, forgotten: Version) -> Result<(), StoreError> {
        self.write_delta(delta, forgotten).map_err(|failure| self.unusable(failure))
    }

    /// Makes a whole configuration durable in place of everything; the log is empty after it.
    pub fn replace(&self, configuration: &Configuration) -> Result<(), StoreError> {
        self.write_whole(configuration).map_err(|failure| self.unusable(failure))
    }

    fn unusable(&self, failure: Failure) -> StoreError {
        StoreError::Unusable(self.path.clone(), failure.0)
    }

    fn read(&self, limits: LogLimits) -> Result<Option<Publisher>, Failure> {
        let transaction = self.database.begin_read()?;
        let head = match transaction.open_table(HEAD) {
            Ok(table) => table,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(error) => return Err(error.into()),
        };
        let row = head.get(HEAD_KEY)?.ok_or_else(|| Failure("it has no head".to_owned()))?;
        let head: Head = read_row(row.value())?;
        if head.layout != LAYOUT {
            return Err(Failure(format!("layout {} where {LAYOUT} is known", head.layout)));
        }
        let resources = read_resources(&transaction.open_table(RESOURCES)?)?;
        let configuration = Configuration::from_resources_with_digest(head.version, resources, head.digest)?;
        let deltas = read_log(&transaction.open_table(LOG)?)?;
        Ok(Some(Publisher::restore(configuration, deltas, limits)?))
    }

    fn write_delta(&self, delta: &Delta, forgotten: Version) -> Result<(), Failure> {
        let transaction = self.database.begin_write()?;
        {
            let mut resources = transaction.open_table(RESOURCES)?;
            for change in &delta.changes {
                match change {
                    Change::Put(resource) => put_resource(&mut resources, resource)?,
                    Change::Remove(key) => drop(resources.remove(key_bytes(key)?.as_slice())?),
                }
            }
            let mut log = transaction.open_table(LOG)?;
            log.insert(delta.version.number, row(&serde_json::to_vec(delta)?))?;
            log.retain_in(..=forgotten.number, |_, _| false)?;
            let head = Head { layout: LAYOUT, version: delta.version, digest: delta.digest };
            transaction.open_table(HEAD)?.insert(HEAD_KEY, row(&serde_json::to_vec(&head)?))?;
        }
        transaction.commit()?;
        Ok(())
    }

    fn write_whole(&self, configuration: &Configuration) -> Result<(), Failure> {
        let transaction = self.database.begin_write()?;
        transaction.delete_table(RESOURCES)?;
        transaction.delete_table(LOG)?;
        {
            let mut resources = transaction.open_table(RESOURCES)?;
            for resource in configuration.resources() {
                put_resource(&mut resources, &resource)?;
            }
            transaction.open_table(LOG)?;
            let (version, digest) = (configuration.version(), configuration.digest());
            let head = Head { layout: LAYOUT, version, digest };
            transaction.open_table(HEAD)?.insert(HEAD_KEY, row(&serde_json::to_vec(&head)?))?;
        }
        transaction.commit()?;
        Ok(())
    }
}

/// The term of a publisher whose state is created now: the wall clock's milliseconds, so that it is above every
/// term that was begun this way before. A clock that was set back can make it lower; subscribers then say so,
/// and `--term` mends it.
pub fn term_of_wall_clock() -> Term {
    let since_epoch = std::time::SystemTime::UNIX_EPOCH.elapsed();
    let milliseconds = since_epoch.map_or(1, |span| span.as_millis().max(1));
    Term(u64::try_from(milliseconds).map_or(MAX_VERSION_NUMBER, |term| term.min(MAX_VERSION_NUMBER)))
}

fn open_error(path: PathBuf, error: DatabaseError) -> StoreError {
    match error {
        DatabaseError::DatabaseAlreadyOpen => StoreError::Taken(path),
        // A file that cannot be opened or made is not a damaged one.
        DatabaseError::Storage(StorageError::Io(error))
            if !matches!(error.kind(), ErrorKind::InvalidData | ErrorKind::UnexpectedEof) =>
        {
            StoreError::Unusable(path, error.to_string())
        }
        other => StoreError::Damaged(path, other.to_string()),
    }
}

fn row(json: &[u8]) -> (u32, &[u8]) {
    (crc32fast::hash(json), json)
}

fn read_row<T: DeserializeOwned>((checksum, json): (u32, &[u8])) -> Result<T, Failure> {
    if crc32fast::hash(json) != checksum {
        return Err(Failure("a row's checksum is wrong".to_owned()));
    }
    Ok(serde_json::from_slice(json)?)
}

fn key_bytes(key: &ResourceKey) -> Result<Vec<u8>, Failure> {
    Ok(serde_json::to_vec(key)?)
}

fn put_resource(table: &mut redb::Table<'_, &[u8], Row>, resource: &Resource) -> Result<(), Failure> {
    let (key, json) = (key_bytes(&resource.key())?, serde_json::to_vec(resource)?);
    table.insert(key.as_slice(), row(&json))?;
    Ok(())
}

fn read_resources(table: &impl ReadableTable<&'static [u8], Row>) -> Result<Vec<Resource>, Failure> {
    table.iter()?.map(|entry| read_row(entry?.1.value())).collect()
}

fn read_log(table: &impl ReadableTable<u64, Row>) -> Result<Vec<Delta>, Failure> {
    table.iter()?.map(|entry| read_row(entry?.1.value())).collect()
}
