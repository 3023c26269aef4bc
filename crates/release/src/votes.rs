//! Votes that stand, and how many a second are taken.

use crate::{Verdict, Vote};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use violetseam_plan::Micros;

/// A vote that stands, with what is left of its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Standing {
    verdict: Verdict,
    build: u16,
    stage: u8,
    left: Micros,
}

/// The votes that stand: one a proxy, so that none counts twice.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Votes(BTreeMap<u32, Standing>);

impl Votes {
    pub fn cast(&mut self, vote: &Vote, ttl: Micros) {
        if vote.verdict == Verdict::Withdraw {
            self.0.remove(&vote.proxy);
        } else {
            let Vote { verdict, build, stage, .. } = *vote;
            self.0.insert(vote.proxy, Standing { verdict, build, stage, left: ttl });
        }
    }

    /// Time passes: votes whose time is up are gone.
    pub fn age(&mut self, by: Micros) {
        self.0.retain(|_, v| {
            v.left = v.left.saturating_sub(by);
            v.left > 0
        });
    }

    /// When the next one ends.
    pub fn due(&self) -> Option<Micros> {
        self.0.values().map(|v| v.left).min()
    }

    /// Votes of a kind on a build; 'back' counts whatever stage it was cast in, others in their stage alone.
    pub fn count(&self, verdict: Verdict, build: u16, stage: u8) -> usize {
        let stands = |v: &&Standing| {
            v.verdict == verdict && v.build == build && (v.stage == stage || verdict == Verdict::Back)
        };
        self.0.values().filter(stands).count()
    }

    pub fn clear(&mut self) {
        self.0.clear();
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }
}

/// The allowance of votes a second from all proxies together: a full bucket holds two seconds' worth. It is no
/// part of the durable state: a vote over it is answered `full` and never becomes an event.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    per_s: f64,
    left: f64,
    at: Micros,
}

impl Allowance {
    /// A full one.
    pub fn new(per_s: f64, steady: Micros) -> Self {
        Allowance { per_s, left: 2.0 * per_s, at: steady }
    }

    /// Another rate, as another plan says.
    pub fn set_rate(&mut self, per_s: f64) {
        self.per_s = per_s;
    }

    /// Whether one more vote is taken now.
    pub fn takes(&mut self, steady: Micros) -> bool {
        let passed = steady.saturating_sub(self.at) as f64 / 1e6;
        self.at = self.at.max(steady);
        self.left = (self.left + passed * self.per_s).min(2.0 * self.per_s);
        let takes = self.left >= 1.0;
        if takes {
            self.left -= 1.0;
        }
        takes
    }
}
