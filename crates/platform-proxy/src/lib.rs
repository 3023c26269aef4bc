//! The driver of a proxy that speaks the platform's protocol. It connects one
//! [`Engine`](violetseam_proxy::engine::Engine) to sockets, datagrams, signals and the clock on a single
//! `calloop` event loop. The engine makes all decisions about servers and builds. The driver only enforces
//! limits on its own resources: descriptors, bytes, and how long a connection may take to be established or
//! stay silent.
//!
//! - `proxy`: the state of one proxy
//! - `event_loop`: polls for events, runs timers and executes the engine's actions
//! - `listener`: accepts client connections
//! - `client`: the state of one client connection
//! - `client_input`: the input of a client connection that no command has consumed
//! - `clients`: reads commands from client connections and writes responses to them
//! - `requests`: tracks requests in flight, from a client's call to its final response
//! - `sent_calls`: remembers the ids of calls that may have run
//! - `servers`: manages connections to servers and the attempts on them
//! - `discovery`: keeps the server list up to date
//! - `release_watch`: holds the state of the release service and watches the release status
//! - `votes`: sends votes on the newest build to the release service
//! - `peers`: sends and receives gossip datagrams
//! - `budgets`: divides the resource limits
//! - `memory`: the account of the memory that connections and requests hold
//! - `eviction`: chooses what gives way when a limit is reached
//! - `configuration`: reads the configuration file at the start and on a reload
//! - `shutdown`: implements the phases of a shutdown
//! - `metrics`: counts why connections end, and logs the totals
//! - `transient_errors`: retries system calls that fail with a transient error at the start

mod budgets;
mod client;
mod client_input;
mod clients;
mod configuration;
mod discovery;
mod error;
mod event_loop;
mod eviction;
mod listener;
mod memory;
mod metrics;
mod peers;
mod proxy;
mod release_watch;
mod requests;
mod sent_calls;
mod servers;
mod shutdown;
mod transient_errors;
mod votes;

pub use configuration::read_config;
pub use error::{ConfigError, ServeError};
pub use shutdown::Summary;

use calloop::EventLoop;
use calloop::signals::{Signal, Signals};
use error::to_io_error;
use proxy::Proxy;
use std::path::PathBuf;
use transient_errors::retry_transient_errors;
use violetseam_platform_protocol::config::Config;

/// Binds all sockets and serves until SIGTERM or SIGINT arrives, and then until every request has its final
/// response. SIGHUP makes the proxy read the configuration file again.
///
/// # Errors
/// Returns a [`ServeError`] if the event loop, the signals or a socket cannot be set up, or if polling fails.
pub fn serve(config: Config, config_file: PathBuf) -> Result<Summary, ServeError> {
    let mut event_loop: EventLoop<'static, Proxy> =
        retry_transient_errors("creating the event loop", || EventLoop::try_new().map_err(to_io_error))
            .map_err(ServeError::EventLoop)?;
    register_signals(&event_loop).map_err(ServeError::Signals)?;
    let mut proxy = Proxy::new(config, config_file, event_loop.handle());
    retry_transient_errors("binding the gossip socket", || proxy.bind_gossip_socket())
        .map_err(ServeError::BindGossipSocket)?;
    // The engine gets its initial state before clients can connect: no request is accepted before the server
    // list and the release status are known.
    proxy.start();
    retry_transient_errors("opening the listener for clients", || proxy.listen())
        .map_err(ServeError::Listen)?;
    run(&mut event_loop, &mut proxy)?;
    let summary =
        Summary { counts: proxy.engine.counts(), unanswered_requests: proxy.engine.pending_responses() };
    proxy.log_usage();
    proxy.log_counts("stopped");
    // Dropping the event loop would unblock its signals, and a signal that has arrived in the meantime would
    // kill the process before it exits normally.
    std::mem::forget(event_loop);
    Ok(summary)
}

/// Registers a handler for the process's signals on the event loop.
fn register_signals(event_loop: &EventLoop<'static, Proxy>) -> std::io::Result<()> {
    let handled = [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP];
    let signals =
        retry_transient_errors("registering signals", || Signals::new(&handled).map_err(to_io_error))?;
    event_loop
        .handle()
        .insert_source(signals, |event, (), proxy: &mut Proxy| match event.signal() {
            Signal::SIGHUP => proxy.begin_reload(),
            _ => proxy.begin_shutdown(),
        })
        .map(|_token| ())
        .map_err(|e| std::io::Error::other(e.to_string()))
}

/// Polls for events and runs due timers until the proxy stops.
fn run(event_loop: &mut EventLoop<'static, Proxy>, proxy: &mut Proxy) -> Result<(), ServeError> {
    while !proxy.should_stop {
        let timeout = proxy.poll_timeout();
        proxy.sockets_were_ready = false;
        proxy.turn += 1;
        let before = proxy.now();
        event_loop.dispatch(timeout, proxy).map_err(|e| ServeError::Poll(std::io::Error::other(e)))?;
        // If the poll returned without an event, it checked the sockets last when it returned. Otherwise it
        // may have checked them as early as its start.
        let polled_at = if proxy.sockets_were_ready { before } else { proxy.now() };
        proxy.run_due_timers(polled_at);
        proxy.previous_poll_at = before;
    }
    Ok(())
}
