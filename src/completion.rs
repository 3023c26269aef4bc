//! The final answer of requests that no server answered, and the end of every request.

use crate::balancer::Balancer;
use crate::interface::{Action, DedupGroup, Idempotency, Micros, RequestId};

/// Why a request ends without a server's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnansweredReason {
    /// It is rejected to shed load.
    LoadShed,
    /// Its attempts failed, or its time is over.
    AttemptsFailed,
}

impl Balancer {
    /// Gives the final answer: a rejection where nothing can have run or a retry is harmless, else a
    /// failure. It is never delayed.
    pub(crate) fn finish_unanswered(
        &mut self,
        now: Micros,
        id: RequestId,
        reason: UnansweredReason,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.state.requests.get(&id) else { return };
        let class = &self.settings.classes[request.request.class];
        let never_ran = request.first_that_may_have_run().is_none();
        let keyed_everywhere =
            class.idempotency == Idempotency::Keyed && class.dedup_group == DedupGroup::All;
        let retry_is_harmless = keyed_everywhere || class.idempotency == Idempotency::Idempotent;
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

    /// The request needs nothing more: attempts in flight are cancelled, and only their ends are awaited.
    pub(crate) fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.state.requests.get_mut(&id) else { return };
        if !request.done && self.settings.limits.cancel && !request.streaming {
            out.extend(request.unended().map(|attempt| Action::Cancel { request: id, attempt }));
        }
        request.done = true;
        if request.attempts_in_flight() == 0 {
            self.state.forget(id);
        }
    }
}
