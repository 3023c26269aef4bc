//! The publisher's log: the newest deltas, bounded in number and bytes.

use crate::message::{Delta, Line, Message};
use crate::version::Version;
use std::collections::VecDeque;
use std::sync::Arc;

/// A delta of the log with its line, encoded once for all subscribers.
#[derive(Clone, Debug, PartialEq)]
pub struct LogEntry {
    /// The delta.
    pub delta: Delta,
    /// The delta as a line, with its line feed.
    pub line: Line,
}

/// The bounds of a log; the oldest deltas are dropped first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogLimits {
    /// The maximum number of deltas.
    pub deltas: usize,
    /// The maximum size of all lines, in bytes.
    pub bytes: usize,
}

impl Default for LogLimits {
    /// 16,384 deltas and 8 MiB: more than a day of 14,000 changes.
    fn default() -> LogLimits {
        LogLimits { deltas: 16_384, bytes: 8 << 20 }
    }
}

#[derive(Debug)]
pub(crate) struct Log {
    limits: LogLimits,
    entries: VecDeque<Arc<LogEntry>>,
    bytes: usize,
}

impl LogEntry {
    pub(crate) fn encode(delta: Delta) -> Arc<LogEntry> {
        let line = Message::Delta(delta.clone()).write();
        Arc::new(LogEntry { delta, line })
    }
}

impl Log {
    pub(crate) fn new(limits: LogLimits) -> Log {
        Log { limits, entries: VecDeque::new(), bytes: 0 }
    }

    pub(crate) fn push(&mut self, entry: Arc<LogEntry>) {
        self.bytes += entry.line.len();
        self.entries.push_back(entry);
        while self.entries.len() > self.limits.deltas || self.bytes > self.limits.bytes {
            let Some(oldest) = self.entries.pop_front() else { break };
            self.bytes -= oldest.line.len();
        }
    }

    pub(crate) fn clear(&mut self) {
        self.entries.clear();
        self.bytes = 0;
    }

    /// The deltas after a version, oldest first; none where the log does not reach back to it.
    pub(crate) fn since(&self, version: Version) -> Option<Vec<Arc<LogEntry>>> {
        let from = self.entries.binary_search_by_key(&version, |entry| entry.delta.base).ok()?;
        Some(self.entries.range(from..).cloned().collect())
    }

    /// The version that the oldest delta is based on.
    pub(crate) fn oldest_base(&self) -> Option<Version> {
        self.entries.front().map(|entry| entry.delta.base)
    }
}
