//! The calls that a script made, and their deserialization into sections.

use crate::error::ScriptError;
use serde::de::DeserializeOwned;

/// A section and the location of the call that defined it.
#[derive(Clone, Debug)]
pub struct Located<T> {
    /// File and line of the call, as `FILE:LINE`.
    pub location: String,
    /// The deserialized section.
    pub value: T,
}

impl<T> Located<T> {
    /// Returns an error that rejects the section for the given reason.
    ///
    /// # Errors
    ///
    /// Always returns [`ScriptError::Invalid`] with the section's location and the reason.
    pub fn reject<R>(&self, reason: impl std::fmt::Display) -> Result<R, ScriptError> {
        Err(ScriptError::invalid(&self.location, reason))
    }
}

/// One call of a section function.
#[derive(Clone, Debug)]
pub struct Call {
    /// Name of the section function.
    pub function: &'static str,
    /// File and line of the call, as `FILE:LINE`.
    pub location: String,
    /// The keyword arguments of the call.
    pub arguments: serde_json::Map<String, serde_json::Value>,
}

impl Call {
    /// Deserializes the arguments into the section type `T`.
    ///
    /// # Errors
    ///
    /// [`ScriptError::Arguments`] if an argument is missing, unknown or of the wrong type.
    pub fn read<T: DeserializeOwned>(self) -> Result<Located<T>, ScriptError> {
        let Call { function, location, arguments } = self;
        match serde_path_to_error::deserialize(serde_json::Value::Object(arguments)) {
            Ok(value) => Ok(Located { location, value }),
            Err(source) => Err(ScriptError::Arguments { location, function, source }),
        }
    }
}

/// Returns the single call of an optional section, or `None` if the script does not call it.
///
/// # Errors
///
/// [`ScriptError::DuplicateSection`] if the script calls the section more than once.
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

/// Returns the single call of a required section. `script` is the script's name for the error message.
///
/// # Errors
///
/// [`ScriptError::MissingSection`] if the script does not call the section, and
/// [`ScriptError::DuplicateSection`] if it calls it more than once.
pub fn required_section<'a, T>(
    script: &str,
    section: &str,
    calls: &'a [Located<T>],
) -> Result<&'a Located<T>, ScriptError> {
    optional_section(section, calls)?.ok_or_else(|| ScriptError::missing_section(script, section))
}
