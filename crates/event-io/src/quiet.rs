//! A rate limit on log lines that peers can cause.

/// Log lines written in one second; further ones are counted and reported together.
const MAX_LINES_PER_SECOND: u32 = 5;

/// Limits log lines: the first few of each second are written, the rest are counted.
#[derive(Debug, Default)]
pub struct RateLimit {
    /// The present second.
    second: u64,
    /// Lines that were asked for in it.
    requested: u32,
    /// Lines of it that were suppressed.
    suppressed: u64,
}

impl RateLimit {
    /// Whether a line may be written at this time, in microseconds.
    pub fn allows(&mut self, now: u64) -> bool {
        let second = now / 1_000_000;
        if second != self.second {
            if self.suppressed > 0 {
                tracing::warn!(lines = self.suppressed, "log lines kept back");
            }
            self.second = second;
            self.requested = 0;
            self.suppressed = 0;
        }
        self.requested += 1;
        let is_allowed = self.requested <= MAX_LINES_PER_SECOND;
        if !is_allowed {
            self.suppressed += 1;
        }
        is_allowed
    }
}
