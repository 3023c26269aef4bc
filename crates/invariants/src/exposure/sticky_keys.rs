//! Sticky keys: a key that the new build has answered is not sent to an earlier build until the new build is
//! rolled back.

use super::ProxyRun;
use crate::run::{ReleaseNotice, Run};
use crate::{AttemptOutcome, CheckReport, FinalResponse, Phase, Rule};
use std::collections::BTreeMap;

/// A build's successful response to a request with a key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct KeyAnswer {
    at: u64,
    key: u64,
    build: u16,
}

/// Checks that no attempt with a key went to a build older than the one that had answered the key.
pub(super) fn check(proxy_run: &ProxyRun<'_>, report: &mut CheckReport) {
    let answers = answers_by_key(proxy_run);
    for attempt in proxy_run.attempts.iter().filter(|attempt| attempt.arrival.key != 0) {
        let Some(newest) = settled_newest(proxy_run, attempt.at) else { continue };
        if attempt.arrival.build >= newest.build {
            continue;
        }
        let key_answers = answers.get(&attempt.arrival.key).into_iter().flatten();
        if key_answers.into_iter().any(|answer| binds(proxy_run, answer, &newest, attempt.at)) {
            let proxy = proxy_run.proxy;
            let id = attempt.arrival.request;
            let build = attempt.arrival.build;
            let description = format!(
                "proxy {proxy}: request {id} was sent to build {build}, \
                 but its key was answered by a newer one"
            );
            report.add_violation(Rule::Exposure, attempt.at, description);
        }
    }
}

/// Returns, by key, the answers that clients received through this proxy, in the order of time.
fn answers_by_key(proxy_run: &ProxyRun<'_>) -> BTreeMap<u64, Vec<KeyAnswer>> {
    let last_attempts = last_attempts(proxy_run);
    let mut answers: Vec<KeyAnswer> = Vec::new();
    for attempt in &proxy_run.attempts {
        let arrival = attempt.arrival;
        if arrival.key == 0 || !client_was_served(proxy_run.run, arrival.request) {
            continue;
        }
        let Some(end) = attempt.end.filter(|end| end.value == AttemptOutcome::Ok) else { continue };
        // A later attempt for the same request shows that the proxy did not receive this answer: the answer
        // crossed the proxy's cancellation. It reached no client, so it does not bind the key.
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

/// Returns, by request, the arrival time of the proxy's last attempt.
fn last_attempts(proxy_run: &ProxyRun<'_>) -> BTreeMap<u64, u64> {
    let mut last: BTreeMap<u64, u64> = BTreeMap::new();
    for attempt in &proxy_run.attempts {
        let at = last.entry(attempt.arrival.request).or_default();
        *at = attempt.at.max(*at);
    }
    last
}

/// Whether the client received a server's response to its request. A response that arrived too late for the
/// client does not bind a key.
fn client_was_served(run: &Run<'_>, request: u64) -> bool {
    let history = run.requests.get(&request);
    history.is_some_and(|h| h.responses.iter().any(|r| r.value == FinalResponse::Served))
}

/// Returns the status of the newest build that the proxy knew at `at`, if the build was live and neither
/// build nor phase had changed within the observation slack.
fn settled_newest(proxy_run: &ProxyRun<'_>, at: u64) -> Option<ReleaseNotice> {
    let newest = proxy_run.last_notice(at).filter(is_live)?;
    let before = proxy_run.last_notice(at.saturating_sub(proxy_run.rules.observation_slack))?;
    let unchanged = before.build == newest.build && before.phase == newest.phase;
    unchanged.then_some(newest)
}

/// Whether a build takes traffic: it is on trial or released.
fn is_live(notice: &ReleaseNotice) -> bool {
    matches!(notice.phase, Phase::Trial | Phase::Released)
}

/// Whether an answer forbids sending its key to builds older than the newest one at `at`.
fn binds(proxy_run: &ProxyRun<'_>, answer: &KeyAnswer, newest: &ReleaseNotice, at: u64) -> bool {
    let incarnation_start = proxy_run.run.incarnation_start(proxy_run.proxy, at);
    // An answer within the observation slack does not bind: the client may have left before it, or the proxy
    // may not have passed it on yet.
    answer.build == newest.build
        && answer.at >= incarnation_start
        && answer.at + proxy_run.rules.observation_slack < at
        && was_live(proxy_run.notices, answer)
}

/// Whether the build that answered was live at that time according to the proxy's release status.
fn was_live(notices: &[ReleaseNotice], answer: &KeyAnswer) -> bool {
    let received_count = notices.partition_point(|notice| notice.at <= answer.at);
    notices[..received_count].last().is_some_and(|notice| notice.build == answer.build && is_live(notice))
}
