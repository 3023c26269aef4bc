//! The fleet tool's work: one request or command to many daemons at once, each with a timeout of its own, and
//! a report that says of each daemon whether it applied the command, rejected it or did not answer.
//!
//! - [`call`]: one request to one daemon.
//! - [`Fleet`]: requests and commands to many daemons.
//! - [`report`]: the results as tables and as JSON.

pub mod call;
mod deadline_stream;
mod fleet;
pub mod report;
mod select;

pub use call::{CallError, CallResult};
pub use fleet::{
    CommandOptions, CommandReport, DaemonOutcome, DaemonReading, Delivery, Fleet, Outcome, wall_clock,
};
pub use select::{UnknownNameError, select_members};
