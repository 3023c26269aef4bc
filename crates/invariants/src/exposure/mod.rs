//! Rule 5: the exposure of a build on trial stays within its cap, the first stages admit only idempotent
//! requests, and a key that the new build has answered is not sent to an earlier build until the new build
//! is rolled back.

mod caps;
mod sticky_keys;

use crate::run::{Attempt, ReleaseNotice, Run};
use crate::{CheckReport, Idempotency, Phase, Rule, Rules};
use std::collections::BTreeMap;

/// Checks the exposure rules for each proxy.
pub(crate) fn check(rules: &Rules, run: &Run<'_>, report: &mut CheckReport) {
    let mut by_proxy: BTreeMap<u32, Vec<&Attempt<'_>>> = BTreeMap::new();
    for attempt in &run.attempts {
        by_proxy.entry(attempt.arrival.proxy).or_default().push(attempt);
    }
    for (proxy, attempts) in by_proxy {
        let notices = run.release_notices.get(&proxy).map_or(&[][..], Vec::as_slice);
        let proxy_run = ProxyRun { rules, run, proxy, notices, attempts };
        caps::check(&proxy_run, report);
        check_idempotent_only_stages(&proxy_run, report);
        if rules.sticky_to_new_build {
            sticky_keys::check(&proxy_run, report);
        }
    }
}

/// The stage and cap of a build on trial, as a proxy knows them.
#[derive(Clone, Copy)]
struct TrialStage {
    stage: u8,
    cap: f64,
}

/// The part of the run that concerns one proxy.
struct ProxyRun<'a> {
    rules: &'a Rules,
    run: &'a Run<'a>,
    proxy: u32,
    /// The release statuses that the proxy received, in the order of time.
    notices: &'a [ReleaseNotice],
    /// The proxy's attempts, in the order of time.
    attempts: Vec<&'a Attempt<'a>>,
}

impl ProxyRun<'_> {
    /// Returns the last release status that the proxy incarnation running at `at` had received by then.
    fn last_notice(&self, at: u64) -> Option<ReleaseNotice> {
        let incarnation_start = self.run.incarnation_start(self.proxy, at);
        let received_count = self.notices.partition_point(|notice| notice.at <= at);
        self.notices[..received_count].last().filter(|notice| notice.at >= incarnation_start).copied()
    }

    /// Returns the stage and cap of a build at `at` if the build was on trial as far as the proxy knew.
    fn trial_stage(&self, build: u16, at: u64) -> Option<TrialStage> {
        let notice = self.last_notice(at)?;
        if notice.build == build {
            let released = notice.phase == Phase::Released;
            return (!released).then_some(TrialStage { stage: notice.stage, cap: notice.cap });
        }
        // A build that is newer than the announced one is treated as being in its first stage.
        (build > notice.build).then_some(TrialStage { stage: 0, cap: self.rules.first_stage_cap })
    }
}

/// Checks that only idempotent requests were sent to a build in its first stages.
fn check_idempotent_only_stages(proxy_run: &ProxyRun<'_>, report: &mut CheckReport) {
    let rules = proxy_run.rules;
    for attempt in &proxy_run.attempts {
        let class = rules.classes.get(attempt.arrival.class);
        if class.is_some_and(|class| class.idempotency == Idempotency::Idempotent) {
            continue;
        }
        let build = attempt.arrival.build;
        let idempotent_only = |at| {
            let trial = proxy_run.trial_stage(build, at);
            trial.is_some_and(|trial| trial.stage < rules.idempotent_only_stages)
        };
        let earliest_send_time = attempt.at.saturating_sub(rules.observation_slack);
        if idempotent_only(attempt.at) && idempotent_only(earliest_send_time) {
            let proxy = proxy_run.proxy;
            let id = attempt.arrival.request;
            let description = format!(
                "proxy {proxy}: non-idempotent request {id} was sent to build {build} in a guarded stage"
            );
            report.add_violation(Rule::Exposure, attempt.at, description);
        }
    }
}
