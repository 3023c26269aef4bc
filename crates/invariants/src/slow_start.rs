//! Rule 4: the proxies together do not overload a server during its slow start. In any span of the configured
//! length, the work sent to the server stays below a multiple of the work that it can do in that span. An
//! overload is a violation only if at least two thirds of the work came from proxies that had been informed
//! of the server's start.

use crate::run::{Run, Timed};
use crate::{CheckReport, Rule, Rules, ServerStart};

/// Tolerance for random variation, as a share of the allowed work.
const CHANCE_TOLERANCE: f64 = 0.05;

/// Work that arrived at a server during its slow start.
struct SentWork {
    at: u64,
    work: f64,
    /// Whether the sending proxy had been informed of this start.
    sender_informed: bool,
}

/// Checks the slow start after every start of every server.
pub(crate) fn check(rules: &Rules, run: &Run<'_>, report: &mut CheckReport) {
    for (&server, starts) in &run.server_starts {
        for (index, start) in starts.iter().enumerate() {
            let next_start = starts.get(index + 1).map_or(u64::MAX, |next| next.at);
            let sent = work_sent(rules, run, server, start, next_start);
            if sent.is_empty() {
                continue;
            }
            report.count_examined(Rule::SlowStart);
            if let Some(overload) = first_overload(rules, start, &sent) {
                let times = overload.times_capacity;
                let description =
                    format!("cold server {server} was sent {times:.1} times the work that it can do");
                report.add_violation(Rule::SlowStart, overload.at, description);
            }
        }
    }
}

/// Returns the work that arrived at a server during the slow start that follows `start`.
fn work_sent(
    rules: &Rules,
    run: &Run<'_>,
    server: u64,
    start: &Timed<ServerStart>,
    next_start: u64,
) -> Vec<SentWork> {
    let until = (start.at + start.value.slow_start_span).min(next_start);
    let attempts = run
        .attempts
        .iter()
        .filter(|attempt| attempt.arrival.server == server && attempt.at >= start.at && attempt.at < until);
    let sent = attempts.map(|attempt| SentWork {
        at: attempt.at,
        work: attempt.arrival.work as f64,
        sender_informed: was_informed(rules, run, attempt.arrival.proxy, server, start.at, attempt.at),
    });
    sent.collect()
}

/// A span in which a server received more work than is allowed.
struct Overload {
    at: u64,
    times_capacity: f64,
}

/// Returns the first span with more work than is allowed, most of it from informed proxies.
fn first_overload(rules: &Rules, start: &Timed<ServerStart>, sent: &[SentWork]) -> Option<Overload> {
    let mut first = 0;
    for last in 0..sent.len() {
        let end = sent[last].at;
        while sent[first].at + rules.overload_span < end {
            first += 1;
        }
        let allowed = allowed_work(rules, start, end);
        let span = &sent[first..=last];
        let work: f64 = span.iter().map(|s| s.work).sum();
        let informed_work: f64 = span.iter().filter(|s| s.sender_informed).map(|s| s.work).sum();
        if work > allowed && informed_work * 3.0 >= work * 2.0 {
            let times_capacity = work / allowed * (1.0 + CHANCE_TOLERANCE) * rules.overload_multiple;
            return Some(Overload { at: end, times_capacity });
        }
    }
    None
}

/// Returns the work that a server may be sent in the span that ends at `end`.
fn allowed_work(rules: &Rules, start: &Timed<ServerStart>, end: u64) -> f64 {
    // The span may begin before the server's start, when the server can do nothing. The mean of the capacity
    // covers only the time since the start, and the work is allowed for the full length of the span.
    let from = end.saturating_sub(rules.overload_span).max(start.at);
    let mean_warm_fraction = (warm_fraction(start, from) + warm_fraction(start, end)) / 2.0;
    let span_seconds = rules.overload_span as f64 / 1e6;
    let capacity = start.value.capacity;
    rules.overload_multiple * mean_warm_fraction * capacity * span_seconds * (1.0 + CHANCE_TOLERANCE)
}

/// Returns the share of its capacity that a server has at a time after its start.
fn warm_fraction(start: &Timed<ServerStart>, at: u64) -> f64 {
    let floor = start.value.slow_start_floor;
    let age = at.saturating_sub(start.at) as f64 / start.value.slow_start_span.max(1) as f64;
    (floor + (1.0 - floor) * age).min(1.0)
}

/// Whether a proxy that sent an attempt at `at` had been informed of the server's start by then.
fn was_informed(rules: &Rules, run: &Run<'_>, proxy: u32, server: u64, start: u64, at: u64) -> bool {
    let mut notices = run.server_notices_until(proxy, server, at);
    notices.any(|notice| notice.started.is_some_and(|s| s + rules.observation_slack >= start))
}
