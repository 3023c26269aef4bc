//! Retries and hedged requests, limited by a retry budget and by what a request's idempotency allows.

use crate::balancer::Balancer;
use crate::completion::UnansweredReason;
use crate::interface::{Action, DedupGroup, Idempotency, Micros, Outcome, RequestId, ServerEntry};
use crate::state::InFlightRequest;

/// The number of retries and hedges that each request adds to the retry budget.
pub(crate) const RETRY_BUDGET_PER_REQUEST: f64 = 0.1;
/// The maximum number of retries and hedges that can be saved up.
pub(crate) const MAX_RETRY_BUDGET: f64 = 4.0;
/// A second attempt is made once the first has taken this multiple of the class's 95th percentile of latency:
/// until then most first attempts end, and a second one takes work from other clients.
pub(crate) const HEDGE_DELAY_FACTOR: f64 = 1.3;

impl Balancer {
    /// Runs a request's scheduled check: the request may have run out of time, still be without a server, or
    /// be slow.
    pub(crate) fn check_request(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.state.requests.get(&id) else { return };
        if request.done || request.streaming {
            return;
        }
        if now + self.final_response_margin() >= request.request.deadline {
            self.finish_unanswered(id, UnansweredReason::AttemptsFailed, out);
        } else if request.attempts_in_flight() == 0 {
            self.route_request(now, id, out);
        } else {
            self.hedge_or_cancel(now, id, out);
        }
    }

    /// Hedges a slow attempt where hedging is allowed; otherwise cancels it so that a retry can follow.
    fn hedge_or_cancel(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.state.requests.get(&id) else { return };
        let next_check = request.request.deadline.saturating_sub(self.attempt_timeout_margin());
        if self.second_attempt_is_worthwhile(now, request) {
            if self.settings.limits.hedging {
                self.hedge(now, id, out);
            } else {
                self.cancel_for_retry(id, out);
            }
        }
        self.state.schedule_check(id, next_check);
    }

    fn second_attempt_is_worthwhile(&self, now: Micros, request: &InFlightRequest) -> bool {
        let class = &self.settings.classes[request.request.class];
        request.attempts_in_flight() == 1
            && now < self.latest_start(&request.request)
            && self.state.retry_budget >= 1.0
            && class.idempotency != Idempotency::NonIdempotent
            && request.attempts.len() < self.settings.limits.max_attempts
    }

    fn hedge(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(&InFlightRequest { request, .. }) = self.state.requests.get(&id) else { return };
        if let Some(server) = self.pick_server(now, id)
            && !self.is_congested(now, &request, server)
        {
            self.state.retry_budget -= 1.0;
            self.send(now, id, server, out);
        }
    }

    fn cancel_for_retry(&self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.state.requests.get(&id) else { return };
        let idempotent = self.settings.classes[request.request.class].idempotency == Idempotency::Idempotent;
        if self.settings.limits.cancel && idempotent {
            out.push(Action::Cancel { request: id, attempt: request.attempts.len() - 1 });
        }
    }

    /// Handles a request whose attempts have all ended without a response to pass on: either tries to start
    /// another attempt or gives the final response at once.
    pub(crate) fn retry_or_finish(
        &mut self,
        now: Micros,
        id: RequestId,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let request = &self.state.requests[&id];
        let has_time_left = now + self.retry_margin() < request.request.deadline;
        let has_attempts_left =
            request.attempts.len() < self.settings.limits.max_attempts && outcome != Outcome::NotSent;
        // The budget keeps retries from making an overload worse. A retry after a proven rejection costs as
        // much as any other. When the first attempt was cancelled before it was sent, the next one is free,
        // because it is the first that is sent.
        let first_cancelled_before_send =
            outcome == Outcome::CancelledBeforeSend && request.attempts.len() == 1;
        let budget_cost = if first_cancelled_before_send { 0.0 } else { 1.0 };
        let allowed = has_time_left && has_attempts_left && self.may_repeat(now, request, None);
        if allowed && self.state.retry_budget >= budget_cost {
            self.state.retry_budget -= budget_cost;
            self.route_request(now, id, out);
        } else {
            self.finish_unanswered(id, UnansweredReason::AttemptsFailed, out);
        }
    }

    /// Whether another attempt is safe, that is, cannot take effect a second time: at the given server or, if
    /// none is given, at some server. Once a keyed request may have run, only the deduplication group of the
    /// first server that may have run it may receive it again, and only within the deduplication window.
    pub(crate) fn may_repeat(
        &self,
        now: Micros,
        request: &InFlightRequest,
        server: Option<&ServerEntry>,
    ) -> bool {
        let class = &self.settings.classes[request.request.class];
        let Some(first_attempt) = request.first_possibly_executed() else { return true };
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed => {
                let same_group = server.is_none_or(|entry| match class.dedup_group {
                    DedupGroup::All => true,
                    DedupGroup::Zone => first_attempt.to.zone == entry.zone,
                    DedupGroup::Cell => first_attempt.to.cell == entry.cell,
                });
                same_group && now + self.dedup_window_margin() < first_attempt.sent_at + class.dedup_window
            }
        }
    }
}
