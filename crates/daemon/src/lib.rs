//! What makes a proxy a daemon: state that outlives the process, an audit log, and one process for each
//! identity. The store is `redb`: one file, transactions that survive a kill at any byte, and a lock.

mod store;

pub use store::{Opened, Store, StoreFault};
