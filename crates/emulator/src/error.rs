//! Errors of a simulation.

use violetseam_plan::ScriptError;
use violetseam_simulated_site::scenario::{FaultKind, Scenario};

/// Why a scenario cannot be simulated.
#[derive(Debug, thiserror::Error)]
pub enum SimulationError {
    /// The scenario has faults that cannot be simulated yet.
    #[error("not played in simulated time yet: {}", kinds.join(", "))]
    UnsupportedFaults {
        /// The names of their kinds.
        kinds: Vec<String>,
    },
    /// The settings script of a proxy cannot be read.
    #[error("cannot read the settings of proxy {proxy}: {source}")]
    Settings {
        /// The proxy's position.
        proxy: usize,
        /// The error in the script.
        source: ScriptError,
    },
    /// The plan of a release cannot be read.
    #[error("cannot read the plan of release {release}: {}", join_errors(errors))]
    Plan {
        /// The release's index.
        release: usize,
        /// The errors in the plan.
        errors: Vec<ScriptError>,
    },
    /// The histogram of response times cannot be created.
    #[error("cannot create the histogram of response times: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
}

fn join_errors(errors: &[ScriptError]) -> String {
    let messages: Vec<String> = errors.iter().map(ToString::to_string).collect();
    messages.join("; ")
}

/// Returns the names of the kinds of faults in a scenario that cannot be simulated yet, sorted.
pub fn unsupported_faults(scenario: &Scenario) -> Vec<String> {
    let unsupported = scenario.faults.iter().map(|fault| fault.kind).filter(|kind| !is_supported(*kind));
    let mut names: Vec<String> = unsupported.map(|kind| format!("{kind:?}")).collect();
    names.sort();
    names.dedup();
    names
}

fn is_supported(kind: FaultKind) -> bool {
    matches!(
        kind,
        FaultKind::ServerCrash
            | FaultKind::SlowServer
            | FaultKind::FastErrors
            | FaultKind::ServerPauses
            | FaultKind::NoisyNeighbor
            | FaultKind::SlowFleet
            | FaultKind::SlowClass
            | FaultKind::ReleaseServiceErrors
            | FaultKind::ReleaseServiceDelay
            | FaultKind::DiscoveryDelay
            | FaultKind::GossipOutage
    )
}
