//! Errors of reading a scenario file of the bench.

use thiserror::Error;

/// The reason why a scenario file of the bench cannot be played.
#[derive(Debug, Error)]
pub enum BenchScenarioError {
    /// The file is not in the bench's format.
    #[error("not a drawn day: {0}")]
    Format(#[from] serde_json::Error),
    /// The file has a family other than the one with releases, or not exactly one tier of servers.
    #[error(
        "only files with releases and one tier can be played: found family {family:?} with {tiers} tiers"
    )]
    UnsupportedFamily {
        /// Family of the file.
        family: String,
        /// Number of tiers in the file.
        tiers: usize,
    },
    /// A server refers to a machine kind that the file does not define.
    #[error("a server refers to machine kind {kind}, which the file does not define")]
    UnknownServerKind {
        /// Index of the machine kind.
        kind: usize,
    },
    /// A class has an unknown effect or an unknown deduplication group.
    #[error("class {class:?} has an unknown effect {effect:?} or deduplication group {group:?}")]
    UnknownEffect {
        /// Name of the class.
        class: String,
        /// Effect of its requests.
        effect: String,
        /// Deduplication group of its requests.
        group: String,
    },
    /// A build has an unknown defect.
    #[error("a build has an unknown defect {defect:?}")]
    UnknownDefect {
        /// Name of the defect in the file.
        defect: String,
    },
    /// The rollout has an unknown gate mode.
    #[error("the rollout has an unknown gate mode {gate:?}")]
    UnknownGate {
        /// Name of the gate mode in the file.
        gate: String,
    },
}
