//! The event loop's clock.

use super::takeover::Inherited;
use std::time::{Duration, Instant};
use violetseam::interface::Micros;

/// The time that the clock starts at in a proxy that does not take over from another process.
const INITIAL_TIME: Micros = 1_000_000;

/// A monotonic clock in microseconds. A process that takes over continues the clock of the old process.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    started_at: Instant,
    /// The time that the clock showed when this process started.
    time_at_start: Micros,
}

impl Clock {
    /// Starts the clock at the old process's present time in a takeover, and at [`INITIAL_TIME`] otherwise.
    pub(super) fn start(inherited: Option<&Inherited>) -> Self {
        Clock { started_at: Instant::now(), time_at_start: inherited.map_or(INITIAL_TIME, Inherited::clock) }
    }

    /// Returns the present time.
    pub(super) fn now(&self) -> Micros {
        self.time_at_start + self.started_at.elapsed().as_micros() as Micros
    }

    /// Returns how long this process has run.
    pub(super) fn uptime(&self) -> Duration {
        self.started_at.elapsed()
    }
}
