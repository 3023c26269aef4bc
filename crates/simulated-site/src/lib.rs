//! Simulated services and clients for proxies under test, on loopback sockets and with injected faults. They
//! record the traffic on their sockets for the checker of the invariants.
//!
//! [`scenario`] describes a run. [`model`] implements the behaviour of each service, without I/O and with the
//! time passed in. [`network`] connects the models to sockets. A simulated server waits instead of computing
//! while it processes a request, so that one machine can run a whole fleet of them. Figures measured against
//! them are therefore figures of simulated servers.

pub mod model;
pub mod network;
pub mod scenario;

use std::time::Instant;

/// The clock that all parts of a run share.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Starts the clock.
    #[must_use]
    pub fn start() -> Self {
        Clock(Instant::now())
    }

    /// Microseconds since the start of the clock.
    pub fn now(&self) -> u64 {
        self.0.elapsed().as_micros() as u64
    }
}
