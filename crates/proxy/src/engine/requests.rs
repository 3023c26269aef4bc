//! Requests in flight, from their arrival to their single final response.

use super::attempts::Attempt;
use super::deadlines::TimerKind;
use super::{Engine, EngineAction, LocalResponse};
use violetseam::interface::{Event, Micros, Outcome, Request, RequestId};

/// A request that has no final response yet or still has an attempt in flight.
#[derive(Debug)]
pub(super) struct InFlightRequest {
    pub(super) class: usize,
    pub(super) deadline: Micros,
    /// The request has had its final response, or its client has disconnected.
    pub(super) finished: bool,
    /// The attempt whose response is being streamed to the client.
    pub(super) streaming: Option<usize>,
    /// The request's body can be sent again.
    pub(super) repeatable: bool,
    pub(super) timed_out: bool,
    /// Attempts after the first that were charged to the budget and then cancelled before they were sent.
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

    /// The attempt with this number, unless it has ended.
    pub(super) fn pending_attempt(&self, number: usize) -> Option<&Attempt> {
        self.attempts.get(number).filter(|attempt| !attempt.ended)
    }

    /// Like [`Self::pending_attempt`], but mutable.
    pub(super) fn pending_attempt_mut(&mut self, number: usize) -> Option<&mut Attempt> {
        self.attempts.get_mut(number).filter(|attempt| !attempt.ended)
    }

    pub(super) fn has_pending_attempt(&self) -> bool {
        self.attempts.iter().any(|attempt| !attempt.ended)
    }

    /// Whether an attempt before this one was sent. An attempt that was cancelled before it was sent does not
    /// count, as it has used neither the body nor the budget.
    pub(super) fn sent_before(&self, number: usize) -> bool {
        self.attempts.iter().take(number).any(|attempt| !attempt.cancelled_before_send)
    }

    /// Whether the proxy itself may still give the final response: none was given and none is being streamed.
    pub(super) fn awaits_response(&self) -> bool {
        !self.finished && self.streaming.is_none()
    }
}

impl Engine {
    /// The number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// The number of requests without a final response.
    pub fn pending_responses(&self) -> usize {
        self.requests.values().filter(|request| !request.finished).count()
    }

    /// Handles a request that has arrived and returns its id. Its `deadline` is when the client stops
    /// waiting. If `repeatable` is false, the body can be sent only once, and only one attempt of the request
    /// is sent.
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

    /// Notes that unbuffered bytes of the request's body have been sent, so that the body cannot be sent
    /// again.
    pub fn mark_not_repeatable(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.repeatable = false;
        }
    }

    /// Handles a client that has disconnected: its request needs no response any more.
    pub fn on_client_disconnected(&mut self, now: Micros, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.finished) else { return };
        request.finished = true;
        self.counts.disconnected += 1;
        let streaming = request.streaming;
        // The module never cancels an attempt that is being streamed, so the engine has its connection closed
        // here.
        if let Some(attempt) = streaming {
            self.pending_actions.push_back(EngineAction::CloseAttempt { request: id, attempt });
        }
        self.feed(now, Event::ClientDisconnected { request: id });
        if let Some(attempt) = streaming {
            self.on_attempt_ended(now, id, attempt, Outcome::Cancelled);
        }
        self.forget_if_complete(id);
    }

    /// Fails a request whose final response is overdue. The decision module must give each final response
    /// before the deadline; if a fault makes it miss one, the client still gets a response and the module
    /// learns that the request has ended.
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

    /// Gives a request its final response, unless it has one or one is being streamed.
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

    /// Whether a request that the decision module fails now counts as timed out. It does if an attempt timed
    /// out, or if one is still in flight, as the module fails a request shortly before its deadline without
    /// waiting for the last attempt.
    pub(super) fn has_timed_out(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|request| request.timed_out || request.has_pending_attempt())
    }

    /// Removes a request that is finished and has no attempt in flight.
    pub(super) fn forget_if_complete(&mut self, id: RequestId) {
        let is_complete = |request: &InFlightRequest| request.finished && !request.has_pending_attempt();
        if self.requests.get(&id).is_some_and(is_complete) {
            self.requests.remove(&id);
            self.pending_actions.push_back(EngineAction::Forget { request: id });
        }
    }
}
