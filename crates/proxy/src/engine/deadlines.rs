//! The engine's deadlines: the decision module's timers, attempt time-outs, overdue requests and budget
//! rounds.

use super::Engine;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use violetseam::interface::{Event, Micros, RequestId};

/// What a deadline is for. Deadlines that a shutdown moves to the same instant are set in the order of the
/// variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKind {
    /// An attempt times out, at the time that the decision module set.
    AttemptTimeout { request: RequestId, attempt: usize },
    /// A timer of the decision module is due; the value is its token.
    ModuleTimer(u64),
    /// The final response of a request is overdue.
    RequestOverdue(RequestId),
    /// The next round of lease requests for the fleet's budgets is due.
    BudgetRound,
}

/// A point in time at which something is due. Deadlines at the same time run in the order in which they were
/// set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Deadline {
    at: Micros,
    sequence: u64,
    kind: TimerKind,
}

/// The number of deadlines below which obsolete ones are not looked for.
const MIN_DEADLINES_TO_PRUNE: usize = 1024;

/// All pending deadlines, in the order in which they come due. A deadline is not removed when what it is for
/// ends; [`Engine::prune_deadlines`] removes such deadlines once they may be half of all.
#[derive(Debug)]
pub(super) struct DeadlineQueue {
    deadlines: BinaryHeap<Reverse<Deadline>>,
    last_sequence: u64,
    /// The number of deadlines from which on obsolete ones are looked for.
    prune_at: usize,
}

impl Default for DeadlineQueue {
    fn default() -> Self {
        DeadlineQueue { deadlines: BinaryHeap::new(), last_sequence: 0, prune_at: MIN_DEADLINES_TO_PRUNE }
    }
}

impl DeadlineQueue {
    fn push(&mut self, at: Micros, kind: TimerKind) {
        self.last_sequence += 1;
        let deadline = Deadline { at, sequence: self.last_sequence, kind };
        self.deadlines.push(Reverse(deadline));
    }

    /// Removes the deadlines that are no longer needed.
    fn prune(&mut self, is_needed: impl Fn(TimerKind) -> bool) {
        self.deadlines.retain(|Reverse(deadline)| is_needed(deadline.kind));
        self.prune_at = (2 * self.deadlines.len()).max(MIN_DEADLINES_TO_PRUNE);
        self.deadlines.shrink_to(self.prune_at);
    }

    fn next_at(&self) -> Option<Micros> {
        self.deadlines.peek().map(|Reverse(deadline)| deadline.at)
    }

    /// Removes the first deadline if it is due at `until`.
    fn pop_due(&mut self, until: Micros) -> Option<Deadline> {
        if self.next_at()? > until {
            return None;
        }
        self.deadlines.pop().map(|Reverse(deadline)| deadline)
    }
}

impl Engine {
    /// When [`Engine::run_deadlines`] must be called next.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.deadlines.next_at()
    }

    /// Runs all deadlines that are due, in the order in which they came due. After the event loop has
    /// stalled, the decision module thus gets the same events in the same order as without the stall, only
    /// later.
    pub fn run_deadlines(&mut self, now: Micros) {
        self.run_deadlines_until(now, now);
    }

    /// Runs the deadlines that had come due by `until`, which is when the driver last polled its sockets. A
    /// response that arrived after that poll has not been read yet, and it may have arrived before a later
    /// deadline.
    pub fn run_deadlines_until(&mut self, now: Micros, until: Micros) {
        while let Some(deadline) = self.deadlines.pop_due(until) {
            match deadline.kind {
                TimerKind::ModuleTimer(token) => self.feed(now, Event::Timer { token }),
                TimerKind::AttemptTimeout { request, attempt } => {
                    self.time_out_attempt(now, deadline.at, request, attempt);
                }
                TimerKind::RequestOverdue(request) => self.fail_overdue_request(now, request),
                TimerKind::BudgetRound => self.run_budget_round(now),
            }
        }
    }

    pub(super) fn schedule(&mut self, at: Micros, kind: TimerKind) {
        self.deadlines.push(at, kind);
        if self.deadlines.deadlines.len() >= self.deadlines.prune_at {
            self.prune_deadlines();
        }
    }

    /// Removes the deadlines of requests and attempts that have ended. A client chooses how long its request
    /// may wait, so these deadlines may lie far ahead.
    fn prune_deadlines(&mut self) {
        let requests = &self.requests;
        self.deadlines.prune(|kind| match kind {
            TimerKind::AttemptTimeout { request, attempt } => {
                requests.get(&request).is_some_and(|request| request.pending_attempt(attempt).is_some())
            }
            TimerKind::RequestOverdue(request) => {
                requests.get(&request).is_some_and(|request| !request.finished)
            }
            TimerKind::ModuleTimer(_) | TimerKind::BudgetRound => true,
        });
    }
}
