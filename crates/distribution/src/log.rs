//! The publisher's log: the newest deltas, bounded in number and in bytes.

use crate::message::{Delta, Line, Message};
use crate::version::Version;
use std::collections::VecDeque;
use std::sync::Arc;

/// A delta in the log, with its encoded line. The line is encoded once and sent to all subscribers.
#[derive(Clone, Debug, PartialEq)]
pub struct LogEntry {
    /// The delta.
    pub delta: Delta,
    /// The delta as an encoded line, including its line feed.
    pub line: Line,
}

/// The bounds of a log. When one is exceeded, the oldest deltas are dropped first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogLimits {
    /// The maximum number of deltas.
    pub deltas: usize,
    /// The maximum total size of all lines, in bytes.
    pub bytes: usize,
}

impl Default for LogLimits {
    /// 16,384 deltas and 8 MiB, which holds more than one day of changes at 14,000 changes a day.
    fn default() -> LogLimits {
        LogLimits { deltas: 16_384, bytes: 8 << 20 }
    }
}

#[derive(Debug)]
pub(crate) struct DeltaLog {
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

impl DeltaLog {
    pub(crate) fn new(limits: LogLimits) -> DeltaLog {
        DeltaLog { limits, entries: VecDeque::new(), bytes: 0 }
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

    /// Returns the deltas after `version`, oldest first, or `None` if the log does not reach back to that
    /// version.
    pub(crate) fn since(&self, version: Version) -> Option<Vec<Arc<LogEntry>>> {
        let first_index = self.entries.binary_search_by_key(&version, |entry| entry.delta.base).ok()?;
        Some(self.entries.range(first_index..).cloned().collect())
    }

    /// Returns the version that the oldest delta is based on, or `None` if the log is empty.
    pub(crate) fn oldest_base(&self) -> Option<Version> {
        self.entries.front().map(|entry| entry.delta.base)
    }
}
