//! The publisher's loop: its start, signals, timers.

use crate::connections::Connection;
use crate::settings::Settings;
use crate::store::{Store, term_of_wall_clock};
use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::timer::{TimeoutAction, Timer};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use rustix::process::{Resource as Limit, Rlimit, getrlimit, setrlimit};
use slab::Slab;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::{Duration, Instant};
use violetseam_distribution::admission::{Admission, AdmissionLimits};
use violetseam_distribution::publisher::{LogLimits, Publisher};
use violetseam_distribution::{Micros, Term, Version};
use violetseam_loopio::quiet::RateLimit;
use violetseam_loopio::timers::Timers;

/// Connections that wait in the kernel to be accepted.
const BACKLOG: i32 = 4_096;
/// After connections could not be accepted, the next ones are after this long.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// File descriptors beside those of connections: the loop's, the store's, the listener's.
const DESCRIPTORS_APART: u64 = 64;

/// Why the publisher publishes nothing more until a person has looked: what it would publish could not be
/// told from what its subscribers hold already.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Halt {
    /// A subscriber follows a publisher of a higher term.
    Superseded {
        /// Who.
        subscriber: String,
        /// The other publisher's term.
        term: Term,
    },
    /// A subscriber holds a version of this term that is not in the store: its newest part was lost.
    Ahead {
        /// Who.
        subscriber: String,
        /// What it holds.
        known: Version,
    },
}

impl std::fmt::Display for Halt {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Halt::Superseded { subscriber, term } => write!(
                f,
                "subscriber {subscriber} follows a publisher of term {term}: stop this one, or start it with a \
                 --term above that"
            ),
            Halt::Ahead { subscriber, known } => write!(
                f,
                "subscriber {subscriber} holds version {known}, which this store does not have: put its newest \
                 part back, or start with a higher --term to go on without it"
            ),
        }
    }
}

/// A publisher on its loop.
pub(crate) struct Server {
    pub(crate) settings: Settings,
    pub(crate) handle: LoopHandle<'static, Server>,
    pub(crate) store: Store,
    pub(crate) publisher: Publisher,
    pub(crate) admission: Admission,
    pub(crate) connections: Slab<Connection>,
    /// Counts connections, so that a timer of one that is gone finds none.
    pub(crate) generation: u64,
    /// The connection of each subscriber's watch.
    pub(crate) watch_of: HashMap<String, usize>,
    /// Bytes of request bodies that are not complete yet.
    pub(crate) body_bytes: usize,
    pub(crate) timers: Timers<(usize, u64)>,
    pub(crate) halted: Option<Halt>,
    /// Nothing can be made durable any more.
    pub(crate) failed: Option<String>,
    pub(crate) log_rate: RateLimit,
    started: Instant,
    stopping: bool,
    listener: Option<RegistrationToken>,
}

/// Runs a publisher until SIGTERM or SIGINT. `ready` hears where it listens, and the version it goes on from.
/// The error is for people: the store cannot be used, or nothing can be made durable any more.
pub fn serve(settings: Settings, ready: impl FnOnce(SocketAddr, Version)) -> Result<(), String> {
    let mut event_loop: EventLoop<'static, Server> = EventLoop::try_new().map_err(text)?;
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT]).map_err(text)?;
    let handle = event_loop.handle();
    handle.insert_source(signals, |_, (), server: &mut Server| server.stopping = true).map_err(text)?;
    raise_descriptor_limit(settings.bounds.connections)?;
    let store = Store::open(&settings.state).map_err(text)?;
    let publisher = restore(&store, settings.term, settings.bounds.log)?;
    let listener = violetseam_loopio::listen(settings.listen, BACKLOG).map_err(text)?;
    let address = listener.local_addr().map_err(text)?;
    let version = publisher.version();
    let mut server = Server::new(settings, handle, store, publisher);
    server.listen_on(listener)?;
    ready(address, version);
    while !server.stopping && server.failed.is_none() {
        let wait = server.timers.wait(server.now(), None);
        event_loop.dispatch(wait, &mut server).map_err(text)?;
        server.check_due_connections();
    }
    server.failed.map_or(Ok(()), Err)
}

impl Server {
    fn new(
        settings: Settings,
        handle: LoopHandle<'static, Server>,
        store: Store,
        publisher: Publisher,
    ) -> Server {
        let admission = Admission::new(AdmissionLimits::per_second(settings.bounds.snapshots_per_second));
        Server {
            settings,
            handle,
            store,
            publisher,
            admission,
            connections: Slab::new(),
            generation: 0,
            watch_of: HashMap::new(),
            body_bytes: 0,
            timers: Timers::default(),
            halted: None,
            failed: None,
            log_rate: RateLimit::default(),
            started: Instant::now(),
            stopping: false,
            listener: None,
        }
    }

    /// The loop's clock, in microseconds since the start.
    pub(crate) fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    fn listen_on(&mut self, listener: TcpListener) -> Result<(), String> {
        let source = Generic::new(listener, Interest::READ, Mode::Level);
        let token = self.handle.insert_source(source, |_, listener, server: &mut Server| {
            server.accept(listener);
            Ok(PostAction::Continue)
        });
        self.listener = Some(token.map_err(text)?);
        Ok(())
    }

    /// Accepts nothing for a while: the system has no room for another connection.
    pub(crate) fn pause_accepting(&mut self) {
        let Some(token) = self.listener else { return };
        let resume = move |_, _: &mut (), server: &mut Server| {
            let _ = server.handle.enable(&token);
            TimeoutAction::Drop
        };
        // Only with a timer that ends it.
        if self.handle.insert_source(Timer::from_duration(ACCEPT_PAUSE), resume).is_ok() {
            let _ = self.handle.disable(&token);
        }
    }
}

/// The publisher as stored, under the term that is asked for; or a new one, stored before it says anything.
fn restore(store: &Store, term: Option<Term>, limits: LogLimits) -> Result<Publisher, String> {
    let Some(mut publisher) = store.load(limits).map_err(text)? else {
        let publisher = Publisher::new(term.unwrap_or_else(term_of_wall_clock), limits);
        store.replace(publisher.configuration()).map_err(text)?;
        return Ok(publisher);
    };
    if let Some(term) = term.filter(|term| *term != publisher.version().term) {
        publisher.begin_term(term).map_err(|error| format!("--term {term}: {error}"))?;
        store.replace(publisher.configuration()).map_err(text)?;
    }
    Ok(publisher)
}

/// Raises the soft limit of open files as far as the connections need it; the hard limit may be lower.
fn raise_descriptor_limit(connections: usize) -> Result<(), String> {
    let needed = connections as u64 + DESCRIPTORS_APART;
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
    setrlimit(Limit::Nofile, Rlimit { current: Some(raised), maximum: present.maximum }).map_err(text)
}

fn text(error: impl std::fmt::Display) -> String {
    error.to_string()
}
