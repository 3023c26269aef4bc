//! Sticky keys: a key that the new build has answered goes to no earlier build until the new one is rolled
//! back.

use super::ProxyRun;
use crate::run::{ReleaseNotice, Run};
use crate::{AttemptOutcome, CheckReport, FinalResponse, Phase, Rule};
use std::collections::BTreeMap;

/// A build's good response to a request with a key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct KeyAnswer {
    at: u64,
    key: u64,
    build: u16,
}

/// Checks every attempt with a key.
pub(super) fn check(proxy_run: &ProxyRun<'_>, report: &mut CheckReport) {
    let answers = answers_by_key(proxy_run);
    for attempt in proxy_run.attempts.iter().filter(|attempt| attempt.arrival.key != 0) {
        let Some(newest) = settled_newest(proxy_run, attempt.at) else { continue };
        if attempt.arrival.build >= newest.build {
            continue;
        }
        let of_key = answers.get(&attempt.arrival.key).into_iter().flatten();
        if of_key.into_iter().any(|answer| binds(proxy_run, answer, &newest, attempt.at)) {
            let proxy = proxy_run.proxy;
            let id = attempt.arrival.request;
            let build = attempt.arrival.build;
            let description =
                format!("proxy {proxy}: request {id} at build {build}, its key was answered by a newer one");
            report.add_violation(Rule::Exposure, attempt.at, description);
        }
    }
}

/// By key: the answers that clients got through this proxy, in the order of time.
fn answers_by_key(proxy_run: &ProxyRun<'_>) -> BTreeMap<u64, Vec<KeyAnswer>> {
    let last_attempts = last_attempts(proxy_run);
    let mut answers: Vec<KeyAnswer> = Vec::new();
    for attempt in &proxy_run.attempts {
        let arrival = attempt.arrival;
        if arrival.key == 0 || !client_was_served(proxy_run.run, arrival.request) {
            continue;
        }
        let Some(end) = attempt.end.filter(|end| end.value == AttemptOutcome::Ok) else { continue };
        // An answer that crossed the proxy's cancel reached no client and binds no key: the proxy went on
        // with another attempt, which it would not have done, had it got the answer.
        let crossed_cancel = last_attempts.get(&arrival.request).is_some_and(|last| *last > end.at);
        if !crossed_cancel {
            answers.push(KeyAnswer { at: end.at, key: arrival.key, build: arrival.build });
        }
    }
    answers.sort_unstable();
    let mut by_key: BTreeMap<u64, Vec<KeyAnswer>> = BTreeMap::new();
    for answer in answers {
        by_key.entry(answer.key).or_default().push(answer);
    }
    by_key
}

/// By request: when the proxy's last attempt for it arrived.
fn last_attempts(proxy_run: &ProxyRun<'_>) -> BTreeMap<u64, u64> {
    let mut last: BTreeMap<u64, u64> = BTreeMap::new();
    for attempt in &proxy_run.attempts {
        let at = last.entry(attempt.arrival.request).or_default();
        *at = attempt.at.max(*at);
    }
    last
}

/// Whether a client got a server's response to its request: one that came too late bound no key.
fn client_was_served(run: &Run<'_>, request: u64) -> bool {
    let history = run.requests.get(&request);
    history.is_some_and(|h| h.responses.iter().any(|r| r.value == FinalResponse::Served))
}

/// The newest build that the proxy knew of at a moment, if it was live and nothing had changed within the
/// slack.
fn settled_newest(proxy_run: &ProxyRun<'_>, at: u64) -> Option<ReleaseNotice> {
    let newest = proxy_run.last_notice(at).filter(is_live)?;
    let before = proxy_run.last_notice(at.saturating_sub(proxy_run.rules.observation_slack))?;
    let unchanged = before.build == newest.build && before.phase == newest.phase;
    unchanged.then_some(newest)
}

fn is_live(notice: &ReleaseNotice) -> bool {
    matches!(notice.phase, Phase::Trial | Phase::Released)
}

/// Whether an answer keeps its key from builds before the newest at a moment.
fn binds(proxy_run: &ProxyRun<'_>, answer: &KeyAnswer, newest: &ReleaseNotice, at: u64) -> bool {
    let incarnation_start = proxy_run.run.incarnation_start(proxy_run.proxy, at);
    // The client left or the answer was not passed on in the moment before: within the slack.
    answer.build == newest.build
        && answer.at >= incarnation_start
        && answer.at + proxy_run.rules.observation_slack < at
        && was_live(proxy_run.notices, answer)
}

/// Whether a build was live by the release status when it answered.
fn was_live(notices: &[ReleaseNotice], answer: &KeyAnswer) -> bool {
    let before = notices.partition_point(|notice| notice.at <= answer.at);
    notices[..before].last().is_some_and(|notice| notice.build == answer.build && is_live(notice))
}
