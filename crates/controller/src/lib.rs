//! The release controller as a daemon around the decisions of `violetseam-release`.
//!
//! - `settings.rs`: the controller's settings script
//! - `journal.rs`: terms and the durable journal of events
//! - `writer_thread.rs`: appends to the journal on its own thread, many events per fsync
//! - `control.rs`: operator requests on the control socket
//! - `serve.rs`: the event loop: leadership, event batches, HTTP requests and watches
//!
//! Nothing is announced or acknowledged before it is durable, and nothing durable is announced by a controller
//! that another one has replaced. `docs/controller.md` has the argument.

pub mod control;
pub mod journal;
pub mod serve;
pub mod settings;
mod writer_thread;

use std::time::{SystemTime, UNIX_EPOCH};

/// Microseconds since 1970.
fn wall_clock() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}
