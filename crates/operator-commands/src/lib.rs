//! The commands that operators send to a daemon: their types, their wire format, and the decision whether a
//! command is applied. This crate does no I/O.
//!
//! - [`command`]: a command, its fence and its phase.
//! - [`wire`]: the requests and responses on the control socket.
//! - [`daemon_state`]: the snapshot of a daemon's state that all tools display.
//! - [`command_log`]: decides whether a command is applied, prepared or rejected.
//! - [`persisted_state`]: the part of the command log that survives a restart of the daemon.
//!
//! A command has an id, an issuer, an expiry and a fence. Applying a command is idempotent: a daemon applies
//! each id once, however often it arrives. A daemon rejects a command, and states the reason, if the command
//! has expired or if its fence names another build, stage or incarnation of the daemon. Wall-clock times are
//! microseconds since 1970. The command log reads no clock; its callers pass in the time.

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
