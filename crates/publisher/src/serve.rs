//! Runs a publisher: restores its state, listens, and dispatches events until a signal ends it.

use crate::server::Server;
use crate::service::{DurabilityError, Service};
use crate::settings::Settings;
use crate::store::{Store, StoreError, term_from_wall_clock};
use calloop::EventLoop;
use calloop::signals::{Signal, Signals};
use rustix::process::{Resource as Limit, Rlimit, getrlimit, setrlimit};
use std::net::SocketAddr;
use thiserror::Error;
use violetseam_distribution::publisher::{LogLimits, Publisher, TermNotHigher};
use violetseam_distribution::{Term, Version};

/// The maximum number of connections that the kernel queues until they are accepted.
const LISTEN_BACKLOG: i32 = 4_096;
/// The number of file descriptors that are kept for other uses than connections: the event loop, the store
/// and the listener.
const RESERVED_DESCRIPTORS: u64 = 64;

/// Why a publisher could not start, or why it ended without a signal.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The event loop or one of its sources failed.
    #[error("the event loop failed: {0}")]
    EventLoop(#[from] calloop::Error),
    /// The limit of open files cannot be raised.
    #[error("cannot raise the limit of open files: {0}")]
    DescriptorLimit(#[source] rustix::io::Errno),
    /// The store cannot be used.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The term in the settings is lower than the stored one, or out of range.
    #[error("--term {term}: {source}")]
    Term {
        /// The term in the settings.
        term: Term,
        /// The stored term.
        source: TermNotHigher,
    },
    /// The publisher cannot listen on its address.
    #[error("cannot listen on the publisher's address: {0}")]
    Listen(#[source] std::io::Error),
    /// An update is not known to be durable.
    #[error(transparent)]
    NotDurable(#[from] DurabilityError),
}

/// Runs a publisher until SIGTERM or SIGINT. As soon as it listens, `ready` is called with its address and
/// the version from which it continues.
///
/// # Errors
/// The publisher cannot start because of its store, term, address or event loop; or it is not known whether
/// an update is durable.
pub fn serve(settings: Settings, ready: impl FnOnce(SocketAddr, Version)) -> Result<(), ServeError> {
    let mut event_loop: EventLoop<'static, Server> = EventLoop::try_new()?;
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT])?;
    let handle = event_loop.handle();
    handle.insert_source(signals, |_, (), server: &mut Server| server.stop()).map_err(|error| error.error)?;
    let Settings { state, listen, term, bounds } = settings;
    raise_descriptor_limit(bounds.connections).map_err(ServeError::DescriptorLimit)?;
    let store = Store::open(&state)?;
    let publisher = restore(&store, term, bounds.log)?;
    let listener = violetseam_event_io::listen(listen, LISTEN_BACKLOG).map_err(ServeError::Listen)?;
    let address = listener.local_addr().map_err(ServeError::Listen)?;
    let version = publisher.version();
    let service = Service::new(publisher, store, bounds.snapshots_per_second);
    let mut server = Server::new(bounds, handle, service);
    server.listen_on(listener)?;
    ready(address, version);
    while server.is_running() {
        event_loop.dispatch(server.poll_timeout(), &mut server)?;
        server.check_due_connections();
    }
    Ok(server.into_service().finish()?)
}

/// Restores the stored publisher under the term of the settings, or creates a new one. A new publisher or a
/// new term is stored before anything is sent.
fn restore(store: &Store, term: Option<Term>, limits: LogLimits) -> Result<Publisher, ServeError> {
    let Some(mut publisher) = store.load(limits)? else {
        let publisher = Publisher::new(term.unwrap_or_else(term_from_wall_clock), limits);
        store.replace(publisher.configuration())?;
        return Ok(publisher);
    };
    if let Some(term) = term.filter(|term| *term != publisher.version().term) {
        publisher.begin_term(term).map_err(|source| ServeError::Term { term, source })?;
        store.replace(publisher.configuration())?;
    }
    Ok(publisher)
}

/// Raises the soft limit of open files to what the connections need, or to the hard limit if that is lower.
fn raise_descriptor_limit(connections: usize) -> Result<(), rustix::io::Errno> {
    let needed = connections as u64 + RESERVED_DESCRIPTORS;
    let current_limit = getrlimit(Limit::Nofile);
    if current_limit.current.is_none_or(|current| current >= needed) {
        return Ok(());
    }
    let raised = current_limit.maximum.map_or(needed, |maximum| maximum.min(needed));
    if raised < needed {
        tracing::warn!(
            limit = raised,
            needed,
            "the hard limit of open files allows fewer connections than the settings"
        );
    }
    setrlimit(Limit::Nofile, Rlimit { current: Some(raised), maximum: current_limit.maximum })
}
