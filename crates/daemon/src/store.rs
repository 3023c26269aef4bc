//! The store: boot number, standing pause, commands seen, audit log; one file for each identity.

use redb::{Database, DatabaseError, ReadableDatabase, ReadableTable, TableDefinition};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use violetseam_control::book::{Book, Durable};
use violetseam_proxy::driver::Keeper;

const STATE: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("state");
const AUDIT: TableDefinition<'_, u64, &str> = TableDefinition::new("audit");
/// Audit lines kept; older ones go as new ones come.
const AUDIT_MOST: u64 = 100_000;

/// Why a store was not opened.
#[derive(Debug)]
pub enum StoreFault {
    /// Another process has it: two daemons on one identity.
    Taken(PathBuf),
    /// The folder or the file cannot be used.
    Unusable(String),
}

impl std::fmt::Display for StoreFault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StoreFault::Taken(path) => {
                write!(f, "{}: another daemon runs under this identity", path.display())
            }
            StoreFault::Unusable(why) => f.write_str(why),
        }
    }
}

impl std::error::Error for StoreFault {}

/// A store, and what it held.
#[derive(Debug)]
pub struct Opened {
    /// The store; drop it to release the identity.
    pub store: Store,
    /// This start's number.
    pub boot: u64,
    /// What outlived the process before.
    pub durable: Durable,
    /// A damaged file was moved there; its state is unknown and read in the safe way.
    pub moved_aside: Option<PathBuf>,
}

/// The durable state of one identity.
#[derive(Debug)]
pub struct Store {
    path: PathBuf,
    /// None after a fault: the next use opens the file again. `redb` takes no writes after one that failed,
    /// and a full disk has room again some day.
    db: Option<Database>,
}

fn words(e: impl std::fmt::Display) -> String {
    e.to_string()
}

impl Store {
    /// Opens the store of a position in a folder and counts this start. `now_us` is the wall clock.
    pub fn open(folder: &Path, position: usize, now_us: u64) -> Result<Opened, StoreFault> {
        let unusable = |e: std::io::Error| StoreFault::Unusable(format!("{}: {e}", folder.display()));
        std::fs::create_dir_all(folder).map_err(unusable)?;
        let path = folder.join(format!("daemon-{position}.redb"));
        match Store::try_open(&path) {
            Ok((store, boot, durable)) => Ok(Opened { store, boot, durable, moved_aside: None }),
            Err(Trouble::Taken) => Err(StoreFault::Taken(path)),
            Err(Trouble::Unusable(why)) => Err(StoreFault::Unusable(format!("{}: {why}", path.display()))),
            Err(Trouble::Damaged(why)) => {
                let aside = folder.join(format!("daemon-{position}.damaged-{now_us}"));
                std::fs::rename(&path, &aside).map_err(unusable)?;
                tracing::error!(moved_to = %aside.display(), "the state file is damaged: {why}");
                let again = Store::try_open(&path);
                let (store, _, _) =
                    again.map_err(|e| StoreFault::Unusable(format!("{}: {e:?}", path.display())))?;
                // The boot number must not repeat one that commands were fenced with: time stands in.
                let boot = now_us / 1_000_000;
                let durable = Book::safe_reading(now_us);
                store.put(boot, &durable, None).map_err(StoreFault::Unusable)?;
                Ok(Opened { store, boot, durable, moved_aside: Some(aside) })
            }
        }
    }

    fn try_open(path: &Path) -> Result<(Store, u64, Durable), Trouble> {
        // A damaged file may fail an assertion of the store's own: that is damage, too.
        let opened = catch_unwind(AssertUnwindSafe(|| {
            let db = Database::create(path).map_err(|e| match e {
                DatabaseError::DatabaseAlreadyOpen => Trouble::Taken,
                // A file that cannot be opened or made is not a damaged one.
                DatabaseError::Storage(redb::StorageError::Io(e))
                    if e.kind() != std::io::ErrorKind::InvalidData
                        && e.kind() != std::io::ErrorKind::UnexpectedEof =>
                {
                    Trouble::Unusable(e.to_string())
                }
                other => Trouble::Damaged(other.to_string()),
            })?;
            let store = Store { path: path.to_owned(), db: Some(db) };
            let (boot, durable) = store.get().map_err(Trouble::Damaged)?;
            Ok((store, boot, durable))
        }));
        let (store, boot, durable) =
            opened.unwrap_or_else(|_| Err(Trouble::Damaged("an assertion of the store failed".into())))?;
        store.put(boot + 1, &durable, None).map_err(Trouble::Unusable)?;
        Ok((store, boot + 1, durable))
    }

    fn db(&self) -> Result<&Database, String> {
        self.db.as_ref().ok_or_else(|| "the state file is not open".into())
    }

    fn get(&self) -> Result<(u64, Durable), String> {
        let read = self.db()?.begin_read().map_err(words)?;
        let table = match read.open_table(STATE) {
            Ok(table) => table,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok((0, Durable::default())),
            Err(e) => return Err(words(e)),
        };
        let boot = match table.get("boot").map_err(words)? {
            Some(bytes) => serde_json::from_slice(bytes.value()).map_err(words)?,
            None => 0,
        };
        let durable = match table.get("durable").map_err(words)? {
            Some(bytes) => serde_json::from_slice(bytes.value()).map_err(words)?,
            None => Durable::default(),
        };
        Ok((boot, durable))
    }

    fn put(&self, boot: u64, durable: &Durable, line: Option<&str>) -> Result<(), String> {
        let write = self.db()?.begin_write().map_err(words)?;
        {
            let mut table = write.open_table(STATE).map_err(words)?;
            if boot > 0 {
                let bytes = serde_json::to_vec(&boot).map_err(words)?;
                table.insert("boot", bytes.as_slice()).map_err(words)?;
            }
            let bytes = serde_json::to_vec(durable).map_err(words)?;
            table.insert("durable", bytes.as_slice()).map_err(words)?;
        }
        if let Some(line) = line {
            let mut audit = write.open_table(AUDIT).map_err(words)?;
            let next = audit.last().map_err(words)?.map_or(1, |last| last.0.value() + 1);
            audit.insert(next, line).map_err(words)?;
            if next > AUDIT_MOST {
                audit.remove(next - AUDIT_MOST).map_err(words)?;
            }
        }
        write.commit().map_err(words)
    }

    /// The audit log, oldest first.
    pub fn audit(&self) -> Result<Vec<String>, String> {
        let read = self.db()?.begin_read().map_err(words)?;
        let table = match read.open_table(AUDIT) {
            Ok(table) => table,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(Vec::new()),
            Err(e) => return Err(words(e)),
        };
        let lines = table.iter().map_err(words)?;
        lines.map(|line| line.map(|l| l.1.value().to_owned()).map_err(words)).collect()
    }
}

#[derive(Debug)]
enum Trouble {
    Taken,
    Unusable(String),
    Damaged(String),
}

impl Keeper for Store {
    fn keep(&mut self, durable: &Durable, line: &str) -> Result<(), String> {
        if self.db.is_none() {
            // An assertion of the store's own may fail on what a fault left behind.
            let opened = catch_unwind(AssertUnwindSafe(|| Database::create(&self.path)));
            self.db = Some(opened.map_err(|_| "the state file is damaged")?.map_err(words)?);
        }
        let kept = self.put(0, durable, Some(line));
        if kept.is_err() {
            self.db = None;
        }
        kept
    }
}
