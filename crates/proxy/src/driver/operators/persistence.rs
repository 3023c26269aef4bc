//! The state writer's thread, and who has the store: this process or one that takes over.

use super::super::Proxy;
use super::{DaemonError, Reopened, StateWriter, StateWriterError};
use calloop::channel::Sender;
use std::sync::mpsc;
use violetseam_operator_commands::{CommandLog, PersistedState};

/// A state to be stored with its line of the audit log.
pub(super) struct PersistRequest {
    pub(super) state: PersistedState,
    pub(super) audit_line: String,
}

/// Whether the state that was sent last is stored.
pub(super) struct PersistResult {
    pub(super) result: Result<(), StateWriterError>,
}

/// Starts the state writer's thread.
pub(super) fn spawn_state_writer(
    mut writer: Box<dyn StateWriter>,
    persisted: Sender<PersistResult>,
) -> std::io::Result<mpsc::Sender<PersistRequest>> {
    let (to_state_writer, requests) = mpsc::channel::<PersistRequest>();
    std::thread::Builder::new().name("keeper".into()).spawn(move || {
        while let Ok(request) = requests.recv() {
            let result = writer.write(&request.state, &request.audit_line);
            if persisted.send(PersistResult { result }).is_err() {
                return;
            }
        }
    })?;
    Ok(to_state_writer)
}

impl Proxy {
    /// Whether a command is being stored at this moment.
    pub(in super::super) fn is_persisting(&self) -> bool {
        self.control_server.as_ref().is_some_and(|control| control.in_progress.is_some())
    }

    /// Gives the store up, so that the process that takes over can open it.
    pub(in super::super) fn release_store(&mut self) {
        if let Some(control) = &mut self.control_server {
            control.to_state_writer = None;
        }
    }

    /// Takes the store back after a takeover that failed.
    pub(in super::super) fn reopen_store(&mut self) {
        if let Err(error) = self.try_reopen_store() {
            tracing::error!("commands are refused from now on, the state is not to be had: {error}");
        }
    }

    fn try_reopen_store(&mut self) -> Result<(), DaemonError> {
        let Some(control) = &mut self.control_server else { return Ok(()) };
        let Reopened { boot, state, state_writer } = (control.reopen)()?;
        control.to_state_writer = Some(spawn_state_writer(state_writer, control.persisted.clone())?);
        control.boot = boot;
        control.command_log = CommandLog::new(state);
        Ok(())
    }
}
