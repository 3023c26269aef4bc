//! The fleet tool: sends a request or a command to many daemons concurrently, with a timeout for each daemon,
//! and reports for each daemon whether it applied the command, rejected it or did not answer.
//!
//! - [`call`]: sends one request to one daemon.
//! - [`Fleet`]: sends requests and commands to many daemons.
//! - [`report`]: formats the results as tables and as JSON.

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
