//! Connections on a `calloop` event loop.
//!
//! - `socket`: a non-blocking stream (TCP or Unix-domain) with a write buffer, whose interest can change
//!   while it is registered
//! - `tcp`: opens listeners and connections
//! - `listener`: a listener that can stop accepting for a while, and accepting connections from it
//! - `memory`: accounts for the memory that connections hold
//! - `idle_connections`: tracks the idle connections of a pool
//! - `timers`: the timers of a driver
//! - `turn`: bounds what one client may take of one turn of the event loop
//! - `log_rate_limit`: limits the rate of log lines

mod idle_connections;
mod listener;
pub mod log_rate_limit;
pub mod memory;
mod socket;
mod tcp;
pub mod timers;
mod turn;

pub use idle_connections::IdleConnections;
pub use listener::{AcceptOutcome, Listener, accept};
pub use socket::{PeerState, ReadOutcome, Socket, WRITE_BUFFER_HIGH_WATERMARK};
pub use tcp::{connect, listen};
pub use turn::TurnUsage;
