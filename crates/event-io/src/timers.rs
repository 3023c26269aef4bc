//! The timers of a driver: a heap in the order of their times. No timer is cancelled; its owner checks when it fires
//! whether it has become stale.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Microseconds on the loop's clock.
type Micros = u64;

/// The longest that an event loop waits, in microseconds.
const MAX_WAIT: Micros = 1_000_000;

/// All timers of a driver. Those of one microsecond fire in the order of `W`.
#[derive(Debug)]
pub struct Timers<W> {
    heap: BinaryHeap<Reverse<(Micros, W)>>,
}

impl<W: Ord> Default for Timers<W> {
    fn default() -> Self {
        Timers { heap: BinaryHeap::new() }
    }
}

impl<W: Ord> Timers<W> {
    /// When the next timer fires.
    pub fn due(&self) -> Option<Micros> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// The earlier of the next timer and `other`.
    fn due_with(&self, other: Option<Micros>) -> Option<Micros> {
        other.into_iter().chain(self.due()).min()
    }

    /// How long the loop may wait at `now` for the next of these timers and `other`: a second at most.
    pub fn wait(&self, now: Micros, other: Option<Micros>) -> Duration {
        let due = self.due_with(other).unwrap_or(Micros::MAX);
        Duration::from_micros(due.saturating_sub(now).min(MAX_WAIT))
    }

    /// How late the loop is at `now`: for how long the first of these timers and `other` has been due. What is read at
    /// this moment may have waited in the kernel for as long, which does not report when bytes arrived. 0 where nothing
    /// is due: between two timers the delay is unknown.
    pub fn behind(&self, now: Micros, other: Option<Micros>) -> Micros {
        self.due_with(other).map_or(0, |due| now.saturating_sub(due))
    }

    /// Sets a timer.
    pub fn set(&mut self, at: Micros, what: W) {
        self.heap.push(Reverse((at, what)));
    }

    /// Removes and returns the next timer that is due.
    pub fn pop(&mut self, now: Micros) -> Option<W> {
        self.heap.peek().filter(|Reverse((at, _))| *at <= now)?;
        self.heap.pop().map(|Reverse((_, what))| what)
    }
}
