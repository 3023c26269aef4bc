//! The event loop: polling, timers, and the execution of the engine's orders.

use crate::proxy::Proxy;
use std::time::Duration;
use violetseam::interface::Micros;
use violetseam_proxy::engine::Order;

/// The span between two rounds of maintenance.
pub(super) const MAINTENANCE_INTERVAL: Micros = 50_000;

/// Identifies a connection: its slot, and the generation that tells it from earlier connections in the same slot.
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
        self.timers.wait(self.now(), self.engine.due())
    }

    /// Runs what was due when the sockets were last polled: an answer that had arrived by then has been read.
    pub(super) fn run_due_timers(&mut self, polled_at: Micros) {
        let now = self.now();
        self.engine.on_due_by(now, polled_at);
        self.run_engine_orders();
        while let Some(timer) = self.timers.pop(polled_at) {
            match timer {
                TimerKind::ConnectTimeout(connection) => self.connect_timeout(connection),
                TimerKind::DiscoveryTimeout(generation) => self.discovery_timeout(generation),
                TimerKind::DiscoveryRetry => self.start_scheduled_query(),
                TimerKind::ReleaseWatchSilence(generation) => self.check_release_watch(generation),
                TimerKind::ReleaseWatchRetry => self.open_release_watch(),
                TimerKind::VoteTimeout(connection) => self.vote_timeout(connection),
                TimerKind::ResumeAccepting => self.resume_accepting(),
                TimerKind::RetryReload { generation, attempts_left } => {
                    self.retry_reload(generation, attempts_left);
                }
                TimerKind::BeginDrain => self.begin_drain(),
                TimerKind::FinalResponses => self.send_final_responses(),
                TimerKind::Stop => self.stop(),
                TimerKind::Maintenance => self.run_maintenance(now),
            }
            self.run_engine_orders();
        }
        self.revisit_clients();
        if self.is_drained() {
            self.stopping = true;
        }
    }

    /// Executes the engine's orders, and those that follow from them, until none is left. Called while an order is being
    /// executed, it leaves the rest to the outer call.
    pub(super) fn run_engine_orders(&mut self) {
        self.sockets_were_ready = true;
        if std::mem::replace(&mut self.is_running_orders, true) {
            return;
        }
        while let Some(order) = self.engine.next_order() {
            self.run_engine_order(order);
        }
        self.is_running_orders = false;
    }

    fn run_engine_order(&mut self, order: Order) {
        match order {
            Order::Start { request, attempt, server } => self.start_attempt(request, attempt, server),
            Order::Drop { request, attempt } => self.cancel_attempt(request, attempt),
            Order::Answer { request, answer } => self.send_own_response(request, answer),
            Order::Forget { request } => self.forget_request(request),
            Order::FollowList | Order::FetchList => self.poll_server_list(),
            Order::Vote { build, stage, verdict } => self.cast_vote(build, stage, verdict),
            Order::Tell { to, payload } => self.gossip_to_peers(to, &payload),
            // The platform's settings contain no quota of the fleet, so there is nothing to lease.
            Order::Rights { .. } => {}
            Order::Note(text) => tracing::info!(target: "verdict", "{text}"),
        }
    }

    fn run_maintenance(&mut self, now: Micros) {
        self.timers.set(now + MAINTENANCE_INTERVAL, TimerKind::Maintenance);
        self.close_timed_out_clients(now);
        self.close_idle_servers(now);
    }
}
