//! Updates that failed the caller's validation. The subscriber retains them until a later delta corrects
//! them.

use crate::configuration::Configuration;
use crate::message::{Change, Delta};
use crate::resource::ResourceKey;
use crate::version::Version;
use std::collections::BTreeMap;

/// The rejected updates that follow the current configuration.
#[derive(Debug, Default)]
pub(crate) enum RejectedUpdates {
    /// No update is rejected.
    #[default]
    None,
    /// Rejected deltas. The first is based on the current configuration, each later one on the delta before
    /// it.
    Deltas(Vec<Delta>),
    /// A rejected snapshot, to which the deltas received since have been applied.
    Snapshot(Configuration),
}

impl RejectedUpdates {
    /// Returns the newest rejected version.
    pub(crate) fn version(&self) -> Option<Version> {
        match self {
            RejectedUpdates::None => None,
            RejectedUpdates::Deltas(deltas) => deltas.last().map(|delta| delta.version),
            RejectedUpdates::Snapshot(snapshot) => Some(snapshot.version()),
        }
    }

    /// Returns whether the retained update is a snapshot that is at least as new as `version`, so that a
    /// snapshot of `version` adds nothing.
    pub(crate) fn covers_snapshot(&self, version: Version) -> bool {
        matches!(self, RejectedUpdates::Snapshot(snapshot) if snapshot.version() >= version)
    }
}

/// Returns an upper bound of the encoded length of all changes in `deltas`, in bytes.
pub(crate) fn max_encoded_bytes(deltas: &[Delta]) -> usize {
    let changes = deltas.iter().flat_map(|delta| &delta.changes);
    changes.map(Change::max_encoded_bytes).sum()
}

/// Merges the rejected deltas and the next delta into a single delta that is based on `current`. It keeps
/// only the last change of each key, and drops the removal of a resource that `current` does not contain.
pub(crate) fn merge_deltas(rejected: &[Delta], next: Delta, current: &Configuration) -> Delta {
    let Some(first) = rejected.first() else { return next };
    let mut latest_changes: BTreeMap<ResourceKey, Change> = BTreeMap::new();
    for change in rejected.iter().flat_map(|delta| &delta.changes).chain(&next.changes) {
        latest_changes.insert(change.key(), change.clone());
    }
    latest_changes.retain(|key, change| matches!(change, Change::Put(_)) || current.contains(key));
    let changes = latest_changes.into_values().collect();
    Delta { base: first.base, version: next.version, changes, digest: next.digest }
}
