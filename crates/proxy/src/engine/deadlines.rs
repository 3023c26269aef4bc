//! The engine's deadlines: the decision module's timers, the ends of attempts, overdue requests and budget rounds.

use super::Engine;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use violetseam::interface::{Event, Micros, RequestId};

/// What a deadline is for. Deadlines that fall on one instant together are set in the order of these variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKind {
    /// The span that the decision module set for an attempt ends.
    AttemptTimeout { request: RequestId, attempt: usize },
    /// A timer of the decision module, by its token.
    Module(u64),
    /// The request must have its final answer.
    RequestOverdue(RequestId),
    /// The next round of leases on the fleet's budgets.
    BudgetRound,
}

/// A point in time at which something is due. Of two with the same time, the one that was set first comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Deadline {
    at: Micros,
    sequence: u64,
    kind: TimerKind,
}

/// Deadlines in the order in which they come due.
#[derive(Debug, Default)]
pub(super) struct DeadlineQueue {
    deadlines: BinaryHeap<Reverse<Deadline>>,
    last_sequence: u64,
}

impl DeadlineQueue {
    fn push(&mut self, at: Micros, kind: TimerKind) {
        self.last_sequence += 1;
        let deadline = Deadline { at, sequence: self.last_sequence, kind };
        self.deadlines.push(Reverse(deadline));
    }

    fn next_at(&self) -> Option<Micros> {
        self.deadlines.peek().map(|Reverse(deadline)| deadline.at)
    }

    fn pop_until(&mut self, until: Micros) -> Option<Deadline> {
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

    /// Runs what is due, in the order in which it came due: after a standstill of the event loop the decision
    /// module gets every event as it would have, only later.
    pub fn run_deadlines(&mut self, now: Micros) {
        self.run_deadlines_until(now, now);
    }

    /// The same for what had come due by `until`, when a driver last polled its sockets: what came due since
    /// then may have been overtaken by an answer that has not been read yet.
    pub fn run_deadlines_until(&mut self, now: Micros, until: Micros) {
        while let Some(deadline) = self.deadlines.pop_until(until) {
            match deadline.kind {
                TimerKind::Module(token) => self.feed(now, Event::Timer { token }),
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
    }
}
