//! The timers of a driver, in a heap ordered by time. Timers cannot be cancelled. Instead, the owner checks
//! whether a timer is still relevant when it fires.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Microseconds on the event loop's clock.
type Micros = u64;

/// The longest time that one poll of the event loop may wait.
const MAX_POLL_TIMEOUT: Micros = 1_000_000;

/// When a timer fires, and its kind. Timers that fire at the same microsecond are ordered by kind.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Timer<T> {
    at: Micros,
    kind: T,
}

/// All timers of a driver. `T` is the kind of a timer, which says what it is for. Times are in microseconds
/// on the event loop's clock.
#[derive(Debug)]
pub struct Timers<T> {
    heap: BinaryHeap<Reverse<Timer<T>>>,
}

impl<T: Ord> Default for Timers<T> {
    fn default() -> Self {
        Timers { heap: BinaryHeap::new() }
    }
}

impl<T: Ord> Timers<T> {
    /// Returns when the next timer fires.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.heap.peek().map(|Reverse(timer)| timer.at)
    }

    /// Returns the earlier of when the next timer fires and `other`.
    fn next_deadline_with(&self, other: Option<Micros>) -> Option<Micros> {
        other.into_iter().chain(self.next_deadline()).min()
    }

    /// Returns how long the event loop may wait at `now`: until the earlier of the next timer and `other`,
    /// but for a second at most.
    pub fn poll_timeout(&self, now: Micros, other: Option<Micros>) -> Duration {
        let deadline = self.next_deadline_with(other).unwrap_or(Micros::MAX);
        Duration::from_micros(deadline.saturating_sub(now).min(MAX_POLL_TIMEOUT))
    }

    /// Returns how late the event loop is at `now`, in microseconds: for how long the earlier of the next
    /// timer and `other` has been due. The kernel does not report when bytes arrived, so bytes that are read
    /// now may have been waiting for as long as that. Returns 0 if nothing is due, because the delay is
    /// unknown between two timers.
    pub fn lateness(&self, now: Micros, other: Option<Micros>) -> Micros {
        self.next_deadline_with(other).map_or(0, |deadline| now.saturating_sub(deadline))
    }

    /// Sets a timer that fires at `at`.
    pub fn set(&mut self, at: Micros, kind: T) {
        self.heap.push(Reverse(Timer { at, kind }));
    }

    /// Removes the earliest timer that is due at `now`, and returns its kind.
    pub fn pop(&mut self, now: Micros) -> Option<T> {
        self.heap.peek().filter(|Reverse(timer)| timer.at <= now)?;
        self.heap.pop().map(|Reverse(timer)| timer.kind)
    }
}
