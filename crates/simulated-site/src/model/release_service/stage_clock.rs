//! The time of a stage, without the time for which it was paused.

/// A stage's clock starts so long after all its servers run, in microseconds ...
const STAGE_SETTLE_TIME: u64 = 1_000_000;
/// ... or so long after their launch at the latest.
const MAX_LAUNCH_TIME: u64 = 8_000_000;

/// Times of the present stage.
#[derive(Debug, Default)]
pub(super) struct StageClock {
    /// When the stage's servers were launched.
    launched_at: u64,
    /// When the stage's own time begins.
    settled_at: Option<u64>,
    /// Time that does not count, because votes paused the clock or the service was down.
    pub(super) paused_time: u64,
    paused_since: Option<u64>,
    down_since: Option<u64>,
}

impl StageClock {
    pub(super) fn restart(&mut self, now: u64) {
        self.launched_at = now;
        self.settled_at = None;
        self.paused_time = 0;
    }

    pub(super) fn stop(&mut self, now: u64) {
        self.down_since.get_or_insert(now);
    }

    /// Goes on after a stop.
    pub(super) fn resume(&mut self, now: u64) {
        let Some(since) = self.down_since.take() else { return };
        if let Some(settled_at) = self.settled_at {
            self.paused_time += now.saturating_sub(since.max(settled_at));
        }
    }

    /// Adds the time since the last turn, if the clock was paused. `is_paused`: it is from now on.
    pub(super) fn set_paused(&mut self, now: u64, is_paused: bool) {
        if let Some(since) = self.paused_since.take() {
            self.paused_time += now.saturating_sub(since);
        }
        self.paused_since = is_paused.then_some(now);
    }

    /// When the stage's own time begins, once that is known.
    pub(super) fn settle(&mut self, now: u64, is_running: bool) -> Option<u64> {
        let is_due = is_running || now >= self.launched_at + MAX_LAUNCH_TIME;
        if self.settled_at.is_none() && is_due {
            self.settled_at = Some(now + STAGE_SETTLE_TIME);
        }
        self.settled_at
    }
}
