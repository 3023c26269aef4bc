//! Release plans as data: waves, windows, freezes, holds, approvals and the permissions of operators. A plan
//! is read from a script, which can be reviewed, and is validated before the release starts.
//!
//! - `plan.rs`: the plan
//! - `sections.rs`: the sections of a script
//! - `read.rs`, `build.rs`, `schedule_text.rs`: conversion of a script to a plan
//! - `calendar.rs`: the open times of windows in their time zones, including daylight saving time
//! - `check/`: validation of a plan; each error has the line that it refers to
//! - `diff.rs`: the differences between two plans
//!
//! This crate does not read a clock, and does no I/O except for reading the script. Points in time are
//! microseconds since 1970 UTC, durations are microseconds. `docs/plans.md` is the reference.

mod build;
mod calendar;
mod check;
mod diff;
mod duration_text;
mod plan;
mod read;
mod schedule_text;
mod script_errors;
mod sections;

pub use calendar::{Calendar, Freeze, OpenInterval, Window, moment_of};
pub use diff::diff;
pub use plan::{Downtime, Fleet, Gate, Hold, OnClose, Override, Plan, Power, SignOff, Wave};
pub use read::{read_file, read_text};
pub use violetseam_starlark_config::ScriptError;

/// A duration in microseconds, or a point in time in microseconds since 1970 UTC.
pub type Micros = u64;
