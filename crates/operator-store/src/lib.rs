//! The durable state of a daemon: its boot number, the state of its operator commands and its audit log. Each
//! identity has one file.
//!
//! The file is a `redb` database. Its transactions are atomic even if the process is killed at any byte of a
//! write, and its lock prevents a second process from using the same identity.

mod database;
mod error;
mod store;

pub use error::{DatabaseError, StoreError};
pub use store::{OpenedStore, Store};
