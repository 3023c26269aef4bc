//! Votes in force.

use crate::{Verdict, Vote};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use violetseam_plan::Micros;

/// A vote in force, with what is left of its lifetime.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ActiveVote {
    verdict: Verdict,
    build: u16,
    stage: u8,
    #[serde(rename = "left")]
    remaining: Micros,
}

/// The votes in force: at most one per proxy, so that none counts twice.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Votes(BTreeMap<u32, ActiveVote>);

impl Votes {
    /// Replaces the proxy's vote, or withdraws it.
    pub fn cast(&mut self, vote: &Vote, ttl: Micros) {
        if vote.verdict == Verdict::Withdraw {
            self.0.remove(&vote.proxy);
        } else {
            let Vote { verdict, build, stage, .. } = *vote;
            self.0.insert(vote.proxy, ActiveVote { verdict, build, stage, remaining: ttl });
        }
    }

    /// Lets a span pass; votes at the end of their lifetime expire.
    pub fn advance(&mut self, span: Micros) {
        self.0.retain(|_, vote| {
            vote.remaining = vote.remaining.saturating_sub(span);
            vote.remaining > 0
        });
    }

    /// When the next vote expires.
    pub fn next_expiry(&self) -> Option<Micros> {
        self.0.values().map(|vote| vote.remaining).min()
    }

    /// Counts votes on a build. [`Verdict::Back`] counts whatever stage it was cast in, others in their stage only.
    pub fn count(&self, verdict: Verdict, build: u16, stage: u8) -> usize {
        let counts = |vote: &&ActiveVote| {
            let stage_matches = vote.stage == stage || verdict == Verdict::Back;
            vote.verdict == verdict && vote.build == build && stage_matches
        };
        self.0.values().filter(counts).count()
    }

    /// Drops all votes.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// How many votes are in force.
    pub fn len(&self) -> usize {
        self.0.len()
    }
}
