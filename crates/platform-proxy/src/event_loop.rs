//! Polls for events, runs timers and executes the engine's actions.

use crate::proxy::Proxy;
use std::time::Duration;
use violetseam::interface::Micros;
use violetseam_proxy::engine::EngineAction;

/// The interval between two rounds of maintenance.
pub(super) const MAINTENANCE_INTERVAL: Micros = 50_000;

/// Identifies a connection by its slot and by a generation, which distinguishes it from earlier connections
/// in the same slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ConnectionId {
    pub slot: usize,
    pub generation: u64,
}

/// The purpose of a timer. Timers are never cancelled; the handler of a timer ignores it if its generation or
/// its time shows that it is outdated.
///
/// Timers that are due in the same microsecond run in the order of these variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKind {
    /// An attempt to connect to a server times out.
    ConnectTimeout(ConnectionId),
    /// The query to discovery with this generation times out.
    DiscoveryTimeout(u64),
    /// The next query to discovery is due.
    DiscoveryRetry,
    /// It is time to check whether the release watch with this generation is still alive.
    ReleaseWatchSilence(u64),
    /// The release watch is to be opened again.
    ReleaseWatchRetry,
    /// A vote times out.
    VoteTimeout(ConnectionId),
    /// The listener accepts connections again after a pause.
    ResumeAccepting,
    /// The configuration file is to be read again.
    RetryReload {
        /// The generation of the reload that this continues.
        generation: u64,
        /// When the reload was ordered.
        ordered_at: Micros,
        /// How many attempts are left, including this one.
        attempts_left: u32,
    },
    /// A shutdown stops accepting connections.
    BeginDrain,
    /// A shutdown answers all remaining requests and closes all client connections.
    FinalResponses,
    /// The proxy stops, whether or not everything is finished.
    Stop,
    /// Regular maintenance is due.
    Maintenance,
}

impl Proxy {
    /// Returns how long the next poll may wait for events.
    pub(super) fn poll_timeout(&self) -> Duration {
        if !self.clients_to_revisit.is_empty() {
            return Duration::ZERO;
        }
        self.timers.poll_timeout(self.now(), self.engine.next_deadline())
    }

    /// Runs everything that was due when the sockets were last polled. A response that had arrived by then
    /// has been read already, so that no attempt times out while its response is unread.
    pub(super) fn run_due_timers(&mut self, polled_at: Micros) {
        let now = self.now();
        self.engine.run_deadlines_until(now, polled_at);
        self.run_engine_actions();
        while let Some(timer) = self.timers.pop(polled_at) {
            match timer {
                TimerKind::ConnectTimeout(connection) => self.on_connect_timeout(connection),
                TimerKind::DiscoveryTimeout(generation) => self.on_discovery_timeout(generation),
                TimerKind::DiscoveryRetry => self.start_scheduled_query(),
                TimerKind::ReleaseWatchSilence(generation) => self.check_release_watch(generation),
                TimerKind::ReleaseWatchRetry => self.open_release_watch(),
                TimerKind::VoteTimeout(connection) => self.on_vote_timeout(connection),
                TimerKind::ResumeAccepting => self.resume_accepting(),
                TimerKind::RetryReload { generation, ordered_at, attempts_left } => {
                    self.retry_reload(generation, ordered_at, attempts_left);
                }
                TimerKind::BeginDrain => self.begin_drain(),
                TimerKind::FinalResponses => self.send_final_responses(),
                TimerKind::Stop => self.stop(),
                TimerKind::Maintenance => self.run_maintenance(now),
            }
            self.run_engine_actions();
        }
        self.revisit_clients();
        if self.is_drained() {
            self.should_stop = true;
        }
    }

    /// Executes the engine's actions, and the actions that result from them, until none is left. A nested
    /// call, made while an action is being executed, leaves the rest to the outer call.
    pub(super) fn run_engine_actions(&mut self) {
        self.sockets_were_ready = true;
        if std::mem::replace(&mut self.is_running_actions, true) {
            return;
        }
        while let Some(action) = self.engine.next_action() {
            self.run_engine_action(action);
        }
        self.is_running_actions = false;
    }

    fn run_engine_action(&mut self, action: EngineAction) {
        match action {
            EngineAction::StartAttempt { request, attempt, server } => {
                self.start_attempt(request, attempt, server);
            }
            EngineAction::CloseAttempt { request, attempt } => self.cancel_attempt(request, attempt),
            EngineAction::Respond { request, response } => self.send_local_response(request, response),
            EngineAction::Forget { request } => self.forget_request(request),
            EngineAction::WatchServerList | EngineAction::FetchServerList => self.poll_server_list(),
            EngineAction::Vote { build, stage, verdict } => self.cast_vote(build, stage, verdict),
            EngineAction::Gossip { to, payload } => self.gossip_to_peers(to, &payload),
            // The platform's settings contain no quota for the whole fleet, so there is nothing to lease.
            EngineAction::BudgetMessage { .. } => {}
            EngineAction::Log(text) => tracing::info!(target: "verdict", "{text}"),
        }
    }

    fn run_maintenance(&mut self, now: Micros) {
        self.timers.set(now + MAINTENANCE_INTERVAL, TimerKind::Maintenance);
        self.close_timed_out_clients(now);
        self.close_idle_server_connections(now);
        self.log_usage_if_due(now);
    }
}
