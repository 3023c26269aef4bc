//! The final response to requests that no server has answered, and the clean-up at the end of every request.

use crate::balancer::Balancer;
use crate::interface::{Action, DedupGroup, Idempotency, Micros, RequestId};

/// Why a request ends without a server's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnansweredReason {
    /// The servers have more work than they can do in the clients' time.
    Overloaded,
    /// No server may take the request before its client stops waiting.
    NoServer,
    /// The attempts of the request failed, or its deadline is near.
    AttemptsFailed,
}

impl Balancer {
    /// Gives the final response to a request without delay: a rejection if no attempt can have run or a retry
    /// by the client is harmless, otherwise a failure.
    pub(crate) fn finish_unanswered(
        &mut self,
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
            let retry_after = self.retry_after(request.request.class, reason);
            out.push(Action::Reject { request: id, retry_after });
        } else {
            out.push(Action::Fail { request: id });
        }
        self.finish(id, out);
    }

    /// When a client should come again that is refused for this reason; 0 is no advice. In an overload this
    /// is the usual latency of its class: by then what the servers have ahead now is done. Nothing is known
    /// of when a server appears, and a client whose attempts failed may come again at once.
    fn retry_after(&self, class: usize, reason: UnansweredReason) -> Micros {
        if reason != UnansweredReason::Overloaded || !self.settings.limits.retry_after {
            return 0;
        }
        let usual_latency = self.state.latencies[class].median as Micros;
        usual_latency.min(self.settings.limits.max_retry_after)
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
