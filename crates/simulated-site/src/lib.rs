//! Stand-ins for what surrounds a proxy: servers, roster, release desk and clients, on loopback sockets,
//! with troubles by script. They write down what crosses their sockets, for the rule checker.
//!
//! [`day`] is the script of a day, [`model`] what each stand-in does, without I/O and with time passed in,
//! [`drive`] the sockets. Servers here are models: their work is waiting, not computing, so that a machine
//! can carry a fleet of them. Figures measured against them are of simulated servers.

pub mod model;
pub mod network;
pub mod scenario;

use std::time::Instant;

/// The one clock of all stand-ins of a run, in microseconds.
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
