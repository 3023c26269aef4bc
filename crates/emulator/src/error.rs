//! Why a scenario cannot be simulated.

use violetseam_plan::ScriptError;
use violetseam_simulated_site::scenario::{FaultKind, Scenario};

/// Why a scenario cannot be simulated.
#[derive(Debug, thiserror::Error)]
pub enum SimulationError {
    /// It has faults that are not simulated yet.
    #[error("not played in simulated time yet: {}", kinds.join(", "))]
    UnsupportedFaults {
        /// Their kinds, by name.
        kinds: Vec<String>,
    },
    /// The settings that a proxy would run by cannot be read.
    #[error("settings of proxy {proxy}: {source}")]
    Settings {
        /// The proxy's position.
        proxy: usize,
        /// What is wrong with them.
        source: ScriptError,
    },
    /// The plan of a release cannot be read.
    #[error("plan of release {release}: {}", faults_text(faults))]
    Plan {
        /// The release's index.
        release: usize,
        /// What is wrong with it.
        faults: Vec<ScriptError>,
    },
    /// The histogram of response times cannot be made.
    #[error("histogram of response times: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
}

fn faults_text(faults: &[ScriptError]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("; ")
}

/// Kinds of faults in a scenario that are not simulated yet, by name.
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
