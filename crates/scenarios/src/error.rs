//! Errors of playing a scenario.

use std::io;
use std::path::PathBuf;
use std::process::ExitStatus;
use thiserror::Error;
use violetseam_simulated_site::network::NetworkError;
use violetseam_simulated_site::scenario::ScenarioError;

/// The reason why a scenario could not be played to its end.
#[derive(Debug, Error)]
pub enum ScenarioRunError {
    /// The scenario failed its validation.
    #[error(transparent)]
    InvalidScenario(#[from] ScenarioError),
    /// A file, process or socket failed.
    #[error("{operation}: {source}")]
    Io {
        /// The operation that failed, and its object.
        operation: String,
        /// The error of the operating system.
        #[source]
        source: io::Error,
    },
    /// The scenario or its summary could not be written as JSON.
    #[error("could not encode {document} as JSON: {source}")]
    Encode {
        /// The document that was to be written.
        document: &'static str,
        /// The encoder's error.
        #[source]
        source: serde_json::Error,
    },
    /// The release controller did not report on its control socket in time that it leads.
    #[error("the release controller did not become the leader in time, see its log {}", .log.display())]
    ControllerNotReady {
        /// Path of the controller's log.
        log: PathBuf,
    },
    /// The simulated site failed during its start.
    #[error("the simulated site could not be started: {source}")]
    SiteNotStarted {
        /// The underlying error.
        #[source]
        source: NetworkError,
    },
    /// The simulated site was not ready in time, and reported no error.
    #[error("the simulated site was not ready in time")]
    SiteNotReady,
    /// The event loop, a socket or a thread of the simulated clients or site failed.
    #[error("simulated {part} failed: {source}")]
    Simulation {
        /// The part that failed: the clients or the site.
        part: &'static str,
        /// The underlying error.
        #[source]
        source: NetworkError,
    },
    /// A proxy process exited before it accepted a connection.
    #[error("proxy {proxy} exited before it accepted a connection ({status}), see {}", .log.display())]
    ProxyExited {
        /// Position of the proxy in its fleet.
        proxy: usize,
        /// Exit status of the process.
        status: ExitStatus,
        /// Path of the proxy's log.
        log: PathBuf,
    },
    /// A proxy accepted no connection in time.
    #[error("proxy {proxy} accepted no connection in time")]
    ProxyNotReady {
        /// Position of the proxy in its fleet.
        proxy: usize,
    },
    /// A thread of this process panicked.
    #[error("the {thread} thread panicked")]
    ThreadPanicked {
        /// The owner of the thread in the possessive, such as `site's`.
        thread: &'static str,
    },
    /// The release controller rejected the plan of a build as invalid.
    #[error("the release controller rejected the plan of a build: {}", .faults.join("; "))]
    PlanRejected {
        /// The faults that the controller found in the plan.
        faults: Vec<String>,
    },
}

impl ScenarioRunError {
    /// Wraps an I/O error together with the operation that failed.
    pub(crate) fn io(operation: impl Into<String>) -> impl FnOnce(io::Error) -> ScenarioRunError {
        let operation = operation.into();
        move |source| ScenarioRunError::Io { operation, source }
    }
}
