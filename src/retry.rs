//! Retries and hedged requests, within a budget and within what a request's idempotency allows.

use crate::balancer::Balancer;
use crate::completion::UnansweredReason;
use crate::interface::{Action, DedupGroup, Idempotency, Micros, Outcome, RequestId, ServerEntry};
use crate::state::InFlightRequest;

/// Retries and hedges that each request earns.
pub(crate) const RETRY_BUDGET_PER_REQUEST: f64 = 0.1;
/// Retries and hedges that may be saved up.
pub(crate) const MAX_RETRY_BUDGET: f64 = 4.0;
/// Multiple of the class's 95th percentile after which a second attempt is worth its cost.
pub(crate) const HEDGE_DELAY_FACTOR: f64 = 1.3;

impl Balancer {
    /// Checks a request when that is due: it may be out of time, still without a server, or slow.
    pub(crate) fn check_request(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.state.requests.get(&id) else { return };
        if request.done || request.streaming {
            return;
        }
        if now + self.final_answer_margin() >= request.request.deadline {
            self.finish_unanswered(now, id, UnansweredReason::AttemptsFailed, out);
        } else if request.attempts_in_flight() == 0 {
            self.place(now, id, out);
        } else {
            self.hedge_or_cancel(now, id, out);
        }
    }

    /// A slow attempt is hedged where that is allowed, else cancelled so that a retry can follow.
    fn hedge_or_cancel(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.state.requests.get(&id) else { return };
        let next_check = request.request.deadline.saturating_sub(self.cut_margin());
        if self.hedge_is_worth_it(now, request) {
            if self.settings.limits.hedging {
                self.hedge(now, id, out);
            } else {
                self.cancel_for_retry(id, out);
            }
        }
        self.state.schedule_check(id, next_check);
    }

    fn hedge_is_worth_it(&self, now: Micros, request: &InFlightRequest) -> bool {
        let class = &self.settings.classes[request.request.class];
        let in_time = now < request.arrived + class.latency_objective;
        request.attempts_in_flight() == 1
            && in_time
            && self.state.retry_budget >= 1.0
            && class.idempotency != Idempotency::NonIdempotent
            && request.attempts.len() < self.settings.limits.max_attempts
    }

    fn hedge(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        if let Some(server) = self.pick_server(now, id) {
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

    /// All attempts have ended without an answer: another one, or the final answer at once.
    pub(crate) fn retry_or_finish(
        &mut self,
        now: Micros,
        id: RequestId,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let request = &self.state.requests[&id];
        let time_left = now + self.retry_margin() < request.request.deadline;
        let attempts_left =
            request.attempts.len() < self.settings.limits.max_attempts && outcome != Outcome::NotSent;
        // The budget keeps retries from feeding an overload; those after a proven rejection cost as much as
        // any. After a first attempt that was cancelled before it was sent, the next one is the first that
        // is sent.
        let first_cancelled = outcome == Outcome::CancelledBeforeSend && request.attempts.len() == 1;
        let price = if first_cancelled { 0.0 } else { 1.0 };
        let allowed = time_left && attempts_left && self.may_repeat(now, request, None);
        if allowed && self.state.retry_budget >= price {
            self.state.retry_budget -= price;
            self.place(now, id, out);
        } else {
            self.finish_unanswered(now, id, UnansweredReason::AttemptsFailed, out);
        }
    }

    /// Whether another attempt can have no second effect, at the given server or at any at all: once a keyed
    /// request may have run, only its first server's deduplication group may see it again, within the window.
    pub(crate) fn may_repeat(
        &self,
        now: Micros,
        request: &InFlightRequest,
        at: Option<&ServerEntry>,
    ) -> bool {
        let class = &self.settings.classes[request.request.class];
        let Some(first) = request.first_that_may_have_run() else { return true };
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed => {
                let same_group = at.is_none_or(|entry| match class.dedup_group {
                    DedupGroup::All => true,
                    DedupGroup::Zone => first.to.zone == entry.zone,
                    DedupGroup::Cell => first.to.cell == entry.cell,
                });
                same_group && now + self.dedup_window_margin() < first.sent_at + class.dedup_window
            }
        }
    }
}
