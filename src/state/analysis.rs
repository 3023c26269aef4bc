//! State of the analysis of the build on trial.

use crate::evidence::EvidencePool;
use crate::interface::{Build, Micros, Verdict};

/// A vote that the release service holds, or may hold if its reply is outstanding.
#[derive(Clone, Copy, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Vote {
    /// Build that the vote is about.
    pub build: Build,
    /// Stage that the vote is about.
    pub stage: u8,
    /// Verdict that the vote carries.
    pub verdict: Verdict,
    /// Time at which the vote was cast.
    pub cast_at: Micros,
}

/// The open window of evidence, the current verdict and the votes that were cast for it.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct AnalysisState {
    /// Time at which the current stage was announced.
    pub stage_since: Micros,
    /// Time at which the open window began.
    pub window_start: Micros,
    /// Number of own attempts at the new build in the open window.
    pub window_attempts: usize,
    /// Sum of the weights of the violations found in consecutive windows. A window without a violation resets
    /// it.
    pub violations: f64,
    /// Current verdict.
    pub verdict: Verdict,
    /// Whether an operator has suspended votes.
    pub paused: bool,
    /// Whether the build on trial has been compared with an earlier build.
    #[cfg_attr(feature = "serde", serde(rename = "compared"))]
    pub compared_with_earlier: bool,
    /// Vote that the release service holds.
    pub standing_vote: Option<Vote>,
    /// Vote whose reply is outstanding.
    pub pending_vote: Option<Vote>,
    /// Earliest time of the next vote.
    pub next_vote_at: Micros,
    /// Evidence on the stage from this balancer and its peers.
    pub evidence: EvidencePool,
    /// Time at which the next gossip message is due.
    pub next_gossip: Micros,
}
