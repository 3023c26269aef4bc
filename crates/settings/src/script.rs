//! Reading settings and fleet files: the script is evaluated, its calls gathered and checked.

use crate::check;
use crate::collect::collect;
use crate::settings::{FleetFile, ProxySettings};
use std::path::Path;
pub use violetseam_starlark_config::ScriptError;
use violetseam_starlark_config::{evaluate, evaluate_file};

violetseam_starlark_config::functions! {
    functions: fleet, listen, roster, desk, publisher, peers, request_class, route, tenant, headers, budgets,
    rollout, limits, contract, connections, member, identity, control_tls
}

/// Reads and checks a settings file. `options` are the names and values that `option(...)` returns.
///
/// # Errors
///
/// The first [`ScriptError`] of the script with its place, or that the file cannot be read.
pub fn read_file(path: &Path, options: &[(String, String)]) -> Result<ProxySettings, ScriptError> {
    let calls = evaluate_file(path, options, functions)?;
    check::check_settings(&path.display().to_string(), &collect(calls)?)
}

/// Reads and checks a fleet file: the daemons that it lists and the operator's files.
///
/// # Errors
///
/// The first [`ScriptError`] of the script with its place, or that the file cannot be read.
pub fn read_fleet(path: &Path, options: &[(String, String)]) -> Result<FleetFile, ScriptError> {
    let calls = evaluate_file(path, options, functions)?;
    check::check_fleet_file(&path.display().to_string(), &collect(calls)?)
}

/// Reads and checks settings from a text, which can load no files.
///
/// # Errors
///
/// The first [`ScriptError`] of the text with its place.
pub fn read_text(name: &str, text: &str, options: &[(String, String)]) -> Result<ProxySettings, ScriptError> {
    let calls = evaluate(name, text.to_owned(), None, options, functions)?;
    check::check_settings(name, &collect(calls)?)
}
