//! The event loop: events are passed to the proxies' engines, whose actions become further events.

mod clients;
mod discovery;
mod proxies;
mod release_service;

use crate::cluster::{Cluster, NETWORK_LATENCY, server_status};
use crate::error::{SimulationError, unsupported_faults};
use crate::event_queue::{ListScope, SimulationEvent};
use crate::outcome::{Outcome, OutcomeCollector};
use clients::ClientRequests;
use proxies::SimulatedProxy;
use rand::{Rng, SeedableRng};
use release_service::{ReleaseService, release_status};
use std::path::Path;
use violetseam::interface as decisions;
use violetseam_invariants::ObservedEvent;
use violetseam_simulated_site::model::RandomSource;
use violetseam_simulated_site::network::AddressPlan;
use violetseam_simulated_site::scenario::Scenario;

/// The time from the start of the simulation to the first request, in microseconds. It is the same as in
/// scenarios over sockets.
const WARM_UP: u64 = 2_000_000;
/// The interval of the ticks of controller, platform and faults, in microseconds.
const TICK_INTERVAL: u64 = 20_000;
/// The time after the last request in which requests in flight can end, in microseconds.
const COOL_DOWN: u64 = 5_000_000;
/// The observation slack that the rules are checked with, in microseconds.
const OBSERVATION_SLACK: u64 = 1_000;

/// Simulates a scenario and returns its outcome.
///
/// # Errors
/// [`SimulationError`] if the scenario's settings or plans cannot be read, or if it has faults that are not
/// simulated yet.
pub fn simulate(scenario: &Scenario) -> Result<Outcome, SimulationError> {
    let kinds = unsupported_faults(scenario);
    if !kinds.is_empty() {
        return Err(SimulationError::UnsupportedFaults { kinds });
    }
    let mut simulation = Simulation::new(after_warm_up(scenario))?;
    simulation.start();
    simulation.run_until(WARM_UP + scenario.length + COOL_DOWN)?;
    Ok(simulation.finish())
}

/// Returns the scenario with its times counted from the start of the warm-up.
fn after_warm_up(scenario: &Scenario) -> Scenario {
    let mut scenario = scenario.clone();
    for fault in &mut scenario.faults {
        fault.at += WARM_UP;
    }
    for release in &mut scenario.releases {
        release.at += WARM_UP;
    }
    scenario
}

/// The state of a simulation.
struct Simulation {
    cluster: Cluster,
    proxies: Vec<SimulatedProxy>,
    clients: ClientRequests,
    release_service: ReleaseService,
    collector: OutcomeCollector,
}

impl Simulation {
    fn new(scenario: Scenario) -> Result<Self, SimulationError> {
        // Proxies and cluster have separate random streams, so that an additional draw from one does not
        // change the other.
        let seed = scenario.seed;
        let stream = |n: u64| RandomSource::seed_from_u64(seed.wrapping_mul(0x9e37_79b9).wrapping_add(n));
        Ok(Simulation {
            proxies: start_proxies(&scenario, &mut stream(1))?,
            clients: ClientRequests::new(&scenario),
            release_service: ReleaseService::new(&scenario),
            collector: OutcomeCollector::new(scenario.classes.len(), scenario.tenants.len())?,
            cluster: Cluster::new(scenario, stream(2)),
        })
    }

    /// Starts the services and schedules the first events.
    fn start(&mut self) {
        for change in self.cluster.endpoints.apply_due(0) {
            let status = server_status(change.state);
            self.cluster.observe(ObservedEvent::ServerListed { server: change.server, status });
        }
        for proxy in &mut self.proxies {
            proxy.engine.on_server_list(0, decisions::ListKind::Cached, &[]);
        }
        let announcement = self.release_service.start();
        for proxy in 0..self.proxies.len() {
            let status = release_status(announcement);
            self.cluster.queue.schedule(NETWORK_LATENCY, SimulationEvent::ReleaseStatus { proxy, status });
            self.run_engine_actions(proxy);
        }
        let queue = &mut self.cluster.queue;
        queue.schedule(0, SimulationEvent::ControllerTick);
        queue.schedule(0, SimulationEvent::FaultTick);
        queue.schedule(WARM_UP, SimulationEvent::RequestArrival);
        for (release, offered) in self.cluster.scenario.releases.iter().enumerate() {
            queue.schedule(offered.at, SimulationEvent::ReleaseOffer { release });
        }
    }

    /// Processes all events up to `end`.
    fn run_until(&mut self, end: u64) -> Result<(), SimulationError> {
        while let Some((at, event)) = self.cluster.queue.pop() {
            if at > end {
                return Ok(());
            }
            self.cluster.now = at;
            self.collector.outcome.events += 1;
            self.dispatch(event)?;
        }
        Ok(())
    }

    fn dispatch(&mut self, event: SimulationEvent) -> Result<(), SimulationError> {
        match event {
            SimulationEvent::RequestArrival => self.on_request_arrival(),
            SimulationEvent::ClientTry(client_try) => self.on_client_try(client_try),
            SimulationEvent::AttemptArrival { attempt } => self.cluster.on_attempt_arrival(attempt),
            SimulationEvent::ServerCompletion { server } => self.cluster.on_server_completion(server),
            SimulationEvent::CancelArrival { attempt } => self.cluster.on_cancel_arrival(attempt),
            SimulationEvent::ReplyArrival { attempt, reply } => self.on_reply(attempt, reply),
            SimulationEvent::ConnectionLost { attempt } => self.on_connection_lost(attempt),
            SimulationEvent::ProxyDeadline { proxy } => self.on_proxy_deadline(proxy),
            SimulationEvent::ReleaseStatus { proxy, status } => self.on_release_status(proxy, status),
            SimulationEvent::EndpointList { proxy, scope } => self.send_endpoint_list(proxy, scope),
            SimulationEvent::Vote(vote) => self.on_vote(vote),
            SimulationEvent::VoteReply { proxy, outcome, status } => {
                self.on_vote_reply(proxy, outcome, status);
            }
            SimulationEvent::Gossip { from, to, payload } => self.on_gossip(from, to, &payload),
            SimulationEvent::EndpointListChange => self.on_endpoint_list_change(),
            SimulationEvent::ControllerTick => self.on_controller_tick(),
            SimulationEvent::ReleaseOffer { release } => return self.on_release_offer(release),
            SimulationEvent::FaultTick => {
                self.cluster.apply_faults();
                let next = self.cluster.now + TICK_INTERVAL;
                self.cluster.queue.schedule(next, SimulationEvent::FaultTick);
            }
        }
        Ok(())
    }

    /// Checks the rules and returns the complete outcome.
    fn finish(self) -> Outcome {
        let rules = self.cluster.scenario.rules(OBSERVATION_SLACK);
        let report = violetseam_invariants::check(&rules, &self.cluster.records);
        self.collector.finish(&report)
    }
}

/// Starts the proxies, each with the settings for its position.
fn start_proxies(
    scenario: &Scenario,
    seeds: &mut RandomSource,
) -> Result<Vec<SimulatedProxy>, SimulationError> {
    // The simulation opens no files, so this path is never used.
    let state_dir = Path::new("/nonexistent");
    let script =
        violetseam_scenarios::proxy_settings::script(scenario, AddressPlan::of_process(0), state_dir);
    let start = |position: usize| {
        let options = [("position".to_owned(), position.to_string())];
        let settings = violetseam_settings::read_text("day", &script, &options)
            .map_err(|source| SimulationError::Settings { proxy: position, source })?;
        Ok(SimulatedProxy::new(settings.decisions, seeds.next_u64()))
    };
    (0..scenario.proxies.len()).map(start).collect()
}
