//! The errors on opening, reading and writing a store.

use std::path::PathBuf;

/// Why a store was not opened.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Another process has the file open, so a second daemon was started with the same identity.
    #[error("{}: another daemon runs under this identity", path.display())]
    InUse {
        /// The state file.
        path: PathBuf,
    },
    /// The folder cannot be created, or a damaged file in it cannot be moved.
    #[error("{}: {source}", folder.display())]
    Folder {
        /// The folder of the state files.
        folder: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The state file cannot be used, for a reason that is not damage or that remains after a damaged file
    /// was replaced.
    #[error("{}: {source}", path.display())]
    Unusable {
        /// The state file.
        path: PathBuf,
        /// The cause.
        source: DatabaseError,
    },
}

/// Why an operation on the database failed.
#[derive(Debug, thiserror::Error)]
pub enum DatabaseError {
    /// The file was closed after an earlier write failed, and is not open again yet.
    #[error("the state file is not open")]
    NotOpen,
    /// The database library panicked while it opened or read the file.
    #[error("the database library panicked while it opened or read the file")]
    Panicked,
    /// The database library panicked while it opened the file again after a failed write.
    #[error("the state file is damaged")]
    PanickedOnReopen,
    /// The file cannot be opened or created.
    #[error(transparent)]
    Io(std::io::Error),
    /// The file is not a valid database.
    #[error(transparent)]
    Open(#[from] redb::DatabaseError),
    /// A transaction cannot begin.
    #[error(transparent)]
    Transaction(#[from] redb::TransactionError),
    /// A table cannot be opened.
    #[error(transparent)]
    Table(#[from] redb::TableError),
    /// A table cannot be read or written.
    #[error(transparent)]
    Storage(#[from] redb::StorageError),
    /// A transaction cannot be committed.
    #[error(transparent)]
    Commit(#[from] redb::CommitError),
    /// A stored value is not the JSON of its type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}
