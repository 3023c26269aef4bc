//! Why a scenario file of the bench cannot be played.

use thiserror::Error;

/// Why a scenario file of the bench cannot be played.
#[derive(Debug, Error)]
pub enum BenchScenarioError {
    /// It is not in the bench's format.
    #[error("not a drawn day: {0}")]
    Format(#[from] serde_json::Error),
    /// It has another family than releases, or more than one tier of servers.
    #[error("a day of family {family:?} with {tiers} tiers cannot be played")]
    UnsupportedFamily {
        /// Its family.
        family: String,
        /// How many tiers it has.
        tiers: usize,
    },
    /// A server names a kind that the file does not have.
    #[error("a server of no known kind ({kind})")]
    UnknownServerKind {
        /// Index of the kind.
        kind: usize,
    },
    /// A class has an unknown effect, or an unknown group of servers that drop repeats.
    #[error("class {class:?}: unknown effect {effect:?}, {group:?}")]
    UnknownEffect {
        /// Name of the class.
        class: String,
        /// Its effect.
        effect: String,
        /// Its group.
        group: String,
    },
    /// A build has an unknown defect.
    #[error("a build with an unknown fault {defect:?}")]
    UnknownDefect {
        /// The defect.
        defect: String,
    },
    /// Stages are promoted in an unknown way.
    #[error("an unknown gate {gate:?}")]
    UnknownGate {
        /// The gate.
        gate: String,
    },
}
