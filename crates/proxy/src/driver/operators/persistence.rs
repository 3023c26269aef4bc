//! The state writer's thread, and the hand-over of the store to a process that takes over.

use super::super::Proxy;
use super::{DaemonError, Reopened, StateWriter, StateWriterError};
use calloop::channel::Sender;
use std::sync::mpsc;
use violetseam_operator_commands::{CommandLog, PersistedState};

/// A request to store a state and to append a line to the audit log.
pub(super) struct PersistRequest {
    pub(super) state: PersistedState,
    pub(super) audit_line: String,
}

/// Whether the state of the latest [`PersistRequest`] was stored.
pub(super) struct PersistResult {
    pub(super) result: Result<(), StateWriterError>,
}

/// Starts the state writer's thread, which sends one result for each request. Returns the channel for
/// requests.
pub(super) fn spawn_state_writer(
    mut writer: Box<dyn StateWriter>,
    persist_results: Sender<PersistResult>,
) -> std::io::Result<mpsc::Sender<PersistRequest>> {
    let (persist_requests, received_requests) = mpsc::channel::<PersistRequest>();
    std::thread::Builder::new().name("keeper".into()).spawn(move || {
        while let Ok(request) = received_requests.recv() {
            let result = writer.write(&request.state, &request.audit_line);
            if persist_results.send(PersistResult { result }).is_err() {
                return;
            }
        }
    })?;
    Ok(persist_requests)
}

impl Proxy {
    /// Whether a command is being stored.
    pub(in super::super) fn is_persisting(&self) -> bool {
        self.control_server.as_ref().is_some_and(|control| control.command_in_progress.is_some())
    }

    /// Releases the store, so that the process that takes over can open it.
    pub(in super::super) fn release_store(&mut self) {
        if let Some(control) = &mut self.control_server {
            control.persist_requests = None;
        }
    }

    /// Opens the store again after a takeover that failed.
    pub(in super::super) fn reopen_store(&mut self) {
        if let Err(error) = self.try_reopen_store() {
            tracing::error!("commands are rejected: the state store could not be opened again: {error}");
        }
    }

    fn try_reopen_store(&mut self) -> Result<(), DaemonError> {
        let Some(control) = &mut self.control_server else { return Ok(()) };
        let Reopened { boot, state, state_writer } = (control.reopen)()?;
        control.persist_requests = Some(spawn_state_writer(state_writer, control.persist_results.clone())?);
        control.boot = boot;
        control.command_log = CommandLog::new(state);
        Ok(())
    }
}
