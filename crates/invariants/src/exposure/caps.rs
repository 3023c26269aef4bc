//! Exposure caps: only a limited share of the requests that a proxy received in a window may be sent to a
//! build on trial.

use super::ProxyRun;
use crate::run::{Attempt, Timed};
use crate::{CheckReport, Rule};
use std::collections::{BTreeMap, VecDeque};

/// Tolerance for rounding errors in products of floating-point shares.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// The times of the attempts within the current window, by build and class. All classes are counted under
/// class 0 unless exposure is counted per class.
type Windows = BTreeMap<(u16, usize), VecDeque<u64>>;

/// Checks that no attempt to a build on trial exceeded the build's exposure cap.
pub(super) fn check(proxy_run: &ProxyRun<'_>, report: &mut CheckReport) {
    let mut windows = Windows::new();
    for attempt in &proxy_run.attempts {
        let build = attempt.arrival.build;
        let Some(trial) = proxy_run.trial_stage(build, attempt.at) else { continue };
        report.count_examined(Rule::Exposure);
        let cap = binding_cap(proxy_run, build, attempt.at, trial.cap);
        let count = count_attempts(proxy_run, &mut windows, attempt);
        let requests = count_requests(proxy_run, attempt) as f64;
        let allowed = if cap == 0.0 { 0.0 } else { proxy_run.rules.exposure_slack + cap * requests };
        if count as f64 > allowed + ROUNDING_TOLERANCE {
            let proxy = proxy_run.proxy;
            let description = format!(
                "proxy {proxy}: {count} attempts at build {build} on trial, \
                 {allowed:.1} allowed (cap {cap} of {requests} requests)"
            );
            report.add_violation(Rule::Exposure, attempt.at, description);
        }
    }
}

/// Returns how long a proxy may still use the previous cap after receiving a lower one.
fn lowering_grace(proxy_run: &ProxyRun<'_>) -> u64 {
    proxy_run.rules.drain_grace + proxy_run.rules.observation_slack
}

/// Returns the highest cap that the proxy may use at `at`: the highest of the cap that it received last and
/// those that were in force at some time within the grace.
fn binding_cap(proxy_run: &ProxyRun<'_>, build: u16, at: u64, last_cap: f64) -> f64 {
    let within_grace = |moment: u64| moment <= at && moment + lowering_grace(proxy_run) >= at;
    let notices = proxy_run.notices;
    let recent = notices.iter().filter(|notice| within_grace(notice.at) && notice.build == build);
    let changes = notices.windows(2);
    let replaced =
        changes.filter(|change| within_grace(change[1].at) && change[0].build == build).map(|c| &c[0]);
    recent.chain(replaced).map(|notice| notice.cap).fold(last_cap, f64::max)
}

/// Returns when the count of attempts last restarted because a lowered cap became binding.
fn recount_from(proxy_run: &ProxyRun<'_>, build: u16, at: u64) -> u64 {
    let lowered = proxy_run.notices.windows(2).filter(|change| {
        change[0].build == build && change[1].build == build && change[1].cap < change[0].cap
    });
    let binding_from = lowered.map(|change| change[1].at + lowering_grace(proxy_run));
    binding_from.filter(|from| *from <= at).max().unwrap_or(0)
}

/// Counts the attempts to the build in the window that ends with this attempt, including it.
fn count_attempts(proxy_run: &ProxyRun<'_>, windows: &mut Windows, attempt: &Attempt<'_>) -> usize {
    let rules = proxy_run.rules;
    let at = attempt.at;
    let build = attempt.arrival.build;
    let class = if rules.exposure_per_class { attempt.arrival.class } else { 0 };
    let window = windows.entry((build, class)).or_default();
    window.push_back(at);
    let window_start = (at + rules.observation_slack).saturating_sub(rules.exposure_window);
    let counted_from = window_start.max(recount_from(proxy_run, build, at));
    while window.front().is_some_and(|sent| *sent < counted_from) {
        window.pop_front();
    }
    let incarnation_start = proxy_run.run.incarnation_start(proxy_run.proxy, at);
    window.iter().filter(|sent| **sent >= incarnation_start).count()
}

/// Counts the requests that the proxy received in the window that ends with this attempt.
fn count_requests(proxy_run: &ProxyRun<'_>, attempt: &Attempt<'_>) -> usize {
    let rules = proxy_run.rules;
    let window_start = attempt.at.saturating_sub(rules.exposure_window + rules.observation_slack);
    let received: &[Timed<usize>] =
        proxy_run.run.received_classes.get(&proxy_run.proxy).map_or(&[], Vec::as_slice);
    let first = received.partition_point(|request| request.at < window_start);
    let in_window = received[first..].iter().take_while(|request| request.at <= attempt.at);
    let counts = |class: usize| !rules.exposure_per_class || class == attempt.arrival.class;
    in_window.filter(|request| counts(request.value)).count()
}
