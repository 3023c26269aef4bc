//! The durable state of a daemon: boot number, operator state and audit log, one file for each identity.
//!
//! The file is a `redb` database: its transactions survive a kill at any byte, and its lock keeps a second
//! process with the same identity out.

mod database;
mod error;
mod store;

pub use error::{DatabaseError, StoreError};
pub use store::{OpenedStore, Store};
