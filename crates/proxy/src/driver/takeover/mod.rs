//! Takeover: a new process gets the sockets of the old one and what its decision module has learned.
//!
//! On the control connection, after the question `"takeover"`:
//! 1. old: a JSON line [`Offer`](protocol::Offer), then the module (postcard, so many bytes), then messages
//!    of one byte that carry descriptors: listeners, the peers' socket, the listener for control over TCP, idle
//!    client connections;
//! 2. new: `ready` and a line end, once all its sockets are open; 3. old: `go` and a line end.
//!
//! From 1 on the old process accepts nothing, reads no client and starts no attempt, so that what it handed
//! over stays true: exposure, drains learned, keys and the budgets of servers that warm up bind the new one
//! as they bound it. If the new one goes away or takes too long before 2, the old one serves on. After 3 the
//! old one answers its requests in flight, closing each connection with its answer, and ends; those that it
//! has not sent to a server it rejects.
//!
//! - `protocol.rs`: what the two send each other
//! - `old_process.rs`: the process that hands over
//! - `new_process.rs`: the process that takes over
//! - `descriptor_passing.rs`: file descriptors in messages

mod descriptor_passing;
mod new_process;
mod old_process;
mod protocol;

pub use new_process::{Inherited, TakeoverError, inherit};
pub(super) use old_process::{HandOver, HandOverError};
