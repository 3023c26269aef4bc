//! A fleet of engines in simulated time.

use super::{Datagram, EngineFleet};
use std::collections::BTreeMap;
use violetseam::interface::Micros;

/// When a datagram arrives; those of one moment arrive in the order in which they were sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Arrival {
    at: Micros,
    sequence: u64,
}

/// Runs a fleet in simulated time until `until`, every datagram `latency` on its way; the time at the end.
pub fn simulate(fleet: &mut EngineFleet, from: Micros, until: Micros, latency: Micros) -> Micros {
    let mut network: BTreeMap<Arrival, Datagram> = BTreeMap::new();
    let mut now = from;
    let mut sequence = 0;
    loop {
        for datagram in fleet.take_outbox() {
            sequence += 1;
            network.insert(Arrival { at: now + latency, sequence }, datagram);
        }
        let next_arrival = network.first_key_value().map(|(arrival, _)| arrival.at);
        let next = next_arrival.into_iter().chain(fleet.next_event_at()).min();
        let Some(next) = next.filter(|&next| next <= until) else { return until };
        now = next.max(now);
        while let Some(entry) = network.first_entry().filter(|entry| entry.key().at <= now) {
            let datagram = entry.remove();
            fleet.deliver(now, datagram.to, &datagram.bytes);
        }
        fleet.advance(now);
    }
}
