//! Updates that failed the validation of their meaning, retained until a later delta repairs them.

use crate::configuration::Configuration;
use crate::message::{Change, Delta};
use crate::resource::ResourceKey;
use crate::version::Version;
use std::collections::BTreeMap;

/// The rejected updates on top of the current configuration.
#[derive(Debug, Default)]
pub(crate) enum Rejected {
    /// Nothing was rejected.
    #[default]
    None,
    /// Deltas, each based on the one before, the first on the current configuration.
    Deltas(Vec<Delta>),
    /// A snapshot, with the deltas since applied.
    Snapshot(Configuration),
}

impl Rejected {
    /// The newest rejected version.
    pub(crate) fn version(&self) -> Option<Version> {
        match self {
            Rejected::None => None,
            Rejected::Deltas(deltas) => deltas.last().map(|delta| delta.version),
            Rejected::Snapshot(snapshot) => Some(snapshot.version()),
        }
    }

    /// Whether a snapshot of `version` adds nothing to the rejected one.
    pub(crate) fn covers_snapshot(&self, version: Version) -> bool {
        matches!(self, Rejected::Snapshot(snapshot) if snapshot.version() >= version)
    }
}

/// The upper bound of the encoded length of all changes of `deltas`, in bytes.
pub(crate) fn encoded_bytes(deltas: &[Delta]) -> usize {
    let changes = deltas.iter().flat_map(|delta| &delta.changes);
    changes.map(Change::max_encoded_bytes).sum()
}

/// Merges rejected deltas and the next one into a single delta onto `current`: the last change of each key
/// counts, and the removal of a resource that was never in force is dropped.
pub(crate) fn merge(rejected: &[Delta], next: Delta, current: &Configuration) -> Delta {
    let Some(first) = rejected.first() else { return next };
    let mut latest: BTreeMap<ResourceKey, Change> = BTreeMap::new();
    for change in rejected.iter().flat_map(|delta| &delta.changes).chain(&next.changes) {
        latest.insert(change.key(), change.clone());
    }
    latest.retain(|key, change| matches!(change, Change::Put(_)) || current.contains(key));
    let changes = latest.into_values().collect();
    Delta { base: first.base, version: next.version, changes, digest: next.digest }
}
