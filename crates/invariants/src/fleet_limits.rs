//! Limits on the whole fleet: attempts beyond each request's first, by class, in any span of time. A proxy
//! keeps its own part of such a limit; that the parts never come to more than the total shows only here.

use crate::run::Run;
use crate::{CheckReport, FleetLimit, Rules};

/// What sums of floating-point shares may be off.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Checks each class that has a limit.
pub(crate) fn check(rules: &Rules, run: &Run<'_>, report: &mut CheckReport) {
    for (class, &milli_rate) in rules.fleet_retry_rates.iter().enumerate() {
        if milli_rate == 0 {
            continue;
        }
        let rate_per_second = milli_rate as f64 / 1e3;
        let times = retry_times(run, class);
        report.fleet_limits.push(check_class(rules, class, rate_per_second, &times));
    }
}

/// When the attempts of a class beyond each request's first arrived, in the order of time.
fn retry_times(run: &Run<'_>, class: usize) -> Vec<u64> {
    let retries = run.requests.values().flat_map(|request| request.attempts.iter().skip(1));
    let retries = retries.map(|&index| &run.attempts[index]);
    let mut times: Vec<u64> =
        retries.filter(|attempt| attempt.arrival.class == class).map(|attempt| attempt.at).collect();
    times.sort_unstable();
    times
}

/// Passes the attempts through a token bucket: any span may hold the rate over it and one burst.
fn check_class(rules: &Rules, class: usize, rate_per_second: f64, times: &[u64]) -> FleetLimit {
    // Attempts that left in time may have been observed within the slack.
    let burst_span = rules.fleet_retry_burst + rules.observation_slack;
    let bucket_size = rate_per_second * burst_span as f64 / 1e6;
    let mut limit = FleetLimit {
        name: format!("further attempts of class {class}"),
        rate_per_second,
        ..FleetLimit::default()
    };
    let mut used = 0.0;
    let mut previous = 0;
    for &at in times {
        used = f64::max(0.0, used - rate_per_second * (at - previous) as f64 / 1e6) + 1.0;
        previous = at;
        limit.attempts += 1;
        limit.peak_utilization = limit.peak_utilization.max(used / bucket_size);
        if used > bucket_size + ROUNDING_TOLERANCE {
            limit.exceeded += 1;
            limit.first_exceeded = limit.first_exceeded.or(Some(at));
        }
    }
    limit
}
