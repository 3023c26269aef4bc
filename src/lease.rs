//! Leases: what a process may use for a limited time, and whether an attempt may be sent under them.
//!
//! - [`ListLease`]: how long the server list may be used without confirmation by discovery
//! - [`ShutdownSchedule`]: how long a process that shuts down continues to respond
//! - [`SendPermissions`]: combines both and decides whether an attempt may start or be sent now; if not, it
//!   returns a [`SendDenial`]
//!
//! Times are microseconds on a monotonic clock, independent of the machine's wall clock. The limits come from
//! the platform's protocol page and its standing test; `docs/design.md` gives the reasons.

use crate::interface::{Micros, ServiceRules};

/// The platform counts a change of the list as notified this long after discovery learned of it, whether or
/// not the notification arrived.
const MAX_NOTIFICATION_DELAY: Micros = 6_000_000;
/// After discovery moves to another address, the platform counts its changes as notified this long after the
/// order to move.
const NOTIFICATION_DELAY_AFTER_MOVE: Micros = 4_000_000;
/// Allowance for a process that stalls between reading its clock and writing, and for the time that a
/// response spends on the network.
const MAX_STALL: Micros = 250_000;
/// The platform counts at most this much of the longest deadline when it sets the time at which it kills a
/// process.
const MAX_COUNTED_DEADLINE: Micros = 3_000_000;
/// After the order to shut down, the platform waits at least for the counted part of the longest deadline and
/// for this span before it kills a process.
const MIN_KILL_DELAY: Micros = 700_000;
/// The time that clients need to read the final responses and to see their connections closed.
const FINAL_RESPONSE_SPAN: Micros = 200_000;

/// How long the server list may be used.
///
/// The platform counts each change of the list as notified from some time on, even if the process missed the
/// notification. From then on the process may use the old list only for a grace period. The lease therefore
/// ends at the earliest time at which the grace period of a missed change could end.
#[derive(Clone, Copy, Debug)]
pub struct ListLease {
    /// The spans of the lease; `None` if nothing limits the use of the list.
    terms: Option<LeaseTerms>,
    /// When the lease ends; 0 until the list has been confirmed for the first time.
    until: Micros,
    /// The latest end of the lease after a missed change that counts as notified; `None` if no such change is
    /// known. An outage of discovery cannot extend the lease beyond it; only a new confirmation can.
    missed_change_limit: Option<Micros>,
    /// When the lease would end if the latest lost response were taken for the beginning of an outage; `None`
    /// if no response has been lost since the last confirmation.
    until_without_loss: Option<Micros>,
}

#[derive(Clone, Copy, Debug)]
struct LeaseTerms {
    /// How long the lease lasts after a confirmation.
    span: Micros,
    /// How long the list may be used after a change counts as notified.
    grace: Micros,
}

impl ListLease {
    /// Creates a lease that never ends, for protocols that state no limit on the use of a list.
    pub fn unlimited() -> Self {
        ListLease { terms: None, until: Micros::MAX, missed_change_limit: None, until_without_loss: None }
    }

    /// Creates a lease that is not valid before the first confirmation of the list.
    pub fn unconfirmed(rules: &ServiceRules) -> Self {
        let grace = rules.drain_grace.saturating_sub(MAX_STALL);
        let span = MAX_NOTIFICATION_DELAY.min(rules.poll_interval_max).saturating_add(grace);
        let terms = Some(LeaseTerms { span, grace });
        ListLease { terms, until: 0, missed_change_limit: None, until_without_loss: None }
    }

    /// Records that discovery confirmed the list as current at that time.
    pub fn record_confirmation(&mut self, at: Micros) {
        if let Some(LeaseTerms { span, .. }) = self.terms {
            self.missed_change_limit = None;
            self.until_without_loss = None;
            self.until = self.until.max(at.saturating_add(span));
        }
    }

    /// Records that discovery was certainly down at that time, so that it notified nobody of any change. If
    /// the query before this one lost its connection, that was the beginning of the outage.
    ///
    /// A list that was never confirmed may have missed any change from before the outage, so an outage makes
    /// no lease valid that was not valid before.
    pub fn discovery_down(&mut self, at: Micros) {
        if !self.was_confirmed() {
            return;
        }
        self.loss_was_outage();
        if let Some(LeaseTerms { span, .. }) = self.terms {
            let until = at.saturating_add(span).min(self.missed_change_limit.unwrap_or(Micros::MAX));
            self.until = self.until.max(until);
        }
    }

    /// Records that discovery moved to another address at that time; changes count as notified soon
    /// afterwards. A response that the old address lost stays lost, whatever happens at the new one.
    pub fn discovery_moved(&mut self, at: Micros) {
        if self.until_without_loss.take().is_some() {
            self.limit_extension(self.until);
        }
        self.notification_missed(at.saturating_add(NOTIFICATION_DELAY_AFTER_MOVE));
    }

    /// Records that changes may have been missed that count as notified from that time on.
    pub fn notification_missed(&mut self, at: Micros) {
        if let Some(LeaseTerms { grace, .. }) = self.terms {
            let until = at.saturating_add(grace);
            self.limit_extension(until);
            self.end_by(until);
        }
    }

    /// Records that the connection of a query was lost at that time. A response may have been lost with it,
    /// and what it told counts as notified. The list may therefore be used for the grace period only, until
    /// it is confirmed or [`ListLease::loss_was_outage`] shows another cause of the loss.
    pub fn response_lost(&mut self, at: Micros) {
        if let Some(LeaseTerms { grace, .. }) = self.terms {
            self.until_without_loss.get_or_insert(self.until);
            self.until = self.until.min(at.saturating_add(grace));
        }
    }

    /// Records that the queries after a lost response failed as well, so that discovery is taken to be down
    /// since the loss: the connection was then lost without a response.
    pub fn loss_was_outage(&mut self) {
        if let Some(until_without_loss) = self.until_without_loss.take() {
            self.until = until_without_loss;
        }
    }

    /// Records that a query got no answer although discovery may have been up. Changes may have been missed
    /// that discovery has told others, so an outage that follows cannot extend the lease; only a new
    /// confirmation can.
    pub fn query_unanswered(&mut self) {
        self.limit_extension(self.until_without_loss.unwrap_or(self.until));
    }

    /// Records that no watch has been open since that time, so that each change counts as notified when it is
    /// made.
    pub fn watch_lost(&mut self, at: Micros) {
        if let Some(LeaseTerms { grace, .. }) = self.terms {
            self.end_by(at.saturating_add(grace));
        }
    }

    /// Whether discovery has ever confirmed the list.
    fn was_confirmed(&self) -> bool {
        self.until > 0
    }

    /// Keeps outages from extending the lease beyond this.
    fn limit_extension(&mut self, until: Micros) {
        let earlier_limit = self.missed_change_limit.unwrap_or(Micros::MAX);
        self.missed_change_limit = Some(earlier_limit.min(until));
    }

    /// Makes the lease end no later than this, whatever a lost response turns out to be.
    fn end_by(&mut self, until: Micros) {
        self.until = self.until.min(until);
        self.until_without_loss = self.until_without_loss.map(|without_loss| without_loss.min(until));
    }

    /// When the lease ends, as far as is known now.
    pub fn until(&self) -> Micros {
        self.until
    }

    /// Whether the lease is valid, so that the list may be used.
    pub fn holds(&self, now: Micros) -> bool {
        now < self.until
    }
}

/// When a process that shuts down stops responding, and when it exits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// By this time every request has its final response, and nothing more is sent.
    pub answer_by: Micros,
    /// By this time the process exits on its own, even if work is left.
    pub exit_by: Micros,
}

impl ShutdownSchedule {
    /// The schedule of a process that begins to shut down now. `longest_deadline` is the longest deadline in
    /// its settings.
    pub fn starting_at(now: Micros, longest_deadline: Micros) -> Self {
        let exit_by = now + longest_deadline.min(MAX_COUNTED_DEADLINE) + MIN_KILL_DELAY - MAX_STALL;
        ShutdownSchedule { answer_by: exit_by - FINAL_RESPONSE_SPAN, exit_by }
    }
}

/// Why an attempt may not start or be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SendDenial {
    /// The request has its final response, or its client has disconnected.
    RequestFinished,
    /// A response is already being streamed to the client.
    Streaming,
    /// The request has had as many attempts as the settings allow.
    AttemptsExhausted,
    /// The request's body has been sent and is not buffered.
    BodyNotReplayable,
    /// Another process has taken over.
    HandedOver,
    /// The process is shutting down and sends nothing more.
    ShuttingDown,
    /// The lease on the server list has expired.
    LeaseExpired,
    /// The attempt or its request has reached its deadline.
    DeadlineExceeded,
}

/// The facts about an attempt that decide whether it may start or be sent.
#[derive(Clone, Copy, Debug)]
pub struct AttemptFacts {
    /// Whether the request has its final response, or its client has disconnected.
    pub request_finished: bool,
    /// Whether a response is already being streamed to the client.
    pub streaming: bool,
    /// The number of attempts made before this one.
    pub earlier_attempts: usize,
    /// Whether any of the earlier attempts was sent.
    pub earlier_sent: bool,
    /// The number of attempts that the settings allow for a request.
    pub max_attempts: usize,
    /// Whether the request's body can be sent again.
    pub body_replayable: bool,
    /// When the attempt times out.
    pub cut_at: Micros,
}

/// Everything that limits what a process may send now.
#[derive(Clone, Copy, Debug)]
pub struct SendPermissions {
    /// The lease on the server list.
    pub list: ListLease,
    shutdown: Option<ShutdownSchedule>,
    handed_over: bool,
}

impl SendPermissions {
    /// Creates permissions with this lease on the server list and without a scheduled shutdown.
    pub fn new(list: ListLease) -> Self {
        SendPermissions { list, shutdown: None, handed_over: false }
    }

    /// Sets whether another process has taken over; `false` undoes a hand-over that did not complete.
    pub fn set_handed_over(&mut self, handed_over: bool) {
        self.handed_over = handed_over;
    }

    /// Schedules the shutdown of the process and returns the schedule in force. The first schedule is kept,
    /// so that a later one cannot give the process more time.
    pub fn begin_shutdown(&mut self, schedule: ShutdownSchedule) -> ShutdownSchedule {
        *self.shutdown.get_or_insert(schedule)
    }

    /// When a request with this deadline must have its final response.
    pub fn answer_by(&self, deadline: Micros) -> Micros {
        self.shutdown.map_or(deadline, |schedule| deadline.min(schedule.answer_by))
    }

    /// Checks whether an attempt may start now.
    ///
    /// # Errors
    /// Returns the first reason to deny it.
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

    /// Checks whether an attempt that was started may be sent now. Changes since its start count, except that
    /// an attempt that was reserved before a hand-over may still be sent.
    ///
    /// # Errors
    /// Returns the first reason to deny it.
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
