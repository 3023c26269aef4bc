//! Leases: what a process holds for a limited time, and whether an attempt may be sent under them.
//!
//! - [`ListLease`]: for how long the server list may be used without confirmation by discovery
//! - [`ShutdownSchedule`]: until when a process that shuts down still answers
//! - [`SendPermissions`]: both, and whether an attempt may start or be sent now; if not, a [`SendDenial`]
//!
//! Times are microseconds on a monotonic clock, independent of the machine's wall clock. Sources: the
//! platform's protocol page and its standing test; `docs/design.md` has the reasons.

use crate::interface::{Micros, ServiceRules};

/// A change of the list counts as notified so long after discovery had it, whether or not it arrived.
const MAX_NOTIFICATION_DELAY: Micros = 6_000_000;
/// After discovery moves to another address its changes count as notified so long after the order to move.
const NOTIFICATION_DELAY_AFTER_MOVE: Micros = 4_000_000;
/// A process may stall between reading its clock and writing, and an answer is on its way for a while.
const MAX_STALL: Micros = 250_000;
/// Of the longest deadline so much counts when the time is set at which a process is killed.
const MAX_COUNTED_DEADLINE: Micros = 3_000_000;
/// A process is killed no earlier than this and the counted longest deadline after the order to shut down.
const MIN_KILL_DELAY: Micros = 700_000;
/// Clients need so long to read the final responses and the ends of their connections.
const FINAL_RESPONSE_SPAN: Micros = 200_000;

/// For how long the server list may be used: until no change that was missed could have counted as notified
/// for longer than its grace.
#[derive(Clone, Copy, Debug)]
pub struct ListLease {
    /// `None`: nothing limits the list's use.
    terms: Option<LeaseTerms>,
    /// 0 until the list has been confirmed for the first time.
    until: Micros,
    /// Set by changes that were notified and missed: no outage extends the lease beyond it, only a list does.
    missed_until: Option<Micros>,
}

#[derive(Clone, Copy, Debug)]
struct LeaseTerms {
    /// Counted from a confirmation.
    span: Micros,
    /// Counted from a change that counts as notified.
    grace: Micros,
}

impl ListLease {
    /// A list whose use nothing limits, for protocols that state no such limit.
    pub fn unlimited() -> Self {
        ListLease { terms: None, until: Micros::MAX, missed_until: None }
    }

    /// A lease that does not hold before the list's first confirmation.
    pub fn unconfirmed(rules: &ServiceRules) -> Self {
        let grace = rules.drain_grace.saturating_sub(MAX_STALL);
        let span = MAX_NOTIFICATION_DELAY.min(rules.poll_interval_max).saturating_add(grace);
        ListLease { terms: Some(LeaseTerms { span, grace }), until: 0, missed_until: None }
    }

    /// The list was current at that moment.
    pub fn confirm(&mut self, at: Micros) {
        if let Some(LeaseTerms { span, .. }) = self.terms {
            self.missed_until = None;
            self.until = self.until.max(at.saturating_add(span));
        }
    }

    /// Discovery was surely down at that moment, and notified nobody of a change.
    pub fn discovery_down(&mut self, at: Micros) {
        if let Some(LeaseTerms { span, .. }) = self.terms {
            let until = at.saturating_add(span).min(self.missed_until.unwrap_or(Micros::MAX));
            self.until = self.until.max(until);
        }
    }

    /// Discovery has another address since that moment, and its changes count as notified soon after.
    pub fn discovery_moved(&mut self, at: Micros) {
        self.notification_missed(at.saturating_add(NOTIFICATION_DELAY_AFTER_MOVE));
    }

    /// Changes counted as notified at that moment, and were missed.
    pub fn notification_missed(&mut self, at: Micros) {
        if let Some(LeaseTerms { grace, .. }) = self.terms {
            let until = at.saturating_add(grace);
            self.missed_until = Some(self.missed_until.map_or(until, |before| before.min(until)));
            self.until = self.until.min(until);
        }
    }

    /// No watch is open: from that moment on each change counts as notified as it is made.
    pub fn watch_lost(&mut self, at: Micros) {
        if let Some(LeaseTerms { grace, .. }) = self.terms {
            self.until = self.until.min(at.saturating_add(grace));
        }
    }

    /// When the lease ends, as far as is known now.
    pub fn until(&self) -> Micros {
        self.until
    }

    /// Whether the lease holds: the list may be used.
    pub fn holds(&self, now: Micros) -> bool {
        now < self.until
    }
}

/// When a process that shuts down stops answering, and when it exits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// By then every request has its final answer, and nothing is sent any more.
    pub answer_by: Micros,
    /// The process exits by itself by then, whatever is left.
    pub exit_by: Micros,
}

impl ShutdownSchedule {
    /// For a process that begins to shut down now; `longest_deadline` is the longest of its settings.
    pub fn starting_at(now: Micros, longest_deadline: Micros) -> Self {
        let exit_by = now + longest_deadline.min(MAX_COUNTED_DEADLINE) + MIN_KILL_DELAY - MAX_STALL;
        ShutdownSchedule { answer_by: exit_by - FINAL_RESPONSE_SPAN, exit_by }
    }
}

/// Why an attempt may not start or be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SendDenial {
    /// The request has its final answer, or its client has disconnected.
    RequestFinished,
    /// An answer is being streamed to the client.
    Streaming,
    /// As many attempts as the settings allow were made.
    AttemptsExhausted,
    /// The request's body was sent and is not buffered.
    BodyNotReplayable,
    /// Another process has taken over.
    HandedOver,
    /// The process shuts down and sends nothing more.
    ShuttingDown,
    /// The lease on the server list has expired.
    LeaseExpired,
    /// The time for the attempt, or for the request, is over.
    DeadlineExceeded,
}

/// What is known of an attempt that is about to start or to be sent.
#[derive(Clone, Copy, Debug)]
pub struct AttemptFacts {
    /// The request has its final answer, or its client has disconnected.
    pub request_finished: bool,
    /// An answer is being streamed to the client.
    pub streaming: bool,
    /// Attempts made before this one.
    pub earlier_attempts: usize,
    /// One of them was sent.
    pub earlier_sent: bool,
    /// As many attempts as the settings allow.
    pub max_attempts: usize,
    /// The request's body can be sent again.
    pub body_replayable: bool,
    /// When the attempt times out.
    pub cut_at: Micros,
}

/// All that limits what a process may send now.
#[derive(Clone, Copy, Debug)]
pub struct SendPermissions {
    /// The lease on the server list.
    pub list: ListLease,
    shutdown: Option<ShutdownSchedule>,
    handed_over: bool,
}

impl SendPermissions {
    /// With this lease on the server list, and no shutdown in sight.
    pub fn new(list: ListLease) -> Self {
        SendPermissions { list, shutdown: None, handed_over: false }
    }

    /// Another process takes over from now on, or does not after all.
    pub fn set_handed_over(&mut self, handed_over: bool) {
        self.handed_over = handed_over;
    }

    /// The process shuts down. The first schedule stands: a later one gives no more time.
    pub fn begin_shutdown(&mut self, schedule: ShutdownSchedule) -> ShutdownSchedule {
        *self.shutdown.get_or_insert(schedule)
    }

    /// When a request with this deadline must have its final answer.
    pub fn answer_by(&self, deadline: Micros) -> Micros {
        self.shutdown.map_or(deadline, |schedule| deadline.min(schedule.answer_by))
    }

    /// Whether an attempt may start now.
    ///
    /// # Errors
    /// The first reason that denies it.
    pub fn may_start(&self, now: Micros, attempt: &AttemptFacts) -> Result<(), SendDenial> {
        if self.handed_over {
            return Err(SendDenial::HandedOver);
        }
        if attempt.earlier_attempts >= attempt.max_attempts {
            return Err(SendDenial::AttemptsExhausted);
        }
        if !attempt.body_replayable && attempt.earlier_sent {
            return Err(SendDenial::BodyNotReplayable);
        }
        self.may_send(now, attempt)
    }

    /// Whether an attempt that was started may be sent now: what has changed since its start counts, and what
    /// was reserved before a hand-over may still be sent.
    ///
    /// # Errors
    /// The first reason that denies it.
    pub fn may_send(&self, now: Micros, attempt: &AttemptFacts) -> Result<(), SendDenial> {
        if attempt.request_finished {
            return Err(SendDenial::RequestFinished);
        }
        if attempt.streaming {
            return Err(SendDenial::Streaming);
        }
        if now >= attempt.cut_at {
            return Err(SendDenial::DeadlineExceeded);
        }
        if self.shutdown.is_some_and(|schedule| now >= schedule.answer_by) {
            return Err(SendDenial::ShuttingDown);
        }
        if !self.list.holds(now) {
            return Err(SendDenial::LeaseExpired);
        }
        Ok(())
    }
}
