//! Rule 3: proxies respect drains. No attempt arrives at a server more than the drain grace after its proxy
//! learned, or should have learned, that the server is draining or removed.

use crate::run::Run;
use crate::{CheckReport, EndpointListCall, Rule, Rules, ServerStatus};

/// The number of poll intervals that a proxy may go without a list after a failed call.
const POLL_INTERVALS_AFTER_FAILURE: u64 = 4;

/// Checks that no attempt was sent to a server that its proxy knew, or should have known, to be unavailable.
pub(crate) fn check(rules: &Rules, run: &Run<'_>, report: &mut CheckReport) {
    for attempt in &run.attempts {
        let at = attempt.at;
        let proxy = attempt.arrival.proxy;
        let server = attempt.arrival.server;
        report.count_examined(Rule::Draining);
        let unavailable_since = known_unavailable_since(run, proxy, server, at)
            .or_else(|| presumed_unavailable_since(rules, run, proxy, server, at));
        let Some(since) = unavailable_since else { continue };
        if at > since + rules.drain_grace + rules.observation_slack {
            let late_ms = (at - since) / 1_000;
            let description = format!(
                "proxy {proxy} sent to server {server} {late_ms} ms after it learned of its drain or removal"
            );
            report.add_violation(Rule::Draining, at, description);
        }
    }
}

/// Returns the time since which every status that the proxy received has said that the server takes no
/// requests.
fn known_unavailable_since(run: &Run<'_>, proxy: u32, server: u64, at: u64) -> Option<u64> {
    let mut since = None;
    for notice in run.server_notices_until(proxy, server, at) {
        since = unavailable_since(since, notice.status, notice.at);
    }
    since
}

/// Updates the start of a server's present period of unavailability with a status that was received at `at`.
fn unavailable_since(before: Option<u64>, status: ServerStatus, at: u64) -> Option<u64> {
    match status {
        ServerStatus::Ready => None,
        ServerStatus::Draining | ServerStatus::Removed => before.or(Some(at)),
    }
}

/// Returns the time since which the proxy should have known that the server takes no requests.
///
/// A proxy that has no watch and is overdue with its next fetch is presumed to know every change of the list
/// that is older than the interval in which it had to fetch.
fn presumed_unavailable_since(rules: &Rules, run: &Run<'_>, proxy: u32, server: u64, at: u64) -> Option<u64> {
    let contact = ListContact::at(rules, run, proxy, at);
    let overdue = at.saturating_sub(contact.last_call) > contact.allowed_interval;
    if contact.watching || !overdue {
        return None;
    }
    let mut since = None;
    for change in run.listed.get(&server).into_iter().flatten() {
        let presumed_known = change.at + contact.allowed_interval;
        if presumed_known > at {
            break;
        }
        since = unavailable_since(since, change.value, presumed_known);
    }
    since
}

/// A proxy's contact with the discovery service.
struct ListContact {
    watching: bool,
    /// When the last call was answered or the last watch ended.
    last_call: u64,
    /// How long the proxy may wait before its next call.
    allowed_interval: u64,
}

impl ListContact {
    /// Returns the contact that the incarnation running at `at` has had until then.
    fn at(rules: &Rules, run: &Run<'_>, proxy: u32, at: u64) -> Self {
        let incarnation_start = run.incarnation_start(proxy, at);
        let mut contact = ListContact {
            watching: false,
            last_call: incarnation_start,
            allowed_interval: rules.poll_interval_max,
        };
        let calls = run.list_calls.get(&proxy).into_iter().flatten();
        let calls = calls.take_while(|call| call.at <= at).filter(|call| call.at >= incarnation_start);
        for call in calls {
            contact.update(rules, call.value, call.at);
        }
        contact
    }

    fn update(&mut self, rules: &Rules, call: EndpointListCall, at: u64) {
        match call {
            EndpointListCall::WatchStarted => {
                self.watching = true;
                self.last_call = at;
                self.allowed_interval = rules.poll_interval_max;
            }
            EndpointListCall::ListFetched => {
                self.last_call = at;
                self.allowed_interval = rules.poll_interval_max;
            }
            EndpointListCall::Failed => {
                self.allowed_interval = POLL_INTERVALS_AFTER_FAILURE * rules.poll_interval_max;
            }
            EndpointListCall::WatchEnded => {
                self.watching = false;
                self.last_call = at;
            }
        }
    }
}
