//! Why a scenario could not be played.

use std::io;
use std::path::PathBuf;
use std::process::ExitStatus;
use thiserror::Error;

/// Why a scenario could not be played to its end.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The scenario contradicts itself.
    #[error("{reason}")]
    InvalidScenario {
        /// What is wrong with it.
        reason: String,
    },
    /// A file, process or socket failed.
    #[error("{operation}: {source}")]
    Io {
        /// What was tried, and on what.
        operation: String,
        /// The system's error.
        #[source]
        source: io::Error,
    },
    /// The scenario or its summary could not be written as JSON.
    #[error("{document} as JSON: {source}")]
    Encode {
        /// What was to be written.
        document: &'static str,
        /// The encoder's error.
        #[source]
        source: serde_json::Error,
    },
    /// The release controller did not answer on its control socket in time.
    #[error("the controller does not speak, see {}", .log.display())]
    ControllerNotReady {
        /// Its log.
        log: PathBuf,
    },
    /// The simulated site ended, or said nothing, while it was being started.
    #[error("the stand-ins did not start: {reason}")]
    SiteNotStarted {
        /// What it reported, empty if it reported nothing.
        reason: String,
    },
    /// A proxy ended before it took a connection.
    #[error("proxy {proxy} ended at once ({status}), see {}", .log.display())]
    ProxyExited {
        /// Its position.
        proxy: usize,
        /// How it ended.
        status: ExitStatus,
        /// Its log.
        log: PathBuf,
    },
    /// A proxy took no connection in time.
    #[error("proxy {proxy} takes no connections")]
    ProxyNotReady {
        /// Its position.
        proxy: usize,
    },
    /// A thread of this process panicked.
    #[error("the {thread} thread failed")]
    ThreadPanicked {
        /// Which one.
        thread: &'static str,
    },
    /// The release controller found faults in the plan of a build.
    #[error("a build could not be offered: {}", .faults.join("; "))]
    PlanRejected {
        /// The faults that it listed.
        faults: Vec<String>,
    },
}

impl ScenarioError {
    /// Adds to an I/O error what was tried, and on what.
    pub(crate) fn io(operation: impl Into<String>) -> impl FnOnce(io::Error) -> ScenarioError {
        let operation = operation.into();
        move |source| ScenarioError::Io { operation, source }
    }
}
