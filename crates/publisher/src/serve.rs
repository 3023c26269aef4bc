//! Runs a publisher: restores its state, listens, dispatches events until a signal ends it.

use crate::server::Server;
use crate::service::{DurabilityError, Service};
use crate::settings::Settings;
use crate::store::{Store, StoreError, term_of_wall_clock};
use calloop::EventLoop;
use calloop::signals::{Signal, Signals};
use rustix::process::{Resource as Limit, Rlimit, getrlimit, setrlimit};
use std::net::SocketAddr;
use thiserror::Error;
use violetseam_distribution::publisher::{LogLimits, Publisher, TermNotHigher};
use violetseam_distribution::{Term, Version};

/// Connections that wait in the kernel to be accepted.
const LISTEN_BACKLOG: i32 = 4_096;
/// File descriptors beside those of connections: the loop's, the store's, the listener's.
const RESERVED_DESCRIPTORS: u64 = 64;

/// Why a publisher could not start, or ended other than by a signal.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The event loop or one of its sources failed.
    #[error("the event loop failed: {0}")]
    EventLoop(#[from] calloop::Error),
    /// The limit of open files could not be raised.
    #[error("the limit of open files could not be raised: {0}")]
    DescriptorLimit(#[source] rustix::io::Errno),
    /// The store cannot be used.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The term that was asked for is not above the stored one.
    #[error("--term {term}: {source}")]
    Term {
        /// The term that was asked for.
        term: Term,
        /// The stored term.
        source: TermNotHigher,
    },
    /// The address cannot be listened on.
    #[error("cannot listen: {0}")]
    Listen(#[source] std::io::Error),
    /// An update is not known to be durable.
    #[error(transparent)]
    NotDurable(#[from] DurabilityError),
}

/// Runs a publisher until SIGTERM or SIGINT. `ready` gets the address on which it listens and the version from
/// which it continues.
///
/// # Errors
/// The publisher cannot start (store, term, address, event loop), or an update is not known to be durable.
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
        event_loop.dispatch(server.wait(), &mut server)?;
        server.check_due_connections();
    }
    Ok(server.into_service().finish()?)
}

/// The publisher as stored, under the term that is asked for; or a new one, stored before it sends anything.
fn restore(store: &Store, term: Option<Term>, limits: LogLimits) -> Result<Publisher, ServeError> {
    let Some(mut publisher) = store.load(limits)? else {
        let publisher = Publisher::new(term.unwrap_or_else(term_of_wall_clock), limits);
        store.replace(publisher.configuration())?;
        return Ok(publisher);
    };
    if let Some(term) = term.filter(|term| *term != publisher.version().term) {
        publisher.begin_term(term).map_err(|source| ServeError::Term { term, source })?;
        store.replace(publisher.configuration())?;
    }
    Ok(publisher)
}

/// Raises the soft limit of open files as far as the connections need it; the hard limit may be lower.
fn raise_descriptor_limit(connections: usize) -> Result<(), rustix::io::Errno> {
    let needed = connections as u64 + RESERVED_DESCRIPTORS;
    let present = getrlimit(Limit::Nofile);
    if present.current.is_none_or(|current| current >= needed) {
        return Ok(());
    }
    let raised = present.maximum.map_or(needed, |maximum| maximum.min(needed));
    if raised < needed {
        tracing::warn!(
            limit = raised,
            needed,
            "the limit of open files allows fewer connections than the bound"
        );
    }
    setrlimit(Limit::Nofile, Rlimit { current: Some(raised), maximum: present.maximum })
}
