//! Validation of what operators do: end holds, approve waves, and intervene in the release.

use super::is_valid_name;
use crate::script_errors::ScriptErrors;
use crate::sections::{AllowSection, HoldSection, SignOffSection};
use crate::{Plan, Power};
use std::collections::BTreeSet;
use violetseam_starlark_config::Located;

/// Checks that each hold is before a wave of the plan, that a wave has at most one hold, and that each hold
/// can end.
pub(super) fn check_holds(errors: &mut ScriptErrors, sections: &[Located<HoldSection>], plan: &Plan) {
    for (index, section) in sections.iter().enumerate() {
        let HoldSection { before, leave, at_most } = &section.value;
        if !has_wave(plan, before) {
            errors.reject(section, format!("hold: no wave {before:?}"));
        }
        if sections[..index].iter().any(|earlier| earlier.value.before == *before) {
            errors.reject(section, format!("hold: before wave {before:?} there is one already"));
        }
        if leave.is_empty() && at_most.is_none() {
            errors.reject(section, "hold: has no way out: neither leave nor at_most");
        }
        if !leave.iter().all(|who| is_valid_name(who)) {
            errors.reject(section, "hold: names have 1 to 64 characters without spaces");
        }
    }
}

/// Checks that each approval is for a wave of the plan, that enough operators may approve, and that the time
/// for it is not longer than the maximum duration of the release.
pub(super) fn check_sign_offs(errors: &mut ScriptErrors, sections: &[Located<SignOffSection>], plan: &Plan) {
    for section in sections {
        let SignOffSection { wave, by, count, within } = &section.value;
        if !has_wave(plan, wave) {
            errors.reject(section, format!("sign_off: no wave {wave:?}"));
        }
        let operator_count = by.iter().collect::<BTreeSet<_>>().len();
        if operator_count == 0 || *count == 0 {
            errors.reject(section, "sign_off: asked of nobody");
        } else if *count > operator_count {
            errors.reject(section, format!("sign_off: {count} approvals from {operator_count} people"));
        }
        if !by.iter().all(|who| is_valid_name(who)) {
            errors.reject(section, "sign_off: names have 1 to 64 characters without spaces");
        }
        if within.as_micros() == 0 || within.as_micros() > plan.longest {
            errors.reject(section, "sign_off: within is over 0 and at most the plan's longest");
        }
    }
}

/// Checks that each operator has one list of permissions, and that an operator can end holds if any operator
/// can hold the release.
pub(super) fn check_permissions(errors: &mut ScriptErrors, sections: &[Located<AllowSection>]) {
    let some_operator_may_resume = sections.iter().any(|section| section.value.may.contains(&Power::Resume));
    for (index, section) in sections.iter().enumerate() {
        let AllowSection { who, may } = &section.value;
        if !is_valid_name(who) || may.is_empty() {
            errors.reject(
                section,
                "allow: who has 1 to 64 characters without spaces, may is hold, resume, back or skip",
            );
        }
        if sections[..index].iter().any(|earlier| earlier.value.who == *who) {
            errors.reject(section, format!("allow: {who:?} twice"));
        }
        if may.contains(&Power::Hold) && !some_operator_may_resume {
            errors.reject(section, "allow: a hold without a way out: nobody may resume");
        }
    }
}

fn has_wave(plan: &Plan, name: &str) -> bool {
    plan.waves.iter().any(|wave| wave.name == name)
}
