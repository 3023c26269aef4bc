//! Starts, drains, stops and restarts servers, and updates the endpoint list accordingly.

use super::{Cluster, NETWORK_LATENCY};
use crate::event_queue::SimulationEvent;
use std::net::SocketAddr;
use violetseam_invariants::{AttemptEnd, AttemptOutcome, ObservedEvent, ServerStart};
use violetseam_simulated_site::model::server::{FaultTarget, Server};
use violetseam_simulated_site::scenario::FaultKind;
use violetseam_site_protocol::endpoint_list::{Endpoint, EndpointState};

/// A server that runs a build in a place.
pub(super) struct SimulatedServer {
    pub model: Server,
    pub draining: bool,
    /// The server as a target of faults, identified by its index.
    pub fault_target: FaultTarget,
    pub running: bool,
}

impl Cluster {
    /// Starts a cold server in a place. Discovery lists it after the startup delay.
    pub fn start_server(&mut self, place: u32, build: u16) {
        let server = self.add_server(place, build, false);
        self.observe_start(server);
        self.list_server(self.now + self.scenario.discovery.startup_delay, server, EndpointState::Ready);
    }

    /// Adds a warm server to a place. Discovery lists it at once.
    pub(super) fn start_warm_server(&mut self, place: u32, build: u16) {
        let server = self.add_server(place, build, true);
        self.list_server(self.now, server, EndpointState::Ready);
    }

    /// Adds a server to a place and returns its number. The first server in a place has the place as its
    /// index. The index of each later one there is higher by the number of places.
    fn add_server(&mut self, place: u32, build: u16, warm: bool) -> u64 {
        let server = self.next_server;
        self.next_server += 1;
        let started_before = &mut self.servers_started[place as usize];
        let index = place as usize + self.scenario.servers.len() * *started_before;
        *started_before += 1;
        let spec = self.scenario.server_spec(index).clone();
        let model = Server::start(spec, self.build(build), self.now, warm);
        let fault_target = FaultTarget { index, next_pause: 0 };
        let added = SimulatedServer { model, draining: false, fault_target, running: true };
        self.servers.insert(server, added);
        self.server_in_place.insert((place, build), server);
        server
    }

    /// Records a server's start for the invariant checker.
    fn observe_start(&mut self, server: u64) {
        let Some(started) = self.servers.get(&server) else { return };
        let start = ServerStart {
            capacity: started.model.capacity(),
            slow_start_floor: started.model.spec.slow_start_floor,
            slow_start_span: started.model.spec.slow_start_span,
        };
        self.observe(ObservedEvent::ServerStarted { server, start });
    }

    /// Marks a server as draining. It keeps running until it is ended.
    pub fn drain_server(&mut self, place: u32, build: u16) {
        let Some(number) = self.server_in_place.get(&(place, build)).copied() else { return };
        if let Some(server) = self.servers.get_mut(&number) {
            server.draining = true;
        }
        self.list_server(self.now + self.scenario.discovery.drain_delay, number, EndpointState::Draining);
    }

    /// Ends a server and removes it.
    pub fn end_server(&mut self, place: u32, build: u16) {
        let Some(server) = self.server_in_place.remove(&(place, build)) else { return };
        self.list_server(self.now + self.scenario.discovery.drain_delay, server, EndpointState::Gone);
        self.lose_attempts(server);
        self.servers.remove(&server);
    }

    /// Ends all attempts at a server as lost. Their proxies notice it one network latency later.
    pub(super) fn lose_attempts(&mut self, server: u64) {
        let at_server = self.attempts.iter().filter(|(_, a)| a.server == server && a.arrived);
        let lost: Vec<u64> = at_server.map(|(number, _)| *number).collect();
        for attempt in lost {
            let end = AttemptEnd { attempt, outcome: AttemptOutcome::Lost };
            self.observe(ObservedEvent::AttemptEnded(end));
            self.queue.schedule(self.now + NETWORK_LATENCY, SimulationEvent::ConnectionLost { attempt });
        }
    }

    /// Schedules the endpoint list to show a server in a state from `at` on, later if discovery is delayed.
    pub(super) fn list_server(&mut self, at: u64, number: u64, state: EndpointState) {
        let Some(server) = self.servers.get(&number) else { return };
        let visible_at = at + self.fault_delay(FaultKind::DiscoveryDelay);
        let octets = number.to_be_bytes();
        let endpoint = Endpoint {
            id: number,
            // No proxy connects to this address. The field only needs a valid value.
            addr: SocketAddr::from(([127, octets[5], octets[6], octets[7]], 1)),
            build: server.model.build.number,
            state,
            zone: server.model.spec.zone,
            cell: server.model.spec.cell,
            size: server.model.spec.cores,
            age_us: None,
        };
        let started_at = server.model.listed_start();
        self.endpoints.schedule_change(visible_at, endpoint, started_at);
        self.queue.schedule(visible_at, SimulationEvent::EndpointListChange);
    }

    /// Restarts a server that had crashed. It begins with a slow start.
    pub(super) fn restart_server(&mut self, number: u64) {
        let Some(server) = self.servers.get_mut(&number) else { return };
        let spec = server.model.spec.clone();
        let build = server.model.build.clone();
        server.model = Server::start(spec, build, self.now, false);
        server.running = true;
        let state = if server.draining { EndpointState::Draining } else { EndpointState::Ready };
        self.observe_start(number);
        self.list_server(self.now + self.scenario.discovery.startup_delay, number, state);
    }
}
