//! When a scenario's faults hit the processes of a run: proxies and the release controller.

use violetseam_simulated_site::scenario::{Fault, FaultKind, Scenario};

/// The shortest time for which a crashed controller is down, in seconds.
const MIN_CONTROLLER_DOWNTIME: f64 = 0.05;
/// The shortest time for which each batch of a rolling restart is down, in seconds.
const MIN_RESTART_DOWNTIME: f64 = 0.2;
/// A zone outage of a larger magnitude hits the zone's proxies too, not only its servers.
const MAX_MAGNITUDE_SPARING_PROXIES: f64 = 0.5;

/// What is done to a process; proxies are named by position. Of faults due at once, those of an earlier
/// variant are injected first.
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
    /// A new process takes over from the proxy's.
    TakeOverProxy(usize),
    /// The controller is killed.
    KillController,
    /// A killed controller is started again.
    StartController,
}

/// A fault and when it is due, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TimedFault {
    /// When it is due.
    pub at: u64,
    /// What is done.
    pub fault: ProcessFault,
}

/// A span in which a proxy is down, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Downtime {
    proxy: usize,
    from: u64,
    to: u64,
}

/// The faults of a scenario's processes in the order in which they are due.
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

/// The proxies that a fault names and that the scenario has.
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
            FaultKind::ZoneOutage if fault.magnitude > MAX_MAGNITUDE_SPARING_PROXIES => {
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

/// A proxy that two faults hit at once stays down until the later of their ends.
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

/// One batch after another, each down for `parameter` seconds.
fn rolling_restart(fault: &Fault) -> Vec<Downtime> {
    let batch_size = fault.magnitude.max(1.0) as usize;
    let batches = fault.targets.len().div_ceil(batch_size).max(1) as u64;
    let down = seconds_to_micros(fault.parameter.max(MIN_RESTART_DOWNTIME));
    let interval = fault.duration / batches;
    let mut downtimes = Vec::new();
    for (index, batch) in fault.targets.chunks(batch_size).enumerate() {
        let from = fault.at + index as u64 * interval;
        downtimes.extend(batch.iter().map(|&proxy| Downtime { proxy, from, to: from + down }));
    }
    downtimes
}

/// `magnitude` moments, evenly over the fault's span.
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

/// Suspensions of `magnitude` milliseconds, one every `parameter` seconds or a single one.
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

/// Crashes of `parameter` seconds each.
fn add_controller_crashes(timeline: &mut Vec<TimedFault>, fault: &Fault) {
    let down = seconds_to_micros(fault.parameter.max(MIN_CONTROLLER_DOWNTIME));
    for at in repetitions(fault) {
        timeline.push(TimedFault { at, fault: ProcessFault::KillController });
        timeline.push(TimedFault { at: at + down, fault: ProcessFault::StartController });
    }
}

fn seconds_to_micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}
