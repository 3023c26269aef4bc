//! Servers, discovery, the release service and the network between proxies on one event loop.
//!
//! A turn of the loop handles what came over the sockets, then what is due by the clock: replies of servers,
//! changes of the endpoint list, the release service, faults that begin and end.

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

/// Between two turns of the release service and of faults, in microseconds.
const TURN_INTERVAL: u64 = 20_000;
/// Makes the site's draws different from those of the traffic.
const SEED_MASK: u64 = 0x5173;

/// Who decides on releases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseDecider {
    /// The simulated release service.
    Simulated,
    /// The release controller at [`AddressPlan::controller`].
    Controller,
}

/// How a site runs.
#[derive(Debug)]
pub struct SiteOptions {
    /// Where everything listens.
    pub addresses: AddressPlan,
    /// Who decides on releases.
    pub release_decider: ReleaseDecider,
    /// The clock of the run.
    pub clock: Clock,
    /// Receives a message once the site listens.
    pub ready: Sender<()>,
    /// Receives lines about what happens.
    pub log: Sender<String>,
}

/// Runs the site until `stop` is set.
///
/// # Errors
/// An event loop, a socket or a thread could not be set up, or waiting for events failed.
pub fn run(scenario: &Scenario, options: SiteOptions, stop: &AtomicBool) -> Result<SiteReport, NetworkError> {
    let mut event_loop: EventLoop<'static, Site> = EventLoop::try_new().map_err(NetworkError::EventLoop)?;
    let clock = options.clock;
    let ready = options.ready.clone();
    let mut site = Site::start(scenario, options, event_loop.handle())?;
    let _ = ready.send(());
    while !stop.load(Ordering::Relaxed) {
        let wait = site.next_event().saturating_sub(clock.now()).min(TURN_INTERVAL);
        event_loop.dispatch(Duration::from_micros(wait), &mut site).map_err(NetworkError::EventLoop)?;
        site.advance();
    }
    Ok(site.finish())
}

impl Site {
    /// Opens all sockets, and starts the servers of the first build.
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
            site.list(0, server, EndpointState::Ready);
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
            servers_by_place: vec![1; scenario.servers.len()],
            next_turn: 0,
            was_active: vec![false; scenario.faults.len()],
            completed: Vec::new(),
            recent_attempts: RecentAttempts::new(),
            scenario: Rc::new(scenario.clone()),
        })
    }

    /// When something is due by the clock.
    fn next_event(&self) -> u64 {
        let reachable = self.servers.values().filter(|server| !server.is_unreachable);
        let completions = reachable.filter_map(|server| server.model.next_completion());
        completions
            .chain(self.registry.next_change())
            .chain(self.relay.next_arrival())
            .chain(self.pending.next_action())
            .chain([self.next_turn])
            .min()
            .unwrap_or(0)
    }

    /// Does what is due.
    fn advance(&mut self) {
        let now = self.clock.now();
        self.send_due_replies(now);
        self.publish_endpoint_changes();
        self.relay.deliver_due(now);
        self.run_delayed_actions(now);
        if now >= self.next_turn {
            self.next_turn = now + TURN_INTERVAL;
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

    /// A turn of the release service.
    fn advance_releases(&mut self, now: u64) {
        let is_down = self.is_active(FaultKind::ReleaseServiceUnresponsive);
        let before = self.releases.status();
        let mut commands = Vec::new();
        self.releases.advance(now, is_down, &mut commands);
        for command in commands {
            self.execute(now, command);
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
