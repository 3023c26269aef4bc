//! Schedules the faults of a scenario that are injected into processes: the proxies and the release
//! controller.

use violetseam_simulated_site::scenario::{Fault, FaultKind, Scenario};

/// Minimum downtime of a crashed controller, in seconds.
const MIN_CONTROLLER_DOWNTIME: f64 = 0.05;
/// Minimum downtime of each batch of a rolling restart, in seconds.
const MIN_RESTART_DOWNTIME: f64 = 0.2;
/// A zone outage above this magnitude affects the proxies of the zone as well as its servers.
const MAX_SERVERS_ONLY_MAGNITUDE: f64 = 0.5;

/// A fault that is injected into a process; proxies are identified by position. Faults that are due at the
/// same time are injected in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ProcessFault {
    /// The proxy is killed.
    KillProxy(usize),
    /// A killed proxy is started again.
    StartProxy(usize),
    /// The proxy's process is suspended.
    SuspendProxy(usize),
    /// A suspended proxy continues.
    ResumeProxy(usize),
    /// A second process is started under the proxy's identity.
    DuplicateProxy(usize),
    /// A new process takes over from the proxy's process.
    TakeOverProxy(usize),
    /// The controller is killed.
    KillController,
    /// A killed controller is started again.
    StartController,
}

/// A fault and the time at which it is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TimedFault {
    /// When the fault is due, in microseconds.
    pub at: u64,
    /// The fault to inject.
    pub fault: ProcessFault,
}

/// The interval in which a proxy is down, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Downtime {
    proxy: usize,
    from: u64,
    to: u64,
}

/// Returns the process faults of a scenario in the order in which they are due.
pub(crate) fn fault_timeline(scenario: &Scenario) -> Vec<TimedFault> {
    let mut timeline = Vec::new();
    for downtime in merge_downtimes(downtimes(scenario)) {
        timeline.push(TimedFault { at: downtime.from, fault: ProcessFault::KillProxy(downtime.proxy) });
        timeline.push(TimedFault { at: downtime.to, fault: ProcessFault::StartProxy(downtime.proxy) });
    }
    for fault in &scenario.faults {
        match fault.kind {
            FaultKind::ProxyTakeover => add_takeovers(&mut timeline, scenario, fault),
            FaultKind::ProxyPause => add_suspensions(&mut timeline, scenario, fault),
            FaultKind::DuplicateProxy => add_duplicates(&mut timeline, scenario, fault),
            FaultKind::ControllerCrash => add_controller_crashes(&mut timeline, fault),
            _ => {}
        }
    }
    timeline.sort_unstable();
    timeline
}

/// Returns the targets of a fault that are proxies of the scenario.
fn affected_proxies<'a>(scenario: &'a Scenario, fault: &'a Fault) -> impl Iterator<Item = usize> + 'a {
    fault.targets.iter().copied().filter(|&proxy| proxy < scenario.proxies.len())
}

fn downtimes(scenario: &Scenario) -> Vec<Downtime> {
    let mut downtimes = Vec::new();
    for fault in &scenario.faults {
        let from = fault.at;
        let to = fault.at + fault.duration;
        match fault.kind {
            FaultKind::ProxyCrash => {
                let proxies = affected_proxies(scenario, fault);
                downtimes.extend(proxies.map(|proxy| Downtime { proxy, from, to }));
            }
            FaultKind::ProxyRollingRestart => downtimes.extend(rolling_restart(fault)),
            FaultKind::ZoneOutage if fault.magnitude > MAX_SERVERS_ONLY_MAGNITUDE => {
                let proxies = scenario.proxies.iter().enumerate();
                let in_zone = proxies.filter(|(_, proxy)| usize::from(proxy.zone) == fault.selector);
                downtimes.extend(in_zone.map(|(proxy, _)| Downtime { proxy, from, to }));
            }
            _ => {}
        }
    }
    downtimes.retain(|downtime| downtime.proxy < scenario.proxies.len());
    downtimes
}

/// Merges overlapping downtimes: a proxy that two faults affect at once stays down until the later end.
fn merge_downtimes(mut downtimes: Vec<Downtime>) -> Vec<Downtime> {
    downtimes.sort_unstable();
    let mut merged: Vec<Downtime> = Vec::new();
    for downtime in downtimes {
        match merged.last_mut() {
            Some(last) if last.proxy == downtime.proxy && downtime.from <= last.to => {
                last.to = last.to.max(downtime.to);
            }
            _ => merged.push(downtime),
        }
    }
    merged
}

/// Returns the downtimes of a rolling restart: one batch after another, each down for `parameter` seconds.
fn rolling_restart(fault: &Fault) -> Vec<Downtime> {
    let batch_size = fault.magnitude.max(1.0) as usize;
    let batches = fault.targets.len().div_ceil(batch_size).max(1) as u64;
    let downtime = seconds_to_micros(fault.parameter.max(MIN_RESTART_DOWNTIME));
    let interval = fault.duration / batches;
    let mut downtimes = Vec::new();
    for (index, batch) in fault.targets.chunks(batch_size).enumerate() {
        let from = fault.at + index as u64 * interval;
        downtimes.extend(batch.iter().map(|&proxy| Downtime { proxy, from, to: from + downtime }));
    }
    downtimes
}

/// Returns `magnitude` points in time, spaced evenly over the duration of the fault.
fn repetitions(fault: &Fault) -> impl Iterator<Item = u64> {
    let count = fault.magnitude.max(1.0) as u64;
    let (start, length) = (fault.at, fault.duration);
    (0..count).map(move |index| start + index * length / count)
}

fn add_takeovers(timeline: &mut Vec<TimedFault>, scenario: &Scenario, fault: &Fault) {
    for at in repetitions(fault) {
        for proxy in affected_proxies(scenario, fault) {
            timeline.push(TimedFault { at, fault: ProcessFault::TakeOverProxy(proxy) });
        }
    }
}

/// Adds suspensions of `magnitude` milliseconds: one every `parameter` seconds, or a single one if
/// `parameter` is 0.
fn add_suspensions(timeline: &mut Vec<TimedFault>, scenario: &Scenario, fault: &Fault) {
    let span = (fault.magnitude * 1e3) as u64;
    let interval = if fault.parameter > 0.0 { seconds_to_micros(fault.parameter) } else { fault.duration };
    let interval = interval.max(span + 1) as usize;
    for at in (fault.at..fault.at + fault.duration).step_by(interval) {
        for proxy in affected_proxies(scenario, fault) {
            timeline.push(TimedFault { at, fault: ProcessFault::SuspendProxy(proxy) });
            timeline.push(TimedFault { at: at + span, fault: ProcessFault::ResumeProxy(proxy) });
        }
    }
}

fn add_duplicates(timeline: &mut Vec<TimedFault>, scenario: &Scenario, fault: &Fault) {
    for proxy in affected_proxies(scenario, fault) {
        timeline.push(TimedFault { at: fault.at, fault: ProcessFault::DuplicateProxy(proxy) });
    }
}

/// Adds controller crashes with a downtime of `parameter` seconds each.
fn add_controller_crashes(timeline: &mut Vec<TimedFault>, fault: &Fault) {
    let downtime = seconds_to_micros(fault.parameter.max(MIN_CONTROLLER_DOWNTIME));
    for at in repetitions(fault) {
        timeline.push(TimedFault { at, fault: ProcessFault::KillController });
        timeline.push(TimedFault { at: at + downtime, fault: ProcessFault::StartController });
    }
}

fn seconds_to_micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}
