//! Validation of the rollout, the service rules of servers, and the limits of attempts.

use crate::sections::{ContractSection, IdempotencyName, LimitsSection, RequestClassSection, RolloutSection};
use std::ops::RangeInclusive;
use violetseam_starlark_config::{Located, ScriptDuration, ScriptError};

/// Maximum number of stages of a release.
const MAX_STAGES: usize = 64;
/// Minimum of `ask_within`, the longest interval between two polls of the server list.
const MIN_POLL_INTERVAL: ScriptDuration = ScriptDuration::from_secs(1);
/// Minimum of `drain_grace`, the time within which the proxy must stop sending to a draining server.
const MIN_DRAIN_GRACE: ScriptDuration = ScriptDuration::from_millis(50);
/// Permitted values of `max_attempts`, the maximum number of attempts per request.
const MAX_ATTEMPTS_BOUNDS: RangeInclusive<usize> = 1..=100;
/// Permitted values of `tick`, the shortest time between two rounds of events.
const TICK_BOUNDS: RangeInclusive<ScriptDuration> =
    ScriptDuration::from_millis(1)..=ScriptDuration::from_millis(50);

/// Validates the stages, votes and exposure limits of a rollout.
///
/// # Errors
///
/// - A value is out of bounds.
/// - The cap of a stage is lower than that of the stage before it.
/// - Only idempotent requests may go to a new build in any stage, but no class is idempotent.
/// - A vote can expire before the time-out for its reply.
pub(super) fn check_rollout(
    rollout: &Located<RolloutSection>,
    classes: &[Located<RequestClassSection>],
) -> Result<(), ScriptError> {
    check_stages(rollout, classes)?;
    let section = &rollout.value;
    let must_be_positive = [section.counted_over, section.vote_ttl, section.call_timeout];
    if must_be_positive.contains(&ScriptDuration::ZERO) {
        return rollout.reject("rollout: counted_over, vote_ttl and call_timeout are over 0");
    }
    if section.call_timeout >= section.vote_ttl {
        return rollout
            .reject("rollout: a vote would expire before its reply is given up (call_timeout, vote_ttl)");
    }
    let is_uncounted_valid = section.uncounted >= 0.0 && section.uncounted.is_finite();
    if !(is_uncounted_valid && (0.0..=1.0).contains(&section.flag_share)) {
        return rollout.reject("rollout: uncounted is 0 or more, flag_share 0 to 1");
    }
    let vote_numbers = [section.votes_on, section.votes_back, section.vote_allowance];
    if vote_numbers.iter().any(|number| number.is_nan() || *number < 0.0) {
        return rollout.reject("rollout: votes_on, votes_back and vote_allowance are 0 or more");
    }
    Ok(())
}

fn check_stages(
    rollout: &Located<RolloutSection>,
    classes: &[Located<RequestClassSection>],
) -> Result<(), ScriptError> {
    let caps = &rollout.value.stage_caps;
    let guarded_stages = usize::from(rollout.value.guarded_stages);
    if caps.is_empty() || caps.len() > MAX_STAGES {
        return rollout.reject("rollout: 1 to 64 stage_caps");
    }
    if let Some(cap) = caps.iter().find(|cap| !(**cap > 0.0 && **cap <= 1.0)) {
        return rollout.reject(format!("rollout: a stage cap of {cap}: over 0, at most 1"));
    }
    if caps.windows(2).any(|pair| pair[1] < pair[0]) {
        return rollout.reject("rollout: stage_caps fall from one stage to the next");
    }
    if guarded_stages > caps.len() {
        return rollout.reject("rollout: more guarded_stages than stages");
    }
    let has_idempotent_class = classes.iter().any(|class| class.value.effect == IdempotencyName::Idempotent);
    if guarded_stages == caps.len() && !has_idempotent_class {
        return rollout
            .reject("rollout: all stages guarded and no retryable class: no build could ever be tried");
    }
    Ok(())
}

/// Validates the service rules.
///
/// # Errors
///
/// A value is out of bounds, or the grace time after a deadline is longer than the deadline of a class.
pub(super) fn check_contract(
    contract: &Located<ContractSection>,
    classes: &[Located<RequestClassSection>],
) -> Result<(), ScriptError> {
    let section = &contract.value;
    if !(section.cold_from > 0.0 && section.cold_from <= 1.0) {
        return contract.reject("contract: cold_from is over 0, at most 1");
    }
    let is_multiple_valid = section.fall_multiple >= 1.0 && section.fall_multiple.is_finite();
    if !is_multiple_valid || section.fall_span == ScriptDuration::ZERO {
        return contract.reject("contract: fall_multiple is 1 or more, fall_span over 0");
    }
    if section.ask_within < MIN_POLL_INTERVAL || section.drain_grace < MIN_DRAIN_GRACE {
        return contract.reject("contract: ask_within is 1s or more, drain_grace 50ms or more");
    }
    let shortest_deadline = classes.iter().map(|class| class.value.deadline).min().unwrap_or_default();
    if section.answer_grace > shortest_deadline {
        return contract.reject("contract: answer_grace is longer than a class's deadline");
    }
    Ok(())
}

/// Validates the limits of attempts.
///
/// # Errors
///
/// A value is out of bounds.
pub(super) fn check_limits(limits: &Located<LimitsSection>) -> Result<(), ScriptError> {
    if !MAX_ATTEMPTS_BOUNDS.contains(&limits.value.max_attempts) {
        return limits.reject("limits: max_attempts is 1 to 100");
    }
    if !TICK_BOUNDS.contains(&limits.value.tick) {
        return limits.reject("limits: tick is 1ms to 50ms");
    }
    Ok(())
}
