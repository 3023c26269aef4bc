//! The errors of the driver.

use std::path::PathBuf;
use thiserror::Error;
use violetseam_platform_protocol::ConfigurationError;

/// Why the configuration could not be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file could not be read.
    #[error("cannot read configuration file {}: {source}", file.display())]
    Read {
        /// The configuration file.
        file: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The file's content is not a valid configuration.
    #[error("configuration file {} is not valid: {source}", file.display())]
    Parse {
        /// The configuration file.
        file: PathBuf,
        /// What is wrong with the content.
        source: ConfigurationError,
    },
}

/// Why the proxy could not start, or why it stopped early. Each message ends with the operating system's
/// error. That error names the address if the listener for clients could not be bound.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The event loop could not be created.
    #[error("cannot create the event loop: {0}")]
    EventLoop(#[source] std::io::Error),
    /// The event loop could not be set up to receive signals.
    #[error("cannot receive signals on the event loop: {0}")]
    Signals(#[source] std::io::Error),
    /// The socket for gossip with peers could not be bound.
    #[error("cannot bind the gossip socket: {0}")]
    BindGossipSocket(#[source] std::io::Error),
    /// The listener for clients could not be opened.
    #[error("cannot listen for clients: {0}")]
    Listen(#[source] std::io::Error),
    /// Polling for events failed.
    #[error("cannot poll for events: {0}")]
    Poll(#[source] std::io::Error),
}

/// Returns the I/O error inside an error of the event loop, or wraps the error as an I/O error if there is
/// none.
pub(crate) fn to_io_error(error: calloop::Error) -> std::io::Error {
    match error {
        calloop::Error::IoError(error) => error,
        error => std::io::Error::other(error),
    }
}
