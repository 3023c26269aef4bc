//! Why a scenario could not be played.

use std::io;
use std::path::PathBuf;
use std::process::ExitStatus;
use thiserror::Error;
use violetseam_simulated_site::network::NetworkError;
use violetseam_simulated_site::scenario::ScenarioError;

/// Why a scenario could not be played to its end.
#[derive(Debug, Error)]
pub enum ScenarioRunError {
    /// The scenario contradicts itself.
    #[error(transparent)]
    InvalidScenario(#[from] ScenarioError),
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
    /// The simulated site failed while it was being started.
    #[error("the stand-ins did not start: {source}")]
    SiteNotStarted {
        /// What failed.
        #[source]
        source: NetworkError,
    },
    /// The simulated site did not start in time, and reported no error.
    #[error("the stand-ins did not start in time")]
    SiteNotReady,
    /// The event loop, a socket or a thread of the simulated clients or site failed.
    #[error("{part}: {source}")]
    Simulation {
        /// Which part.
        part: &'static str,
        /// What failed.
        #[source]
        source: NetworkError,
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

impl ScenarioRunError {
    /// Adds to an I/O error what was tried, and on what.
    pub(crate) fn io(operation: impl Into<String>) -> impl FnOnce(io::Error) -> ScenarioRunError {
        let operation = operation.into();
        move |source| ScenarioRunError::Io { operation, source }
    }
}
