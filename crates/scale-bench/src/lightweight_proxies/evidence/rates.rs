//! Rates of a fleet's datagrams, for collectors and for ordinary proxies.

use super::{Plan, Transport};
use crate::lightweight_proxies::engine_fleet::{EngineFleet, Traffic};

/// One role's flows, a second and proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RoleRates {
    /// Proxies of the role.
    pub proxies: usize,
    /// Datagrams received.
    pub received: f64,
    /// Bytes received, without the 28 bytes that UDP and IP add to each datagram.
    pub received_bytes: f64,
    /// Datagrams sent.
    pub sent: f64,
    /// Bytes sent, counted likewise.
    pub sent_bytes: f64,
    /// Votes.
    pub votes: f64,
    /// Bytes of the votes' bodies.
    pub vote_bytes: f64,
    /// Microseconds of the decision module; 0 in simulated time, where it is not timed.
    pub decision_micros: f64,
}

/// What was measured on one fleet.
#[derive(Clone, Copy, Debug)]
pub struct EvidenceTraffic {
    /// Proxies.
    pub proxies: usize,
    /// How the datagrams were delivered.
    pub transport: Transport,
    /// Proxies that send a sum to all peers; none in a full mesh.
    pub collector: RoleRates,
    /// All others.
    pub ordinary: RoleRates,
    /// Share of the datagrams sent that did not arrive within the counted span.
    pub lost_share: f64,
}

impl EvidenceTraffic {
    /// Sums up the fleet's counters.
    pub(super) fn of(fleet: &EngineFleet, plan: &Plan) -> EvidenceTraffic {
        let traffic = fleet.traffic();
        let is_full_mesh = traffic.iter().all(|proxy| proxy.broadcasts > 0);
        let is_collector = |proxy: &Traffic| proxy.broadcasts > 0 && !is_full_mesh;
        let (collectors, others): (Vec<usize>, Vec<usize>) =
            (0..traffic.len()).partition(|&number| is_collector(&traffic[number]));
        let sent: u64 = traffic.iter().map(|proxy| proxy.sent.messages).sum();
        let received: u64 = traffic.iter().map(|proxy| proxy.received.messages).sum();
        EvidenceTraffic {
            proxies: traffic.len(),
            transport: plan.transport,
            collector: role_rates(fleet, &traffic, &collectors, plan),
            ordinary: role_rates(fleet, &traffic, &others, plan),
            lost_share: (1.0 - received as f64 / (sent as f64).max(1.0)).max(0.0),
        }
    }
}

fn role_rates(fleet: &EngineFleet, traffic: &[Traffic], members: &[usize], plan: &Plan) -> RoleRates {
    let proxies = members.len().max(1) as f64;
    let counted_seconds = proxies * plan.span.as_secs_f64();
    let rate = |count: fn(&Traffic) -> u64| {
        members.iter().map(|&number| count(&traffic[number])).sum::<u64>() as f64 / counted_seconds
    };
    let decision_seconds: f64 = members.iter().map(|&number| fleet.decision_seconds(number)).sum();
    // The decisions are timed from the start on.
    let timed_seconds = proxies * (plan.warm_up + plan.span).as_secs_f64();
    RoleRates {
        proxies: members.len(),
        received: rate(|proxy| proxy.received.messages),
        received_bytes: rate(|proxy| proxy.received.bytes),
        sent: rate(|proxy| proxy.sent.messages),
        sent_bytes: rate(|proxy| proxy.sent.bytes),
        votes: rate(|proxy| proxy.votes.messages),
        vote_bytes: rate(|proxy| proxy.votes.bytes),
        decision_micros: decision_seconds / timed_seconds * 1e6,
    }
}
