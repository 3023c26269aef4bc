//! The version of a configuration: a publisher's term and a number within the term.

use serde::{Deserialize, Serialize};

/// The highest valid term and the highest valid number: not every JSON parser represents larger integers
/// exactly.
pub const MAX_VERSION_NUMBER: u64 = (1 << 53) - 1;

/// One incarnation of a publisher's log. A publisher whose log was lost continues under a higher term. A
/// subscriber that has a configuration of one term accepts no message of a lower term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Term(pub u64);

/// The version of a configuration. Versions are ordered by term, then by number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// The term in which the version was published.
    pub term: Term,
    /// The number of updates published up to and including this version. Number 0 is the empty configuration
    /// with which a new log starts.
    pub number: u64,
}

impl Version {
    /// Creates the version `number` of `term`.
    pub fn new(term: Term, number: u64) -> Version {
        Version { term, number }
    }

    /// Returns the next version of the same term.
    pub fn next(self) -> Version {
        Version { number: self.number + 1, ..self }
    }

    /// Returns whether the term and the number are at most [`MAX_VERSION_NUMBER`].
    pub fn is_bounded(self) -> bool {
        self.term.0 <= MAX_VERSION_NUMBER && self.number <= MAX_VERSION_NUMBER
    }
}

impl std::fmt::Display for Term {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

impl std::fmt::Display for Version {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.term, self.number)
    }
}
