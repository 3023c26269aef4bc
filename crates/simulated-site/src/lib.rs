//! Simulated services and clients around proxies, on loopback sockets, with injected faults. They record what
//! crosses their sockets, for the checker of the invariants.
//!
//! [`scenario`] describes a run, [`model`] what each service does, without I/O and with the time passed in,
//! [`network`] the sockets. Servers are models whose work is waiting, not computing, so that one machine can
//! carry a fleet of them. Figures measured against them are figures of simulated servers.

pub mod model;
pub mod network;
pub mod scenario;

use std::time::Instant;

/// The common clock of a run.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Starts it.
    #[must_use]
    pub fn start() -> Self {
        Clock(Instant::now())
    }

    /// Microseconds since the start.
    pub fn now(&self) -> u64 {
        self.0.elapsed().as_micros() as u64
    }
}
