//! Operators' commands to a daemon, without I/O.
//!
//! - [`command`]: a command, its fence and its phase.
//! - [`wire`]: requests and responses on the control socket.
//! - [`daemon_state`]: the snapshot of a daemon's state that every tool shows.
//! - [`command_log`]: decides whether a command is applied, prepared or rejected.
//! - [`persisted_state`]: what the command log must find again after a restart.
//!
//! A command has an id, an issuer, an expiry and a fence. It is applied once however often it arrives. A
//! command for another build, stage or incarnation of the daemon, or past its expiry, is rejected with the
//! reason. Wall-clock times are microseconds since 1970; the command log has no clock and is given the time.

pub mod command;
pub mod command_log;
pub mod daemon_state;
pub mod persisted_state;
mod release_stage;
pub mod wire;

pub use command::{Action, Command, Fence, Phase};
pub use command_log::{Change, CommandLog, DaemonContext, Decision};
pub use daemon_state::DaemonState;
pub use persisted_state::PersistedState;
pub use release_stage::ReleaseStage;
pub use wire::{Reply, Request, Response};
