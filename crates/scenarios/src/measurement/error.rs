//! Errors of a measurement.

use std::io;
use thiserror::Error;

/// The reason why a measurement failed.
#[derive(Debug, Error)]
pub enum MeasurementError {
    /// A file, process or socket failed.
    #[error("{operation}: {source}")]
    Io {
        /// The operation that failed, and its object.
        operation: String,
        /// The error of the operating system.
        #[source]
        source: io::Error,
    },
    /// The event loop of the load generator failed.
    #[error("the event loop of the load generator failed: {source}")]
    EventLoop {
        /// The loop's error.
        #[from]
        source: calloop::Error,
    },
    /// A histogram of response times could not be created.
    #[error("could not create a histogram of response times: {source}")]
    Histogram {
        /// The histogram's error.
        #[from]
        source: hdrhistogram::CreationError,
    },
    /// The histograms of two clients could not be added.
    #[error("could not add the response times of two clients: {source}")]
    HistogramSum {
        /// The histogram's error.
        #[from]
        source: hdrhistogram::AdditionError,
    },
    /// A proxy did not print its address when it started.
    #[error("expected a started proxy to print its address, but it printed {line:?}")]
    NoAddress {
        /// The line that it printed instead.
        line: String,
    },
    /// A proxy whose sockets were taken over ended with an error.
    #[error("the process whose sockets were taken over exited with an error")]
    UncleanTakeover,
    /// Some daemons did not receive the release status in time.
    #[error("not all daemons received the release status in time")]
    DaemonsNotReady,
    /// The number of daemons that applied a command, or of their responses, was not the expected one.
    #[error("round {round}: {applied} of {expected} daemons agreed")]
    NotAllApplied {
        /// Index of the round, from 0.
        round: usize,
        /// Number of daemons that applied it.
        applied: usize,
        /// Number of daemons that should have applied it.
        expected: usize,
    },
    /// A daemon that was killed and restarted did not restore its pause in time.
    #[error("a killed and restarted daemon did not restore its pause in time")]
    PauseNotRestored,
}

impl MeasurementError {
    /// Wraps an I/O error together with the operation that failed.
    pub(crate) fn io(operation: impl Into<String>) -> impl FnOnce(io::Error) -> MeasurementError {
        let operation = operation.into();
        move |source| MeasurementError::Io { operation, source }
    }
}
