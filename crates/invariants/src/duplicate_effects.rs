//! Rule 2: no request takes effect twice.

use crate::run::{Attempt, RequestHistory, Run};
use crate::{AttemptOutcome, CheckReport, DedupGroup, FinalResponse, Idempotency, RequestClass, Rule, Rules};

/// Checks the attempts of every request that reached a server.
pub(crate) fn check(rules: &Rules, run: &Run<'_>, report: &mut CheckReport) {
    for (&id, history) in &run.requests {
        let attempts: Vec<&Attempt<'_>> =
            history.attempts.iter().map(|&index| &run.attempts[index]).collect();
        let class = attempts.first().and_then(|attempt| rules.classes.get(attempt.arrival.class));
        let Some(class) = class else { continue };
        report.count_examined(Rule::DuplicateEffect);
        for (index, later) in attempts.iter().enumerate().skip(1) {
            for earlier in &attempts[..index] {
                check_pair(rules, id, class, earlier, later, report);
            }
        }
        check_rejection(id, history, class, &attempts, report);
    }
}

/// Checks an attempt against an earlier attempt of the same request.
fn check_pair(
    rules: &Rules,
    id: u64,
    class: &RequestClass,
    earlier: &Attempt<'_>,
    later: &Attempt<'_>,
    report: &mut CheckReport,
) {
    let at = later.at;
    // A cancellation may reach the first server shortly after the next attempt has reached another server.
    let in_flight = earlier.end.is_none_or(|end| end.at > at + rules.observation_slack);
    if in_flight && !rules.hedging {
        let description = format!("request {id} has two attempts out");
        report.add_violation(Rule::DuplicateEffect, at, description);
    }
    let known_not_run = earlier.end.is_some_and(|end| end.value == AttemptOutcome::NotRun && end.at <= at);
    if known_not_run {
        return;
    }
    match class.idempotency {
        Idempotency::Idempotent => {}
        Idempotency::NonIdempotent => {
            let description = format!("unsafe request {id} sent again after it may have run");
            report.add_violation(Rule::DuplicateEffect, at, description);
        }
        Idempotency::Keyed(group) => {
            if !same_group(group, earlier, later) {
                let description = format!("keyed request {id} sent again outside its group");
                report.add_violation(Rule::DuplicateEffect, at, description);
            }
            if at > earlier.at + class.dedup_window + rules.observation_slack {
                let description = format!("keyed request {id} sent again past its window");
                report.add_violation(Rule::DuplicateEffect, at, description);
            }
        }
    }
}

/// Whether the servers of two attempts share one deduplication group.
fn same_group(group: DedupGroup, earlier: &Attempt<'_>, later: &Attempt<'_>) -> bool {
    match group {
        DedupGroup::All => true,
        DedupGroup::Zone => earlier.arrival.zone == later.arrival.zone,
        DedupGroup::Cell => earlier.arrival.cell == later.arrival.cell,
    }
}

/// Checks that a rejected request did not run or is harmless to repeat, because that is what a rejection
/// tells the client.
fn check_rejection(
    id: u64,
    history: &RequestHistory,
    class: &RequestClass,
    attempts: &[&Attempt<'_>],
    report: &mut CheckReport,
) {
    let harmless_to_repeat =
        matches!(class.idempotency, Idempotency::Idempotent | Idempotency::Keyed(DedupGroup::All));
    let rejection = history.responses.iter().find(|r| r.value == FinalResponse::Rejected);
    let Some(rejection) = rejection.filter(|_| !harmless_to_repeat) else { return };
    let may_have_run =
        |attempt: &&Attempt<'_>| attempt.end.is_none_or(|end| end.value != AttemptOutcome::NotRun);
    if attempts.iter().any(may_have_run) {
        let description = format!("request {id} refused although it may have run");
        report.add_violation(Rule::DuplicateEffect, rejection.at, description);
    }
}
