//! The simulated servers, discovery service, release service and network between proxies, on one event loop.
//!
//! Each pass of the loop first handles what came over the sockets and then what is due by the clock: replies
//! of servers, changes of the endpoint list, datagrams and delayed actions. At a fixed interval,
//! a turn also advances the release service and begins or ends faults.

mod connection;
mod controller_link;
mod datagrams;
mod discovery_http;
mod faults;
mod listeners;
mod relay;
mod release_http;
mod release_source;
mod report;
mod server_http;
mod servers;
mod state;
mod streams;

pub use report::{BuildReport, ReplyCounts, SiteReport};
pub use state::Site;

use super::{AddressPlan, NetworkError};
use crate::Clock;
use crate::model::RandomSource;
use crate::model::endpoint_registry::EndpointRegistry;
use crate::model::release_service::{BuildOutcome, ReleaseService};
use crate::model::server::{Build, DedupCaches};
use crate::scenario::{FaultKind, Scenario};
use calloop::{EventLoop, LoopHandle};
use connection::{Pending, Role};
use controller_link::ControllerLink;
use datagrams::bind_relay;
use rand::SeedableRng;
use release_source::ReleaseSource;
use slab::Slab;
use state::{RecentAttempts, StatusChange};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;
use std::time::Duration;
use violetseam_site_protocol::endpoint_list::EndpointState;

/// The interval at which the release service and the faults get a turn, in microseconds.
const TURN_INTERVAL_US: u64 = 20_000;
/// Combined with the scenario's seed, so that the site's random draws differ from those of the traffic.
const SEED_MASK: u64 = 0x5173;

/// The service that decides on releases in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseDecider {
    /// The simulated release service.
    Simulated,
    /// The release controller at [`AddressPlan::controller`].
    Controller,
}

/// The settings of a run of the site.
#[derive(Debug)]
pub struct SiteOptions {
    /// The addresses at which the services of the run listen.
    pub addresses: AddressPlan,
    /// The service that decides on releases.
    pub release_decider: ReleaseDecider,
    /// The clock of the run.
    pub clock: Clock,
    /// Receives a message once the site listens.
    pub ready: Sender<()>,
    /// Receives the log lines of the run.
    pub log: Sender<String>,
}

/// Runs the site until `stop` is set.
///
/// # Errors
/// Returns a [`NetworkError`] if the event loop, a socket or a thread cannot be set up, or if
/// waiting for events fails.
pub fn run(scenario: &Scenario, options: SiteOptions, stop: &AtomicBool) -> Result<SiteReport, NetworkError> {
    let mut event_loop: EventLoop<'static, Site> = EventLoop::try_new().map_err(NetworkError::EventLoop)?;
    let clock = options.clock;
    let ready = options.ready.clone();
    let mut site = Site::start(scenario, options, event_loop.handle())?;
    let _ = ready.send(());
    while !stop.load(Ordering::Relaxed) {
        let wait = site.next_event_at().saturating_sub(clock.now()).min(TURN_INTERVAL_US);
        event_loop.dispatch(Duration::from_micros(wait), &mut site).map_err(NetworkError::EventLoop)?;
        site.advance();
    }
    Ok(site.finish())
}

impl Site {
    /// Opens all sockets, and starts a server of the first build in each place.
    fn start(
        scenario: &Scenario,
        options: SiteOptions,
        handle: LoopHandle<'static, Site>,
    ) -> Result<Site, NetworkError> {
        let mut site = Site::new(scenario, options, handle)?;
        site.listen_http(site.addresses.discovery(), Role::Discovery)?;
        site.listen_http(site.addresses.release_service(), Role::ReleaseService)?;
        let build = Build::without_defect(scenario.rollout.first_build);
        for place in 0..scenario.servers.len() {
            let server = place as u64 + 1;
            site.start_server(server, place, build.clone(), true)?;
            site.schedule_listing(0, server, EndpointState::Ready);
        }
        site.publish_endpoint_changes();
        Ok(site)
    }

    fn new(
        scenario: &Scenario,
        options: SiteOptions,
        handle: LoopHandle<'static, Site>,
    ) -> Result<Site, NetworkError> {
        let SiteOptions { addresses, release_decider, clock, log, .. } = options;
        let relay = bind_relay(&handle, addresses, scenario.proxies.len())?;
        let releases = release_source(scenario, release_decider, addresses)?;
        Ok(Site {
            clock,
            addresses,
            handle,
            random: RandomSource::seed_from_u64(scenario.seed ^ SEED_MASK),
            servers: BTreeMap::new(),
            connections: Slab::new(),
            pending: Pending::default(),
            registry: EndpointRegistry::default(),
            status_history: vec![StatusChange { at: 0, status: releases.status() }],
            releases,
            relay,
            entries: Vec::new(),
            log,
            report: SiteReport::default(),
            dedup_caches: DedupCaches::default(),
            servers_started_by_place: vec![1; scenario.servers.len()],
            next_turn_at: 0,
            was_fault_active: vec![false; scenario.faults.len()],
            completed: Vec::new(),
            recent_attempts: RecentAttempts::new(),
            scenario: Rc::new(scenario.clone()),
        })
    }

    /// Returns the time at which the next thing is due by the clock.
    fn next_event_at(&self) -> u64 {
        let reachable = self.servers.values().filter(|server| !server.is_unreachable);
        let completions = reachable.filter_map(|server| server.model.next_completion());
        completions
            .chain(self.registry.next_change())
            .chain(self.relay.next_arrival())
            .chain(self.pending.next_action())
            .chain([self.next_turn_at])
            .min()
            .unwrap_or(0)
    }

    /// Does everything that is due by the clock.
    fn advance(&mut self) {
        let now = self.clock.now();
        self.send_due_replies(now);
        self.publish_endpoint_changes();
        self.relay.deliver_due(now);
        self.run_delayed_actions(now);
        if now >= self.next_turn_at {
            self.next_turn_at = now + TURN_INTERVAL_US;
            self.apply_faults(now);
            self.advance_releases(now);
        }
    }

    fn send_due_replies(&mut self, now: u64) {
        let mut completed = std::mem::take(&mut self.completed);
        for server in self.servers.values_mut().filter(|server| !server.is_unreachable) {
            server.model.take_completed(now, &mut completed);
        }
        for request in completed.drain(..) {
            self.reply(request.id, request.reply);
        }
        self.completed = completed;
    }

    /// Gives the release service its turn: carries out its commands for servers, and sends its status and its
    /// replies to votes.
    fn advance_releases(&mut self, now: u64) {
        let is_down = self.is_active(FaultKind::ReleaseServiceUnresponsive);
        let before = self.releases.status();
        let mut commands = Vec::new();
        self.releases.advance(now, is_down, &mut commands);
        for command in commands {
            self.execute_command(now, command);
        }
        let status = self.releases.status();
        if (status.build, status.stage, status.phase) != (before.build, before.stage, before.phase) {
            self.log(format!("build {}: stage {}, {:?}", status.build, status.stage, status.phase));
        }
        if status != before {
            self.status_history.push(StatusChange { at: now, status });
        }
        self.forward_vote_replies(now);
        self.notify_release_watches(now);
        self.recent_attempts.decay();
    }

    fn finish(mut self) -> SiteReport {
        self.report.entries = std::mem::take(&mut self.entries);
        self.report.builds =
            self.releases.outcomes().iter().map(|outcome| self.build_report(outcome)).collect();
        self.report.open_attempts = self.pending.attempts.len();
        self.report
    }

    fn build_report(&self, outcome: &BuildOutcome) -> BuildReport {
        let build = Build::in_scenario(&self.scenario, outcome.build);
        BuildReport { outcome: outcome.clone(), is_defective: build.is_defective() }
    }
}

fn release_source(
    scenario: &Scenario,
    decider: ReleaseDecider,
    addresses: AddressPlan,
) -> Result<ReleaseSource, NetworkError> {
    let rollout = scenario.rollout.clone();
    let places = scenario.servers.len();
    let source = match decider {
        ReleaseDecider::Controller => {
            let link = ControllerLink::start(addresses.controller(), rollout, places)?;
            ReleaseSource::Controller(Box::new(link))
        }
        ReleaseDecider::Simulated => {
            let releases = scenario.releases.clone();
            let service = ReleaseService::new(rollout, releases, scenario.proxies.len(), places);
            ReleaseSource::Simulated(Box::new(service))
        }
    };
    Ok(source)
}
