//! The controller's event loop. Proxies watch the release and vote, the platform watches which builds are
//! desired and reports, operators send requests; all of it becomes events, taken in batches that are durable
//! before they are in force.
//!
//! - `leadership.rs`: the lease, beginning a term, stepping down
//! - `batches.rs`: events in batches: decided on a copy, made durable, then in force
//! - `responses.rs`: the outcome of each event, to whoever waits for it
//! - `connections.rs`: HTTP connections
//! - `requests.rs`: the HTTP requests of proxies and the platform
//! - `watches.rs`: streams of changes to proxies and the platform
//! - `operators.rs`: calls from the control socket
//! - `crash_point.rs`: crashes on purpose, for tests
//!
//! A standby answers 503 and observes the leader's lease; it begins a term when the lease has not been
//! renewed for its length. A leader that another one has replaced closes all connections and becomes a
//! standby.

mod batches;
mod connections;
#[cfg(feature = "sabotage")]
mod crash_point;
mod leadership;
mod operators;
mod requests;
mod responses;
mod watches;

#[cfg(feature = "sabotage")]
pub use crash_point::{CrashPoint, serve_until};

use crate::control::{self, ControlCall};
use crate::journal::{JournalError, StateDir};
use crate::settings::Settings;
use crate::writer_thread::WriteCompletion;
use calloop::channel::{Event as ChannelEvent, channel};
use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, InsertError, Interest, LoopHandle, Mode, PostAction};
use connections::Connection;
use leadership::{ObservedLease, Term};
use slab::Slab;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use violetseam_release::Now;

/// Why a controller cannot run.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The event loop failed.
    #[error("the event loop failed: {0}")]
    EventLoop(#[from] calloop::Error),
    /// The address cannot be listened on.
    #[error("{address}: {source}")]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// What the system reported.
        source: std::io::Error,
    },
    /// The control socket cannot be served.
    #[error("control: {}: {source}", .path.display())]
    ControlSocket {
        /// The socket from the settings.
        path: PathBuf,
        /// What the system reported.
        source: std::io::Error,
    },
    /// The state directory cannot be used.
    #[error(transparent)]
    Journal(#[from] JournalError),
    /// The thread that writes the journal cannot be started.
    #[error("cannot start the thread that writes the journal: {0}")]
    WriterThread(#[source] std::io::Error),
}

impl<T> From<InsertError<T>> for ServeError {
    fn from(error: InsertError<T>) -> Self {
        ServeError::EventLoop(error.error)
    }
}

/// The controller on its event loop.
struct Controller {
    settings: Settings,
    state_dir: StateDir,
    handle: LoopHandle<'static, Controller>,
    connections: Slab<Connection>,
    /// Counts connections, so that a slot that is used again is told from its earlier connection.
    last_generation: u64,
    started_at: Instant,
    /// `None` on a standby.
    term: Option<Term>,
    completions: calloop::channel::Sender<WriteCompletion>,
    /// The leader's lease, as a standby sees it.
    observed_lease: ObservedLease,
    next_lease_check: Instant,
    stopping: bool,
    /// Batches so far that were handed to the journal.
    #[cfg(feature = "sabotage")]
    batch_count: u64,
}

/// What a controller did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Its last term; 0 if it was only a standby.
    pub term: u64,
}

/// Runs a controller until SIGTERM or SIGINT, or for `stop_after`. `on_listening` is called with the address
/// that it listens on.
///
/// # Errors
/// The state directory, the listening address or the control socket cannot be used, or the event loop fails.
pub fn serve(
    settings: Settings,
    state: &Path,
    stop_after: Option<Duration>,
    on_listening: impl FnOnce(SocketAddr),
) -> Result<Summary, ServeError> {
    let mut event_loop: EventLoop<'static, Controller> = EventLoop::try_new()?;
    let handle = event_loop.handle();
    // Before any thread is started, which would take the signals otherwise.
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT])?;
    handle.insert_source(signals, |_, (), controller: &mut Controller| controller.stopping = true)?;
    let state_dir = StateDir::open(state)?;
    state_dir.check()?;
    let address = listen(&handle, settings.listen)?;
    let completions = register_completions(&handle)?;
    listen_for_operators(&handle, &settings.control_socket)?;
    let now = Instant::now();
    let mut controller = Controller {
        settings,
        state_dir,
        handle,
        connections: Slab::new(),
        last_generation: 0,
        started_at: now,
        term: None,
        completions,
        observed_lease: ObservedLease { text: None, since: now },
        next_lease_check: now,
        stopping: false,
        #[cfg(feature = "sabotage")]
        batch_count: 0,
    };
    on_listening(address);
    let summary = controller.run(&mut event_loop, stop_after.map(|span| now + span))?;
    if let Some(term) = &controller.term {
        controller.state_dir.release_lease(term.number);
    }
    let _ = std::fs::remove_file(&controller.settings.control_socket);
    Ok(summary)
}

/// Listens for proxies and the platform; returns the address in use.
fn listen(handle: &LoopHandle<'static, Controller>, address: SocketAddr) -> Result<SocketAddr, ServeError> {
    let listen_error = |source| ServeError::Listen { address, source };
    let listener = TcpListener::bind(address).map_err(listen_error)?;
    let local_address = listener.local_addr().map_err(listen_error)?;
    listener.set_nonblocking(true).map_err(listen_error)?;
    let source = Generic::new(listener, Interest::READ, Mode::Level);
    handle.insert_source(source, |_, listener, controller| {
        controller.accept(listener);
        Ok(PostAction::Continue)
    })?;
    Ok(local_address)
}

/// Takes results from the thread that writes the journal.
fn register_completions(
    handle: &LoopHandle<'static, Controller>,
) -> Result<calloop::channel::Sender<WriteCompletion>, ServeError> {
    let (sender, receiver) = channel::<WriteCompletion>();
    handle.insert_source(receiver, |event, (), controller: &mut Controller| {
        if let ChannelEvent::Msg(WriteCompletion(result)) = event {
            controller.on_write_completed(result);
        }
    })?;
    Ok(sender)
}

fn listen_for_operators(handle: &LoopHandle<'static, Controller>, path: &Path) -> Result<(), ServeError> {
    let (sender, receiver) = channel::<ControlCall>();
    handle.insert_source(receiver, |event, (), controller: &mut Controller| {
        if let ChannelEvent::Msg(call) = event {
            controller.on_control_call(call);
        }
    })?;
    control::listen(path, sender)
        .map_err(|source| ServeError::ControlSocket { path: path.to_owned(), source })
}

impl Controller {
    /// Runs until a signal or `stop_at`.
    fn run(
        &mut self,
        event_loop: &mut EventLoop<'static, Controller>,
        stop_at: Option<Instant>,
    ) -> Result<Summary, ServeError> {
        let mut summary = Summary::default();
        while !self.stopping {
            self.run_due_work()?;
            if let Some(term) = &self.term {
                summary.term = term.number;
            }
            let mut timeout = self.poll_timeout();
            if let Some(stop_at) = stop_at {
                timeout = timeout.min(stop_at.saturating_duration_since(Instant::now()));
                self.stopping |= stop_at <= Instant::now();
            }
            event_loop.dispatch(timeout, self)?;
        }
        Ok(summary)
    }

    /// The time of an event, on both clocks.
    fn event_time(&self) -> Now {
        Now { wall: crate::wall_clock(), steady: self.steady_micros() }
    }

    /// Microseconds since this controller started.
    fn steady_micros(&self) -> u64 {
        self.started_at.elapsed().as_micros() as u64
    }

    /// How long until something is due by time alone.
    fn poll_timeout(&self) -> Duration {
        let now = Instant::now();
        let next = match &self.term {
            Some(term) => term.next_wakeup(),
            None => self.next_lease_check,
        };
        next.saturating_duration_since(now).min(self.settings.heartbeat / 2)
    }

    /// Does what is due once the sockets have been read.
    fn run_due_work(&mut self) -> Result<(), ServeError> {
        let now = Instant::now();
        if self.term.is_none() && now >= self.next_lease_check {
            self.check_lease()?;
        }
        if self.term.as_ref().is_some_and(|term| now >= term.next_heartbeat) {
            self.send_heartbeat(now);
        }
        self.submit_batch(now);
        self.update_connections(now);
        Ok(())
    }
}
