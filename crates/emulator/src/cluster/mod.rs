//! The modelled servers in their places, the discovery service's endpoint list, and the attempts in flight.

mod attempts;
mod faults;
mod servers;

pub use attempts::Attempt;

use crate::event_queue::EventQueue;
use std::collections::BTreeMap;
use violetseam_invariants::{EventRecord, ObservedEvent, ServerStatus};
use violetseam_simulated_site::model::RandomSource;
use violetseam_simulated_site::model::endpoint_registry::EndpointRegistry;
use violetseam_simulated_site::model::server::{Build, DedupCaches};
use violetseam_simulated_site::scenario::{Fault, FaultKind, Scenario};
use violetseam_site_protocol::endpoint_list::EndpointState;

use faults::NewestBuildTraffic;
use servers::SimulatedServer;

/// The one-way delay of messages between proxies, servers and the discovery service, in microseconds.
pub const NETWORK_LATENCY: u64 = 250;

/// The servers, the endpoint list and the attempts, with the clock, the event queue and the random source of
/// the simulation.
pub struct Cluster {
    /// The scenario, with times counted from the start of the simulation.
    pub scenario: Scenario,
    /// The random source for the behaviour of servers and clients.
    pub random: RandomSource,
    /// The current time, in microseconds since the start of the simulation.
    pub now: u64,
    /// The scheduled events.
    pub queue: EventQueue,
    /// The endpoint list.
    pub endpoints: EndpointRegistry,
    /// The number that the next server to start gets.
    pub next_server: u64,
    /// The attempts whose reply, loss or cancellation has not arrived yet, by number.
    pub attempts: BTreeMap<u64, Attempt>,
    /// The newest build that the controller has announced.
    pub newest_build: u16,
    /// The records for the invariant checker.
    pub records: Vec<EventRecord>,
    servers: BTreeMap<u64, SimulatedServer>,
    /// The number of the server in each place, by place and build.
    server_in_place: BTreeMap<(u32, u16), u64>,
    /// By place: how many servers have been started there.
    servers_started: Vec<usize>,
    /// The number that the next attempt gets.
    next_attempt: u64,
    dedup_caches: DedupCaches,
    newest_build_traffic: NewestBuildTraffic,
}

impl Cluster {
    /// Returns a cluster that has a warm server of the first build in each place.
    pub fn new(scenario: Scenario, random: RandomSource) -> Cluster {
        let places = scenario.servers.len();
        let first_build = scenario.rollout.first_build;
        let mut cluster = Cluster {
            scenario,
            random,
            now: 0,
            queue: EventQueue::default(),
            endpoints: EndpointRegistry::default(),
            next_server: 1,
            attempts: BTreeMap::new(),
            newest_build: first_build,
            records: Vec::new(),
            servers: BTreeMap::new(),
            server_in_place: BTreeMap::new(),
            servers_started: vec![0; places],
            next_attempt: 1,
            dedup_caches: DedupCaches::default(),
            newest_build_traffic: NewestBuildTraffic::default(),
        };
        for place in 0..places {
            cluster.start_warm_server(place as u32, first_build);
        }
        cluster
    }

    /// Records an event for the invariant checker.
    pub fn observe(&mut self, event: ObservedEvent) {
        self.records.push(EventRecord { at: self.now, event });
    }

    /// Returns the first active fault of a kind.
    pub fn active_fault(&self, kind: FaultKind) -> Option<&Fault> {
        self.scenario.active_faults(self.now).find(|fault| fault.kind == kind)
    }

    /// Returns the delay in microseconds that an active fault of a kind causes. The fault's magnitude is
    /// taken as seconds.
    pub fn fault_delay(&self, kind: FaultKind) -> u64 {
        self.active_fault(kind).map_or(0, |fault| (fault.magnitude * 1e6) as u64)
    }

    /// Returns the model of a build by its number.
    pub fn build(&self, number: u16) -> Build {
        Build::in_scenario(&self.scenario, number)
    }
}

/// Converts a server's state on the endpoint list to the invariant checker's status.
pub fn server_status(state: EndpointState) -> ServerStatus {
    match state {
        EndpointState::Ready => ServerStatus::Ready,
        EndpointState::Draining => ServerStatus::Draining,
        EndpointState::Gone => ServerStatus::Removed,
    }
}
