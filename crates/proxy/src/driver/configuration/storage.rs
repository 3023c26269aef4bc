//! The store of the distributed configuration, which is handed over to a process that takes over.

use super::super::Proxy;
use super::store::{ConfigurationStore, OpenError, OpenedStore};
use crate::distributed_routes::DistributedRoutes;
use std::path::PathBuf;
use std::time::Duration;
use violetseam::interface::Micros;
use violetseam_distribution::subscriber::Proposal;
use violetseam_distribution::{Change, Configuration};

/// How long a process that takes over waits for the old process to release the store.
const TAKEOVER_STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// The time between two attempts to open the store again.
const STORE_REOPEN_INTERVAL: Micros = 1_000_000;

/// The store of the proxy at one position, if this process has it.
pub(super) struct Storage {
    folder: PathBuf,
    position: usize,
    /// The store; `None` while a process that takes over has it, and while it could not be opened again.
    store: Option<ConfigurationStore>,
    /// The time of the next attempt to open the store again.
    reopen_at: Micros,
}

impl Storage {
    /// Opens the store, and returns it with the configuration in it. A process that takes over waits until
    /// the old process has released the store.
    ///
    /// # Errors
    ///
    /// Returns an error if the store cannot be opened.
    pub(super) fn open(
        folder: PathBuf,
        position: usize,
        takes_over: bool,
    ) -> Result<(Storage, Option<Configuration>), OpenError> {
        let max_wait = if takes_over { TAKEOVER_STORE_TIMEOUT } else { Duration::ZERO };
        let OpenedStore { store, configuration } = ConfigurationStore::open(&folder, position, max_wait)?;
        Ok((Storage { folder, position, store: Some(store), reopen_at: 0 }, configuration))
    }

    /// Stores the changes that result in this configuration.
    pub(super) fn apply(&mut self, configuration: &Configuration, changes: Vec<Change>) {
        if let Some(store) = &mut self.store {
            store.apply(configuration, changes);
        }
    }

    /// Replaces the stored configuration.
    pub(super) fn replace(&mut self, configuration: &Configuration) {
        if let Some(store) = &mut self.store {
            store.replace(configuration);
        }
    }

    /// Whether the complete configuration must be stored, because the store missed changes or was just opened
    /// again.
    fn take_needs_snapshot(&mut self, now: Micros) -> bool {
        match &self.store {
            Some(store) => store.take_missed_writes(),
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
            Err(error) => tracing::warn!("the configuration store could not be opened again: {error}"),
        }
    }
}

/// Whether a stored configuration is valid with the present settings, which may have changed since it was
/// stored.
pub(super) fn is_usable(routes: &DistributedRoutes, configuration: &Configuration) -> bool {
    match routes.check(Proposal::Replacement(configuration)) {
        Ok(()) => true,
        Err(error) => {
            let version = configuration.version();
            tracing::warn!(%version, "the stored configuration is not valid with the settings: {error}");
            false
        }
    }
}

impl Proxy {
    /// Releases the store of the configuration, so that a process that takes over can open it.
    pub(in super::super) fn release_configuration(&mut self) {
        if let Some(subscription) = &mut self.subscription {
            subscription.storage.store = None;
        }
    }

    /// Completes the queued writes of the configuration before the process ends.
    pub(in super::super) fn finish_configuration(&mut self) {
        let store = self.subscription.as_mut().and_then(|subscription| subscription.storage.store.take());
        if let Some(store) = store {
            store.finish();
        }
    }

    /// Stores the complete configuration if the store missed changes, and opens the store again after a
    /// takeover that failed.
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
