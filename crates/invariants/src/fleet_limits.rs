//! Fleet-wide limits on retries: the attempts beyond each request's first, per class, in any span of time.
//! Each proxy enforces only its own share of such a limit; this check shows that the shares together never
//! exceed the total.

use crate::run::Run;
use crate::{CheckReport, FleetLimit, Rules};

/// Tolerance for rounding errors in sums of floating-point shares.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Checks each class that has a fleet-wide limit.
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

/// Returns the arrival times of a class's attempts beyond each request's first, in ascending order.
fn retry_times(run: &Run<'_>, class: usize) -> Vec<u64> {
    let retries = run.requests.values().flat_map(|request| request.attempts.iter().skip(1));
    let retries = retries.map(|&index| &run.attempts[index]);
    let mut times: Vec<u64> =
        retries.filter(|attempt| attempt.arrival.class == class).map(|attempt| attempt.at).collect();
    times.sort_unstable();
    times
}

/// Runs the attempts through a token bucket: a span of any length may contain the rate times that length,
/// plus one burst.
fn check_class(rules: &Rules, class: usize, rate_per_second: f64, times: &[u64]) -> FleetLimit {
    // The observation slack enlarges the burst, because attempts that were sent within the limit may have
    // been observed closer together.
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
