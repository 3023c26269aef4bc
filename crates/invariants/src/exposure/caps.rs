//! Exposure caps: of the requests that a proxy got within a window, only a share may go to a build on trial.

use super::ProxyRun;
use crate::run::{Attempt, Timed};
use crate::{CheckReport, Rule};
use std::collections::{BTreeMap, VecDeque};

/// What products of floating-point shares may be off.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Attempts within the present window, by build and, where each class counts by itself, by class.
type Windows = BTreeMap<(u16, usize), VecDeque<u64>>;

/// Checks every attempt at a build on trial.
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
                 {allowed:.1} allowed (cap {cap} of {requests})"
            );
            report.add_violation(Rule::Exposure, attempt.at, description);
        }
    }
}

/// How long a lowered cap does not bind yet.
fn lowering_grace(proxy_run: &ProxyRun<'_>) -> u64 {
    proxy_run.rules.drain_grace + proxy_run.rules.observation_slack
}

/// The highest cap that may still count at a moment: the one that the proxy got last, and those that were in
/// force within the grace.
fn binding_cap(proxy_run: &ProxyRun<'_>, build: u16, at: u64, last_cap: f64) -> f64 {
    let within_grace = |moment: u64| moment <= at && moment + lowering_grace(proxy_run) >= at;
    let notices = proxy_run.notices;
    let recent = notices.iter().filter(|notice| within_grace(notice.at) && notice.build == build);
    let changes = notices.windows(2);
    let replaced =
        changes.filter(|change| within_grace(change[1].at) && change[0].build == build).map(|c| &c[0]);
    recent.chain(replaced).map(|notice| notice.cap).fold(last_cap, f64::max)
}

/// From when attempts are counted anew because a lowered cap has come to bind.
fn recount_from(proxy_run: &ProxyRun<'_>, build: u16, at: u64) -> u64 {
    let lowered = proxy_run.notices.windows(2).filter(|change| {
        change[0].build == build && change[1].build == build && change[1].cap < change[0].cap
    });
    let binding_from = lowered.map(|change| change[1].at + lowering_grace(proxy_run));
    binding_from.filter(|from| *from <= at).max().unwrap_or(0)
}

/// The attempts at a build within the window that ends with this one.
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

/// The requests that the proxy got within the window that ends with an attempt.
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
