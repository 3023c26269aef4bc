//! The reasons for which a publisher stops publishing until an operator intervenes.

use thiserror::Error;
use violetseam_distribution::{Term, Version};

/// Why a publisher has stopped publishing: the versions that it would publish next could not be told apart
/// from versions that subscribers already have.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum HaltReason {
    /// A subscriber follows a publisher of a higher term.
    #[error(
        "subscriber {subscriber} follows a publisher of term {term}: stop this one, or start it with a \
         --term above that"
    )]
    Superseded {
        /// The subscriber's name.
        subscriber: String,
        /// The other publisher's term.
        term: Term,
    },
    /// A subscriber has a version of this term that is not in the store: the store has lost its newest
    /// versions.
    #[error(
        "subscriber {subscriber} holds version {known}, which this store does not have: put its newest \
         part back, or start with a higher --term to go on without it"
    )]
    Ahead {
        /// The subscriber's name.
        subscriber: String,
        /// The version that the subscriber has.
        known: Version,
    },
}
