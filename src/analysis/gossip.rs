//! Gossip: balancers exchange their counters on the stage.
//!
//! In a small fleet each sends its counters to all. In a large one each sends them to a few aggregators,
//! drawn anew for each stage, which send the totals to all: each hears a few messages a second, however
//! many there are.

use super::windows::MAX_WINDOW_ATTEMPTS;
use crate::balancer::Balancer;
use crate::evidence::{GossipHeader, decode, encode};
use crate::interface::{Action, Micros, Phase, ReleaseStatus};
use crate::state::RandomSource;
use crate::time::MILLISECOND;

/// Time between two messages on trial; it is doubled after the release.
pub(crate) const GOSSIP_INTERVAL: Micros = 800 * MILLISECOND;
/// Up to so many balancers all send to all; above, aggregators add up.
const MAX_FULL_MESH: usize = 20;
/// Aggregators of a stage.
const AGGREGATORS: u64 = 3;
/// Multiple of the own counters up to which a peer's are believed.
const MAX_PEER_RATIO: f64 = 4.0;

impl Balancer {
    /// Sends own counters on the stage where a message is due.
    pub(crate) fn gossip_to_peers(&mut self, now: Micros, out: &mut Vec<Action>) {
        let fleet_size = self.settings.fleet_size;
        let has_peers = self.settings.limits.gossip && fleet_size > 1;
        if !has_peers || now < self.state.analysis.next_gossip {
            return;
        }
        let Some(release) = self.release_under_analysis() else { return };
        let on_trial = release.phase == Phase::Trial;
        self.state.analysis.next_gossip = now + if on_trial { GOSSIP_INTERVAL } else { 2 * GOSSIP_INTERVAL };
        let header = GossipHeader {
            build: release.build,
            stage: release.stage,
            is_total: false,
            incarnation: self.state.incarnation,
        };
        let payload = encode(header, &self.state.analysis.evidence.own);
        if fleet_size <= MAX_FULL_MESH {
            out.push(Action::GossipToAll { payload });
            return;
        }
        for draw in 0..AGGREGATORS {
            let aggregator = aggregator(release, draw, fleet_size);
            if aggregator == self.settings.position {
                let header = GossipHeader { is_total: true, ..header };
                let payload = encode(header, &self.state.analysis.evidence.total());
                out.push(Action::GossipToAll { payload });
            } else {
                out.push(Action::GossipToPeer { to: aggregator, payload: payload.clone() });
            }
        }
    }

    /// A peer's counters are a supplement: none need come, and what cannot be true is not believed.
    pub(crate) fn on_peer_message(&mut self, from: usize, payload: &[u8]) {
        let fleet_size = self.settings.fleet_size;
        let own_attempts = self.state.analysis.evidence.own.all_attempts();
        let believable = MAX_PEER_RATIO * (own_attempts + MAX_WINDOW_ATTEMPTS as f64);
        let classes = self.settings.classes.len();
        let Some((header, evidence)) = decode(payload, classes, believable * fleet_size as f64) else {
            return;
        };
        let stage = self.state.release.map(|release| (release.build, release.stage));
        let current = stage == Some((header.build, header.stage));
        let from_peer = from < fleet_size && from != self.settings.position;
        let believed = header.is_total || evidence.all_attempts() <= believable;
        if current && from_peer && believed {
            self.state.analysis.evidence.receive(from, header, evidence);
        }
    }
}

/// The number of an aggregator of a stage; every balancer draws the same ones.
fn aggregator(release: ReleaseStatus, draw: u64, fleet_size: usize) -> usize {
    let seed = (u64::from(release.build) << 16) + (u64::from(release.stage) << 8) + draw;
    (RandomSource(seed).unit() * fleet_size as f64) as usize
}
