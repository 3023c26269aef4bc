//! The final response to requests that no server has answered, and the clean-up at the end of every request.

use crate::balancer::Balancer;
use crate::interface::{Action, DedupGroup, Idempotency, Micros, RequestId};

/// Why a request ends without a server's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnansweredReason {
    /// The request is rejected to shed load.
    LoadShed,
    /// The attempts of the request failed, or its deadline is near.
    AttemptsFailed,
}

impl Balancer {
    /// Gives the final response to a request without delay: a rejection if no attempt can have run or a retry
    /// by the client is harmless, otherwise a failure.
    pub(crate) fn finish_unanswered(
        &mut self,
        now: Micros,
        id: RequestId,
        reason: UnansweredReason,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.state.requests.get(&id) else { return };
        let class = &self.settings.classes[request.request.class];
        let never_ran = request.first_possibly_executed().is_none();
        let keyed_across_all_servers =
            class.idempotency == Idempotency::Keyed && class.dedup_group == DedupGroup::All;
        let retry_is_harmless = keyed_across_all_servers || class.idempotency == Idempotency::Idempotent;
        if never_ran || retry_is_harmless {
            let late = now >= request.arrived + class.latency_objective;
            let shed = reason == UnansweredReason::LoadShed;
            let has_retry_after = self.settings.limits.retry_after && (shed || late);
            let retry_after = if has_retry_after { self.settings.limits.max_retry_after } else { 0 };
            out.push(Action::Reject { request: id, retry_after });
        } else {
            out.push(Action::Fail { request: id });
        }
        self.finish(id, out);
    }

    /// Finishes a request that needs no further response: its attempts in flight are cancelled where that is
    /// allowed, and the request is kept only until they have ended.
    pub(crate) fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.state.requests.get_mut(&id) else { return };
        if !request.done && self.settings.limits.cancel && !request.streaming {
            out.extend(
                request.attempt_numbers_in_flight().map(|attempt| Action::Cancel { request: id, attempt }),
            );
        }
        request.done = true;
        if request.attempts_in_flight() == 0 {
            self.state.forget(id);
        }
    }
}
