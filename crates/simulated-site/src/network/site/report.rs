//! What the site observed in a run.

use crate::model::release_service::BuildOutcome;
use std::collections::BTreeMap;
use violetseam_invariants::EventRecord;

/// A build that was offered, and what became of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BuildReport {
    /// What became of it.
    pub outcome: BuildOutcome,
    /// Whether it has a defect.
    pub is_defective: bool,
}

/// Attempts by what servers replied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplyCounts {
    /// Served.
    pub ok: u64,
    /// Failed.
    pub error: u64,
    /// Rejected without being executed.
    pub not_run: u64,
}

/// What the site observed.
#[derive(Debug, Default)]
pub struct SiteReport {
    /// Records for the checker of the invariants.
    pub entries: Vec<EventRecord>,
    /// The builds that were offered, in order.
    pub builds: Vec<BuildReport>,
    /// Servers that collapsed because they were overloaded while warming up.
    pub collapsed: Vec<u64>,
    /// Attempts by the servers' replies.
    pub replies: ReplyCounts,
    /// Votes that counted, by proxy.
    pub votes: BTreeMap<usize, u64>,
    /// Attempts that were still in flight at the end.
    pub open_attempts: usize,
}
