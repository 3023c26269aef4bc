//! Attempts: starts them, counts them against the limits of the rules, and checks them again when they can be
//! sent.

use crate::balancer::Balancer;
use crate::event_loop::MAINTENANCE_INTERVAL;
use crate::interface::{Action, Micros, Outcome, RequestId, ServerEntry, ServerId, ServerStatus};
use crate::retry::HEDGE_DELAY_FACTOR;
use crate::state::{Attempt, InFlightRequest};

/// The number of attempts with one idempotency key that are tracked individually. A key with more attempts in
/// flight counts as answered by the new build.
pub(crate) const MAX_ATTEMPTS_PER_KEY: usize = 8;

impl Balancer {
    /// Starts an attempt at a server, and schedules the check at which the request may be hedged.
    pub(crate) fn send(&mut self, now: Micros, id: RequestId, server_id: ServerId, out: &mut Vec<Action>) {
        let Some(server) = self.state.servers.get(&server_id) else { return };
        let server_entry = server.entry;
        let warming_up = server.warm_fraction(now, &self.settings.rules) < 1.0;
        let Some(started) = self.state.start_attempt(now, id, server_entry, warming_up) else { return };
        self.reserve(now, id, started.attempt);
        let cut_at = started.deadline.saturating_sub(self.attempt_timeout_margin()).max(now + 1);
        out.push(Action::Send { request: id, server: server_id, cut_at });
        let tail = self.state.latencies[started.class].known_tail();
        let hedge_at = tail.map_or(cut_at, |tail| now + (tail * HEDGE_DELAY_FACTOR) as Micros);
        self.state.schedule_check(id, hedge_at.min(cut_at));
    }

    /// Counts an attempt against the limits of the rules: the sticky keys, the exposure cap, and the load of
    /// a server in slow start.
    fn reserve(&mut self, now: Micros, id: RequestId, attempt_number: usize) {
        let Some(request) = self.state.requests.get(&id) else { return };
        let Some(attempt) = request.attempts.get(attempt_number) else { return };
        let server_entry = attempt.to;
        let class = request.request.class;
        let key = request.request.key;
        let cost = request.cost;
        let to_newest_build = self.state.release.is_some_and(|release| release.build == server_entry.build);
        if let Some(key) = key
            && to_newest_build
        {
            self.reserve_key(now, key);
        }
        let exposed = self.on_trial(server_entry.build);
        if exposed {
            let history_span = self.settings.rollout.exposure_window * 2;
            let per_class = self.settings.rollout.exposure_per_class;
            self.state
                .exposure_counter_mut(server_entry.build, class, per_class)
                .record_attempt(now, history_span);
        }
        if let Some(attempt) = self.state.attempt_mut(id, attempt_number) {
            attempt.sent_at = now;
            attempt.exposed = exposed;
        }
        if let Some(server) = self.state.servers.get_mut(&server_entry.id) {
            server.sent_cost.add(now, cost, self.settings.rules.overload_span);
        }
    }

    /// Records that a request with this key has been sent to the newest build. When there is no room to
    /// remember the key, every key counts as sticky from then on.
    fn reserve_key(&mut self, now: Micros, key: u64) {
        if !self.settings.rollout.sticky_to_new_build || self.state.sticky_keys.overflowed {
            return;
        }
        if self.state.sticky_keys.has_room_for(key) {
            self.state.sticky_keys.record_sent(key, now, MAX_ATTEMPTS_PER_KEY);
        } else {
            self.state.sticky_keys.clear(true);
        }
    }

    /// Releases what was reserved for an attempt that was never sent.
    pub(crate) fn release_reservation(&mut self, id: RequestId, attempt_number: usize) {
        let Some(request) = self.state.requests.get(&id) else { return };
        let Some(&Attempt { to, sent_at, exposed, .. }) = request.attempts.get(attempt_number) else {
            return;
        };
        let class = request.request.class;
        let cost = request.cost;
        if let Some(key) = request.request.key {
            self.release_key_reservation(key, &to, sent_at);
        }
        let counter_index = if self.settings.rollout.exposure_per_class { class } else { 0 };
        if exposed
            && let Some(counters) = self.state.exposures.get_mut(&to.build)
            && let Some(counter) = counters.get_mut(counter_index)
        {
            counter.remove_attempt(sent_at);
        }
        if let Some(server) = self.state.servers.get_mut(&to.id) {
            server.sent_cost.remove(sent_at, cost, self.settings.rules.overload_span);
        }
    }

    fn release_key_reservation(&mut self, key: u64, to: &ServerEntry, sent_at: Micros) {
        let newest_build = self.state.release.map(|release| release.build);
        let listed_build = self.state.servers.get(&to.id).map_or(to.build, |server| server.entry.build);
        if newest_build == Some(to.build) {
            self.state.sticky_keys.remove_attempt(key, sent_at);
        } else if newest_build == Some(listed_build) {
            // The key was bound when the server was listed with the newest build; see `bind_relisted_keys`.
            self.state.sticky_keys.remove_attempt(key, sent_at.saturating_sub(MAINTENANCE_INTERVAL));
        }
    }

    /// Handles an attempt that can be sent now. Its preconditions are checked again because they may have
    /// changed since it was started: the server may be draining or replaced, the cap may have been lowered,
    /// the key may have been answered by the new build, the deduplication window may be over, or the client
    /// may have disconnected. An attempt that may still be sent is reserved again as of the current time.
    pub(crate) fn on_ready_to_send(
        &mut self,
        now: Micros,
        id: RequestId,
        attempt_number: usize,
        out: &mut Vec<Action>,
    ) {
        let Some(mut request) = self.state.requests.get(&id).cloned() else { return };
        let Some(attempt) =
            request.attempts.get_mut(attempt_number).filter(|attempt| attempt.ended.is_none())
        else {
            return;
        };
        // The checks must see the request as if this attempt had never been made.
        attempt.ended = Some(Outcome::CancelledBeforeSend);
        let server_entry = attempt.to;
        self.release_reservation(id, attempt_number);
        if self.attempt_still_allowed(now, &request, &server_entry) {
            self.reserve(now, id, attempt_number);
        } else {
            out.push(Action::CancelBeforeSend { request: id, attempt: attempt_number });
        }
    }

    fn attempt_still_allowed(
        &mut self,
        now: Micros,
        request: &InFlightRequest,
        original_entry: &ServerEntry,
    ) -> bool {
        let Some(server) = self.state.servers.get(&original_entry.id) else { return false };
        let listed_entry = server.entry;
        let warming_up = server.warm_fraction(now, &self.settings.rules) < 1.0;
        let same_server = listed_entry.build == original_entry.build
            && listed_entry.started_at == original_entry.started_at;
        if listed_entry.status != ServerStatus::Ready || !same_server {
            return false;
        }
        if request.done || request.streaming || !self.may_send(now) {
            return false;
        }
        if !self.may_repeat(now, request, Some(&listed_entry))
            || !self.build_admits(now, original_entry.build, request)
        {
            return false;
        }
        !warming_up || self.slow_start_share(now, original_entry.id, request.cost, false) > 0.0
    }

    /// Whether anything may be sent: the lease on the server list is valid, and the process is not about to
    /// end.
    pub(crate) fn may_send(&self, now: Micros) -> bool {
        let lease_is_valid = self.state.list.lease_until.is_none_or(|until| now < until);
        let before_shutdown = self.state.shutdown_at.is_none_or(|at| now + self.final_response_margin() < at);
        lease_is_valid && before_shutdown
    }

    /// Begins the shutdown of the process: a request whose deadline is after the shutdown gets its final
    /// response shortly before the shutdown.
    pub(crate) fn on_shutdown(&mut self, shutdown_at: Micros) {
        self.state.shutdown_at = Some(shutdown_at);
        let final_check_at = shutdown_at.saturating_sub(self.final_response_margin());
        let mut checks = Vec::new();
        for (&id, request) in &mut self.state.requests {
            let unanswered = !request.done && !request.streaming;
            if unanswered && request.request.deadline > shutdown_at {
                request.request.deadline = shutdown_at;
                checks.push((id, request.next_check.min(final_check_at)));
            }
        }
        for (id, check_at) in checks {
            self.state.schedule_check(id, check_at);
        }
    }
}
