//! The invariants of the soak test, checked after its end on what clients, servers and discovery recorded.

use super::clients::{Class, Outcome, Replay, RequestRecord};
use super::discovery::OutOfService;
use super::servers::Arrival;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The settings of the soak test that bound how long a server that drains may still get requests.
#[derive(Clone, Copy)]
pub struct DrainBounds {
    pub ask_within: Duration,
    pub drain_grace: Duration,
}

/// A time at which the test acted on a process: killed it without a warning, in which case requests that it held
/// may be lost, or sent it a signal.
#[derive(Clone, Copy, Debug)]
pub struct Crash {
    pub proxy: usize,
    pub at: Instant,
}

/// A process may serve for this long after it was told to shut down.
const MAX_SHUTDOWN: Duration = Duration::from_secs(4);
/// Allowance for late threads on this machine.
const SCHEDULING_SLACK: Duration = Duration::from_millis(100);
/// Allowance between the close of a client and the last attempt that may begin.
const CLOSE_DETECTION_SLACK: Duration = Duration::from_millis(100);
/// Allowance for the deadline that an attempt states to its server beyond the time left to the client.
const STATED_DEADLINE_SLACK: Duration = Duration::from_millis(150);

/// Everything that the test recorded.
pub struct Observations {
    pub requests: Vec<RequestRecord>,
    pub replays: Vec<Replay>,
    pub arrivals: Vec<Arrival>,
    pub out_of_service: Vec<OutOfService>,
    pub crashes: Vec<Crash>,
    /// When processes were told to shut down. A new process knows nothing of the requests before it.
    pub shutdowns: Vec<Crash>,
    /// When processes were told to read their configuration again.
    pub reloads: Vec<Crash>,
}

impl Observations {
    /// Describes what was done to a process before this time, for the report.
    fn describe_process(&self, proxy: usize, at: Instant) -> String {
        let ages = |events: &[Crash]| -> Vec<Duration> {
            let events = events.iter().filter(|event| event.proxy == proxy);
            events.filter_map(|event| at.checked_duration_since(event.at)).collect()
        };
        let (crashes, shutdowns, reloads) = (ages(&self.crashes), ages(&self.shutdowns), ages(&self.reloads));
        format!("killed {crashes:?}, shut down {shutdowns:?}, reloaded {reloads:?} before")
    }
}

/// A description of each violated invariant.
pub fn check_invariants(observations: &Observations, bounds: DrainBounds) -> Vec<String> {
    let mut by_id: HashMap<&str, Vec<&Arrival>> = HashMap::new();
    for arrival in &observations.arrivals {
        by_id.entry(&arrival.id).or_default().push(arrival);
    }
    let mut violations = Vec::new();
    let replayed_at: HashMap<&str, Instant> =
        observations.replays.iter().map(|replay| (replay.id.as_str(), replay.sent)).collect();
    for request in &observations.requests {
        let mut arrivals = by_id.get(request.id.as_str()).cloned().unwrap_or_default();
        // What arrives from then on belongs to the replay, which has a check of its own.
        if let Some(replayed_at) = replayed_at.get(request.id.as_str()) {
            arrivals.retain(|arrival| arrival.at < *replayed_at);
        }
        violations.extend(check_answered(request, &arrivals, &observations.crashes));
        violations.extend(check_not_repeated(request, &arrivals));
        violations.extend(check_stated_deadline(request, &arrivals));
    }
    for replay in &observations.replays {
        let arrivals = by_id.get(replay.id.as_str()).map_or(&[][..], Vec::as_slice);
        violations.extend(check_replay(replay, arrivals, observations));
    }
    violations.extend(
        observations.arrivals.iter().filter_map(|arrival| check_drain(arrival, observations, bounds)),
    );
    violations
}

/// Each client that waits gets one final answer, in time.
fn check_answered(request: &RequestRecord, arrivals: &[&Arrival], crashes: &[Crash]) -> Option<String> {
    let crashed = crashes.iter().any(|crash| {
        crash.proxy == request.proxy
            && crash.at + SCHEDULING_SLACK >= request.sent
            && crash.at <= request.ended + SCHEDULING_SLACK
    });
    match &request.outcome {
        Outcome::WrongValue(got) => Some(format!("lost: {} got the wrong value {got}", request.id)),
        Outcome::TimedOut if !crashed => {
            Some(format!("lost: {} had no answer within its {:?}", request.id, request.wait))
        }
        Outcome::Closed if !crashed && !arrivals.is_empty() => Some(format!(
            "lost: {} was forwarded {} times and its connection closed",
            request.id,
            arrivals.len()
        )),
        Outcome::Disconnected(at) => {
            // The kernel timed the arrival, and the client took the time once it had closed its connection.
            let late = arrivals.iter().find(|arrival| arrival.at > *at + CLOSE_DETECTION_SLACK)?;
            Some(format!(
                "lost: {} was sent {:?} after its client had disconnected",
                request.id,
                late.at - *at
            ))
        }
        _ => None,
    }
}

/// A request of a class that may not be repeated runs at most once. A server that turned it away did not run
/// it.
fn check_not_repeated(request: &RequestRecord, arrivals: &[&Arrival]) -> Option<String> {
    let ran = arrivals.iter().filter(|arrival| arrival.may_have_run).count();
    (request.class == Class::Once && ran > 1).then(|| format!("duplicate: {} ran {ran} times", request.id))
}

/// A request that was sent to a server is not sent again for a client that uses its id once more, unless
/// another process has taken its place.
fn check_replay(replay: &Replay, arrivals: &[&Arrival], observations: &Observations) -> Option<String> {
    let ends = observations.crashes.iter().chain(&observations.shutdowns);
    let is_other_process = ends
        .filter(|end| end.proxy == replay.proxy)
        .any(|end| end.at + MAX_SHUTDOWN >= replay.first_sent && end.at <= replay.sent + SCHEDULING_SLACK);
    let was_sent_before = arrivals.iter().any(|arrival| arrival.at < replay.sent);
    let is_sent_again = arrivals.iter().any(|arrival| arrival.at >= replay.sent);
    (was_sent_before && is_sent_again && !is_other_process).then(|| {
        format!("duplicate: {} was sent again {:?} later", replay.id, replay.sent - replay.first_sent)
    })
}

/// The deadline that an attempt states to its server is at most the time left to the client.
fn check_stated_deadline(request: &RequestRecord, arrivals: &[&Arrival]) -> Option<String> {
    let left = |arrival: &&&Arrival| (request.sent + request.wait).saturating_duration_since(arrival.at);
    // The client's clock starts when its write returns, and a server's thread may be late.
    let over = arrivals
        .iter()
        .find(|arrival| arrival.wait > left(arrival) + STATED_DEADLINE_SLACK + SCHEDULING_SLACK)?;
    Some(format!("deadline: {} stated {:?} to a server with {:?} left", request.id, over.wait, left(&over)))
}

/// No request goes to a server that drains or has left once the drain grace has passed since the change was
/// told or counts as told.
fn check_drain(arrival: &Arrival, observations: &Observations, bounds: DrainBounds) -> Option<String> {
    let proxy: usize = arrival.id.split('-').next()?.parse().ok()?;
    let period = observations.out_of_service.iter().find(|period| {
        period.server == arrival.server
            && arrival.at >= period.since
            && period.until.is_none_or(|until| arrival.at < until)
    })?;
    let latest = period.since + bounds.ask_within;
    let told_at = period.told_at[proxy].map_or(latest, |told_at| told_at.min(latest));
    let late = arrival.at.checked_duration_since(told_at + bounds.drain_grace + SCHEDULING_SLACK)?;
    let (drains, told) =
        (arrival.at - period.since, period.told_at[proxy].map(|told_at| arrival.at - told_at));
    let process = observations.describe_process(proxy, arrival.at);
    Some(format!(
        "drain: {} went to server {} {late:?} after the drain grace: draining for {drains:?}, told {told:?} before; \
         the process was {process}",
        arrival.id, arrival.server
    ))
}
