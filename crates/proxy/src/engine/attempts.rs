//! Attempts: their start, the last checks before a byte is written, and their one end.

use super::deadlines::TimerKind;
use super::requests::InFlightRequest;
use super::{Engine, EngineAction};
use violetseam::interface::{AttemptEnd, Event, Micros, Outcome, RequestId, ServerId};
use violetseam::lease::{AttemptFacts, SendDenial};

/// One try of a request on a server.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) server: ServerId,
    pub(super) sent_at: Micros,
    /// When it ends as timed out.
    pub(super) cut_at: Micros,
    pub(super) ended: bool,
    /// It was never sent: what follows it is no further attempt.
    pub(super) cancelled_before_send: bool,
}

impl Engine {
    /// Whether an attempt has not ended.
    pub fn is_attempt_pending(&self, id: RequestId, attempt: usize) -> bool {
        self.pending_attempt(id, attempt).is_some()
    }

    /// When a pending attempt times out.
    pub fn attempt_deadline(&self, id: RequestId, number: usize) -> Option<Micros> {
        self.pending_attempt(id, number).map(|attempt| attempt.cut_at)
    }

    fn pending_attempt(&self, id: RequestId, number: usize) -> Option<&Attempt> {
        self.requests.get(&id)?.pending_attempt(number)
    }

    /// Asks the decision module again at the moment of writing, for an attempt that could not be sent in the turn
    /// in which it was started: its connection has come up only now, or takes the rest of it. If it may not be sent,
    /// its end has been reported and an [`EngineAction::CloseAttempt`] closes its connection.
    pub fn may_send(&mut self, now: Micros, id: RequestId, number: usize) -> bool {
        if !self.is_attempt_pending(id, number) {
            return false;
        }
        self.feed(now, Event::ReadyToSend { request: id, attempt: number });
        self.may_write(now, id, number)
    }

    /// Asks at the moment of writing whether an attempt that was started in this turn may be written, whatever the
    /// decision module decided. If not, its end has been reported and an [`EngineAction::CloseAttempt`] closes its
    /// connection.
    pub fn may_write(&mut self, now: Micros, id: RequestId, number: usize) -> bool {
        let Some(cut_at) = self.attempt_deadline(id, number) else { return false };
        let Some(request) = self.requests.get(&id) else { return false };
        let facts = self.attempt_facts(request, number, cut_at);
        let denied = self.permissions.may_send(now, &facts).is_err();
        if denied {
            self.counts.cancelled_before_send += 1;
            self.cancel_before_send(now, id, number);
        }
        !denied
    }

    /// An attempt has ended. True if its answer is the client's: the first served one of a request without a final
    /// answer. An answer that comes after that, or after the attempt was cancelled, goes to nobody.
    pub fn on_attempt_ended(&mut self, now: Micros, id: RequestId, number: usize, outcome: Outcome) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return false };
        let Some(attempt) = request.pending_attempt_mut(number) else { return false };
        attempt.ended = true;
        let server = attempt.server;
        let elapsed = now.saturating_sub(attempt.sent_at);
        // A stream that breaks has been the client's since its first byte: its end is the request's.
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

    /// An answer has begun that will be streamed to the client. True if it is the client's: from now on no time-out
    /// applies and no other answer counts.
    pub fn on_stream_started(&mut self, now: Micros, id: RequestId, number: usize) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return false };
        if !request.awaits_response() || request.pending_attempt(number).is_none() {
            return false;
        }
        request.streaming = Some(number);
        self.feed(now, Event::StreamStarted { request: id, attempt: number });
        true
    }

    /// Starts an attempt, or ends it at once where none may start ([`violetseam::lease::SendPermissions::may_start`])
    /// or the fleet's budget is used up.
    pub(super) fn start_attempt(&mut self, now: Micros, id: RequestId, server: ServerId, cut_at: Micros) {
        let Some(request) = self.requests.get(&id) else { return };
        let number = request.attempts.len();
        let cut_at = if cut_at == 0 { request.deadline } else { cut_at.min(request.deadline) };
        let facts = self.attempt_facts(request, number, cut_at);
        let permitted = self.permissions.may_start(now, &facts);
        // The budget is spent last, for an attempt that would be sent now.
        let within_budget = permitted.is_err() || !facts.earlier_sent || self.spend_budget(now, id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = Attempt { server, sent_at: now, cut_at, ended: false, cancelled_before_send: false };
        request.attempts.push(attempt);
        match permitted {
            Ok(()) if within_budget => {
                self.counts.attempts += 1;
                self.schedule(cut_at, TimerKind::AttemptTimeout { request: id, attempt: number });
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
                // Both are reported to the module, which has to obey them by itself.
                let is_violation = matches!(denial, SendDenial::ShuttingDown | SendDenial::LeaseExpired);
                self.counts.violations += u64::from(is_violation);
                self.on_attempt_ended(now, id, number, Outcome::NotSent);
            }
        }
    }

    fn attempt_facts(&self, request: &InFlightRequest, number: usize, cut_at: Micros) -> AttemptFacts {
        AttemptFacts {
            request_finished: request.finished,
            streaming: request.streaming.is_some(),
            earlier_attempts: number,
            earlier_sent: request.sent_before(number),
            max_attempts: self.settings.limits.max_attempts,
            body_replayable: request.repeatable,
            cut_at,
        }
    }

    /// The span that the decision module set for an attempt is over.
    pub(super) fn time_out_attempt(&mut self, now: Micros, at: Micros, id: RequestId, number: usize) {
        let is_due = self.attempt_deadline(id, number).is_some_and(|cut_at| cut_at <= at);
        if is_due {
            self.abort_attempt(now, id, number, Outcome::Timeout);
        }
    }

    /// Cancels an attempt in flight.
    pub(super) fn cancel_attempt(&mut self, now: Micros, id: RequestId, number: usize) {
        self.abort_attempt(now, id, number, Outcome::Cancelled);
    }

    /// Closes a pending attempt's connection and reports its end. One whose answer is being streamed goes on.
    fn abort_attempt(&mut self, now: Micros, id: RequestId, number: usize, outcome: Outcome) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.streaming == Some(number) || request.pending_attempt(number).is_none() {
            return;
        }
        self.pending_actions.push_back(EngineAction::CloseAttempt { request: id, attempt: number });
        self.on_attempt_ended(now, id, number, outcome);
    }

    /// Cancels an attempt of which no byte has been written.
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
