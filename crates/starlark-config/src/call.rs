//! The calls that a script made, and the sections that they are read into.

use crate::error::ScriptError;
use serde::de::DeserializeOwned;

/// A section's value and the location of the call that gave it.
#[derive(Clone, Debug)]
pub struct Located<T> {
    /// File and line of the call.
    pub location: String,
    /// The section.
    pub value: T,
}

impl<T> Located<T> {
    /// Rejects the section.
    ///
    /// # Errors
    ///
    /// Always: [`ScriptError::Invalid`] with the section's location and the reason.
    pub fn reject<R>(&self, reason: impl std::fmt::Display) -> Result<R, ScriptError> {
        Err(ScriptError::invalid(&self.location, reason))
    }
}

/// One call of a section's function.
#[derive(Clone, Debug)]
pub struct Call {
    /// The function.
    pub function: &'static str,
    /// File and line.
    pub location: String,
    /// Its arguments by name.
    pub arguments: serde_json::Map<String, serde_json::Value>,
}

impl Call {
    /// Reads the arguments into the section's type.
    ///
    /// # Errors
    ///
    /// [`ScriptError::Arguments`] if an argument is missing, unknown or of another type.
    pub fn read<T: DeserializeOwned>(self) -> Result<Located<T>, ScriptError> {
        let Call { function, location, arguments } = self;
        match serde_path_to_error::deserialize(serde_json::Value::Object(arguments)) {
            Ok(value) => Ok(Located { location, value }),
            Err(source) => Err(ScriptError::Arguments { location, function, source }),
        }
    }
}

/// The call of a section that may be there once; none if it is not there.
///
/// # Errors
///
/// [`ScriptError::DuplicateSection`] if there is more than one call.
pub fn optional_section<'a, T>(
    section: &str,
    calls: &'a [Located<T>],
) -> Result<Option<&'a Located<T>>, ScriptError> {
    match calls {
        [] => Ok(None),
        [only] => Ok(Some(only)),
        [first, second, ..] => Err(ScriptError::DuplicateSection {
            location: second.location.clone(),
            section: section.to_owned(),
            first: first.location.clone(),
        }),
    }
}

/// The call of a section that must be there once. `script` is the script's name.
///
/// # Errors
///
/// [`ScriptError::MissingSection`] if there is no call, [`ScriptError::DuplicateSection`] if there is more
/// than one.
pub fn required_section<'a, T>(
    script: &str,
    section: &str,
    calls: &'a [Located<T>],
) -> Result<&'a Located<T>, ScriptError> {
    optional_section(section, calls)?.ok_or_else(|| ScriptError::missing_section(script, section))
}
