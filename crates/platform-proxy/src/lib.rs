//! The proxy on the platform's protocol: sockets, datagrams, signals and the clock on one `calloop` loop, for
//! one [`Engine`](violetseam_proxy::engine::Engine). All decisions are the engine's; what is bounded here
//! (descriptors, bytes, how long a connection may take to come up or stay silent) is no judgement on servers
//! or builds.
//!
//! - `proxy`: the state of one proxy
//! - `event_loop`: polling, timers, and the engine's actions
//! - `listener`: accepts client connections
//! - `client`: the state of one client connection
//! - `clients`: client connections, from bytes to commands and from responses to bytes
//! - `requests`: requests in flight, from a call to its final response
//! - `servers`: connections to servers and the attempts on them
//! - `discovery`: the server list
//! - `release_watch`: the release service: its address, and the watch of the release status
//! - `votes`: votes on the newest build
//! - `peers`: gossip datagrams
//! - `budgets`: what the limits leave for each of these, and what is evicted when one is used up
//! - `configuration`: the configuration file, at the start and at a reload
//! - `shutdown`: the phases of a shutdown
//! - `start`: retries of system calls that fail for a moment at the start

mod budgets;
mod client;
mod clients;
mod configuration;
mod discovery;
mod error;
mod event_loop;
mod listener;
mod peers;
mod proxy;
mod release_watch;
mod requests;
mod servers;
mod shutdown;
mod start;
mod votes;

pub use configuration::read_config;
pub use error::{ConfigError, ServeError};
pub use shutdown::Summary;

use calloop::EventLoop;
use calloop::signals::{Signal, Signals};
use configuration::MAX_RELOAD_ATTEMPTS;
use error::to_io_error;
use proxy::Proxy;
use start::retry_transient_errors;
use std::path::PathBuf;
use violetseam_platform_protocol::config::Config;

/// Binds all sockets and serves until SIGTERM or SIGINT, and then until every request has its final response.
/// SIGHUP reads the configuration file again.
///
/// # Errors
/// A [`ServeError`] if the event loop, the signals or a socket cannot be set up, or if polling fails.
pub fn serve(config: Config, config_file: PathBuf) -> Result<Summary, ServeError> {
    let mut event_loop: EventLoop<'static, Proxy> =
        retry_transient_errors("event loop", || EventLoop::try_new().map_err(to_io_error))
            .map_err(ServeError::EventLoop)?;
    register_signals(&event_loop).map_err(ServeError::Signals)?;
    let mut proxy = Proxy::new(config, config_file, event_loop.handle());
    retry_transient_errors("peers' address", || proxy.bind_gossip_socket()).map_err(ServeError::BindPeers)?;
    // The first events come before the first client: no request is accepted before the server list and the
    // release status are known.
    proxy.start();
    retry_transient_errors("clients' address", || proxy.listen()).map_err(ServeError::Listen)?;
    run(&mut event_loop, &mut proxy)?;
    let summary =
        Summary { counts: proxy.engine.counts(), unanswered_requests: proxy.engine.pending_responses() };
    proxy.log_counts("stopped");
    // Dropping the loop would unblock its signals: one that has arrived since would kill the process before
    // its exit.
    std::mem::forget(event_loop);
    Ok(summary)
}

/// Receives the process's signals on the event loop.
fn register_signals(event_loop: &EventLoop<'static, Proxy>) -> std::io::Result<()> {
    let handled = [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP];
    let signals = retry_transient_errors("signals", || Signals::new(&handled).map_err(to_io_error))?;
    event_loop
        .handle()
        .insert_source(signals, |event, (), proxy: &mut Proxy| match event.signal() {
            Signal::SIGHUP => proxy.reload(MAX_RELOAD_ATTEMPTS),
            _ => proxy.begin_shutdown(),
        })
        .map(|_token| ())
        .map_err(|e| std::io::Error::other(e.to_string()))
}

/// Polls and runs what is due until the proxy stops.
fn run(event_loop: &mut EventLoop<'static, Proxy>, proxy: &mut Proxy) -> Result<(), ServeError> {
    while !proxy.should_stop {
        let timeout = proxy.poll_timeout();
        proxy.sockets_were_ready = false;
        let before = proxy.now();
        event_loop.dispatch(timeout, proxy).map_err(|e| ServeError::Poll(std::io::Error::other(e)))?;
        // A poll that ended without an event looked at the sockets at its end.
        let polled_at = if proxy.sockets_were_ready { before } else { proxy.now() };
        proxy.run_due_timers(polled_at);
        proxy.previous_poll_at = before;
    }
    Ok(())
}
