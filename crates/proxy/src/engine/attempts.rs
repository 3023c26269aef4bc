//! The course of an attempt: its start, the checks just before its first byte is written, and its single end.

use super::deadlines::TimerKind;
use super::requests::InFlightRequest;
use super::{Engine, EngineAction};
use violetseam::interface::{AttemptEnd, Event, Micros, Outcome, RequestId, ServerId};
use violetseam::lease::{AttemptFacts, SendDenial};

/// One attempt to have a request served by a server.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) server: ServerId,
    pub(super) sent_at: Micros,
    /// When the attempt times out.
    pub(super) timeout_at: Micros,
    pub(super) ended: bool,
    /// The attempt was cancelled before any byte was sent. For the budget and for the body it does not count
    /// as an earlier attempt.
    pub(super) cancelled_before_send: bool,
}

impl Engine {
    /// Whether the attempt was started and has not ended.
    pub fn is_attempt_pending(&self, id: RequestId, attempt: usize) -> bool {
        self.pending_attempt(id, attempt).is_some()
    }

    /// When a pending attempt times out; `None` if the attempt is not pending.
    pub fn attempt_deadline(&self, id: RequestId, number: usize) -> Option<Micros> {
        self.pending_attempt(id, number).map(|attempt| attempt.timeout_at)
    }

    fn pending_attempt(&self, id: RequestId, number: usize) -> Option<&Attempt> {
        self.requests.get(&id)?.pending_attempt(number)
    }

    /// Checks just before writing whether an attempt may be sent, and asks the decision module again. It is
    /// for attempts that could not be sent in the event loop iteration in which they were started: the
    /// connection has only now been established, or only now accepts the rest of the request. If it returns
    /// false, the attempt's end has been reported and an [`EngineAction::CloseAttempt`] closes its
    /// connection.
    pub fn may_send(&mut self, now: Micros, id: RequestId, number: usize) -> bool {
        if !self.is_attempt_pending(id, number) {
            return false;
        }
        self.feed(now, Event::ReadyToSend { request: id, attempt: number });
        self.may_write(now, id, number)
    }

    /// Checks just before writing whether an attempt that was started in this event loop iteration may be
    /// sent. The check does not depend on the decision module. If it returns false, the attempt's end has
    /// been reported and an [`EngineAction::CloseAttempt`] closes its connection.
    pub fn may_write(&mut self, now: Micros, id: RequestId, number: usize) -> bool {
        let Some(timeout_at) = self.attempt_deadline(id, number) else { return false };
        let Some(request) = self.requests.get(&id) else { return false };
        let facts = self.attempt_facts(request, number, timeout_at);
        let denied = self.permissions.may_send(now, &facts).is_err();
        if denied {
            self.counts.cancelled_before_send += 1;
            self.cancel_before_send(now, id, number);
        }
        !denied
    }

    /// Reports the end of an attempt. Returns true if its response is to be sent to the client, which holds
    /// for the first successful response to a request without a final response. A response that arrives after
    /// the final one, or after the attempt was cancelled, is discarded.
    pub fn on_attempt_ended(&mut self, now: Micros, id: RequestId, number: usize, outcome: Outcome) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return false };
        let Some(attempt) = request.pending_attempt_mut(number) else { return false };
        attempt.ended = true;
        let server = attempt.server;
        let elapsed = now.saturating_sub(attempt.sent_at);
        // The client has received the start of a streamed response: if the stream breaks, the request has
        // ended too.
        let was_streaming = request.streaming == Some(number);
        let served = outcome == Outcome::Ok;
        let finishes_request = !request.finished && (served || was_streaming);
        if finishes_request {
            request.finished = true;
            self.counts.served += u64::from(served);
            self.counts.failed += u64::from(!served);
        }
        request.timed_out |= outcome == Outcome::Timeout;
        let end = AttemptEnd {
            request: id,
            attempt: number,
            server,
            outcome,
            elapsed,
            finishes_request: request.finished,
        };
        self.feed_or_defer(now, Event::AttemptEnded(end));
        self.forget_if_complete(id);
        finishes_request && served
    }

    /// Reports the start of a response that can be streamed. Returns true if it is to be streamed to the
    /// client; from then on no time-out ends it and every other response is discarded.
    pub fn on_stream_started(&mut self, now: Micros, id: RequestId, number: usize) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return false };
        if !request.awaits_response() || request.pending_attempt(number).is_none() {
            return false;
        }
        request.streaming = Some(number);
        self.feed(now, Event::StreamStarted { request: id, attempt: number });
        true
    }

    /// Starts an attempt. It ends at once if [`violetseam::lease::SendPermissions::may_start`] denies it or
    /// if the fleet's budget is used up.
    pub(super) fn start_attempt(&mut self, now: Micros, id: RequestId, server: ServerId, timeout_at: Micros) {
        let Some(request) = self.requests.get(&id) else { return };
        let number = request.attempts.len();
        let timeout_at = if timeout_at == 0 { request.deadline } else { timeout_at.min(request.deadline) };
        let facts = self.attempt_facts(request, number, timeout_at);
        let permitted = self.permissions.may_start(now, &facts);
        // The budget is charged last, and only for an attempt that is otherwise permitted.
        let within_budget = permitted.is_err() || !facts.earlier_sent || self.spend_budget(now, id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt =
            Attempt { server, sent_at: now, timeout_at, ended: false, cancelled_before_send: false };
        request.attempts.push(attempt);
        match permitted {
            Ok(()) if within_budget => {
                self.counts.attempts += 1;
                self.schedule(timeout_at, TimerKind::AttemptTimeout { request: id, attempt: number });
                let action = EngineAction::StartAttempt { request: id, attempt: number, server };
                self.pending_actions.push_back(action);
            }
            Ok(()) => {
                self.on_attempt_ended(now, id, number, Outcome::NotSent);
            }
            Err(SendDenial::DeadlineExceeded) => {
                self.on_attempt_ended(now, id, number, Outcome::Timeout);
            }
            Err(denial) => {
                // The module is told of the shutdown and of the lease, and must not ask for an attempt past
                // either.
                let is_violation = matches!(denial, SendDenial::ShuttingDown | SendDenial::LeaseExpired);
                self.counts.violations += u64::from(is_violation);
                self.on_attempt_ended(now, id, number, Outcome::NotSent);
            }
        }
    }

    fn attempt_facts(&self, request: &InFlightRequest, number: usize, timeout_at: Micros) -> AttemptFacts {
        AttemptFacts {
            request_finished: request.finished,
            streaming: request.streaming.is_some(),
            earlier_attempts: number,
            earlier_sent: request.sent_before(number),
            max_attempts: self.settings.limits.max_attempts,
            body_replayable: request.repeatable,
            cut_at: timeout_at,
        }
    }

    /// Times an attempt out if the time-out that is due at `due_at` still applies to it.
    pub(super) fn time_out_attempt(&mut self, now: Micros, due_at: Micros, id: RequestId, number: usize) {
        let is_due = self.attempt_deadline(id, number).is_some_and(|timeout_at| timeout_at <= due_at);
        if is_due {
            self.abort_attempt(now, id, number, Outcome::Timeout);
        }
    }

    /// Cancels an attempt in flight.
    pub(super) fn cancel_attempt(&mut self, now: Micros, id: RequestId, number: usize) {
        self.abort_attempt(now, id, number, Outcome::Cancelled);
    }

    /// Closes a pending attempt's connection and reports its end. An attempt whose response is being streamed
    /// goes on.
    fn abort_attempt(&mut self, now: Micros, id: RequestId, number: usize, outcome: Outcome) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.streaming == Some(number) || request.pending_attempt(number).is_none() {
            return;
        }
        self.pending_actions.push_back(EngineAction::CloseAttempt { request: id, attempt: number });
        self.on_attempt_ended(now, id, number, outcome);
    }

    /// Cancels a started attempt before its first byte has been written.
    pub(super) fn cancel_before_send(&mut self, now: Micros, id: RequestId, number: usize) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let used_budget = request.sent_before(number);
        let Some(attempt) = request.pending_attempt_mut(number) else { return };
        attempt.cancelled_before_send = true;
        request.unused_budget += usize::from(used_budget);
        self.counts.attempts -= 1;
        self.pending_actions.push_back(EngineAction::CloseAttempt { request: id, attempt: number });
        self.on_attempt_ended(now, id, number, Outcome::CancelledBeforeSend);
    }
}
