//! Requests in flight, from their arrival to their one final answer.

use super::attempts::Attempt;
use super::deadlines::TimerKind;
use super::{Engine, EngineAction, LocalResponse};
use violetseam::interface::{Event, Micros, Outcome, Request, RequestId};

/// A request that lacks its final answer or still has an attempt in flight.
#[derive(Debug)]
pub(super) struct InFlightRequest {
    pub(super) class: usize,
    pub(super) deadline: Micros,
    /// The final answer was given, or the client disconnected.
    pub(super) finished: bool,
    /// The attempt whose answer is being streamed to the client.
    pub(super) streaming: Option<usize>,
    /// Its body can be sent again.
    pub(super) repeatable: bool,
    pub(super) timed_out: bool,
    /// Further attempts that the budget covered and that were cancelled before they were sent.
    pub(super) unused_budget: usize,
    pub(super) attempts: Vec<Attempt>,
}

impl InFlightRequest {
    fn new(request: &Request, repeatable: bool) -> Self {
        InFlightRequest {
            class: request.class,
            deadline: request.deadline,
            finished: false,
            streaming: None,
            repeatable,
            timed_out: false,
            unused_budget: 0,
            attempts: Vec::new(),
        }
    }

    /// An attempt that has not ended.
    pub(super) fn pending_attempt(&self, number: usize) -> Option<&Attempt> {
        self.attempts.get(number).filter(|attempt| !attempt.ended)
    }

    /// The same, to change it.
    pub(super) fn pending_attempt_mut(&mut self, number: usize) -> Option<&mut Attempt> {
        self.attempts.get_mut(number).filter(|attempt| !attempt.ended)
    }

    pub(super) fn has_pending_attempt(&self) -> bool {
        self.attempts.iter().any(|attempt| !attempt.ended)
    }

    /// Whether an attempt before this one was sent: one that was cancelled before it was sent has used nothing of
    /// the body, nor of the budget.
    pub(super) fn sent_before(&self, number: usize) -> bool {
        self.attempts.iter().take(number).any(|attempt| !attempt.cancelled_before_send)
    }

    /// Whether the proxy itself could still give the final answer: there is none, and none is being streamed.
    pub(super) fn awaits_response(&self) -> bool {
        !self.finished && self.streaming.is_none()
    }
}

impl Engine {
    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Requests without a final answer.
    pub fn pending_responses(&self) -> usize {
        self.requests.values().filter(|request| !request.finished).count()
    }

    /// A request has arrived; returns its identity. `deadline` is when its client stops waiting. A request whose
    /// body cannot be sent twice (`repeatable` false) still gets its first attempt.
    pub fn on_request(&mut self, now: Micros, request: Request, repeatable: bool) -> RequestId {
        self.last_id += 1;
        let id = self.last_id;
        let deadline = self.permissions.answer_by(request.deadline);
        let request = Request { id, deadline, ..request };
        self.requests.insert(id, InFlightRequest::new(&request, repeatable));
        self.counts.received += 1;
        self.counts.without_server_list += u64::from(!self.permissions.list.holds(now));
        let overdue_at = deadline + self.settings.rules.deadline_grace;
        self.schedule(overdue_at, TimerKind::RequestOverdue(id));
        self.feed(now, Event::Request(request));
        id
    }

    /// Bytes of the request's body have been sent that are not buffered: it cannot be sent again.
    pub fn mark_not_repeatable(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.repeatable = false;
        }
    }

    /// The client has disconnected and needs no answer any more.
    pub fn on_client_disconnected(&mut self, now: Micros, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.finished) else { return };
        request.finished = true;
        self.counts.disconnected += 1;
        let streaming = request.streaming;
        // A stream's connection is the driver's to close; the module never cancels one.
        if let Some(attempt) = streaming {
            self.pending_actions.push_back(EngineAction::CloseAttempt { request: id, attempt });
        }
        self.feed(now, Event::ClientDisconnected { request: id });
        if let Some(attempt) = streaming {
            self.on_attempt_ended(now, id, attempt, Outcome::Cancelled);
        }
        self.forget_if_complete(id);
    }

    /// The decision module has to give each final answer before the deadline; should it ever not give one, the
    /// client still gets its answer and the module hears that the request is over.
    pub(super) fn fail_overdue_request(&mut self, now: Micros, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| request.awaits_response()) else {
            return;
        };
        request.finished = true;
        self.counts.overdue += 1;
        self.counts.failed += 1;
        let response = LocalResponse::Failed { timed_out: true };
        self.pending_actions.push_back(EngineAction::Respond { request: id, response });
        self.feed(now, Event::ClientDisconnected { request: id });
        self.forget_if_complete(id);
    }

    /// Gives a request its final answer, unless it has one.
    pub(super) fn respond(&mut self, id: RequestId, response: LocalResponse) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| request.awaits_response()) else {
            return;
        };
        request.finished = true;
        match response {
            LocalResponse::Rejected { .. } => self.counts.rejected += 1,
            LocalResponse::Failed { .. } => self.counts.failed += 1,
        }
        self.pending_actions.push_back(EngineAction::Respond { request: id, response });
        self.forget_if_complete(id);
    }

    /// Whether a request that the decision module fails now has timed out. The module fails a request shortly
    /// before its deadline, with the last attempt still in flight.
    pub(super) fn has_timed_out(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|request| request.timed_out || request.has_pending_attempt())
    }

    pub(super) fn forget_if_complete(&mut self, id: RequestId) {
        let is_complete = |request: &InFlightRequest| request.finished && !request.has_pending_attempt();
        if self.requests.get(&id).is_some_and(is_complete) {
            self.requests.remove(&id);
            self.pending_actions.push_back(EngineAction::Forget { request: id });
        }
    }
}
