//! Measures the duration of a stage, without the time for which its clock was paused.

/// Time from all servers of a stage running to the start of the stage's clock, in microseconds.
const STAGE_SETTLE_TIME: u64 = 1_000_000;
/// Time after which a stage no longer waits for its servers to run, in microseconds from the start of the
/// stage.
const MAX_STARTUP_TIME: u64 = 8_000_000;

/// The clock of the current stage.
#[derive(Debug, Default)]
pub(super) struct StageClock {
    /// When the stage began and its servers were started.
    began_at: u64,
    /// When the stage's clock starts, once that is known.
    settled_at: Option<u64>,
    /// Total time for which votes paused the clock or the service was down; it does not count.
    pub(super) paused_time: u64,
    paused_since: Option<u64>,
    down_since: Option<u64>,
}

impl StageClock {
    /// Restarts the clock for a stage that begins now.
    pub(super) fn restart(&mut self, now: u64) {
        self.began_at = now;
        self.settled_at = None;
        self.paused_time = 0;
    }

    /// Stops the clock while the service is down.
    pub(super) fn stop(&mut self, now: u64) {
        self.down_since.get_or_insert(now);
    }

    /// Resumes the clock after [`Self::stop`]. The time in between counts as paused.
    pub(super) fn resume(&mut self, now: u64) {
        let Some(since) = self.down_since.take() else { return };
        if let Some(settled_at) = self.settled_at {
            self.paused_time += now.saturating_sub(since.max(settled_at));
        }
    }

    /// Sets whether the clock is paused from now on. If it was paused, the time since the previous call is
    /// added to the paused time.
    pub(super) fn set_paused(&mut self, now: u64, is_paused: bool) {
        if let Some(since) = self.paused_since.take() {
            self.paused_time += now.saturating_sub(since);
        }
        self.paused_since = is_paused.then_some(now);
    }

    /// Returns when the stage's clock starts, or `None` while that is not known. `is_running` says whether
    /// all servers of the stage run.
    pub(super) fn settle(&mut self, now: u64, is_running: bool) -> Option<u64> {
        let is_due = is_running || now >= self.began_at + MAX_STARTUP_TIME;
        if self.settled_at.is_none() && is_due {
            self.settled_at = Some(now + STAGE_SETTLE_TIME);
        }
        self.settled_at
    }
}
