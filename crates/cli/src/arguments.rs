//! Values of flags that several commands take.

use std::time::Duration;

/// What separates the name from the value in `--set`.
const OPTION_SEPARATOR: char = '=';
/// The bounds of `--timeout`, in seconds.
const MIN_TIMEOUT_S: f64 = 0.05;
const MAX_TIMEOUT_S: f64 = 600.0;

/// The value of `--set` has no `=`.
#[derive(Debug, thiserror::Error)]
#[error("NAME=VALUE is wanted")]
pub struct OptionFormatError;

/// Reads `NAME=VALUE`.
pub fn script_option(text: &str) -> Result<(String, String), OptionFormatError> {
    let (name, value) = text.split_once(OPTION_SEPARATOR).ok_or(OptionFormatError)?;
    Ok((name.to_owned(), value.to_owned()))
}

/// The value of `--timeout`, brought within its bounds.
pub fn timeout(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(MIN_TIMEOUT_S, MAX_TIMEOUT_S))
}

/// Who gives a command: the name given, else the user's.
pub fn operator_name(given: Option<&str>) -> String {
    let name = given.map(str::to_owned).or_else(|| std::env::var("USER").ok());
    name.unwrap_or_else(|| "unknown".to_owned())
}
