//! Connections on a `calloop` event loop.
//!
//! - `socket`: a non-blocking stream (TCP or Unix-domain) with an interest that can change while it is
//!   registered, and a buffer of the bytes that are still to be written
//! - `tcp`: opening listeners and connections
//! - `listener`: a listener that can pause accepting, and accepting from it
//! - `idle_connections`: the idle connections of a pool
//! - `timers`: the timers of a driver
//! - `log_rate_limit`: a rate limit on log lines

mod idle_connections;
mod listener;
pub mod log_rate_limit;
mod socket;
mod tcp;
pub mod timers;

pub use idle_connections::IdleConnections;
pub use listener::{AcceptOutcome, Listener, accept};
pub use socket::{ReadOutcome, Socket, WRITE_BUFFER_HIGH_WATERMARK};
pub use tcp::{connect, listen};
