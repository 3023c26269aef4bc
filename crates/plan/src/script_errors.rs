//! The errors of one script, so that all that can be found together are reported together.

use violetseam_starlark_config::{Located, ScriptError};

/// Errors in the order in which they were found.
#[derive(Debug, Default)]
pub(crate) struct ScriptErrors {
    errors: Vec<ScriptError>,
}

impl ScriptErrors {
    /// Adds an error.
    pub(crate) fn add(&mut self, error: ScriptError) {
        self.errors.push(error);
    }

    /// Rejects a section.
    pub(crate) fn reject<T>(&mut self, section: &Located<T>, reason: impl std::fmt::Display) {
        self.add(ScriptError::invalid(&section.location, reason));
    }

    /// The value, or none after its error is added.
    pub(crate) fn ok_or_add<T>(&mut self, result: Result<T, ScriptError>) -> Option<T> {
        result.map_err(|error| self.add(error)).ok()
    }

    /// The values of those that have one; the errors of the others are added.
    pub(crate) fn collect<T>(&mut self, results: impl Iterator<Item = Result<T, ScriptError>>) -> Vec<T> {
        results.filter_map(|result| self.ok_or_add(result)).collect()
    }

    /// Whether there is none.
    pub(crate) fn is_empty(&self) -> bool {
        self.errors.is_empty()
    }

    /// The errors.
    pub(crate) fn into_vec(self) -> Vec<ScriptError> {
        self.errors
    }
}
