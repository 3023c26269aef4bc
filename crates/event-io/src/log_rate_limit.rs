//! Limits the rate of log lines whose number depends on what clients, servers or peers do.

/// How many log lines are written in one second. Further lines are only counted.
const MAX_LINES_PER_SECOND: u32 = 5;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Allows the first few log lines of each second, and counts the lines that it suppresses.
#[derive(Debug, Default)]
pub struct LogRateLimit {
    /// The current second, on the clock whose time is passed to [`LogRateLimit::allows`].
    second: u64,
    /// How many lines were requested in the current second.
    requested: u32,
    /// How many of these lines were suppressed.
    suppressed: u64,
}

impl LogRateLimit {
    /// Returns whether a line may be written at `now`, in microseconds, and counts the line. The first call
    /// in a new second logs how many lines were suppressed before it, if any.
    pub fn allows(&mut self, now: u64) -> bool {
        let second = now / MICROS_PER_SECOND;
        if second != self.second {
            self.begin_second(second);
        }
        self.requested += 1;
        let is_allowed = self.requested <= MAX_LINES_PER_SECOND;
        if !is_allowed {
            self.suppressed += 1;
        }
        is_allowed
    }

    fn begin_second(&mut self, second: u64) {
        if self.suppressed > 0 {
            tracing::warn!(lines = self.suppressed, "log lines suppressed by the rate limit");
        }
        self.second = second;
        self.requested = 0;
        self.suppressed = 0;
    }
}
