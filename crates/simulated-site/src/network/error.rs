//! Errors of setting up and running sockets.

use std::net::SocketAddr;

/// Why the simulated site or its clients cannot run.
#[derive(Debug, thiserror::Error)]
pub enum NetworkError {
    /// The event loop could not be created, or waiting for events failed.
    #[error("event loop: {0}")]
    EventLoop(#[source] calloop::Error),
    /// An address could not be listened on.
    #[error("listening on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// A socket could not be added to the event loop.
    #[error("adding the socket at {address} to the event loop: {source}")]
    Register {
        /// Where the socket listens.
        address: SocketAddr,
        /// The cause.
        source: calloop::Error,
    },
    /// A thread could not be started.
    #[error("starting the thread {name:?}: {source}")]
    Thread {
        /// Name of the thread.
        name: &'static str,
        /// The cause.
        source: std::io::Error,
    },
}
