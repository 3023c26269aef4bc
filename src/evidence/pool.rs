//! Own counters on the stage, peers' reports, and the totals that aggregators send.

use super::counters::{Arm, Evidence};
use super::message::GossipHeader;
use std::collections::BTreeMap;

/// The last report of a peer.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
struct PeerReport {
    incarnation: u8,
    evidence: Evidence,
}

/// Evidence on the whole stage and on the open window.
#[derive(Clone, Debug)]
pub struct StageEvidence {
    /// On the whole stage.
    pub stage: Evidence,
    /// On the open window.
    pub window: Evidence,
}

/// The evidence of a balancer and of its peers. It holds at most one report and one total for each peer.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct EvidencePool {
    /// Own counters.
    pub own: Evidence,
    /// Peers' last reports by their number.
    reports: BTreeMap<usize, PeerReport>,
    /// Reports of incarnations that have ended.
    ended: Evidence,
    /// Aggregators' last totals by their number.
    totals: BTreeMap<usize, PeerReport>,
    /// What all totals stood at when the open window began.
    totals_at_window_start: BTreeMap<usize, Evidence>,
    /// What the own counters stood at then.
    own_at_window_start: Evidence,
    /// No window of this stage has been closed yet.
    first_window: bool,
}

impl EvidencePool {
    /// A new stage: all counters at zero.
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

    /// Takes a peer's message in.
    pub fn receive(&mut self, from: usize, header: GossipHeader, evidence: Evidence) {
        let reports = if header.is_total { &mut self.totals } else { &mut self.reports };
        let Some(known) = reports.get_mut(&from) else {
            // A total first heard of in a later window says nothing of what came before.
            if header.is_total && !self.first_window {
                self.totals_at_window_start.insert(from, evidence.clone());
            }
            reports.insert(from, PeerReport { incarnation: header.incarnation, evidence });
            return;
        };
        if known.incarnation == header.incarnation {
            // Counters only grow: a lower one is late.
            if evidence.all_attempts() >= known.evidence.all_attempts() {
                known.evidence = evidence;
            }
            return;
        }
        if !header.is_total {
            self.ended.merge(&known.evidence);
        }
        known.incarnation = header.incarnation;
        known.evidence = evidence;
    }

    /// Own counters with all reports.
    pub fn total(&self) -> Evidence {
        let mut total = self.own.clone();
        total.merge(&self.ended);
        for report in self.reports.values() {
            total.merge(&report.evidence);
        }
        total
    }

    /// A window begins; `position` is the balancer's own number among its peers.
    pub fn start_window(&mut self, position: usize) {
        self.first_window = false;
        self.own_at_window_start = self.own.clone();
        let totals = self.totals.iter().map(|(from, total)| (*from, total.evidence.clone()));
        self.totals_at_window_start = totals.collect();
        self.totals_at_window_start.insert(position, self.total());
    }

    /// The own evidence, if its window holds `enough` attempts at the new build; else the widest at hand, the
    /// own total or one aggregator's. Never two of them added up, so that nothing counts twice.
    pub fn widest(&self, position: usize, enough: f64) -> StageEvidence {
        let own_window = self.own.since(Some(&self.own_at_window_start));
        if own_window.attempts(Arm::New) >= enough {
            return StageEvidence { stage: self.own.clone(), window: own_window };
        }
        let total = self.total();
        let window = total.since(self.totals_at_window_start.get(&position));
        let mut widest = StageEvidence { stage: total, window };
        for (from, total) in &self.totals {
            let window = total.evidence.since(self.totals_at_window_start.get(from));
            if window.attempts(Arm::New) > widest.window.attempts(Arm::New) {
                widest = StageEvidence { stage: total.evidence.clone(), window };
            }
        }
        widest
    }
}
