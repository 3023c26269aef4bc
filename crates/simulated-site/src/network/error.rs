//! Errors that occur while the event loops, sockets and threads are set up or run.

use std::net::SocketAddr;

/// The reason why the simulated site or its clients cannot run.
#[derive(Debug, thiserror::Error)]
pub enum NetworkError {
    /// An event loop could not be created, or waiting for its events failed.
    #[error("cannot create an event loop or wait for its events: {0}")]
    EventLoop(#[source] calloop::Error),
    /// A socket could not be opened at an address.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address to listen on.
        address: SocketAddr,
        /// The error of the operating system or of the event loop.
        source: std::io::Error,
    },
    /// A socket could not be registered on the event loop.
    #[error("cannot register the socket at {address} on the event loop: {source}")]
    Register {
        /// The address at which the socket listens.
        address: SocketAddr,
        /// The error of the operating system or of the event loop.
        source: calloop::Error,
    },
    /// A thread could not be started.
    #[error("cannot start the thread {name:?}: {source}")]
    Thread {
        /// The name of the thread.
        name: &'static str,
        /// The error of the operating system or of the event loop.
        source: std::io::Error,
    },
}
