//! The effect of injected faults on a server.

use super::Server;
use crate::scenario::{Fault, FaultKind};

/// The shortest period of a noisy neighbor, in seconds.
const MIN_NEIGHBOR_PERIOD: f64 = 0.1;
/// The shortest time from one pause to the next, in seconds.
const MIN_PAUSE_INTERVAL: f64 = 0.2;

/// The current effect of all faults on a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Impairment {
    /// Factor by which the server is slower.
    pub slowdown: f64,
    /// Share of the machine that another program takes.
    pub stolen_share: f64,
    /// Share of requests that the server fails at once.
    pub fast_error_rate: f64,
    /// A class whose requests are slower, if there is one.
    pub slow_class: Option<SlowClass>,
}

/// A request class that is slower than the others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowClass {
    /// Index of the class.
    pub class: usize,
    /// Factor by which requests of the class are slower.
    pub slowdown: f64,
}

impl Default for Impairment {
    fn default() -> Self {
        Impairment { slowdown: 1.0, stolen_share: 0.0, fast_error_rate: 0.0, slow_class: None }
    }
}

impl Impairment {
    /// Factor by which requests of a class are slower.
    pub(super) fn slowdown_of_class(&self, class: usize) -> f64 {
        match self.slow_class {
            Some(slow) if slow.class == class => slow.slowdown,
            _ => 1.0,
        }
    }
}

/// A server as a target of faults.
#[derive(Clone, Copy, Debug)]
pub struct FaultTarget {
    /// Index of the server, by which faults name their targets.
    pub index: usize,
    /// The earliest time of the server's next pause, in microseconds.
    pub next_pause: u64,
}

impl FaultTarget {
    /// Applies the faults that are active now to the server. `fleet_slowdown` is the factor by which a
    /// defective build slows all servers down.
    pub fn apply_faults<'a>(
        &mut self,
        server: &mut Server,
        fleet_slowdown: f64,
        now: u64,
        active: impl Iterator<Item = &'a Fault>,
    ) {
        let mut impairment = Impairment { slowdown: fleet_slowdown, ..Impairment::default() };
        for fault in active {
            self.apply_fault(server, &mut impairment, now, fault);
        }
        server.set_impairment(impairment);
    }

    fn apply_fault(&mut self, server: &mut Server, impairment: &mut Impairment, now: u64, fault: &Fault) {
        let is_target = fault.targets.contains(&self.index);
        match fault.kind {
            FaultKind::SlowServer if is_target => impairment.slowdown *= fault.magnitude,
            FaultKind::SlowFleet => impairment.slowdown *= fault.magnitude,
            FaultKind::SlowClass => {
                let slow = SlowClass { class: fault.selector, slowdown: fault.magnitude };
                impairment.slow_class = Some(slow);
            }
            FaultKind::FastErrors if is_target => impairment.fast_error_rate = fault.magnitude,
            FaultKind::NoisyNeighbor if is_target => {
                impairment.stolen_share = self.neighbor_share(now, fault);
            }
            FaultKind::ServerPauses if is_target && now >= self.next_pause => {
                server.pause_until(now + (fault.magnitude * 1e3) as u64);
                self.next_pause = now + (fault.parameter.max(MIN_PAUSE_INTERVAL) * 1e6) as u64;
            }
            _ => {}
        }
    }

    /// Share of the machine that a noisy neighbor takes now. The neighbors of different servers are out of
    /// phase.
    fn neighbor_share(&self, now: u64, fault: &Fault) -> f64 {
        let period = (fault.parameter.max(MIN_NEIGHBOR_PERIOD) * 1e6) as u64;
        let half_periods = (now - fault.at + self.index as u64 * period / 3) / period;
        if half_periods.is_multiple_of(2) { fault.magnitude } else { 0.0 }
    }
}
