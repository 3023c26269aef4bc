//! Errors of the driver.

use std::path::PathBuf;
use thiserror::Error;
use violetseam_platform_protocol::ConfigurationError;

/// Why the configuration could not be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file could not be read.
    #[error("{}: {source}", file.display())]
    Read {
        /// The configuration file.
        file: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The file's text is no valid configuration.
    #[error("{}: {source}", file.display())]
    Parse {
        /// The configuration file.
        file: PathBuf,
        /// What is wrong with the text.
        source: ConfigurationError,
    },
}

/// Why the proxy could not start, or stopped before its time. Each message is the system's, which names the
/// address where there is one.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The event loop could not be created.
    #[error("{0}")]
    EventLoop(#[source] std::io::Error),
    /// Signals could not be received on the event loop.
    #[error("{0}")]
    Signals(#[source] std::io::Error),
    /// The socket for peers' datagrams could not be bound.
    #[error("{0}")]
    BindPeers(#[source] std::io::Error),
    /// The listener for clients could not be opened.
    #[error("{0}")]
    Listen(#[source] std::io::Error),
    /// Waiting for events failed.
    #[error("{0}")]
    Poll(#[source] std::io::Error),
}

/// Converts an error of the event loop to the system's error behind it.
pub(crate) fn to_io_error(error: calloop::Error) -> std::io::Error {
    match error {
        calloop::Error::IoError(error) => error,
        error => std::io::Error::other(error),
    }
}
