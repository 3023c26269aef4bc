//! The timers of a driver: a heap in the order of their times. No timer is cancelled; its owner checks when
//! it fires whether it has become stale.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Microseconds on the event loop's clock.
type Micros = u64;

/// The longest that a poll of the event loop may wait.
const MAX_POLL_TIMEOUT: Micros = 1_000_000;

/// A timer: when it fires, and what for. Timers of one microsecond fire in the order of `T`.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Timer<T> {
    at: Micros,
    kind: T,
}

/// All timers of a driver; `T` is what a timer is for. Times are microseconds on the event loop's clock.
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
    /// When the next timer fires.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.heap.peek().map(|Reverse(timer)| timer.at)
    }

    /// The earlier of the next timer and `other`.
    fn next_deadline_with(&self, other: Option<Micros>) -> Option<Micros> {
        other.into_iter().chain(self.next_deadline()).min()
    }

    /// How long the event loop may wait at `now` for the next of these timers and `other`: a second at most.
    pub fn poll_timeout(&self, now: Micros, other: Option<Micros>) -> Duration {
        let deadline = self.next_deadline_with(other).unwrap_or(Micros::MAX);
        Duration::from_micros(deadline.saturating_sub(now).min(MAX_POLL_TIMEOUT))
    }

    /// How late the event loop is at `now`, in microseconds: for how long the first of these timers and
    /// `other` has been due. What is read at this moment may have waited in the kernel for as long, which
    /// does not report when bytes arrived. 0 where nothing is due: between two timers the delay is unknown.
    pub fn lateness(&self, now: Micros, other: Option<Micros>) -> Micros {
        self.next_deadline_with(other).map_or(0, |deadline| now.saturating_sub(deadline))
    }

    /// Sets a timer.
    pub fn set(&mut self, at: Micros, kind: T) {
        self.heap.push(Reverse(Timer { at, kind }));
    }

    /// Removes and returns the next timer that is due at `now`.
    pub fn pop(&mut self, now: Micros) -> Option<T> {
        self.heap.peek().filter(|Reverse(timer)| timer.at <= now)?;
        self.heap.pop().map(|Reverse(timer)| timer.kind)
    }
}
