//! Reads settings and fleet files: evaluates the script, groups its calls by section and validates them.

use crate::check;
use crate::collect::collect;
use crate::settings::{FleetFile, ProxySettings};
use std::path::Path;
pub use violetseam_starlark_config::ScriptError;
use violetseam_starlark_config::{evaluate, evaluate_file};

violetseam_starlark_config::functions! {
    section_functions: fleet, listen, roster, desk, publisher, peers, request_class, route, tenant, headers,
    budgets, rollout, limits, contract, connections, member, identity, control_tls
}

/// Reads and validates a settings file. `options` are the names and values that `option(...)` returns to the
/// script.
///
/// # Errors
///
/// [`ScriptError::Read`] if the file cannot be read, and otherwise the first error of the script with its
/// location.
pub fn read_file(path: &Path, options: &[(String, String)]) -> Result<ProxySettings, ScriptError> {
    let calls = evaluate_file(path, options, section_functions)?;
    check::check_settings(&path.display().to_string(), &collect(calls)?)
}

/// Reads and validates a fleet file, which lists the daemons of a fleet and the operator's TLS files.
/// `options` are the names and values that `option(...)` returns to the script.
///
/// # Errors
///
/// [`ScriptError::Read`] if the file cannot be read, and otherwise the first error of the script with its
/// location.
pub fn read_fleet(path: &Path, options: &[(String, String)]) -> Result<FleetFile, ScriptError> {
    let calls = evaluate_file(path, options, section_functions)?;
    check::check_fleet_file(&path.display().to_string(), &collect(calls)?)
}

/// Reads and validates settings from a text, which cannot load files. `name` takes the place of the file name
/// in errors.
///
/// # Errors
///
/// The first [`ScriptError`] of the text with its location.
pub fn read_text(name: &str, text: &str, options: &[(String, String)]) -> Result<ProxySettings, ScriptError> {
    let calls = evaluate(name, text.to_owned(), None, options, section_functions)?;
    check::check_settings(name, &collect(calls)?)
}
