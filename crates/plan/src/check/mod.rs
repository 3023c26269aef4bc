//! Everything that can be proved wrong about a plan before it runs, each error with the line that it is on.
//!
//! What is proved here is proved for a release that is offered at a given moment: windows and freezes make
//! the same plan possible on Monday and impossible on the day before a freeze.

mod fleet;
mod operators;
mod schedule;
mod waves;

use crate::script_errors::ScriptErrors;
use crate::sections::Sections;
use crate::{Micros, Plan};
use violetseam_starlark_config::ScriptError;

/// The longest name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// All errors of a plan for a release that is offered at `at`, in the order of the script as far as it goes.
/// `script` is the script's name.
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
    operators::check_powers(errors, &sections.allows);
    schedule::check_schedule(errors, sections, plan, at);
}

/// Whether a name can stand on a command line and in a log.
fn is_valid_name(name: &str) -> bool {
    let is_separator = |character: char| character.is_whitespace() || character.is_control();
    (1..=MAX_NAME_BYTES).contains(&name.len()) && !name.chars().any(is_separator)
}

/// Whether a number is a share that is not empty.
fn is_share(number: f64) -> bool {
    number > 0.0 && number <= 1.0
}

/// Whether so many votes can be valid at the same time: they are taken within a vote's time to live.
fn can_be_taken_in_time(plan: &Plan, votes: usize) -> bool {
    let seconds = votes as f64 / plan.fleet.votes_per_s;
    let is_too_long = seconds > plan.fleet.vote_ttl as f64 / 1e6;
    !is_too_long
}
