//! What the analysis of the build on trial remembers.

use crate::evidence::EvidencePool;
use crate::interface::{Build, Micros, Verdict};

/// A vote as the release service holds it or may hold it.
#[derive(Clone, Copy, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Vote {
    /// The build that it is about.
    pub build: Build,
    /// The stage that it is about.
    pub stage: u8,
    /// What it says.
    pub verdict: Verdict,
    /// When it was cast.
    pub cast_at: Micros,
}

/// The open window, the verdict that stands, and the votes cast on it.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct AnalysisState {
    /// When the present stage was announced.
    pub stage_since: Micros,
    /// When the open window began.
    pub window_start: Micros,
    /// Own attempts at the new build in it.
    pub window_attempts: usize,
    /// Windows in a row that found a violation, by weight.
    pub violations: f64,
    /// The verdict that stands.
    pub verdict: Verdict,
    /// An operator has votes suspended.
    pub paused: bool,
    /// The build on trial has been compared with an earlier one.
    pub compared: bool,
    /// The vote that the release service holds.
    pub standing_vote: Option<Vote>,
    /// A vote without a reply yet.
    pub pending_vote: Option<Vote>,
    /// Earliest time of the next vote.
    pub next_vote_at: Micros,
    /// Evidence on the stage, own and of peers.
    pub evidence: EvidencePool,
    /// When the next gossip message is due.
    pub next_gossip: Micros,
}
