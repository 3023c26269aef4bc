//! When a scenario's faults hit the processes of a run: proxies and the release controller.

use violetseam_simulated_site::day::{Day, Kind, Trouble};

/// The shortest time for which a crashed controller is down, in seconds.
const MIN_CONTROLLER_DOWNTIME: f64 = 0.05;
/// The shortest time for which each batch of a rolling restart is down, in seconds.
const MIN_RESTART_DOWNTIME: f64 = 0.2;
/// A zone fault of a larger size hits the zone's proxies too, not only its servers.
const ZONE_FAULT_SPARING_PROXIES: f64 = 0.5;

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
pub(crate) fn fault_timeline(day: &Day) -> Vec<TimedFault> {
    let mut timeline = Vec::new();
    for downtime in merge_downtimes(downtimes(day)) {
        timeline.push(TimedFault { at: downtime.from, fault: ProcessFault::KillProxy(downtime.proxy) });
        timeline.push(TimedFault { at: downtime.to, fault: ProcessFault::StartProxy(downtime.proxy) });
    }
    for trouble in &day.troubles {
        match trouble.kind {
            Kind::ProxyTakeover => add_takeovers(&mut timeline, day, trouble),
            Kind::ProxyStall => add_suspensions(&mut timeline, day, trouble),
            Kind::ProxyTwin => add_duplicates(&mut timeline, day, trouble),
            Kind::ControllerCrash => add_controller_crashes(&mut timeline, trouble),
            _ => {}
        }
    }
    timeline.sort_unstable();
    timeline
}

/// The proxies that a fault names and that the scenario has.
fn affected_proxies<'a>(day: &'a Day, trouble: &'a Trouble) -> impl Iterator<Item = usize> + 'a {
    trouble.on.iter().copied().filter(|&proxy| proxy < day.proxies.len())
}

fn downtimes(day: &Day) -> Vec<Downtime> {
    let mut downtimes = Vec::new();
    for trouble in &day.troubles {
        let from = trouble.at;
        let to = trouble.at + trouble.len;
        match trouble.kind {
            Kind::ProxyCrash => {
                let proxies = affected_proxies(day, trouble);
                downtimes.extend(proxies.map(|proxy| Downtime { proxy, from, to }));
            }
            Kind::ProxyRoll => downtimes.extend(rolling_restart(trouble)),
            Kind::ZoneLoss if trouble.size > ZONE_FAULT_SPARING_PROXIES => {
                let proxies = day.proxies.iter().enumerate();
                let in_zone = proxies.filter(|(_, proxy)| usize::from(proxy.zone) == trouble.which);
                downtimes.extend(in_zone.map(|(proxy, _)| Downtime { proxy, from, to }));
            }
            _ => {}
        }
    }
    downtimes.retain(|downtime| downtime.proxy < day.proxies.len());
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

/// One batch after another, each down for `extra` seconds.
fn rolling_restart(trouble: &Trouble) -> Vec<Downtime> {
    let batch_size = trouble.size.max(1.0) as usize;
    let batches = trouble.on.len().div_ceil(batch_size).max(1) as u64;
    let down = seconds_to_micros(trouble.extra.max(MIN_RESTART_DOWNTIME));
    let interval = trouble.len / batches;
    let mut downtimes = Vec::new();
    for (index, batch) in trouble.on.chunks(batch_size).enumerate() {
        let from = trouble.at + index as u64 * interval;
        downtimes.extend(batch.iter().map(|&proxy| Downtime { proxy, from, to: from + down }));
    }
    downtimes
}

/// `size` moments, evenly over the fault's span.
fn repetitions(trouble: &Trouble) -> impl Iterator<Item = u64> {
    let count = trouble.size.max(1.0) as u64;
    let (start, length) = (trouble.at, trouble.len);
    (0..count).map(move |index| start + index * length / count)
}

fn add_takeovers(timeline: &mut Vec<TimedFault>, day: &Day, trouble: &Trouble) {
    for at in repetitions(trouble) {
        let faults = affected_proxies(day, trouble).map(ProcessFault::TakeOverProxy);
        timeline.extend(faults.map(|fault| TimedFault { at, fault }));
    }
}

/// Suspensions of `size` milliseconds, one every `extra` seconds or a single one.
fn add_suspensions(timeline: &mut Vec<TimedFault>, day: &Day, trouble: &Trouble) {
    let span = (trouble.size * 1e3) as u64;
    let interval = if trouble.extra > 0.0 { seconds_to_micros(trouble.extra) } else { trouble.len };
    let interval = interval.max(span + 1) as usize;
    for at in (trouble.at..trouble.at + trouble.len).step_by(interval) {
        for proxy in affected_proxies(day, trouble) {
            timeline.push(TimedFault { at, fault: ProcessFault::SuspendProxy(proxy) });
            timeline.push(TimedFault { at: at + span, fault: ProcessFault::ResumeProxy(proxy) });
        }
    }
}

fn add_duplicates(timeline: &mut Vec<TimedFault>, day: &Day, trouble: &Trouble) {
    let faults = affected_proxies(day, trouble).map(ProcessFault::DuplicateProxy);
    timeline.extend(faults.map(|fault| TimedFault { at: trouble.at, fault }));
}

/// Crashes of `extra` seconds each.
fn add_controller_crashes(timeline: &mut Vec<TimedFault>, trouble: &Trouble) {
    let down = seconds_to_micros(trouble.extra.max(MIN_CONTROLLER_DOWNTIME));
    for at in repetitions(trouble) {
        timeline.push(TimedFault { at, fault: ProcessFault::KillController });
        timeline.push(TimedFault { at: at + down, fault: ProcessFault::StartController });
    }
}

fn seconds_to_micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}
