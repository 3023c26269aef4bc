//! Reads a plan: the script is evaluated, made into a plan, and checked.

use crate::build::build;
use crate::check::check;
use crate::sections::collect;
use crate::{Micros, Plan};
use std::path::Path;
use violetseam_starlark_config::{Call, ScriptError, evaluate, evaluate_file};

violetseam_starlark_config::functions! { functions: plan, fleet, wave, hold, window, freeze, sign_off, allow }

/// Reads and checks a plan for a release that is offered at `at`. `options` are the names and values that
/// `option(...)` returns.
///
/// # Errors
///
/// Every error of the script that can be found together with its place, or that the file cannot be read.
pub fn read_file(path: &Path, options: &[(String, String)], at: Micros) -> Result<Plan, Vec<ScriptError>> {
    let calls = evaluate_file(path, options, functions).map_err(|error| vec![error])?;
    read(&path.display().to_string(), calls, at)
}

/// The same from a text, which can load no files. `name` stands for the file in errors.
///
/// # Errors
///
/// Every error of the script that can be found together with its place.
pub fn read_text(
    name: &str,
    text: &str,
    options: &[(String, String)],
    at: Micros,
) -> Result<Plan, Vec<ScriptError>> {
    let calls = evaluate(name, text.to_owned(), None, options, functions).map_err(|error| vec![error])?;
    read(name, calls, at)
}

fn read(name: &str, calls: Vec<Call>, at: Micros) -> Result<Plan, Vec<ScriptError>> {
    let sections = collect(calls).map_err(|error| vec![error])?;
    let plan = build(name, &sections)?;
    let errors = check(name, &sections, &plan, at);
    if errors.is_empty() { Ok(plan) } else { Err(errors) }
}
