//! The state of the site, and what all its parts need: active faults, the status as sent, records.

use super::connection::{Connection, Pending};
use super::relay::Relay;
use super::release_source::ReleaseSource;
use super::report::SiteReport;
use crate::Clock;
use crate::model::RandomSource;
use crate::model::endpoint_registry::EndpointRegistry;
use crate::model::server::{CompletedRequest, DedupCaches, FaultTarget, Server};
use crate::network::AddressPlan;
use crate::scenario::{Fault, FaultKind, Scenario};
use calloop::{LoopHandle, RegistrationToken};
use slab::Slab;
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::mpsc::Sender;
use violetseam_invariants::{AttemptEnd, AttemptOutcome, EventRecord, ObservedEvent};
use violetseam_invariants::{Phase as RulePhase, ServerStatus};
use violetseam_site_protocol::endpoint_list::EndpointState;
use violetseam_site_protocol::release_service::{PhaseName, ReleaseUpdate};

/// A listening socket on the event loop.
#[derive(Clone)]
pub(super) struct Listener {
    pub(super) socket: Rc<TcpListener>,
    pub(super) token: RegistrationToken,
}

/// A server with its socket.
pub(super) struct SimulatedServer {
    pub(super) model: Server,
    /// None while it is down.
    pub(super) listener: Option<Listener>,
    pub(super) fault_target: FaultTarget,
    /// It answers nobody and closes nothing.
    pub(super) is_unreachable: bool,
    pub(super) is_draining: bool,
    /// It crashed and starts again then.
    pub(super) down_until: Option<u64>,
}

/// Recent attempts, with exponential decay; for builds that slow the whole fleet down.
pub(super) struct RecentAttempts {
    at_newest_build: f64,
    total: f64,
}

impl RecentAttempts {
    /// What remains after a turn.
    const DECAY: f64 = 0.98;
    /// Added in each turn, so that the total never reaches 0.
    const TOTAL_FLOOR: f64 = 0.01;

    pub(super) fn new() -> Self {
        RecentAttempts { at_newest_build: 0.0, total: 1.0 }
    }

    pub(super) fn add(&mut self, is_at_newest_build: bool) {
        if is_at_newest_build {
            self.at_newest_build += 1.0;
        }
        self.total += 1.0;
    }

    pub(super) fn decay(&mut self) {
        self.at_newest_build *= Self::DECAY;
        self.total = self.total * Self::DECAY + Self::TOTAL_FLOOR;
    }

    pub(super) fn share_of_newest_build(&self) -> f64 {
        self.at_newest_build / self.total.max(1e-9)
    }
}

/// A release status and the time from which it was in force.
pub(super) struct StatusChange {
    pub(super) at: u64,
    pub(super) status: ReleaseUpdate,
}

/// The site.
pub struct Site {
    pub(super) clock: Clock,
    pub(super) scenario: Rc<Scenario>,
    pub(super) addresses: AddressPlan,
    pub(super) handle: LoopHandle<'static, Site>,
    pub(super) random: RandomSource,
    pub(super) servers: BTreeMap<u64, SimulatedServer>,
    pub(super) connections: Slab<Connection>,
    pub(super) pending: Pending,
    pub(super) registry: EndpointRegistry,
    pub(super) releases: ReleaseSource,
    pub(super) relay: Relay,
    pub(super) entries: Vec<EventRecord>,
    pub(super) log: Sender<String>,
    pub(super) report: SiteReport,
    pub(super) dedup_caches: DedupCaches,
    /// In order of time; the status is sent late.
    pub(super) status_history: Vec<StatusChange>,
    /// By place: servers that have stood there.
    pub(super) servers_by_place: Vec<usize>,
    pub(super) next_turn: u64,
    /// By fault: whether it was active in the last turn.
    pub(super) was_active: Vec<bool>,
    /// Buffer of [`Site::advance`].
    pub(super) completed: Vec<CompletedRequest>,
    pub(super) recent_attempts: RecentAttempts,
}

impl Site {
    /// Records an event for the checker of the invariants.
    pub(super) fn record(&mut self, event: ObservedEvent) {
        let at = self.clock.now();
        self.entries.push(EventRecord { at, event });
    }

    /// Records the end of an attempt.
    pub(super) fn record_end(&mut self, attempt: u64, outcome: AttemptOutcome) {
        self.record(ObservedEvent::AttemptEnded(AttemptEnd { attempt, outcome }));
    }

    /// Records the release status as sent to a proxy.
    pub(super) fn record_status(&mut self, proxy: u32, status: ReleaseUpdate) {
        let phase = match status.phase {
            PhaseName::Trial => RulePhase::Trial,
            PhaseName::RollingBack => RulePhase::RollingBack,
            PhaseName::Released => RulePhase::Released,
            PhaseName::Withdrawn => RulePhase::Withdrawn,
        };
        let ReleaseUpdate { build, stage, cap, .. } = status;
        self.record(ObservedEvent::ReleaseStatusSent { proxy, build, stage, phase, cap });
    }

    /// Writes a line to the log of the run. Nobody reads it once the run is over.
    pub(super) fn log(&self, line: String) {
        let _ = self.log.send(line);
    }

    /// Active faults of a kind.
    pub(super) fn active_faults(&self, kind: FaultKind) -> impl Iterator<Item = &Fault> {
        self.scenario.active_faults(self.clock.now()).filter(move |fault| fault.kind == kind)
    }

    /// The first active fault of a kind.
    pub(super) fn active_fault(&self, kind: FaultKind) -> Option<&Fault> {
        self.active_faults(kind).next()
    }

    /// Whether a fault of a kind is active.
    pub(super) fn is_active(&self, kind: FaultKind) -> bool {
        self.active_fault(kind).is_some()
    }

    /// The delay that a fault of a kind adds now.
    pub(super) fn injected_delay(&self, kind: FaultKind) -> u64 {
        self.active_fault(kind).map_or(0, Fault::magnitude_seconds)
    }

    /// Whether a partition of a kind separates a proxy.
    pub(super) fn is_partitioned(&self, kind: FaultKind, proxy: u32) -> bool {
        self.active_faults(kind).any(|fault| fault.targets.contains(&(proxy as usize)))
    }

    /// Whether a proxy and a server cannot reach each other.
    pub(super) fn is_server_partitioned(&self, proxy: u32, server: u64) -> bool {
        let zone = self.servers.get(&server).map(|server| usize::from(server.model.spec.zone));
        let separates =
            |fault: &Fault| fault.targets.contains(&(proxy as usize)) && zone == Some(fault.selector);
        self.active_faults(FaultKind::ServerPartition).any(separates)
    }

    /// The release status that proxies get at a time: that of a while ago.
    pub(super) fn delayed_status(&self, now: u64) -> ReleaseUpdate {
        let delay = self.scenario.rollout.status_delay + self.injected_delay(FaultKind::ReleaseServiceDelay);
        let visible_until = now.saturating_sub(delay);
        let visible = self.status_history.iter().rev().find(|change| change.at <= visible_until);
        let change = visible.or(self.status_history.first());
        change.map_or_else(|| self.releases.status(), |change| change.status)
    }
}

/// A state as the checker of the invariants knows it.
pub(super) fn rule_state(state: EndpointState) -> ServerStatus {
    match state {
        EndpointState::Ready => ServerStatus::Ready,
        EndpointState::Draining => ServerStatus::Draining,
        EndpointState::Gone => ServerStatus::Removed,
    }
}
