//! The keeper's thread, and who has the store: this process or one that takes over.

use super::super::Proxy;
use super::{DaemonError, Keeper, Reopened};
use calloop::channel::Sender;
use std::sync::mpsc;
use violetseam_control::book::{Book, Durable};

/// A state to be stored with its line of the audit log.
pub(super) struct PersistRequest {
    pub(super) durable: Durable,
    pub(super) audit_line: String,
}

/// Whether the state that was sent last is stored.
pub(super) struct PersistResult {
    pub(super) result: Result<(), String>,
}

/// Starts the keeper's thread.
pub(super) fn spawn_keeper(
    mut keeper: Box<dyn Keeper>,
    persisted: Sender<PersistResult>,
) -> std::io::Result<mpsc::Sender<PersistRequest>> {
    let (to_keeper, requests) = mpsc::channel::<PersistRequest>();
    std::thread::Builder::new().name("keeper".into()).spawn(move || {
        while let Ok(request) = requests.recv() {
            let result = keeper.keep(&request.durable, &request.audit_line);
            if persisted.send(PersistResult { result }).is_err() {
                return;
            }
        }
    })?;
    Ok(to_keeper)
}

impl Proxy {
    /// Whether a command is being stored at this moment.
    pub(in super::super) fn is_persisting(&self) -> bool {
        self.control.as_ref().is_some_and(|control| control.in_progress.is_some())
    }

    /// Gives the store up, so that the process that takes over can open it.
    pub(in super::super) fn release_store(&mut self) {
        if let Some(control) = &mut self.control {
            control.to_keeper = None;
        }
    }

    /// Takes the store back after a takeover that failed.
    pub(in super::super) fn reopen_store(&mut self) {
        if let Err(error) = self.try_reopen_store() {
            tracing::error!("commands are refused from now on, the state is not to be had: {error}");
        }
    }

    fn try_reopen_store(&mut self) -> Result<(), DaemonError> {
        let Some(control) = &mut self.control else { return Ok(()) };
        let Reopened { boot, durable, keeper } = (control.reopen)()?;
        control.to_keeper = Some(spawn_keeper(keeper, control.persisted.clone())?);
        control.boot = boot;
        control.book = Book::new(durable);
        Ok(())
    }
}
