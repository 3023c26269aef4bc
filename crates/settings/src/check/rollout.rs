//! How a release goes on, what servers promise, and the limits of attempts.

use crate::sections::{Contract, EffectName, Limits, RequestClass, Rollout};
use violetseam_starlark_config::{Placed, ScriptError};

pub(super) fn check_rollout(
    rollout: &Placed<Rollout>,
    classes: &[Placed<RequestClass>],
) -> Result<(), ScriptError> {
    let r = &rollout.is;
    if r.stage_caps.is_empty() || r.stage_caps.len() > 64 {
        return rollout.fault("rollout: 1 to 64 stage_caps");
    }
    if let Some(cap) = r.stage_caps.iter().find(|c| !(**c > 0.0 && **c <= 1.0)) {
        return rollout.fault(format!("rollout: a stage cap of {cap}: over 0, at most 1"));
    }
    if r.stage_caps.windows(2).any(|w| w[1] < w[0]) {
        return rollout.fault("rollout: stage_caps fall from one stage to the next");
    }
    if usize::from(r.guarded_stages) > r.stage_caps.len() {
        return rollout.fault("rollout: more guarded_stages than stages");
    }
    if usize::from(r.guarded_stages) == r.stage_caps.len()
        && classes.iter().all(|c| c.is.effect != EffectName::Retryable)
    {
        return rollout
            .fault("rollout: all stages guarded and no retryable class: no build could ever be tried");
    }
    if r.counted_over.0 == 0 || r.vote_ttl.0 == 0 || r.call_timeout.0 == 0 {
        return rollout.fault("rollout: counted_over, vote_ttl and call_timeout are over 0");
    }
    if r.call_timeout >= r.vote_ttl {
        return rollout
            .fault("rollout: a vote would expire before its reply is given up (call_timeout, vote_ttl)");
    }
    if !(r.uncounted >= 0.0 && r.uncounted.is_finite() && (0.0..=1.0).contains(&r.flag_share)) {
        return rollout.fault("rollout: uncounted is 0 or more, flag_share 0 to 1");
    }
    let votes = [r.votes_on, r.votes_back, r.vote_allowance];
    if votes.iter().any(|v| v.is_nan() || *v < 0.0) {
        return rollout.fault("rollout: votes_on, votes_back and vote_allowance are 0 or more");
    }
    Ok(())
}

pub(super) fn check_contract(
    contract: &Placed<Contract>,
    classes: &[Placed<RequestClass>],
) -> Result<(), ScriptError> {
    let c = &contract.is;
    if !(c.cold_from > 0.0 && c.cold_from <= 1.0) {
        return contract.fault("contract: cold_from is over 0, at most 1");
    }
    if !(c.fall_multiple >= 1.0 && c.fall_multiple.is_finite()) || c.fall_span.0 == 0 {
        return contract.fault("contract: fall_multiple is 1 or more, fall_span over 0");
    }
    if c.ask_within.0 < 1_000_000 || c.drain_grace.0 < 50_000 {
        return contract.fault("contract: ask_within is 1s or more, drain_grace 50ms or more");
    }
    let shortest = classes.iter().map(|k| k.is.deadline).min().unwrap_or_default();
    if c.answer_grace > shortest {
        return contract.fault("contract: answer_grace is longer than a class's deadline");
    }
    Ok(())
}

pub(super) fn check_limits(limits: &Placed<Limits>) -> Result<(), ScriptError> {
    let l = &limits.is;
    if l.max_attempts == 0 || l.max_attempts > 100 {
        return limits.fault("limits: max_attempts is 1 to 100");
    }
    if l.tick.0 < 1_000 || l.tick.0 > 50_000 {
        return limits.fault("limits: tick is 1ms to 50ms");
    }
    Ok(())
}
