//! Parsing of command-line arguments that several commands have.

use std::time::Duration;

/// Separates the name from the value in `--set`.
const OPTION_SEPARATOR: char = '=';
/// The bounds of `--timeout`, in seconds.
const MIN_TIMEOUT_S: f64 = 0.05;
const MAX_TIMEOUT_S: f64 = 600.0;

/// The argument of `--set` contains no `=`.
#[derive(Debug, thiserror::Error)]
#[error("expected NAME=VALUE")]
pub struct OptionFormatError;

/// Parses `NAME=VALUE`, the argument of `--set`.
pub fn parse_script_option(text: &str) -> Result<(String, String), OptionFormatError> {
    let (name, value) = text.split_once(OPTION_SEPARATOR).ok_or(OptionFormatError)?;
    Ok((name.to_owned(), value.to_owned()))
}

/// Returns the value of `--timeout`, clamped to its bounds.
pub fn clamped_timeout(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(MIN_TIMEOUT_S, MAX_TIMEOUT_S))
}

/// Returns the name of the operator who issues a command: the given name, or else the name of the user that
/// runs the program.
pub fn operator_name(given_name: Option<&str>) -> String {
    let name = given_name.map(str::to_owned).or_else(|| std::env::var("USER").ok());
    name.unwrap_or_else(|| "unknown".to_owned())
}
