//! Reads a plan: evaluates the script, converts its sections to a plan, and validates the plan.

use crate::build::build;
use crate::check::check;
use crate::sections::collect;
use crate::{Micros, Plan};
use std::path::Path;
use violetseam_starlark_config::{Call, ScriptError, evaluate, evaluate_file};

violetseam_starlark_config::functions! {
    section_functions: plan, fleet, wave, hold, window, freeze, sign_off, allow
}

/// Reads and validates a plan for a release that is offered at the time `at`. `options` are the names and
/// values that `option(...)` returns to the script.
///
/// # Errors
///
/// [`ScriptError::Read`] if the file cannot be read, and otherwise all errors of the script that can be
/// determined together, each with its location.
pub fn read_file(path: &Path, options: &[(String, String)], at: Micros) -> Result<Plan, Vec<ScriptError>> {
    let calls = evaluate_file(path, options, section_functions).map_err(|error| vec![error])?;
    read(&path.display().to_string(), calls, at)
}

/// Reads and validates a plan from a text, which cannot load files. `name` takes the place of the file name
/// in errors; the other parameters are those of [`read_file`].
///
/// # Errors
///
/// All errors of the script that can be determined together, each with its location.
pub fn read_text(
    name: &str,
    text: &str,
    options: &[(String, String)],
    at: Micros,
) -> Result<Plan, Vec<ScriptError>> {
    let calls =
        evaluate(name, text.to_owned(), None, options, section_functions).map_err(|error| vec![error])?;
    read(name, calls, at)
}

fn read(name: &str, calls: Vec<Call>, at: Micros) -> Result<Plan, Vec<ScriptError>> {
    let sections = collect(calls).map_err(|error| vec![error])?;
    let plan = build(name, &sections)?;
    let errors = check(name, &sections, &plan, at);
    if errors.is_empty() { Ok(plan) } else { Err(errors) }
}
