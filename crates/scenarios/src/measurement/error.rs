//! Why a measurement failed.

use std::io;
use thiserror::Error;

/// Why a measurement failed.
#[derive(Debug, Error)]
pub enum MeasurementError {
    /// A file, process or socket failed.
    #[error("{operation}: {source}")]
    Io {
        /// What was tried, and on what.
        operation: String,
        /// The system's error.
        #[source]
        source: io::Error,
    },
    /// The event loop of the load generator failed.
    #[error("the load generator's event loop: {source}")]
    EventLoop {
        /// The loop's error.
        #[from]
        source: calloop::Error,
    },
    /// No histogram of response times could be made.
    #[error("a histogram of response times: {source}")]
    Histogram {
        /// The histogram's error.
        #[from]
        source: hdrhistogram::CreationError,
    },
    /// The histograms of two clients could not be added.
    #[error("the sum of two histograms: {source}")]
    HistogramSum {
        /// The histogram's error.
        #[from]
        source: hdrhistogram::AdditionError,
    },
    /// A proxy did not print its address when it started.
    #[error("a proxy printed no address but {line:?}")]
    NoAddress {
        /// What it printed instead.
        line: String,
    },
    /// A proxy whose sockets were taken over ended with an error.
    #[error("the old process left something open")]
    UncleanTakeover,
    /// Some daemons did not learn the release status in time.
    #[error("the daemons did not come up")]
    DaemonsNotReady,
    /// Fewer or more daemons than expected applied a command.
    #[error("round {round}: {applied} of {expected} agreed")]
    NotAllApplied {
        /// The round, from 0.
        round: usize,
        /// How many did.
        applied: usize,
        /// How many should.
        expected: usize,
    },
    /// A daemon that was killed and started again did not show the pause that it had.
    #[error("a killed daemon did not come back paused")]
    PauseNotRestored,
}

impl MeasurementError {
    /// Adds to an I/O error what was tried, and on what.
    pub(crate) fn io(operation: impl Into<String>) -> impl FnOnce(io::Error) -> MeasurementError {
        let operation = operation.into();
        move |source| MeasurementError::Io { operation, source }
    }
}
