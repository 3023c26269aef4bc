//! The votes in force.

use crate::{Verdict, Vote};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use violetseam_plan::Micros;

/// A vote in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ActiveVote {
    verdict: Verdict,
    build: u16,
    stage: u8,
    /// The time until the vote expires.
    #[serde(rename = "left")]
    remaining_ttl: Micros,
}

/// The votes in force, by the number of the proxy. Each proxy has at most one, so that no proxy counts twice.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Votes(BTreeMap<u32, ActiveVote>);

impl Votes {
    /// Replaces the proxy's earlier vote with this one, or removes it if the proxy withdraws its vote.
    pub fn cast(&mut self, vote: &Vote, ttl: Micros) {
        if vote.verdict == Verdict::Withdraw {
            self.0.remove(&vote.proxy);
        } else {
            let Vote { verdict, build, stage, .. } = *vote;
            self.0.insert(vote.proxy, ActiveVote { verdict, build, stage, remaining_ttl: ttl });
        }
    }

    /// Counts `elapsed` against the lifetime of each vote and drops the votes that have expired.
    pub fn advance(&mut self, elapsed: Micros) {
        self.0.retain(|_, vote| {
            vote.remaining_ttl = vote.remaining_ttl.saturating_sub(elapsed);
            vote.remaining_ttl > 0
        });
    }

    /// Returns the time until the next vote expires; `None` if no vote is in force.
    pub fn next_expiry(&self) -> Option<Micros> {
        self.0.values().map(|vote| vote.remaining_ttl).min()
    }

    /// Counts the votes with this verdict on a build. Votes for [`Verdict::Back`] count from every stage, the
    /// other verdicts only from this stage.
    pub fn count(&self, verdict: Verdict, build: u16, stage: u8) -> usize {
        let matches = |vote: &&ActiveVote| {
            let stage_matches = vote.stage == stage || verdict == Verdict::Back;
            vote.verdict == verdict && vote.build == build && stage_matches
        };
        self.0.values().filter(matches).count()
    }

    /// Removes all votes.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Returns the number of votes in force.
    pub fn len(&self) -> usize {
        self.0.len()
    }
}
