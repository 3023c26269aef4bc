//! Whether something may begin, be repeated or go on now: the one place that knows what a process holds for a
//! limited time, and until when.
//!
//! - [`ListLease`]: for how long the server list may be used without a word from discovery
//! - [`Lifetime`]: until when a process that was told to end still answers
//! - [`Permissions`]: both, and whether an attempt may start or be written now; why not is a [`Denial`]
//!
//! Times are microseconds on one clock that runs on evenly, whatever becomes of the machine's wall clock.
//! Sources: the platform's protocol page and its standing test; `docs/design.md` has the reasons.

use crate::interface::{Micros, ServiceRules};

/// A change of the list counts as told so long after discovery had it, whether or not it arrived.
const TOLD_AT_LATEST: Micros = 6_000_000;
/// After a move of discovery to another address its changes count as told so long after the order to move.
const TOLD_AFTER_MOVE: Micros = 4_000_000;
/// A process may be held up between reading its clock and writing, and an answer is on its way for a while.
const HELD_UP: Micros = 250_000;
/// Of the longest deadline so much counts when the time is set at which a process is killed.
const LONGEST_COUNTED: Micros = 3_000_000;
/// A process is killed no earlier than this and the counted longest deadline after it was told to end.
const KILLED_AFTER: Micros = 700_000;
/// Clients need so long to take the last answers and the ends of their connections.
const LAST_ANSWERS: Micros = 200_000;

/// For how long the server list may be used: until no change that has not been heard could have counted as
/// told for longer than its grace.
#[derive(Clone, Copy, Debug)]
pub struct ListLease {
    /// `None`: nothing limits the list's use.
    terms: Option<Terms>,
    /// 0 until the list has been confirmed for the first time.
    until: Micros,
    /// Changes that were told and not heard: no outage lengthens the lease beyond this, only a list does.
    missed_until: Option<Micros>,
}

#[derive(Clone, Copy, Debug)]
struct Terms {
    /// From a confirmation on.
    span: Micros,
    /// From a change that counts as told on.
    grace: Micros,
}

impl ListLease {
    /// A list whose use nothing limits, for protocols that state no such limit.
    pub fn unlimited() -> Self {
        ListLease { terms: None, until: Micros::MAX, missed_until: None }
    }

    /// Not to be used before its first confirmation.
    pub fn unconfirmed(contract: &ServiceRules) -> Self {
        let grace = contract.drain_grace.saturating_sub(HELD_UP);
        let span = TOLD_AT_LATEST.min(contract.poll_interval_max).saturating_add(grace);
        ListLease { terms: Some(Terms { span, grace }), until: 0, missed_until: None }
    }

    /// The list was current at that moment.
    pub fn confirm(&mut self, at: Micros) {
        if let Some(Terms { span, .. }) = self.terms {
            self.missed_until = None;
            self.until = self.until.max(at.saturating_add(span));
        }
    }

    /// Discovery was surely away at that moment, and told nobody of a change.
    pub fn away(&mut self, at: Micros) {
        if let Some(Terms { span, .. }) = self.terms {
            let until = at.saturating_add(span).min(self.missed_until.unwrap_or(Micros::MAX));
            self.until = self.until.max(until);
        }
    }

    /// Discovery has another address since that moment, and counts all as told soon after.
    pub fn move_discovery(&mut self, at: Micros) {
        self.missed(at.saturating_add(TOLD_AFTER_MOVE));
    }

    /// Changes counted as told at that moment, and were not heard.
    pub fn missed(&mut self, at: Micros) {
        if let Some(Terms { grace, .. }) = self.terms {
            let until = at.saturating_add(grace);
            self.missed_until = Some(self.missed_until.map_or(until, |before| before.min(until)));
            self.until = self.until.min(until);
        }
    }

    /// From that moment on each change counts as told as it is made, heard or not.
    pub fn unwatched(&mut self, at: Micros) {
        if let Some(Terms { grace, .. }) = self.terms {
            self.until = self.until.min(at.saturating_add(grace));
        }
    }

    /// When the list may be used no more, as far as is known now.
    pub fn until(&self) -> Micros {
        self.until
    }

    /// Whether the list may be used.
    pub fn holds(&self, now: Micros) -> bool {
        now < self.until
    }
}

/// The end of a process that was told to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lifetime {
    /// By then everything that was taken has its final answer, and nothing is sent any more.
    pub answer_by: Micros,
    /// The process ends by itself by then, whatever is left.
    pub end_by: Micros,
}

impl Lifetime {
    /// For a process that was told to end now; `longest` is the longest deadline of its settings.
    pub fn told_to_end(now: Micros, longest: Micros) -> Self {
        let end_by = now + longest.min(LONGEST_COUNTED) + KILLED_AFTER - HELD_UP;
        Lifetime { answer_by: end_by - LAST_ANSWERS, end_by }
    }
}

/// Why something may not begin or go on now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Denial {
    /// The request has its final answer, or its client has left.
    RequestOver,
    /// An answer is being passed on to the client.
    Streaming,
    /// As many attempts as the settings allow were made.
    AttemptsSpent,
    /// The request's body was sent and not kept.
    BodyGone,
    /// Another process decides for this one.
    HandedOver,
    /// The process has been told to end and sends nothing more.
    Ending,
    /// Nobody has confirmed the server list for too long.
    ListExpired,
    /// The time for the attempt, or for the request, is over.
    TimeOver,
}

/// What is known of an attempt that is about to start or to be written.
#[derive(Clone, Copy, Debug)]
pub struct AttemptFacts {
    /// The request has its final answer, or its client has left.
    pub request_over: bool,
    /// An answer is being passed on.
    pub streaming: bool,
    /// Attempts made before this one.
    pub earlier: usize,
    /// One of them left the process.
    pub earlier_left: bool,
    /// As many as the settings allow.
    pub most: usize,
    /// The request's body can be sent again.
    pub repeatable: bool,
    /// When the attempt is given up.
    pub cut_at: Micros,
}

/// All that limits what a process may begin now.
#[derive(Clone, Copy, Debug)]
pub struct Permissions {
    /// The server list's.
    pub list: ListLease,
    lifetime: Option<Lifetime>,
    handed_over: bool,
}

impl Permissions {
    /// With this hold on the server list, and no end in sight.
    pub fn new(list: ListLease) -> Self {
        Permissions { list, lifetime: None, handed_over: false }
    }

    /// Another process decides from now on, or does not after all.
    pub fn hand_over(&mut self, handed_over: bool) {
        self.handed_over = handed_over;
    }

    /// The process was told to end. The first word stands: a later one gives no more time.
    pub fn end(&mut self, lifetime: Lifetime) -> Lifetime {
        *self.lifetime.get_or_insert(lifetime)
    }

    /// When a request with this deadline must have its final answer.
    pub fn answer_by(&self, deadline: Micros) -> Micros {
        self.lifetime.map_or(deadline, |life| deadline.min(life.answer_by))
    }

    /// Whether an attempt may start now.
    ///
    /// # Errors
    /// The first reason that stands against it.
    pub fn may_start(&self, now: Micros, attempt: &AttemptFacts) -> Result<(), Denial> {
        let denials = [
            (self.handed_over, Denial::HandedOver),
            (attempt.earlier >= attempt.most, Denial::AttemptsSpent),
            (!attempt.repeatable && attempt.earlier_left, Denial::BodyGone),
        ];
        if let Some((_, denial)) = denials.into_iter().find(|(stands, _)| *stands) {
            return Err(denial);
        }
        self.may_write(now, attempt)
    }

    /// Whether an attempt that was started may be written now: what has changed since its start counts, and
    /// what was booked before a hand-over may still leave.
    ///
    /// # Errors
    /// The first reason that stands against it.
    pub fn may_write(&self, now: Micros, attempt: &AttemptFacts) -> Result<(), Denial> {
        let ending = self.lifetime.is_some_and(|life| now >= life.answer_by);
        let denials = [
            (attempt.request_over, Denial::RequestOver),
            (attempt.streaming, Denial::Streaming),
            (now >= attempt.cut_at, Denial::TimeOver),
            (ending, Denial::Ending),
            (!self.list.holds(now), Denial::ListExpired),
        ];
        match denials.into_iter().find(|(stands, _)| *stands) {
            Some((_, denial)) => Err(denial),
            None => Ok(()),
        }
    }
}
