//! The report of what the simulated site observed in a run.

use crate::model::release_service::BuildOutcome;
use std::collections::BTreeMap;
use violetseam_invariants::EventRecord;

/// A build that was offered to the release service, with its outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BuildReport {
    /// When the build was offered, and when it was released or rolled back.
    pub outcome: BuildOutcome,
    /// Whether the scenario gave the build a defect.
    pub is_defective: bool,
}

/// Counts attempts by the replies of the servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplyCounts {
    /// The server executed the attempt and replied with success.
    pub ok: u64,
    /// The server replied with an error.
    pub error: u64,
    /// The server rejected the attempt without executing it.
    pub not_run: u64,
}

/// Everything that the site observed in a run.
#[derive(Debug, Default)]
pub struct SiteReport {
    /// The event records for the invariant checker.
    pub entries: Vec<EventRecord>,
    /// The builds that were offered, in the order of the offers.
    pub builds: Vec<BuildReport>,
    /// The ids of servers that collapsed because they were overloaded while warming up.
    pub collapsed: Vec<u64>,
    /// The counts of attempts by the servers' replies.
    pub replies: ReplyCounts,
    /// The number of votes that the release service counted, by proxy.
    pub votes: BTreeMap<usize, u64>,
    /// The number of attempts that were still in flight at the end.
    pub open_attempts: usize,
}
