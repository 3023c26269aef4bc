//! The event loop: polling, timers, and the execution of the engine's actions.

use crate::proxy::Proxy;
use std::time::Duration;
use violetseam::interface::Micros;
use violetseam_proxy::engine::EngineAction;

/// The span between two rounds of maintenance.
pub(super) const MAINTENANCE_INTERVAL: Micros = 50_000;

/// Identifies a connection: its slot, and the generation that tells it from earlier connections in the same
/// slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ConnectionId {
    pub slot: usize,
    pub generation: u64,
}

/// What a timer is for. Timers are never cancelled: one that has become stale is ignored by its generation.
///
/// The order of the variants is the order in which timers of the same microsecond are run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKind {
    /// The time-out of a connection attempt to a server.
    ConnectTimeout(ConnectionId),
    /// The time-out of the query to discovery of this generation.
    DiscoveryTimeout(u64),
    /// The next query to discovery.
    DiscoveryRetry,
    /// Checks whether the release watch of this generation is still alive.
    ReleaseWatchSilence(u64),
    /// Opens the release watch again.
    ReleaseWatchRetry,
    /// The time-out of a vote.
    VoteTimeout(ConnectionId),
    /// Accepts connections again after a pause.
    ResumeAccepting,
    /// Reads the configuration again.
    RetryReload {
        /// The reload that this continues.
        generation: u64,
        /// Attempts that are left.
        attempts_left: u32,
    },
    /// Stops accepting connections.
    BeginDrain,
    /// Answers every request that is left and ends all client connections.
    FinalResponses,
    /// Stops, whatever is left.
    Stop,
    /// Regular maintenance.
    Maintenance,
}

impl Proxy {
    /// How long the next poll may wait for events.
    pub(super) fn poll_timeout(&self) -> Duration {
        if !self.clients_to_revisit.is_empty() {
            return Duration::ZERO;
        }
        self.timers.poll_timeout(self.now(), self.engine.next_deadline())
    }

    /// Runs what was due when the sockets were last polled: an answer that had arrived by then has been read.
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
                TimerKind::RetryReload { generation, attempts_left } => {
                    self.retry_reload(generation, attempts_left);
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

    /// Executes the engine's actions, and those that follow from them, until none is left. Called while an
    /// action is being executed, it leaves the rest to the outer call.
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
            // The platform's settings contain no quota of the fleet, so there is nothing to lease.
            EngineAction::BudgetMessage { .. } => {}
            EngineAction::Log(text) => tracing::info!(target: "verdict", "{text}"),
        }
    }

    fn run_maintenance(&mut self, now: Micros) {
        self.timers.set(now + MAINTENANCE_INTERVAL, TimerKind::Maintenance);
        self.close_timed_out_clients(now);
        self.close_idle_server_connections(now);
    }
}
