//! The evidence on a stage that a balancer has: its own counters, the reports of its peers, and the totals
//! that aggregators send.

use super::counters::{Arm, Evidence};
use super::message::GossipHeader;
use std::collections::{BTreeMap, VecDeque};

/// How many ended incarnations of a peer are remembered. A message that is older than that many restarts of
/// its sender does not occur.
const MAX_ENDED_INCARNATIONS: usize = 4;

/// The latest report of a peer.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
struct PeerReport {
    incarnation: u8,
    evidence: Evidence,
    /// The latest incarnations that ended before this one. Their messages may still arrive.
    #[cfg_attr(feature = "serde", serde(skip))]
    ended_incarnations: VecDeque<u8>,
}

impl PeerReport {
    fn new(incarnation: u8, evidence: Evidence) -> Self {
        PeerReport { incarnation, evidence, ended_incarnations: VecDeque::new() }
    }

    /// Replaces the report by the first one of another incarnation.
    fn begin_incarnation(&mut self, incarnation: u8, evidence: Evidence) {
        if self.ended_incarnations.len() >= MAX_ENDED_INCARNATIONS {
            self.ended_incarnations.pop_front();
        }
        self.ended_incarnations.push_back(self.incarnation);
        self.incarnation = incarnation;
        self.evidence = evidence;
    }
}

/// Evidence on the whole stage and on the open window.
#[derive(Clone, Debug)]
pub struct StageEvidence {
    /// Evidence on the whole stage.
    pub stage: Evidence,
    /// Evidence on the open window.
    pub window: Evidence,
}

/// The evidence of a balancer and of its peers. The pool holds at most one report and one total per peer.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct EvidencePool {
    /// The balancer's own counters.
    pub own: Evidence,
    /// Latest report of each peer, by the peer's position.
    reports: BTreeMap<usize, PeerReport>,
    /// Sum of the final reports of peers' earlier incarnations.
    ended: Evidence,
    /// Latest total of each aggregator, by the aggregator's position.
    totals: BTreeMap<usize, PeerReport>,
    /// Values of all totals when the open window began, including this balancer's own pooled total.
    totals_at_window_start: BTreeMap<usize, Evidence>,
    /// Values of the own counters when the open window began.
    own_at_window_start: Evidence,
    /// Whether the open window is the first one of the stage.
    first_window: bool,
}

impl EvidencePool {
    /// Starts a new stage with all counters at zero.
    pub fn restart(&mut self, classes: usize) {
        let zero = Evidence::new(classes);
        *self = EvidencePool {
            own: zero.clone(),
            ended: zero.clone(),
            own_at_window_start: zero,
            first_window: true,
            ..EvidencePool::default()
        };
    }

    /// Stores the evidence from a peer's message.
    pub fn receive(&mut self, from: usize, header: GossipHeader, evidence: Evidence) {
        let reports = if header.is_total { &mut self.totals } else { &mut self.reports };
        let Some(previous) = reports.get_mut(&from) else {
            // If the first total of a peer arrives after the first window, nothing shows how much of it
            // belongs to the open window, so none of it is counted for that window.
            if header.is_total && !self.first_window {
                self.totals_at_window_start.insert(from, evidence.clone());
            }
            reports.insert(from, PeerReport::new(header.incarnation, evidence));
            return;
        };
        if previous.ended_incarnations.contains(&header.incarnation) {
            // The message has been overtaken by those of a later incarnation.
            return;
        }
        if previous.incarnation == header.incarnation {
            // Counters only grow, so a report with lower counters arrived late.
            if evidence.all_attempts() >= previous.evidence.all_attempts() {
                previous.evidence = evidence;
            }
            return;
        }
        if !header.is_total {
            self.ended.merge(&previous.evidence);
        }
        previous.begin_incarnation(header.incarnation, evidence);
    }

    /// Returns the sum of the own counters and all reports.
    pub fn pooled_total(&self) -> Evidence {
        let mut total = self.own.clone();
        total.merge(&self.ended);
        for report in self.reports.values() {
            total.merge(&report.evidence);
        }
        total
    }

    /// Starts a window. `position` is the balancer's own position in the fleet.
    pub fn start_window(&mut self, position: usize) {
        self.first_window = false;
        self.own_at_window_start = self.own.clone();
        let totals = self.totals.iter().map(|(from, total)| (*from, total.evidence.clone()));
        self.totals_at_window_start = totals.collect();
        self.totals_at_window_start.insert(position, self.pooled_total());
    }

    /// Returns the evidence to judge by. That is the balancer's own evidence if its window holds at least
    /// `min_attempts` attempts at the new build. Otherwise it is the largest available total: this balancer's
    /// or that of one aggregator. Totals are never added up, so that no attempt counts twice.
    pub fn best_available(&self, position: usize, min_attempts: f64) -> StageEvidence {
        let own_window = self.own.difference_since(Some(&self.own_at_window_start));
        if own_window.attempts(Arm::New) >= min_attempts {
            return StageEvidence { stage: self.own.clone(), window: own_window };
        }
        let total = self.pooled_total();
        let window = total.difference_since(self.totals_at_window_start.get(&position));
        let mut best = StageEvidence { stage: total, window };
        for (from, total) in &self.totals {
            let window = total.evidence.difference_since(self.totals_at_window_start.get(from));
            if window.attempts(Arm::New) > best.window.attempts(Arm::New) {
                best = StageEvidence { stage: total.evidence.clone(), window };
            }
        }
        best
    }
}
