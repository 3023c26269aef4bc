//! The release controller's daemon. The decisions themselves are made in `violetseam-release`.
//!
//! - `settings.rs`: the controller's settings script
//! - `journal.rs`: leadership terms and the durable journal of events
//! - `writer_thread.rs`: the thread that appends to the journal, many events per fsync
//! - `control.rs`: operator requests on the control socket
//! - `serve.rs`: the event loop: leadership, event batches, HTTP requests and watches
//!
//! The controller announces and acknowledges nothing before it is durable. A controller that another one has
//! replaced announces nothing that its successor does not know. `docs/controller.md` explains why this holds.

pub mod control;
pub mod journal;
pub mod serve;
pub mod settings;
mod writer_thread;

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the wall clock, in microseconds since 1970-01-01 UTC.
fn wall_clock() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}
