//! The event loop of a balancer: takes one event and returns the actions that follow from it.
//!
//! Requests are admitted in `admission.rs` and assigned to a server in `routing.rs`. Attempts are handled in
//! `attempts.rs`, retries and hedges in `retry.rs`, and final responses in `completion.rs`. Builds on trial
//! are compared with earlier ones in `analysis/`.

use crate::analysis::GOSSIP_INTERVAL;
use crate::balancer::Balancer;
use crate::interface::{Action, Event, Micros};
use crate::state::LatencyEstimate;
use crate::time::MILLISECOND;

/// The time between two rounds of maintenance. Windows are closed and votes are cast in the same rounds.
pub(crate) const MAINTENANCE_INTERVAL: Micros = 100 * MILLISECOND;
/// The share by which a server's record moves towards that of a healthy server in each round of maintenance.
const SERVER_RECORD_DECAY_SHARE: f64 = 0.03;
/// The shares of unanswered attempts are multiplied by this factor in each round of maintenance, so that a
/// lane that is refused is tried again.
const UNANSWERED_SHARE_RETAINED: f64 = 0.99;

impl Balancer {
    /// Handles one event and appends the resulting actions to `out`. `now` must never be earlier than in the
    /// call before.
    pub fn on_event(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        if !self.state.started {
            self.start(now, out);
        }
        self.dispatch(now, event, out);
        self.arm_timer(now, out);
    }

    fn start(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.state.started = true;
        self.state.list.heard_at = now;
        // The first maintenance and gossip times are random, so that a fleet that starts together does not
        // stay in step.
        self.state.next_maintenance =
            now + (MAINTENANCE_INTERVAL as f64 * self.state.random.unit()) as Micros;
        self.state.analysis.next_gossip = now + (GOSSIP_INTERVAL as f64 * self.state.random.unit()) as Micros;
        if self.settings.subscribes_to_list {
            out.push(Action::WatchServerList);
        }
    }

    fn dispatch(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::ServerList { kind, entries } => self.on_server_list(now, kind, entries),
            Event::Request(request) => self.on_request(now, request, out),
            Event::Timer { .. } => self.on_timer(now, out),
            Event::AttemptEnded(end) => self.on_attempt_ended(now, end, out),
            Event::StreamStarted { request, .. } => self.state.stream_started(request),
            Event::AnswerFlagged { server, class, since } => {
                self.on_answer_flagged(now, server, class, since);
            }
            Event::ClientDisconnected { request } => self.finish(request, out),
            Event::Release(release) => self.on_release_status(now, release),
            Event::VoteReply { outcome, release } => self.on_vote_reply(now, outcome, release),
            Event::PeerMessage { from, payload } => self.on_peer_message(from, payload),
            Event::Operator(command) => self.on_operator_command(now, command, out),
            Event::ReadyToSend { request, attempt } => self.on_ready_to_send(now, request, attempt, out),
            Event::ListLease { until } => {
                self.state.list.lease_until = Some(until);
                self.state.check_waiting_requests(now);
            }
            Event::ShutdownAt { at } => self.on_shutdown(at),
            Event::HealthChecked { .. } | Event::LoadReport { .. } => {}
        }
    }

    /// Sets a single timer for whatever is due next, so that even hundreds of idle balancers cost almost
    /// nothing.
    fn arm_timer(&mut self, now: Micros, out: &mut Vec<Action>) {
        let next_maintenance = self.state.next_maintenance;
        let next_check = self.state.checks.first().map(|&(at, _)| at);
        let due = next_check.map_or(next_maintenance, |at| at.min(next_maintenance)).max(now + 1);
        let timer_passed = self.state.timer_due <= now;
        if timer_passed || due < self.state.timer_due {
            self.state.timer_due = due;
            out.push(Action::SetTimer { after: due - now, token: 0 });
        }
    }

    fn on_timer(&mut self, now: Micros, out: &mut Vec<Action>) {
        // Requests that wait for a server are served in the order in which their clients stop waiting.
        for id in self.state.take_due_checks(now) {
            self.check_request(now, id, out);
        }
        if now >= self.state.next_maintenance {
            self.maintain(now);
            self.renew_list_watch(now, out);
            self.close_window(now, out);
            self.gossip_to_peers(now, out);
            self.vote(now, out);
        }
    }

    fn maintain(&mut self, now: Micros) {
        self.state.next_maintenance = now + MAINTENANCE_INTERVAL;
        self.state.latencies.iter_mut().for_each(LatencyEstimate::refresh);
        for server in self.state.servers.values_mut() {
            server.decay(SERVER_RECORD_DECAY_SHARE);
        }
        for share in self.state.unanswered_share_by_lane.values_mut() {
            *share *= UNANSWERED_SHARE_RETAINED;
        }
        self.state.unanswered_share *= UNANSWERED_SHARE_RETAINED;
        self.update_capacity_estimate(now);
    }
}
