//! The controller's event loop.
//!
//! Proxies watch the release and vote, the platform watches the desired builds and reports the builds in its
//! places, and operators send requests. The controller turns all of this into events and applies them in
//! batches. A batch takes effect only once it is durable.
//!
//! - `leadership.rs`: the lease, the start of a term, and stepping down
//! - `batches.rs`: batches of events, from the decision on a copy of the state until they take effect
//! - `responses.rs`: the response to the sender of each event
//! - `connections.rs`: the HTTP connections
//! - `requests.rs`: the HTTP requests of proxies and the platform
//! - `watches.rs`: the streams of changes to proxies and the platform
//! - `operators.rs`: the calls from the control socket
//! - `crash_point.rs`: deliberate crashes, for tests
//!
//! A standby answers every HTTP request with 503 and observes the leader's lease. It begins a term if the
//! lease was released or has expired. A leader that another controller has replaced closes all its
//! connections and becomes a standby.

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

/// The reason why a controller cannot run.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The event loop failed.
    #[error("the event loop failed: {0}")]
    EventLoop(#[from] calloop::Error),
    /// The controller cannot listen on its address.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// The error that the system reported.
        source: std::io::Error,
    },
    /// The control socket cannot be served.
    #[error("cannot serve the control socket {}: {source}", .path.display())]
    ControlSocket {
        /// The path of the control socket, from the settings.
        path: PathBuf,
        /// The error that the system reported.
        source: std::io::Error,
    },
    /// The state directory cannot be used.
    #[error(transparent)]
    Journal(#[from] JournalError),
    /// The thread that writes the journal cannot be started.
    #[error("cannot start the journal writer thread: {0}")]
    WriterThread(#[source] std::io::Error),
}

impl<T> From<InsertError<T>> for ServeError {
    fn from(error: InsertError<T>) -> Self {
        ServeError::EventLoop(error.error)
    }
}

/// The state of the controller's event loop.
struct Controller {
    settings: Settings,
    state_dir: StateDir,
    handle: LoopHandle<'static, Controller>,
    connections: Slab<Connection>,
    /// The generation of the latest connection. It distinguishes a connection from earlier ones in the same
    /// slot.
    last_generation: u64,
    started_at: Instant,
    /// The state of this controller as the leader; `None` on a standby.
    term: Option<Term>,
    completions: calloop::channel::Sender<WriteCompletion>,
    /// The leader's lease, as this controller observes it while it is a standby.
    observed_lease: ObservedLease,
    next_lease_check: Instant,
    stopping: bool,
    /// The number of batches that were decided so far and changed the state.
    #[cfg(feature = "sabotage")]
    batch_count: u64,
}

/// A summary of a controller's run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// The last term that the controller led; 0 if it was only a standby.
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
    // The signals are blocked before any thread is started, because another thread might receive them
    // otherwise.
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
        observed_lease: ObservedLease { heartbeat: None, unchanged_since: now },
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

/// Listens for proxies and the platform. Returns the address in use, with the port that the system chose if
/// the settings leave it open.
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

/// Registers a channel for results from the journal writer thread. Returns its sending end.
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

/// Opens the control socket and registers a channel for its calls.
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
    /// Runs the event loop until a signal arrives or `stop_at` has passed.
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

    /// Returns the current time on both clocks, as the time of an event.
    fn event_time(&self) -> Now {
        Now { wall: crate::wall_clock(), steady: self.steady_micros() }
    }

    /// Returns the monotonic clock, in microseconds since this controller started.
    fn steady_micros(&self) -> u64 {
        self.started_at.elapsed().as_micros() as u64
    }

    /// Returns the time until the next periodic work is due.
    fn poll_timeout(&self) -> Duration {
        let now = Instant::now();
        let next = match &self.term {
            Some(term) => term.next_wakeup(),
            None => self.next_lease_check,
        };
        next.saturating_duration_since(now).min(self.settings.heartbeat / 2)
    }

    /// Does the periodic work that is due, submits the queued events and updates the connections.
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
