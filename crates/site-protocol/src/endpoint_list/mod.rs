//! The endpoint list, which names the servers of a site: the messages that update it, and a proxy's local
//! copy.

mod local_copy;
mod update;

pub use local_copy::{AppliedUpdate, EndpointList};
pub use update::{Endpoint, EndpointState, ListUpdate, UpdateKind};

/// The maximum length of a line, in bytes.
pub const MAX_LINE_BYTES: usize = 4 << 20;
/// The maximum number of servers in an update.
pub const MAX_SERVERS: usize = 20_000;
