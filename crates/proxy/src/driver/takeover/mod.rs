//! Takeover: a new process takes over the sockets of the old process and what its decision module has
//! learned.
//!
//! The new process requests the takeover with `"takeover"` on the control connection. Then:
//! 1. The old process sends an [`Offer`](protocol::Offer) as one line of JSON, then the module (encoded with
//!    postcard, of the length that the offer states), then messages of one byte that carry file descriptors:
//!    the listeners, the peers' socket, the listener for control over TCP and the idle client connections.
//! 2. The new process sends `ready` and a line end once all its sockets are open.
//! 3. The old process sends `go` and a line end.
//!
//! From step 1 on the old process accepts no connections, reads from no client and starts no attempt, so that
//! what it handed over stays correct: exposure, drains that it has learned of, idempotency keys and the load
//! budgets of servers that warm up limit the new process exactly as they limited the old one. If the new
//! process closes the connection before step 2, or is not ready in time, the old process continues to serve.
//! After step 3 the old process completes its requests in flight, closes each connection with its response,
//! and ends. It rejects the requests that it has not sent to a server.
//!
//! - `protocol.rs`: the messages between the two processes
//! - `old_process.rs`: the process that hands over
//! - `new_process.rs`: the process that takes over
//! - `descriptor_passing.rs`: file descriptors in messages

mod descriptor_passing;
mod new_process;
mod old_process;
mod protocol;

pub use new_process::{Inherited, TakeoverError, inherit};
pub(super) use old_process::{HandOver, HandOverError};
