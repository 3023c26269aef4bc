//! Collects the errors of a script, so that they can be reported together.

use violetseam_starlark_config::{Located, ScriptError};

/// The errors of a script, in the order in which they were found.
#[derive(Debug, Default)]
pub(crate) struct ScriptErrors {
    errors: Vec<ScriptError>,
}

impl ScriptErrors {
    /// Adds an error.
    pub(crate) fn add(&mut self, error: ScriptError) {
        self.errors.push(error);
    }

    /// Adds an error that rejects a section for the given reason.
    pub(crate) fn reject<T>(&mut self, section: &Located<T>, reason: impl std::fmt::Display) {
        self.add(ScriptError::invalid(&section.location, reason));
    }

    /// Returns the value of an `Ok`. Adds the error of an `Err` and returns `None`.
    pub(crate) fn ok_or_add<T>(&mut self, result: Result<T, ScriptError>) -> Option<T> {
        result.map_err(|error| self.add(error)).ok()
    }

    /// Returns the values of the results that are `Ok`, and adds the errors of the others.
    pub(crate) fn collect<T>(&mut self, results: impl Iterator<Item = Result<T, ScriptError>>) -> Vec<T> {
        results.filter_map(|result| self.ok_or_add(result)).collect()
    }

    /// Returns whether there are no errors.
    pub(crate) fn is_empty(&self) -> bool {
        self.errors.is_empty()
    }

    /// Returns the errors.
    pub(crate) fn into_vec(self) -> Vec<ScriptError> {
        self.errors
    }
}
