//! Shuts the proxy down: from SIGTERM through draining and the final responses to the end of the event loop.

use crate::client::Client;
use crate::event_loop::{ConnectionId, TimerKind};
use crate::proxy::Proxy;
use violetseam::interface::Micros;
use violetseam::lease::ShutdownSchedule;
use violetseam_proxy::engine::Counts;

/// How long new connections are accepted after SIGTERM, while clients keep using the connections that they
/// have. The platform states that clients learn of the shutdown within 0.4 s.
const ACCEPT_AFTER_SIGTERM: Micros = 500_000;
/// The maximum number of unanswered requests that a shutdown logs.
const MAX_LOGGED_REQUESTS: usize = 20;

/// The phases of a shutdown, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ShutdownPhase {
    /// No shutdown has been requested.
    Running,
    /// SIGTERM has arrived. New connections are still accepted and served for a while.
    Notified,
    /// New connections are no longer accepted. A connection is closed once it is idle.
    Draining,
    /// Every request has its final response. A connection is closed once it has no unread input.
    FinalResponses,
}

/// The totals of one run, returned when the proxy stops.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    /// Counts of requests and attempts.
    pub counts: Counts,
    /// The number of requests without a final response; 0 unless the run was cut short.
    pub unanswered_requests: usize,
}

impl ShutdownPhase {
    /// Whether this side may close a client connection now. A shutdown closes connections only between two
    /// requests.
    pub(super) fn allows_closing(self, client: &Client) -> bool {
        match self {
            ShutdownPhase::Running | ShutdownPhase::Notified => false,
            ShutdownPhase::Draining => client.is_idle(),
            ShutdownPhase::FinalResponses => client.is_fully_answered(),
        }
    }
}

impl Proxy {
    /// Whether new connections are no longer accepted.
    pub(super) fn is_draining(&self) -> bool {
        self.shutdown_phase >= ShutdownPhase::Draining
    }

    /// Whether a shutdown has nothing left to do.
    pub(super) fn is_drained(&self) -> bool {
        self.is_draining()
            && self.client_listener.is_none()
            && self.clients.is_empty()
            && self.engine.pending_responses() == 0
    }

    /// Handles SIGTERM. Connections are still accepted and served for a while. A second signal has no effect.
    pub(super) fn begin_shutdown(&mut self) {
        if self.shutdown_phase > ShutdownPhase::Running {
            return;
        }
        self.shutdown_phase = ShutdownPhase::Notified;
        self.log_counts("ending");
        let now = self.now();
        let longest_deadline = self.config.instance.decisions.longest_deadline();
        let schedule = self.engine.begin_shutdown(now, ShutdownSchedule::starting_at(now, longest_deadline));
        tracing::info!(
            answer_in_us = schedule.answer_by - now,
            end_in_us = schedule.exit_by - now,
            "SIGTERM"
        );
        self.timers.set(now + ACCEPT_AFTER_SIGTERM, TimerKind::BeginDrain);
        self.timers.set(schedule.answer_by, TimerKind::FinalResponses);
        self.timers.set(schedule.exit_by, TimerKind::Stop);
        self.run_engine_actions();
    }

    /// Answers all remaining requests as failed and starts to close every client connection, once the input
    /// that has arrived on it is answered.
    pub(super) fn send_final_responses(&mut self) {
        self.log_unanswered_requests();
        let now = self.now();
        self.engine.fail_pending_requests(now);
        self.run_engine_actions();
        self.begin_drain();
        self.shutdown_phase = ShutdownPhase::FinalResponses;
        let clients = self.clients.iter();
        self.clients_to_revisit
            .extend(clients.map(|(slot, client)| ConnectionId { slot, generation: client.generation }));
    }

    /// Ends the event loop. Responses that clients have not read are dropped.
    pub(super) fn stop(&mut self) {
        self.should_stop = true;
    }

    /// Logs the requests that a shutdown ends without a server's response, by the ids that clients gave to
    /// their calls.
    fn log_unanswered_requests(&self) {
        for (id, request) in self.requests_by_call_id.iter().take(MAX_LOGGED_REQUESTS) {
            let id = String::from_utf8_lossy(id);
            tracing::warn!(request, %id, "shutdown ends a request without a server's answer");
        }
    }

    /// Logs the totals so far.
    pub(super) fn log_counts(&self, event: &str) {
        let counts = self.engine.counts();
        tracing::info!(
            taken = counts.received,
            served = counts.served,
            refused = counts.rejected,
            failed = counts.failed,
            gone = counts.disconnected,
            attempts = counts.attempts,
            overdue = counts.overdue,
            violations = counts.violations,
            held_back = counts.cancelled_before_send,
            without_list = counts.without_server_list,
            closed_while_owed = self.closed_while_pending,
            owed = self.engine.pending_responses(),
            clients = self.clients.len(),
            servers = self.server_connections.len(),
            "{event}"
        );
    }

    /// Stops accepting new work, except for what is already on its way: connections in the kernel's queue,
    /// and the first call on connections that have not had one yet. All other connections are closed between
    /// two requests.
    pub(super) fn begin_drain(&mut self) {
        self.shutdown_phase = self.shutdown_phase.max(ShutdownPhase::Draining);
        self.accept_queued_connections();
        let idle = self.clients.iter().filter(|(_, client)| client.has_sent_call && client.is_idle());
        self.clients_to_revisit
            .extend(idle.map(|(slot, client)| ConnectionId { slot, generation: client.generation }));
    }
}
