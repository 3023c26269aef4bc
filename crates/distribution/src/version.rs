//! Terms and versions of a configuration.

use serde::{Deserialize, Serialize};

/// The highest term and the highest number: integers above it are not exact in every JSON reader.
pub const MAX_VERSION_NUMBER: u64 = (1 << 53) - 1;

/// One incarnation of a publisher's log. A publisher whose log was lost starts under a higher term, and a
/// subscriber with a configuration of a term accepts nothing of a lower one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Term(pub u64);

/// A configuration's version: ordered by its term, then by its number within the term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// The publisher's term.
    pub term: Term,
    /// The number of changes published before and with it; 0 is the empty configuration of a new log.
    pub number: u64,
}

impl Version {
    /// The version `number` of `term`.
    pub fn new(term: Term, number: u64) -> Version {
        Version { term, number }
    }

    /// The next version of the same term.
    pub fn next(self) -> Version {
        Version { number: self.number + 1, ..self }
    }

    /// Whether term and number are within [`MAX_VERSION_NUMBER`].
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
