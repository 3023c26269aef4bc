//! The calls that a script made, and the sections that they are read into.

use crate::error::ScriptError;
use serde::de::DeserializeOwned;

/// A section and the place of its call.
#[derive(Clone, Debug)]
pub struct Placed<T> {
    /// File and line.
    pub at: String,
    /// The section.
    pub is: T,
}

impl<T> Placed<T> {
    /// Rejects the section.
    ///
    /// # Errors
    ///
    /// Always, with the section's place and the reason.
    pub fn fault<R>(&self, reason: impl std::fmt::Display) -> Result<R, ScriptError> {
        Err(ScriptError::invalid(&self.at, reason))
    }
}

/// One call of a section's function.
#[derive(Clone, Debug)]
pub struct Call {
    /// The function.
    pub function: &'static str,
    /// File and line.
    pub at: String,
    /// Its arguments by name.
    pub args: serde_json::Map<String, serde_json::Value>,
}

impl Call {
    /// Reads the arguments into the section's type.
    ///
    /// # Errors
    ///
    /// [`ScriptError::Arguments`] if an argument is missing, unknown or of another type.
    pub fn read<T: DeserializeOwned>(self) -> Result<Placed<T>, ScriptError> {
        match serde_path_to_error::deserialize(serde_json::Value::Object(self.args)) {
            Ok(section) => Ok(Placed { at: self.at, is: section }),
            Err(source) => Err(ScriptError::Arguments { location: self.at, function: self.function, source }),
        }
    }
}

/// The call of a section that may be there once; none if it is not there.
///
/// # Errors
///
/// [`ScriptError::DuplicateSection`] if there is more than one call.
pub fn one<'a, T>(section: &str, calls: &'a [Placed<T>]) -> Result<Option<&'a Placed<T>>, ScriptError> {
    match calls {
        [] => Ok(None),
        [only] => Ok(Some(only)),
        [first, second, ..] => Err(ScriptError::DuplicateSection {
            location: second.at.clone(),
            section: section.to_owned(),
            first: first.at.clone(),
        }),
    }
}

/// The call of a section that must be there once.
///
/// # Errors
///
/// [`ScriptError::MissingSection`] or [`ScriptError::DuplicateSection`].
pub fn needed<'a, T>(
    script: &str,
    section: &str,
    calls: &'a [Placed<T>],
) -> Result<&'a Placed<T>, ScriptError> {
    one(section, calls)?.ok_or_else(|| ScriptError::missing_section(script, section))
}
