//! Time-outs of a driver, by time: a heap whose entries are looked at when they come due and may be stale by
//! then, as none is ever taken back.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Microseconds on the loop's clock.
type Micros = u64;

/// All that a driver has set.
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
    /// The next one's time.
    pub fn due(&self) -> Option<Micros> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// How long the loop may wait from `now` on for the next of these and `other`: a second at most.
    pub fn wait(&self, now: Micros, other: Option<Micros>) -> Duration {
        let due = other.into_iter().chain(self.due()).min().unwrap_or(Micros::MAX);
        Duration::from_micros(due.saturating_sub(now).min(1_000_000))
    }

    /// How late the loop is at `now`: since when the first of these and `other` has been due and was not played. What is
    /// read at this moment may have waited as long in the kernel, which tells of no bytes when they came. 0 where
    /// nothing is due; between two dues nothing can be told.
    pub fn behind(&self, now: Micros, other: Option<Micros>) -> Micros {
        other.into_iter().chain(self.due()).min().map_or(0, |due| now.saturating_sub(due))
    }

    /// Sets one.
    pub fn set(&mut self, at: Micros, what: W) {
        self.heap.push(Reverse((at, what)));
    }

    /// Takes the next one that is due.
    pub fn pop(&mut self, now: Micros) -> Option<W> {
        self.heap.peek().filter(|Reverse((at, _))| *at <= now)?;
        self.heap.pop().map(|Reverse((_, what))| what)
    }
}
