//! Servers, roster, desk and the peers' network on one loop.
//!
//! The loop's turn: what came over the sockets (`site_http.rs`, `datagrams.rs`), then what is due by the clock here:
//! replies of servers, lines of the roster, the desk's turn, troubles that begin and end.

use super::connection::{Kept, Role};
use super::datagrams::bind_relay;
use super::remote::Remote;
use super::state::Releases;
pub use super::state::{BuildReport, Machine, ReplyCounts, Site, SiteReport};
use super::{AddressPlan, NetworkError};
use crate::Clock;
use crate::model::RandomSource;
use crate::model::endpoint_registry::EndpointRegistry;
use crate::model::release_service::{ReleaseService, ServerCommand};
use crate::model::server::{Build, DedupCaches};
use crate::scenario::{Fault, FaultKind, Scenario};
use calloop::{EventLoop, LoopHandle};
use rand::SeedableRng;
use slab::Slab;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;
use std::time::Duration;
use violetseam_site_protocol::endpoint_list::EndpointState;

/// Between two turns of the desk and of troubles, in microseconds.
const TURN: u64 = 20_000;

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
    let SiteOptions { addresses, release_decider, clock, ready, log } = options;
    let controller = release_decider == ReleaseDecider::Controller;
    let mut site = Site::new(scenario, addresses, controller, clock, event_loop.handle(), log)?;
    let _ = ready.send(());
    while !stop.load(Ordering::Relaxed) {
        let now = clock.now();
        let due = site.due().saturating_sub(now).min(TURN);
        event_loop.dispatch(Duration::from_micros(due), &mut site).map_err(NetworkError::EventLoop)?;
        site.advance();
    }
    Ok(site.finish())
}

impl Site {
    fn new(
        scenario: &Scenario,
        net: AddressPlan,
        controller: bool,
        clock: Clock,
        handle: LoopHandle<'static, Site>,
        say: Sender<String>,
    ) -> Result<Site, NetworkError> {
        let relay = bind_relay(&handle, net, scenario.proxies.len())?;
        let (rollout, places) = (scenario.rollout.clone(), scenario.servers.len());
        let desk = if controller {
            Releases::Controller(Box::new(Remote::start(net.controller(), rollout, places)?))
        } else {
            Releases::StandIn(Box::new(ReleaseService::new(
                rollout,
                scenario.releases.clone(),
                scenario.proxies.len(),
                places,
            )))
        };
        let mut site = Site {
            clock,
            net,
            rng: RandomSource::seed_from_u64(scenario.seed ^ 0x5173),
            machines: BTreeMap::new(),
            conns: Slab::new(),
            kept: Kept::default(),
            roster: EndpointRegistry::default(),
            news: vec![(0, desk.news())],
            desk,
            relay,
            entries: Vec::new(),
            say,
            report: SiteReport::default(),
            dedup_caches: DedupCaches::default(),
            generations: vec![1; scenario.servers.len()],
            next_turn: 0,
            struck: vec![false; scenario.faults.len()],
            replies: Vec::new(),
            lately: (0.0, 1.0),
            handle,
            scenario: Rc::new(scenario.clone()),
        };
        site.listen_http(net.discovery(), Role::Discovery)?;
        site.listen_http(net.release_service(), Role::ReleaseService)?;
        let build = Build::without_defect(scenario.rollout.first_build);
        for place in 0..scenario.servers.len() {
            let machine = place as u64 + 1;
            site.start_machine(machine, place, build.clone(), true)?;
            site.list(0, machine, EndpointState::Ready);
        }
        site.list_due();
        Ok(site)
    }

    fn due(&self) -> u64 {
        let servers = self.machines.values().filter(|m| !m.silent).filter_map(|m| m.server.next_completion());
        let others = self.roster.next_change().into_iter().chain(self.relay.due()).chain(self.kept.due());
        servers.chain(others).chain([self.next_turn]).min().unwrap_or(0)
    }

    fn advance(&mut self) {
        let now = self.clock.now();
        let mut replies = std::mem::take(&mut self.replies);
        for machine in self.machines.values_mut().filter(|m| !m.silent) {
            machine.server.take_completed(now, &mut replies);
        }
        for completed in replies.drain(..) {
            self.reply(completed.id, completed.reply);
        }
        self.replies = replies;
        self.list_due();
        self.relay.advance(now);
        self.play_kept(now);
        if now >= self.next_turn {
            self.next_turn = now + TURN;
            self.update_faults(now);
            self.turn(now);
        }
    }

    /// The desk's turn.
    fn turn(&mut self, now: u64) {
        let down = self.active(FaultKind::ReleaseServiceUnresponsive).is_some();
        let (before, mut commands) = (self.desk.news(), Vec::new());
        self.desk.advance(now, down, &mut commands);
        for command in commands {
            self.obey(now, command);
        }
        let news = self.desk.news();
        if (news.build, news.stage, news.phase) != (before.build, before.stage, before.phase) {
            let (build, stage, phase) = (news.build, news.stage, news.phase);
            let _ = self.say.send(format!("build {build}: stage {stage}, {phase:?}"));
        }
        if news != before {
            self.news.push((now, news));
        }
        self.pass_replies(now);
        self.tell_news(now);
        self.lately = (self.lately.0 * 0.98, self.lately.1 * 0.98 + 0.01);
    }

    fn obey(&mut self, now: u64, command: ServerCommand) {
        match command {
            ServerCommand::Start { server: machine, place, build } => {
                let index = place + self.scenario.servers.len() * self.generations[place];
                self.generations[place] += 1;
                let build = self.build(build);
                match self.start_machine(machine, index, build, false) {
                    Ok(()) => {
                        self.list(now + self.scenario.discovery.startup_delay, machine, EndpointState::Ready)
                    }
                    Err(e) => drop(self.say.send(format!("machine {machine} does not start: {e}"))),
                }
            }
            ServerCommand::Drain { server: machine } => {
                if let Some(m) = self.machines.get_mut(&machine) {
                    m.draining = true;
                }
                self.list(now + self.scenario.discovery.drain_delay, machine, EndpointState::Draining);
            }
            ServerCommand::Stop { server: machine } => {
                self.list(now + self.scenario.discovery.drain_delay, machine, EndpointState::Gone);
                self.stop_machine(machine);
                self.machines.remove(&machine);
            }
        }
    }

    /// Troubles that begin, go on and end.
    fn update_faults(&mut self, now: u64) {
        let scenario = self.scenario.clone();
        for (n, trouble) in scenario.faults.iter().enumerate() {
            let on = trouble.at <= now && now < trouble.at + trouble.duration;
            if on != self.struck[n] {
                self.struck[n] = on;
                let word = if on { "begins" } else { "ends" };
                let _ = self.say.send(format!("trouble {word}: {:?}", trouble.kind));
                self.on_fault_change(now, trouble, on);
            }
        }
        self.come_back(now);
        let drag = {
            let newest = self.build(self.desk.news().build.max(scenario.rollout.first_build));
            newest.fleet_slowdown(self.lately.0 / self.lately.1.max(1e-9))
        };
        for machine in self.machines.values_mut() {
            let active = scenario.active_faults(now);
            machine.fault_target.apply_faults(&mut machine.server, drag, now, active);
        }
        self.collapse();
    }

    fn on_fault_change(&mut self, now: u64, trouble: &Fault, on: bool) {
        let silent = trouble.kind == FaultKind::ZoneOutage && trouble.parameter > 0.5;
        match trouble.kind {
            FaultKind::ZoneOutage if silent => {
                for machine in self.hit_by(trouble) {
                    self.set_silent(machine, on);
                }
            }
            FaultKind::ServerCrash | FaultKind::ZoneOutage if on => {
                for machine in self.hit_by(trouble) {
                    self.crash(now, machine, trouble.at + trouble.duration);
                }
            }
            FaultKind::DiscoveryOutage
            | FaultKind::DiscoveryGarbage
            | FaultKind::DiscoveryVersionRollback
                if on =>
            {
                self.trouble_roster(trouble.kind);
            }
            FaultKind::DiscoveryPartition | FaultKind::ReleaseServicePartition if on => {
                self.cut_streams(trouble)
            }
            FaultKind::ServerPartition if !on => self.end_unreachable(),
            _ => {}
        }
    }

    fn finish(mut self) -> SiteReport {
        let builds = self.desk.outcomes().iter().map(|outcome| BuildReport {
            outcome: outcome.clone(),
            is_defective: self.build(outcome.build).is_defective(),
        });
        let builds = builds.collect();
        self.report.open_attempts = self.open_requests();
        SiteReport { entries: self.entries, builds, ..self.report }
    }
}
