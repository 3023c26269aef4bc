//! Attempts: started, counted against the limits of the rules, and checked again when they can be sent.

use crate::balancer::Balancer;
use crate::event_loop::MAINTENANCE_INTERVAL;
use crate::interface::{Action, Micros, Outcome, RequestId, ServerEntry, ServerId, ServerStatus};
use crate::retry::HEDGE_DELAY_FACTOR;
use crate::state::{Attempt, InFlightRequest};

/// Attempts with one key that are counted one by one; with more the key counts as answered by the new build.
pub(crate) const MAX_ATTEMPTS_PER_KEY: usize = 8;

impl Balancer {
    /// Starts an attempt at a server.
    pub(crate) fn send(&mut self, now: Micros, id: RequestId, to: ServerId, out: &mut Vec<Action>) {
        let Some(server) = self.state.servers.get(&to) else { return };
        let entry = server.entry;
        let warming_up = server.warm_fraction(now, &self.settings.rules) < 1.0;
        let Some(started) = self.state.start_attempt(now, id, entry, warming_up) else { return };
        self.reserve(now, id, started.attempt);
        let cut_at = started.deadline.saturating_sub(self.cut_margin()).max(now + 1);
        out.push(Action::Send { request: id, server: to, cut_at });
        let hedge_at = now + (self.state.latencies[started.class].tail * HEDGE_DELAY_FACTOR) as Micros;
        self.state.schedule_check(id, hedge_at.min(cut_at));
    }

    /// Counts an attempt against what the rules allow: sticky keys, exposure, the load of a server in slow
    /// start.
    fn reserve(&mut self, now: Micros, id: RequestId, number: usize) {
        let Some(request) = self.state.requests.get(&id) else { return };
        let Some(attempt) = request.attempts.get(number) else { return };
        let entry = attempt.to;
        let class = request.request.class;
        let key = request.request.key;
        let cost = request.cost;
        let at_newest = self.state.release.is_some_and(|release| release.build == entry.build);
        if let Some(key) = key
            && at_newest
        {
            self.reserve_key(now, key);
        }
        let exposed = self.on_trial(entry.build);
        if exposed {
            let span = self.settings.rollout.exposure_window * 2;
            let per_class = self.settings.rollout.exposure_per_class;
            self.state.exposure_of(entry.build, class, per_class).spend(now, span);
        }
        if let Some(attempt) = self.state.attempt_mut(id, number) {
            attempt.sent_at = now;
            attempt.exposed = exposed;
        }
        if let Some(server) = self.state.servers.get_mut(&entry.id) {
            server.sent_cost.add(now, cost);
        }
    }

    /// Remembers that a key is on its way to the newest build. Where one cannot be remembered, all keys count
    /// as sticky from here on.
    fn reserve_key(&mut self, now: Micros, key: u64) {
        if !self.settings.rollout.sticky_to_new_build || self.state.sticky_keys.overflowed {
            return;
        }
        if self.state.sticky_keys.has_room_for(key) {
            self.state.sticky_keys.sent(key, now, MAX_ATTEMPTS_PER_KEY);
        } else {
            self.state.sticky_keys.clear(true);
        }
    }

    /// Releases what was reserved for an attempt that was never sent.
    pub(crate) fn release_reservation(&mut self, id: RequestId, number: usize) {
        let Some(request) = self.state.requests.get(&id) else { return };
        let Some(&Attempt { to, sent_at, exposed, .. }) = request.attempts.get(number) else { return };
        let class = request.request.class;
        let cost = request.cost;
        if let Some(key) = request.request.key {
            self.release_key(key, &to, sent_at);
        }
        let lane = if self.settings.rollout.exposure_per_class { class } else { 0 };
        if exposed
            && let Some(lanes) = self.state.exposures.get_mut(&to.build)
            && let Some(counter) = lanes.get_mut(lane)
        {
            counter.give_back(sent_at);
        }
        if let Some(server) = self.state.servers.get_mut(&to.id) {
            server.sent_cost.take_back(sent_at, cost);
        }
    }

    fn release_key(&mut self, key: u64, to: &ServerEntry, sent_at: Micros) {
        let newest = self.state.release.map(|release| release.build);
        let listed = self.state.servers.get(&to.id).map_or(to.build, |server| server.entry.build);
        if newest == Some(to.build) {
            self.state.sticky_keys.settled(key, sent_at);
        } else if newest == Some(listed) {
            // It was bound when the server was listed with the newest build; see `bind_relisted_keys`.
            self.state.sticky_keys.settled(key, sent_at.saturating_sub(MAINTENANCE_INTERVAL));
        }
    }

    /// An attempt can be sent now. Its preconditions may have changed since it was started: the server may
    /// drain or have been replaced, the cap may be lower, the key answered elsewhere, the window for repeats
    /// over, the client disconnected. An attempt that may still be sent is reserved anew, from now on.
    pub(crate) fn on_ready_to_send(
        &mut self,
        now: Micros,
        id: RequestId,
        number: usize,
        out: &mut Vec<Action>,
    ) {
        let Some(mut request) = self.state.requests.get(&id).cloned() else { return };
        let Some(attempt) = request.attempts.get_mut(number).filter(|attempt| attempt.ended.is_none()) else {
            return;
        };
        // The checks see the request as if this attempt had never been made.
        attempt.ended = Some(Outcome::CancelledBeforeSend);
        let to = attempt.to;
        self.release_reservation(id, number);
        if self.attempt_still_allowed(now, &request, &to) {
            self.reserve(now, id, number);
        } else {
            out.push(Action::CancelBeforeSend { request: id, attempt: number });
        }
    }

    fn attempt_still_allowed(&mut self, now: Micros, request: &InFlightRequest, to: &ServerEntry) -> bool {
        let Some(server) = self.state.servers.get(&to.id) else { return false };
        let listed = server.entry;
        let warming_up = server.warm_fraction(now, &self.settings.rules) < 1.0;
        let same_server = listed.build == to.build && listed.started_at == to.started_at;
        if listed.status != ServerStatus::Ready || !same_server {
            return false;
        }
        if request.done || request.streaming || !self.may_send(now) {
            return false;
        }
        if !self.may_repeat(now, request, Some(&listed)) || !self.build_admits(now, to.build, request) {
            return false;
        }
        !warming_up || self.slow_start_share(now, to.id, request.cost, false) > 0.0
    }

    /// Whether anything may be sent: the lease on the server list holds, and the process is not about to end.
    pub(crate) fn may_send(&self, now: Micros) -> bool {
        let lease_holds = self.state.list.lease_until.is_none_or(|until| now < until);
        let shutdown_far = self.state.shutdown_at.is_none_or(|at| now + self.final_answer_margin() < at);
        lease_holds && shutdown_far
    }

    /// The process shuts down: requests with a later deadline get their final answer shortly before that.
    pub(crate) fn on_shutdown(&mut self, at: Micros) {
        self.state.shutdown_at = Some(at);
        let last_check = at.saturating_sub(self.final_answer_margin());
        let mut checks = Vec::new();
        for (&id, request) in &mut self.state.requests {
            let waits = !request.done && !request.streaming;
            if waits && request.request.deadline > at {
                request.request.deadline = at;
                checks.push((id, request.next_check.min(last_check)));
            }
        }
        for (id, check_at) in checks {
            self.state.schedule_check(id, check_at);
        }
    }
}
