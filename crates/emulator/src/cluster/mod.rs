//! The modelled servers in their places, the endpoint list that discovery has of them, and attempts in
//! flight.

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

/// From a proxy to a server, one way, in microseconds.
pub const NETWORK_LATENCY: u64 = 250;

/// Servers, endpoint list and attempts, and the clock and the random source of the run.
pub struct Cluster {
    /// The scenario, its times counted from the start of the run.
    pub scenario: Scenario,
    /// The run's one source of chance.
    pub random: RandomSource,
    /// Microseconds since the start of the run.
    pub now: u64,
    /// The events to come.
    pub queue: EventQueue,
    /// The endpoint list.
    pub endpoints: EndpointRegistry,
    /// The number of the server that starts next.
    pub next_server: u64,
    /// Attempts that are not over for their proxy, by number.
    pub attempts: BTreeMap<u64, Attempt>,
    /// The newest build that the controller announced.
    pub newest_build: u16,
    /// What was observed, for the checker of the rules.
    pub records: Vec<EventRecord>,
    servers: BTreeMap<u64, SimulatedServer>,
    /// By place and build.
    server_in_place: BTreeMap<(u32, u16), u64>,
    /// By place: how many servers have stood there.
    generations: Vec<usize>,
    next_attempt: u64,
    dedup_caches: DedupCaches,
    newest_build_traffic: NewestBuildTraffic,
}

impl Cluster {
    /// A cluster with a warm server of the first build in each place.
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
            generations: vec![0; places],
            next_attempt: 1,
            dedup_caches: DedupCaches::default(),
            newest_build_traffic: NewestBuildTraffic::default(),
        };
        for place in 0..places {
            cluster.start_warm_server(place as u32, first_build);
        }
        cluster
    }

    /// Records an event for the checker.
    pub fn observe(&mut self, event: ObservedEvent) {
        self.records.push(EventRecord { at: self.now, event });
    }

    /// A fault of this kind that is active.
    pub fn active_fault(&self, kind: FaultKind) -> Option<&Fault> {
        self.scenario.active_faults(self.now).find(|fault| fault.kind == kind)
    }

    /// How much later things happen because of a fault of this kind, whose magnitude is in seconds.
    pub fn fault_delay(&self, kind: FaultKind) -> u64 {
        self.active_fault(kind).map_or(0, |fault| (fault.magnitude * 1e6) as u64)
    }

    /// The build with a number.
    pub fn build(&self, number: u16) -> Build {
        Build::in_scenario(&self.scenario, number)
    }
}

/// A server's state as the checker knows it.
pub fn server_status(state: EndpointState) -> ServerStatus {
    match state {
        EndpointState::Ready => ServerStatus::Ready,
        EndpointState::Draining => ServerStatus::Draining,
        EndpointState::Gone => ServerStatus::Removed,
    }
}
