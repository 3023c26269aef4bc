//! Validation of a plan. It finds the contradictions that can be determined before the release starts, and
//! reports each of them with its line.
//!
//! A plan is validated for a release that is offered at a given time, because windows and freezes can make
//! the same plan possible on a Monday and impossible on the day before a freeze.

mod fleet;
mod operators;
mod schedule;
mod waves;

use crate::script_errors::ScriptErrors;
use crate::sections::Sections;
use crate::{Micros, Plan};
use violetseam_starlark_config::ScriptError;

/// Maximum length of a name.
const MAX_NAME_BYTES: usize = 64;

/// Returns all errors of a plan for a release that is offered at the time `at`, in the order of the checks,
/// which mostly follows the order of the script. `script` is the script's name for errors.
pub(crate) fn check(script: &str, sections: &Sections, plan: &Plan, at: Micros) -> Vec<ScriptError> {
    let mut errors = ScriptErrors::default();
    check_plan(&mut errors, script, sections, plan, at);
    errors.into_vec()
}

fn check_plan(errors: &mut ScriptErrors, script: &str, sections: &Sections, plan: &Plan, at: Micros) {
    let (Some(plan_section), Some(fleet_section)) = (sections.plan.first(), sections.fleet.first()) else {
        return;
    };
    if !is_valid_name(&plan.name) {
        errors.reject(plan_section, "plan: a name has 1 to 64 characters without spaces");
    }
    if plan.longest == 0 {
        errors.reject(plan_section, "plan: longest is over 0");
    }
    fleet::check_fleet(errors, fleet_section, plan);
    if sections.waves.is_empty() {
        errors.add(ScriptError::missing_section(script, "wave"));
        return;
    }
    waves::check_waves(errors, &sections.waves, plan);
    operators::check_holds(errors, &sections.holds, plan);
    operators::check_sign_offs(errors, &sections.sign_offs, plan);
    operators::check_permissions(errors, &sections.allows);
    schedule::check_schedule(errors, sections, plan, at);
}

/// Returns whether a name can be used as a word on a command line and in a log line.
fn is_valid_name(name: &str) -> bool {
    let is_space_or_control = |character: char| character.is_whitespace() || character.is_control();
    (1..=MAX_NAME_BYTES).contains(&name.len()) && !name.chars().any(is_space_or_control)
}

/// Returns whether a number is a share greater than 0 and at most 1.
fn is_nonzero_share(number: f64) -> bool {
    number > 0.0 && number <= 1.0
}

/// Returns whether this number of votes can be valid at the same time, which requires that the controller
/// accepts all of them within the time to live of a vote.
fn can_be_accepted_in_time(plan: &Plan, votes: usize) -> bool {
    let seconds = votes as f64 / plan.fleet.votes_per_s;
    let is_too_slow = seconds > plan.fleet.vote_ttl as f64 / 1e6;
    !is_too_slow
}
