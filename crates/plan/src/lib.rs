//! Release plans as data: waves, windows, freezes, holds, approvals and operators' powers, read from a
//! reviewable script and checked for contradictions before anything runs.
//!
//! - `plan.rs`: the plan
//! - `sections.rs`: the sections as a script writes them
//! - `read.rs`, `build.rs`, `schedule_text.rs`: from a script to a plan
//! - `calendar.rs`: when the windows are open, by time zone, over changes of the clocks
//! - `check/`: everything that can be proved wrong about a plan, each with its line
//! - `diff.rs`: what differs between two plans
//!
//! Nothing here has a clock or does I/O beyond reading the script. Moments are microseconds since 1970 UTC,
//! spans are microseconds. `docs/plans.md` is the reference.

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

/// Microseconds: of a span, or since 1970 UTC.
pub type Micros = u64;
