//! Commands, one after the other: decided on, stored, then applied and answered.

use super::super::{ConnectionId, Proxy};
use super::persistence::{PersistRequest, PersistResult};
use super::reload::ReloadError;
use super::{DaemonError, wall_clock};
use violetseam::interface::OperatorCommand;
use violetseam_operator_commands::wire::{Reply, Response};
use violetseam_operator_commands::{Change, Command, CommandLog, DaemonContext, Decision, ReleaseStage};

/// Commands that wait to be stored.
const MAX_QUEUED_COMMANDS: usize = 256;

/// A command that waits for its turn.
pub(super) struct QueuedCommand {
    pub(super) connection: ConnectionId,
    pub(super) command: Command,
}

/// A command that is being stored, with what follows from it.
pub(super) struct CommandInProgress {
    queued: QueuedCommand,
    log_after: CommandLog,
    reply: Reply,
    change: Option<Change>,
}

/// Why a command that is stored could not be applied.
#[derive(Debug, thiserror::Error)]
enum ApplyError {
    #[error(transparent)]
    Undrain(#[from] UndrainError),
    #[error("{0}")]
    SetLog(#[source] DaemonError),
    #[error(transparent)]
    Reload(#[from] ReloadError),
}

/// Why a drain that an operator asked for could not be taken back.
#[derive(Debug, thiserror::Error)]
pub(in super::super) enum UndrainError {
    #[error("this daemon is on its way out")]
    Ending,
    #[error("{0}")]
    Bind(#[from] std::io::Error),
}

impl Proxy {
    /// A pause that outlived the process before binds this one from its first event on.
    pub(in super::super) fn restore_pause(&mut self) {
        let now = self.now();
        if self.control_server.as_ref().is_some_and(|control| control.command_log.pause().is_some()) {
            tracing::warn!("a pause from before this start stands");
            self.engine.on_operator_command(now, OperatorCommand::Pause);
        }
    }

    /// Queues a command, or refuses it where too many wait.
    pub(super) fn queue_command(&mut self, queued: QueuedCommand) {
        let Some(control) = &mut self.control_server else { return };
        if control.queue.len() >= MAX_QUEUED_COMMANDS {
            return self.reject_command(queued.connection.key, "too many commands wait");
        }
        control.queue.push_back(queued);
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

    /// Decides on the next command and has it stored, unless one is being stored: commands have one order.
    fn start_next_command(&mut self) {
        let context = self.daemon_context();
        let Some(control) = self.control_server.as_mut().filter(|control| control.in_progress.is_none())
        else {
            return;
        };
        let Some(queued) = control.queue.pop_front() else { return };
        let now = wall_clock();
        let mut log_after = control.command_log.clone();
        let Decision { reply, change } = log_after.submit(now, context, &queued.command);
        let audit_line = audit_line(now, &queued.command, &reply);
        let request = PersistRequest { state: log_after.persisted().clone(), audit_line };
        let is_sent = control
            .to_state_writer
            .as_ref()
            .is_some_and(|to_state_writer| to_state_writer.send(request).is_ok());
        if !is_sent {
            let reason = "the state is with another process, or its keeper has failed";
            return self.reject_command(queued.connection.key, reason);
        }
        control.in_progress = Some(CommandInProgress { queued, log_after, reply, change });
    }

    /// A command is stored, and now in force; or it is not stored, refused, and nothing has changed.
    pub(super) fn on_persisted(&mut self, persisted: PersistResult) {
        let Some(control) = &mut self.control_server else { return };
        let Some(in_progress) = control.in_progress.take() else { return };
        let CommandInProgress { queued, log_after, reply, change } = in_progress;
        let reply = match persisted.result {
            Ok(()) => {
                control.command_log = log_after;
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

    /// Ends a pause that has expired, publishes a control socket that could not be published before, and logs
    /// the connections that were rejected.
    pub(in super::super) fn maintain_control(&mut self) {
        let context = self.daemon_context();
        let Some(control) = self.control_server.as_mut().filter(|control| control.in_progress.is_none())
        else {
            return;
        };
        if control.rejected_connections > 0 {
            tracing::warn!(connections = control.rejected_connections, "operators' connections turned away");
            control.rejected_connections = 0;
        }
        if control.unpublished_path.is_some()
            && let Err(error) = self.publish_control()
        {
            tracing::error!("the control socket cannot be moved to its path: {error}");
        }
        let Some(control) = self.control_server.as_mut() else { return };
        if control.command_log.expire(wall_clock(), context).is_some() {
            // Stored with the next command; until then a restart finds the pause expired, too.
            tracing::info!(target: "operator", "the pause has ended");
            let now = self.now();
            self.engine.on_operator_command(now, OperatorCommand::Resume);
        }
    }
}

fn rejected_reply(error: ApplyError) -> Reply {
    Reply::Rejected { reason: error.to_string() }
}

/// A line of the audit log.
fn audit_line(now: u64, command: &Command, reply: &Reply) -> String {
    let value = serde_json::json!({"at_us": now, "command": command, "reply": reply});
    value.to_string()
}
