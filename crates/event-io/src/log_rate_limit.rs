//! A rate limit on log lines that peers can cause.

/// Log lines written in one second; further ones are counted and reported together.
const MAX_LINES_PER_SECOND: u32 = 5;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Limits log lines: the first few of each second are written, the rest are counted.
#[derive(Debug, Default)]
pub struct LogRateLimit {
    /// The second that is counted, on the clock of [`LogRateLimit::allows`].
    second: u64,
    /// Lines that were requested in it.
    requested: u32,
    /// Those of them that were suppressed.
    suppressed: u64,
}

impl LogRateLimit {
    /// Whether a line may be written at `now`, in microseconds. The first call of a later second logs how
    /// many lines were suppressed before it.
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
            tracing::warn!(lines = self.suppressed, "log lines kept back");
        }
        self.second = second;
        self.requested = 0;
        self.suppressed = 0;
    }
}
