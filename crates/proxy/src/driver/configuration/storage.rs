//! Who has the store of the distributed configuration: this process, or one that takes over.

use super::super::Proxy;
use super::store::{ConfigurationStore, OpenError, OpenedStore};
use crate::distributed_routes::DistributedRoutes;
use std::path::PathBuf;
use std::time::Duration;
use violetseam::interface::Micros;
use violetseam_distribution::subscriber::Proposal;
use violetseam_distribution::{Change, Configuration};

/// How long a process that takes over waits for the one before to release the store.
const TAKEOVER_STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Between two attempts to open a store that could not be opened again.
const STORE_REOPEN_INTERVAL: Micros = 1_000_000;

/// The store of one position, while this process has it.
pub(super) struct Storage {
    folder: PathBuf,
    position: usize,
    /// None while a process that takes over has it, and after it could not be opened again.
    store: Option<ConfigurationStore>,
    /// When the store may be opened again.
    reopen_at: Micros,
}

impl Storage {
    /// Opens the store; also the configuration that it has. A process that takes over waits for it.
    ///
    /// # Errors
    ///
    /// If the store cannot be opened.
    pub(super) fn open(
        folder: PathBuf,
        position: usize,
        takes_over: bool,
    ) -> Result<(Storage, Option<Configuration>), OpenError> {
        let wait = if takes_over { TAKEOVER_STORE_TIMEOUT } else { Duration::ZERO };
        let OpenedStore { store, configuration } = ConfigurationStore::open(&folder, position, wait)?;
        Ok((Storage { folder, position, store: Some(store), reopen_at: 0 }, configuration))
    }

    /// Stores changes that lead to this configuration.
    pub(super) fn apply(&mut self, configuration: &Configuration, changes: Vec<Change>) {
        if let Some(store) = &mut self.store {
            store.apply(configuration, changes);
        }
    }

    /// Stores a configuration in place of everything.
    pub(super) fn replace(&mut self, configuration: &Configuration) {
        if let Some(store) = &mut self.store {
            store.replace(configuration);
        }
    }

    /// Whether the complete configuration must be stored, because the store missed changes or was just opened
    /// again.
    fn take_needs_snapshot(&mut self, now: Micros) -> bool {
        match &self.store {
            Some(store) => store.take_is_behind(),
            None if self.reopen_at > now => false,
            None => {
                self.reopen_at = now + STORE_REOPEN_INTERVAL;
                self.reopen();
                self.store.is_some()
            }
        }
    }

    fn reopen(&mut self) {
        match ConfigurationStore::open(&self.folder, self.position, Duration::ZERO) {
            Ok(opened) => self.store = Some(opened.store),
            Err(error) => tracing::warn!("the configuration is not stored: {error}"),
        }
    }
}

/// Whether a stored configuration can be in force with these settings, which may have changed since.
pub(super) fn is_usable(routes: &DistributedRoutes, configuration: &Configuration) -> bool {
    match routes.check(Proposal::Replacement(configuration)) {
        Ok(()) => true,
        Err(error) => {
            let version = configuration.version();
            tracing::warn!(%version, "the stored configuration is not used: {error}");
            false
        }
    }
}

impl Proxy {
    /// Releases the stored configuration to a process that takes over.
    pub(in super::super) fn release_configuration(&mut self) {
        if let Some(subscription) = &mut self.subscription {
            subscription.storage.store = None;
        }
    }

    /// Writes what waits for the disk, at the process's end.
    pub(in super::super) fn finish_configuration(&mut self) {
        let store = self.subscription.as_mut().and_then(|subscription| subscription.storage.store.take());
        if let Some(store) = store {
            store.finish();
        }
    }

    /// Gives the store what it missed, and opens it again after a take-over that failed.
    pub(in super::super) fn maintain_store(&mut self) {
        if self.is_handing_over() || self.has_handed_over() {
            return;
        }
        let now = self.now();
        let Some(subscription) = &mut self.subscription else { return };
        if !subscription.storage.take_needs_snapshot(now) {
            return;
        }
        if let Some(configuration) = subscription.subscriber.configuration() {
            subscription.storage.replace(configuration);
        }
    }
}
