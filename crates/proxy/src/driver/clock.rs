//! The event loop's clock.

use super::takeover::Inherited;
use std::time::{Duration, Instant};
use violetseam::interface::Micros;

/// The clock at the start of a proxy that takes over from nobody.
const FIRST_CLOCK: Micros = 1_000_000;

/// A monotonic clock in microseconds, which a process that takes over continues.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    started: Instant,
    /// The clock at the start.
    origin: Micros,
}

impl Clock {
    /// Starts the clock where the process before this one has it, or at one second.
    pub(super) fn start(inherited: Option<&Inherited>) -> Self {
        Clock { started: Instant::now(), origin: inherited.map_or(FIRST_CLOCK, Inherited::clock) }
    }

    /// The present time.
    pub(super) fn now(&self) -> Micros {
        self.origin + self.started.elapsed().as_micros() as Micros
    }

    /// How long this process has run.
    pub(super) fn uptime(&self) -> Duration {
        self.started.elapsed()
    }
}
