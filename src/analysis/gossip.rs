//! Gossip: balancers exchange their evidence counters of the present stage.
//!
//! In a small fleet each balancer sends its counters to all others. In a large one each sends them to a few
//! aggregators, which are drawn anew for each stage and send the totals to everyone. So each balancer
//! receives only a few messages a second, whatever the size of the fleet.

use super::windows::MAX_WINDOW_ATTEMPTS;
use crate::balancer::Balancer;
use crate::evidence::{GossipHeader, decode, encode};
use crate::interface::{Action, Micros, Phase, ReleaseStatus};
use crate::state::RandomSource;
use crate::time::MILLISECOND;

/// The time between two messages while a build is on trial. It is doubled once the build is released.
pub(crate) const GOSSIP_INTERVAL: Micros = 800 * MILLISECOND;
/// The largest fleet in which every balancer sends to every other. Larger fleets use aggregators.
const MAX_FULL_MESH: usize = 20;
/// The number of aggregators of a stage.
const AGGREGATORS: u64 = 3;
/// A peer's counters are accepted if they hold at most this multiple of the balancer's own attempts plus one
/// full window. A total may hold as many for each balancer of the fleet.
const MAX_PEER_RATIO: f64 = 4.0;

impl Balancer {
    /// Sends this balancer's counters of the stage when a message is due.
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
                let payload = encode(header, &self.state.analysis.evidence.pooled_total());
                out.push(Action::GossipToAll { payload });
            } else {
                out.push(Action::GossipToPeer { to: aggregator, payload: payload.clone() });
            }
        }
    }

    /// Accepts counters from a peer. They only supplement the balancer's own: nothing depends on their
    /// arrival, and implausible counts are ignored.
    pub(crate) fn on_peer_message(&mut self, from: usize, payload: &[u8]) {
        let fleet_size = self.settings.fleet_size;
        let own_attempts = self.state.analysis.evidence.own.all_attempts();
        let max_attempts = MAX_PEER_RATIO * (own_attempts + MAX_WINDOW_ATTEMPTS as f64);
        let classes = self.settings.classes.len();
        let Some((header, evidence)) = decode(payload, classes, max_attempts * fleet_size as f64) else {
            return;
        };
        let current_stage = self.state.release.map(|release| (release.build, release.stage));
        let about_current_stage = current_stage == Some((header.build, header.stage));
        let from_known_peer = from < fleet_size && from != self.settings.position;
        let plausible = header.is_total || evidence.all_attempts() <= max_attempts;
        if about_current_stage && from_known_peer && plausible {
            self.state.analysis.evidence.receive(from, header, evidence);
        }
    }
}

/// The position of one of a stage's aggregators. Every balancer computes the same ones.
fn aggregator(release: ReleaseStatus, draw: u64, fleet_size: usize) -> usize {
    let seed = (u64::from(release.build) << 16) + (u64::from(release.stage) << 8) + draw;
    (RandomSource(seed).unit() * fleet_size as f64) as usize
}
