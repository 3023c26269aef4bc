//! The state of the site, and the functions that all its parts need: which faults are active, which release
//! status is visible, and how events are recorded.

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
use violetseam_invariants::{Phase as RecordedPhase, ServerStatus};
use violetseam_site_protocol::endpoint_list::EndpointState;
use violetseam_site_protocol::release_service::{PhaseName, ReleaseUpdate};

/// A listening socket that is registered on the event loop.
#[derive(Clone)]
pub(super) struct Listener {
    pub(super) socket: Rc<TcpListener>,
    pub(super) token: RegistrationToken,
}

/// A simulated server: its model, its listening socket and its state.
pub(super) struct SimulatedServer {
    pub(super) model: Server,
    /// The listening socket. `None` while the server is down.
    pub(super) listener: Option<Listener>,
    pub(super) fault_target: FaultTarget,
    /// Whether the server is cut off: it answers nobody, and its connections stay open.
    pub(super) is_unreachable: bool,
    pub(super) is_draining: bool,
    /// The time at which the server starts again, if it has crashed.
    pub(super) down_until: Option<u64>,
}

/// Counts recent attempts with exponential decay. The share of the newest build in them determines how much a
/// defective build slows the whole fleet down.
pub(super) struct RecentAttempts {
    at_newest_build: f64,
    total: f64,
}

impl RecentAttempts {
    /// The share of each count that remains after a turn.
    const DECAY: f64 = 0.98;
    /// Added to the total in each turn, so that it never reaches 0.
    const TOTAL_INCREMENT_PER_TURN: f64 = 0.01;

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
        self.total = self.total * Self::DECAY + Self::TOTAL_INCREMENT_PER_TURN;
    }

    pub(super) fn share_of_newest_build(&self) -> f64 {
        self.at_newest_build / self.total.max(1e-9)
    }
}

/// A release status and the time at which it took effect.
pub(super) struct StatusChange {
    pub(super) at: u64,
    pub(super) status: ReleaseUpdate,
}

/// The state of the simulated site.
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
    /// All changes of the release status, in order of time. The history is needed because proxies get the
    /// status with a delay.
    pub(super) status_history: Vec<StatusChange>,
    /// The number of servers that have been started in each place.
    pub(super) servers_started_by_place: Vec<usize>,
    pub(super) next_turn_at: u64,
    /// Whether each fault of the scenario was active in the last turn.
    pub(super) was_fault_active: Vec<bool>,
    /// A buffer for completed requests, which is reused in each pass of the loop.
    pub(super) completed: Vec<CompletedRequest>,
    pub(super) recent_attempts: RecentAttempts,
}

impl Site {
    /// Records an event for the invariant checker.
    pub(super) fn record(&mut self, event: ObservedEvent) {
        let at = self.clock.now();
        self.entries.push(EventRecord { at, event });
    }

    /// Records how an attempt ended.
    pub(super) fn record_end(&mut self, attempt: u64, outcome: AttemptOutcome) {
        self.record(ObservedEvent::AttemptEnded(AttemptEnd { attempt, outcome }));
    }

    /// Records that the release status was sent to a proxy.
    pub(super) fn record_status(&mut self, proxy: u32, status: ReleaseUpdate) {
        let phase = match status.phase {
            PhaseName::Trial => RecordedPhase::Trial,
            PhaseName::RollingBack => RecordedPhase::RollingBack,
            PhaseName::Released => RecordedPhase::Released,
            PhaseName::Withdrawn => RecordedPhase::Withdrawn,
        };
        let ReleaseUpdate { build, stage, cap, .. } = status;
        self.record(ObservedEvent::ReleaseStatusSent { proxy, build, stage, phase, cap });
    }

    /// Writes a line to the log of the run. The line is dropped if the receiver is gone, which is the case
    /// once the run is over.
    pub(super) fn log(&self, line: String) {
        let _ = self.log.send(line);
    }

    /// Returns the active faults of a kind.
    pub(super) fn active_faults(&self, kind: FaultKind) -> impl Iterator<Item = &Fault> {
        self.scenario.active_faults(self.clock.now()).filter(move |fault| fault.kind == kind)
    }

    /// Returns the first active fault of a kind.
    pub(super) fn active_fault(&self, kind: FaultKind) -> Option<&Fault> {
        self.active_faults(kind).next()
    }

    /// Returns whether a fault of a kind is active.
    pub(super) fn is_active(&self, kind: FaultKind) -> bool {
        self.active_fault(kind).is_some()
    }

    /// Returns the delay that the first active fault of a kind adds, in microseconds; 0 if none is active.
    pub(super) fn injected_delay(&self, kind: FaultKind) -> u64 {
        self.active_fault(kind).map_or(0, Fault::magnitude_seconds)
    }

    /// Returns whether an active partition of a kind has a proxy among its targets.
    pub(super) fn is_partitioned(&self, kind: FaultKind, proxy: u32) -> bool {
        self.active_faults(kind).any(|fault| fault.targets.contains(&(proxy as usize)))
    }

    /// Returns whether an active partition separates a proxy from a server.
    pub(super) fn is_server_partitioned(&self, proxy: u32, server: u64) -> bool {
        let zone = self.servers.get(&server).map(|server| usize::from(server.model.spec.zone));
        let separates =
            |fault: &Fault| fault.targets.contains(&(proxy as usize)) && zone == Some(fault.selector);
        self.active_faults(FaultKind::ServerPartition).any(separates)
    }

    /// Returns the release status that proxies get at `now`. It is the status that was in effect earlier, by
    /// the scenario's status delay and the delay of an active fault.
    pub(super) fn delayed_status(&self, now: u64) -> ReleaseUpdate {
        let delay = self.scenario.rollout.status_delay + self.injected_delay(FaultKind::ReleaseServiceDelay);
        let visible_until = now.saturating_sub(delay);
        let visible = self.status_history.iter().rev().find(|change| change.at <= visible_until);
        let change = visible.or(self.status_history.first());
        change.map_or_else(|| self.releases.status(), |change| change.status)
    }
}

/// Returns the state of an endpoint in the terms of the invariant checker.
pub(super) fn recorded_status(state: EndpointState) -> ServerStatus {
    match state {
        EndpointState::Ready => ServerStatus::Ready,
        EndpointState::Draining => ServerStatus::Draining,
        EndpointState::Gone => ServerStatus::Removed,
    }
}
