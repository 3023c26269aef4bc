//! The event loop of a balancer: one event in, the actions that it leads to out.
//!
//! Requests are admitted in `admission.rs`, get a server in `routing.rs`, attempts in `attempts.rs`,
//! retries and hedges in `retry.rs` and their final answer in `completion.rs`. Builds on trial are judged
//! in `analysis/`.

use crate::analysis::GOSSIP_INTERVAL;
use crate::balancer::Balancer;
use crate::interface::{Action, Event, Micros};
use crate::state::LatencyEstimate;
use crate::time::MILLISECOND;

/// Time between two rounds of maintenance, in which also windows are closed and votes are cast.
pub(crate) const MAINTENANCE_INTERVAL: Micros = 100 * MILLISECOND;
/// Share of a server's record that fades in each round of maintenance.
const RECORD_FADING: f64 = 0.03;
/// Share of the late shares that is left after each round of maintenance.
const LATE_SHARE_DECAY: f64 = 0.99;

impl Balancer {
    /// Takes one event and appends what to do about it. `now` must not go back from event to event.
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
        // Drawn at random, so that a fleet that starts together does not go on in step.
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
            Event::ListLease { until } => self.state.list.lease_until = Some(until),
            Event::ShutdownAt { at } => self.on_shutdown(at),
            Event::HealthChecked { .. } | Event::LoadReport { .. } => {}
        }
    }

    /// Sets one timer, for what comes next: hundreds of idle balancers cost next to nothing.
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
        while let Some(id) = self.state.next_check(now) {
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
            server.fade(RECORD_FADING);
        }
        for share in self.state.late_share_by_lane.values_mut() {
            *share *= LATE_SHARE_DECAY;
        }
        self.state.late_share *= LATE_SHARE_DECAY;
        self.update_capacity_estimate(now);
    }
}
