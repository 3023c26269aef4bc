//! A bound on log lines that peers can bring about.

/// Log lines a second of one kind; more are counted and told together.
const LINES_PER_SECOND: u32 = 5;

/// Bounds log lines: the first few of each second are told, the rest counted.
#[derive(Debug, Default)]
pub struct RateLimit {
    second: u64,
    told: u32,
    kept_back: u64,
}

impl RateLimit {
    /// Whether a line may be written at this time, in microseconds.
    pub fn allows(&mut self, now: u64) -> bool {
        if now / 1_000_000 != self.second {
            if self.kept_back > 0 {
                tracing::warn!(lines = self.kept_back, "log lines kept back");
            }
            (self.second, self.told, self.kept_back) = (now / 1_000_000, 0, 0);
        }
        self.told += 1;
        self.kept_back += u64::from(self.told > LINES_PER_SECOND);
        self.told <= LINES_PER_SECOND
    }
}
