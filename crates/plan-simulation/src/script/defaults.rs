//! The script with which a plan is simulated if none is given.

use super::sections::DEFAULT_TRANSITION;
use super::{Approval, OperatorOrder, Script, VoterGroup};
use violetseam_plan::{Micros, Plan, Power};
use violetseam_release::Verdict;
use violetseam_starlark_config::ScriptDuration;

/// The time at which all approvals are given.
const APPROVAL_TIME: ScriptDuration = ScriptDuration::from_millis(1);
/// The shortest interval between a proxy's votes, in microseconds.
const MIN_VOTE_INTERVAL_MICROS: Micros = 1_000;
/// How often a vote is repeated within its time to live.
const VOTES_PER_TTL: u64 = 3;
/// The interval between the orders that end holds, in microseconds.
const RESUME_INTERVAL_MICROS: Micros = 60_000_000;
/// The most orders to end each hold.
const MAX_RESUME_ORDERS: u64 = 10_000;

/// Returns a script in which the release succeeds: everyone who is asked approves at once, all proxies vote
/// 'on', and a person who may end a hold does so within a minute. `start` is in microseconds since 1970 UTC.
pub fn default_script(plan: &Plan, start: Micros, initial_build: u16) -> Script {
    Script {
        start,
        initial_build,
        start_duration: DEFAULT_TRANSITION.as_micros(),
        drain_duration: DEFAULT_TRANSITION.as_micros(),
        voters: vec![unanimous_voters(plan)],
        approvals: all_approvals(plan),
        orders: resume_orders(plan),
        ..Script::default()
    }
}

fn unanimous_voters(plan: &Plan) -> VoterGroup {
    let interval = (plan.fleet.vote_ttl / VOTES_PER_TTL).max(MIN_VOTE_INTERVAL_MICROS);
    VoterGroup {
        at: ScriptDuration::ZERO,
        until: None,
        proxies: plan.fleet.proxies,
        first: 0,
        verdict: Verdict::On,
        stage: None,
        every: ScriptDuration::from_micros(interval),
    }
}

fn all_approvals(plan: &Plan) -> Vec<Approval> {
    let mut approvals = Vec::new();
    for sign_off in &plan.sign_offs {
        for who in &sign_off.by {
            let wave = sign_off.wave.clone();
            approvals.push(Approval { at: APPROVAL_TIME, who: who.clone(), wave });
        }
    }
    approvals
}

/// Returns orders to resume once a minute until the end, so that each hold ends within a minute.
fn resume_orders(plan: &Plan) -> Vec<OperatorOrder> {
    let count = (plan.longest / RESUME_INTERVAL_MICROS).min(MAX_RESUME_ORDERS);
    let mut orders = Vec::new();
    for who in plan.holds.iter().filter_map(|hold| hold.leave.first()) {
        for number in 1..=count {
            orders.push(OperatorOrder {
                at: ScriptDuration::from_micros(number * RESUME_INTERVAL_MICROS),
                who: who.clone(),
                what: Power::Resume,
                duration: None,
                ignores_rejection: true,
            });
        }
    }
    orders
}
