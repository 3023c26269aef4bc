//! Time-outs of a driver, by time: a heap whose entries are looked at when they come due and may be stale by
//! then, as none is ever taken back.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

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

/// Bounds log lines: the first few of each second are told, the rest counted.
#[derive(Debug, Default)]
pub struct RateLimit {
    second: u64,
    told: u32,
    kept_back: u64,
}

/// Log lines a second of one kind; more are counted and told together.
const LINES_PER_SECOND: u32 = 5;

impl RateLimit {
    /// Whether a line may be written now; `told` hears how many were kept back before.
    pub fn allows(&mut self, now: Micros, told: impl FnOnce(u64)) -> bool {
        if now / 1_000_000 != self.second {
            if self.kept_back > 0 {
                told(self.kept_back);
            }
            (self.second, self.told, self.kept_back) = (now / 1_000_000, 0, 0);
        }
        self.told += 1;
        self.kept_back += u64::from(self.told > LINES_PER_SECOND);
        self.told <= LINES_PER_SECOND
    }
}
