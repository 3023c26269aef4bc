//! What the site holds, and what every part of it asks of that: troubles that are going on, news as told, records.

use super::AddressPlan;
use super::connection::{Conn, Kept};
use super::relay::Relay;
use super::remote::Remote;
use crate::Clock;
use crate::model::RandomSource;
use crate::model::endpoint_registry::EndpointRegistry;
use crate::model::release_service::{BuildOutcome, ReleaseService, ServerCommand};
use crate::model::server::{Build, CompletedRequest, DedupCaches, FaultTarget, Server};
use crate::scenario::{Fault, FaultKind, Scenario};
use calloop::{LoopHandle, RegistrationToken};
use slab::Slab;
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::mpsc::Sender;
use violetseam_invariants::{
    AttemptEnd, AttemptOutcome, EventRecord, ObservedEvent, Phase as RulePhase, ServerStatus,
};
use violetseam_site_protocol::endpoint_list::EndpointState;
use violetseam_site_protocol::release_service::{PhaseName, ReleaseUpdate};

/// A machine: a server, its listener and its place in the fleet.
pub struct Machine {
    pub(super) server: Server,
    pub(super) listener: Option<(Rc<TcpListener>, RegistrationToken)>,
    /// Its number among the scenario's servers: its place, plus the number of places for each machine that stood
    /// there before it. Troubles name places so, with all that will stand in them.
    pub(super) fault_target: FaultTarget,
    /// It answers nobody and closes nothing.
    pub(super) silent: bool,
    pub(super) draining: bool,
    /// A crash keeps it down until then.
    pub(super) down_until: Option<u64>,
}

/// A build that was offered, and what became of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BuildReport {
    /// What became of it.
    pub outcome: BuildOutcome,
    /// Whether it has a defect.
    pub is_defective: bool,
}

/// Attempts by what servers replied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplyCounts {
    /// Served.
    pub ok: u64,
    /// Failed.
    pub error: u64,
    /// Rejected without being executed.
    pub not_run: u64,
}

/// What the site observed.
#[derive(Debug, Default)]
pub struct SiteReport {
    /// Records for the checker of the invariants.
    pub entries: Vec<EventRecord>,
    /// The builds that were offered, in order.
    pub builds: Vec<BuildReport>,
    /// Servers that collapsed because they were overloaded while warming up.
    pub collapsed: Vec<u64>,
    /// Attempts by the servers' replies.
    pub replies: ReplyCounts,
    /// Votes that counted, by proxy.
    pub votes: BTreeMap<usize, u64>,
    /// Attempts that were still in flight at the end.
    pub open_attempts: usize,
}

/// Who decides on releases.
pub(super) enum Releases {
    /// The stand-in desk.
    StandIn(Box<ReleaseService>),
    /// A controller, as a process of its own.
    Controller(Box<Remote>),
}

impl Releases {
    pub fn news(&self) -> ReleaseUpdate {
        match self {
            Releases::StandIn(desk) => desk.status(),
            Releases::Controller(remote) => remote.news(),
        }
    }

    pub fn advance(&mut self, now: u64, down: bool, out: &mut Vec<ServerCommand>) {
        match self {
            Releases::StandIn(desk) => desk.advance(now, down, out),
            Releases::Controller(remote) => remote.advance(now, out),
        }
    }

    pub fn outcomes(&self) -> &[BuildOutcome] {
        match self {
            Releases::StandIn(desk) => desk.outcomes(),
            Releases::Controller(remote) => &remote.outcomes,
        }
    }
}

/// All of it.
pub struct Site {
    pub(super) clock: Clock,
    pub(super) scenario: Rc<Scenario>,
    pub(super) net: AddressPlan,
    pub(super) handle: LoopHandle<'static, Site>,
    pub(super) rng: RandomSource,
    pub(super) machines: BTreeMap<u64, Machine>,
    pub(super) conns: Slab<Conn>,
    pub(super) kept: Kept,
    pub(super) roster: EndpointRegistry,
    pub(super) desk: Releases,
    pub(super) relay: Relay,
    pub(super) entries: Vec<EventRecord>,
    pub(super) say: Sender<String>,
    pub(super) report: SiteReport,
    pub(super) dedup_caches: DedupCaches,
    /// ReleaseUpdate as they were, to be told late.
    pub(super) news: Vec<(u64, ReleaseUpdate)>,
    /// Machines that have stood in each place.
    pub(super) generations: Vec<usize>,
    pub(super) next_turn: u64,
    pub(super) struck: Vec<bool>,
    pub(super) replies: Vec<CompletedRequest>,
    /// Attempts at the newest build and at all, lately; for builds that drag everything down.
    pub(super) lately: (f64, f64),
}

impl Site {
    pub(super) fn see(&mut self, event: ObservedEvent) {
        let at = self.clock.now();
        self.entries.push(EventRecord { at, event });
    }

    /// A trouble of this kind that is going on.
    pub(super) fn active(&self, kind: FaultKind) -> Option<&Fault> {
        self.all_active(kind).next()
    }

    /// All of them.
    pub(super) fn all_active(&self, kind: FaultKind) -> impl Iterator<Item = &Fault> {
        let now = self.clock.now();
        self.scenario.faults.iter().filter(move |t| t.kind == kind && t.at <= now && now < t.at + t.duration)
    }

    /// Whether a proxy is cut off by a trouble of this kind.
    pub(super) fn cut_off(&self, kind: FaultKind, proxy: u32) -> bool {
        self.all_active(kind).any(|t| t.targets.contains(&(proxy as usize)))
    }

    /// Whether a proxy and a machine hear nothing of each other.
    pub(super) fn out_of_reach(&self, proxy: u32, machine: u64) -> bool {
        let zone = self.machines.get(&machine).map(|m| usize::from(m.server.spec.zone));
        self.all_active(FaultKind::ServerPartition)
            .any(|t| t.targets.contains(&(proxy as usize)) && zone == Some(t.selector))
    }

    /// The news as the desk tells them at a moment: those of a while ago.
    pub(super) fn news_told(&self, now: u64) -> ReleaseUpdate {
        let late = self.active(FaultKind::ReleaseServiceDelay).map_or(0, |t| (t.magnitude * 1e6) as u64);
        let seen = now.saturating_sub(self.scenario.rollout.status_delay + late);
        let known = self.news.iter().rev().find(|n| n.0 <= seen);
        known.or(self.news.first()).map_or_else(|| self.desk.news(), |n| n.1)
    }

    /// Records news as told to a proxy.
    pub(super) fn see_news(&mut self, proxy: u32, news: ReleaseUpdate) {
        let phase = match news.phase {
            PhaseName::Trial => RulePhase::Trial,
            PhaseName::RollingBack => RulePhase::RollingBack,
            PhaseName::Released => RulePhase::Released,
            PhaseName::Withdrawn => RulePhase::Withdrawn,
        };
        self.see(ObservedEvent::ReleaseStatusSent {
            proxy,
            build: news.build,
            stage: news.stage,
            phase,
            cap: news.cap,
        });
    }

    /// Attempts' ends as records.
    pub(super) fn see_end(&mut self, number: u64, outcome: AttemptOutcome) {
        self.see(ObservedEvent::AttemptEnded(AttemptEnd { attempt: number, outcome }));
    }

    pub(super) fn build(&self, number: u16) -> Build {
        let first = self.scenario.rollout.first_build;
        match self.scenario.releases.get(usize::from(number - first).wrapping_sub(1)) {
            Some(release) => Build::from_release(number, release),
            None => Build::without_defect(number),
        }
    }
}

/// A state as the checker knows it.
pub(super) fn rule_state(state: EndpointState) -> ServerStatus {
    match state {
        EndpointState::Ready => ServerStatus::Ready,
        EndpointState::Draining => ServerStatus::Draining,
        EndpointState::Gone => ServerStatus::Removed,
    }
}
