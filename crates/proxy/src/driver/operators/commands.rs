//! Operators' commands. They are executed one after the other: each is decided on, stored, applied and
//! answered.

use super::super::{ConnectionId, Proxy};
use super::persistence::{PersistRequest, PersistResult};
use super::reload::ReloadError;
use super::{DaemonError, wall_clock};
use violetseam::interface::OperatorCommand;
use violetseam_operator_commands::wire::{Reply, Response};
use violetseam_operator_commands::{Change, Command, CommandLog, DaemonContext, Decision, ReleaseStage};

/// How many commands may wait for the command that is being stored.
const MAX_QUEUED_COMMANDS: usize = 256;

/// A command that has been received and not yet executed.
pub(super) struct QueuedCommand {
    pub(super) connection: ConnectionId,
    pub(super) command: Command,
}

/// A command that is being stored, with what takes effect once it is stored.
pub(super) struct CommandInProgress {
    queued: QueuedCommand,
    next_command_log: CommandLog,
    reply: Reply,
    change: Option<Change>,
}

/// Why a command that was stored could not be applied.
#[derive(Debug, thiserror::Error)]
enum ApplyError {
    #[error(transparent)]
    Undrain(#[from] UndrainError),
    #[error("{0}")]
    SetLog(#[source] DaemonError),
    #[error(transparent)]
    Reload(#[from] ReloadError),
}

/// Why an operator's drain could not be cancelled.
#[derive(Debug, thiserror::Error)]
pub(in super::super) enum UndrainError {
    #[error("this daemon is on its way out")]
    Ending,
    #[error("{0}")]
    Bind(#[from] std::io::Error),
}

impl Proxy {
    /// Applies a pause that an earlier process stored, so that it binds this process from the start.
    pub(in super::super) fn restore_pause(&mut self) {
        let now = self.now();
        if self.control_server.as_ref().is_some_and(|control| control.command_log.pause().is_some()) {
            tracing::warn!("a pause that was set before this process started is still in force");
            self.engine.on_operator_command(now, OperatorCommand::Pause);
        }
    }

    /// Queues a command, or rejects it if too many commands are queued.
    pub(super) fn queue_command(&mut self, queued: QueuedCommand) {
        let Some(control) = &mut self.control_server else { return };
        if control.queued_commands.len() >= MAX_QUEUED_COMMANDS {
            return self.reject_command(queued.connection.key, "too many commands wait");
        }
        control.queued_commands.push_back(queued);
        self.start_next_command();
    }

    fn reject_command(&mut self, key: usize, reason: &str) {
        let reason = reason.to_owned();
        self.send_response(key, &Response::Command(Reply::Rejected { reason }));
    }

    fn daemon_context(&self) -> DaemonContext {
        let boot = self.control_server.as_ref().map_or(0, |control| control.boot);
        DaemonContext {
            boot,
            release: self
                .engine
                .release()
                .map(|release| ReleaseStage { build: release.build, stage: release.stage }),
        }
    }

    /// Decides on the next queued command and requests that it be stored. Does nothing while a command is
    /// being stored, so that commands are decided on and applied in one order.
    fn start_next_command(&mut self) {
        let context = self.daemon_context();
        let Some(control) =
            self.control_server.as_mut().filter(|control| control.command_in_progress.is_none())
        else {
            return;
        };
        let Some(queued) = control.queued_commands.pop_front() else { return };
        let now = wall_clock();
        let mut next_command_log = control.command_log.clone();
        let Decision { reply, change } = next_command_log.submit(now, context, &queued.command);
        let audit_line = audit_line(now, &queued.command, &reply);
        let request = PersistRequest { state: next_command_log.persisted().clone(), audit_line };
        let is_sent = control
            .persist_requests
            .as_ref()
            .is_some_and(|persist_requests| persist_requests.send(request).is_ok());
        if !is_sent {
            let reason = "the state is with another process, or its keeper has failed";
            return self.reject_command(queued.connection.key, reason);
        }
        control.command_in_progress = Some(CommandInProgress { queued, next_command_log, reply, change });
    }

    /// Handles the result of storing a command. A command that was stored is applied; one that could not be
    /// stored is rejected and changes nothing.
    pub(super) fn on_persisted(&mut self, persist_result: PersistResult) {
        let Some(control) = &mut self.control_server else { return };
        let Some(completed) = control.command_in_progress.take() else { return };
        let CommandInProgress { queued, next_command_log, reply, change } = completed;
        let reply = match persist_result.result {
            Ok(()) => {
                control.command_log = next_command_log;
                self.apply_change(change).map_or_else(rejected_reply, |()| reply)
            }
            Err(error) => Reply::Rejected { reason: format!("the daemon's state cannot be kept: {error}") },
        };
        let Command { id, issuer, action, .. } = &queued.command;
        tracing::info!(target: "operator", id, issuer, act = action.name(), ?reply, "command");
        if self.control_server.as_ref().is_some_and(|control| control.is_open(queued.connection)) {
            self.send_response(queued.connection.key, &Response::Command(reply));
        }
        self.start_next_command();
    }

    fn apply_change(&mut self, change: Option<Change>) -> Result<(), ApplyError> {
        let Some(change) = change else { return Ok(()) };
        let now = self.now();
        match change {
            Change::Pause => self.engine.on_operator_command(now, OperatorCommand::Pause),
            Change::Resume => self.engine.on_operator_command(now, OperatorCommand::Resume),
            Change::RollBack => self.engine.on_operator_command(now, OperatorCommand::RollBack),
            Change::Drain => self.start_drain(),
            Change::Undrain => self.cancel_drain()?,
            Change::LogLevel(filter) => {
                if let Some(control) = &mut self.control_server {
                    (control.set_log)(&filter).map_err(ApplyError::SetLog)?;
                }
            }
            Change::Reload => self.reload()?,
        }
        Ok(())
    }

    /// Ends a pause that has expired, tries again to publish a control socket that could not be published
    /// before, and logs how many connections were rejected.
    pub(in super::super) fn maintain_control(&mut self) {
        let context = self.daemon_context();
        let Some(control) =
            self.control_server.as_mut().filter(|control| control.command_in_progress.is_none())
        else {
            return;
        };
        if control.rejected_connections > 0 {
            tracing::warn!(
                connections = control.rejected_connections,
                "operators' connections rejected: the limit is reached or they could not be set up"
            );
            control.rejected_connections = 0;
        }
        if control.unpublished_path.is_some()
            && let Err(error) = self.publish_control()
        {
            tracing::error!("the control socket could not be renamed to its path: {error}");
        }
        let Some(control) = self.control_server.as_mut() else { return };
        if control.command_log.expire(wall_clock(), context).is_some() {
            // The end of the pause is stored with the next command. Until then a process that restarts finds
            // the pause in the store, but expired.
            tracing::info!(target: "operator", "the pause has expired");
            let now = self.now();
            self.engine.on_operator_command(now, OperatorCommand::Resume);
        }
    }
}

fn rejected_reply(error: ApplyError) -> Reply {
    Reply::Rejected { reason: error.to_string() }
}

/// Returns the line of the audit log for a command and its reply.
fn audit_line(now: u64, command: &Command, reply: &Reply) -> String {
    let value = serde_json::json!({"at_us": now, "command": command, "reply": reply});
    value.to_string()
}
