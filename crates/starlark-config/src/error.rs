//! The errors that reject a script.

use std::path::PathBuf;
use thiserror::Error;

/// The reason why a script was rejected. The message of each variant starts with the file name, followed by
/// the line number if it is known.
#[derive(Debug, Error)]
pub enum ScriptError {
    /// The script file could not be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// Path of the script file.
        path: PathBuf,
        /// Why it could not be read.
        source: ReadFileError,
    },
    /// The script has a syntax error, failed while it ran, or exceeded one of the resource limits.
    #[error("{location}: {reason}")]
    Evaluation {
        /// File and line, or the script's name if the line is not known.
        location: String,
        /// The interpreter's error message.
        reason: String,
    },
    /// The arguments of a call do not match the section: one is missing, unknown or of the wrong type.
    #[error("{location}: {function}: {source}")]
    Arguments {
        /// File and line of the call.
        location: String,
        /// Name of the section function that was called.
        function: &'static str,
        /// The deserialization error, with the path of the argument.
        source: serde_path_to_error::Error<serde_json::Error>,
    },
    /// The caller set an option that the script never reads with `option(...)`.
    #[error("{script}: asks for no option {option:?}")]
    UnknownOption {
        /// The script's name.
        script: String,
        /// Name of the option.
        option: String,
    },
    /// The script does not call a required section.
    #[error("{script}: no {section}(...)")]
    MissingSection {
        /// The script's name.
        script: String,
        /// Name of the section function.
        section: String,
    },
    /// The script calls a section twice that it may call only once.
    #[error("{location}: {section}: called before, at {first}")]
    DuplicateSection {
        /// File and line of the second call.
        location: String,
        /// Name of the section function.
        section: String,
        /// File and line of the first call.
        first: String,
    },
    /// A section has all its arguments, but their values are out of bounds or contradict other values.
    #[error("{location}: {reason}")]
    Invalid {
        /// File and line, or the script's name if the error concerns the script as a whole.
        location: String,
        /// The value that is not valid, and why.
        reason: String,
    },
}

impl ScriptError {
    /// Creates a [`ScriptError::Invalid`] for values at a location in a script.
    pub fn invalid(location: impl Into<String>, reason: impl std::fmt::Display) -> ScriptError {
        ScriptError::Invalid { location: location.into(), reason: reason.to_string() }
    }

    /// Creates a [`ScriptError::MissingSection`].
    pub fn missing_section(script: impl Into<String>, section: impl Into<String>) -> ScriptError {
        ScriptError::MissingSection { script: script.into(), section: section.into() }
    }
}

/// The reason why a script file could not be read.
#[derive(Debug, Error)]
pub enum ReadFileError {
    /// The file system returned an error.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The path is not a regular file (for example a folder or a device), or the file exceeds the size limit.
    #[error("not a file, or over 1 MiB")]
    NotARegularFileOrTooLarge,
}

/// The reason why `load(...)` failed.
#[derive(Debug, Error)]
pub(crate) enum LoadError {
    #[error("load({file:?}): only plain names of files in the script's own folder")]
    OutsideFolder { file: String },
    #[error("load({file:?}): loaded too deep, or in a circle")]
    TooDeep { file: String },
    // The cause is part of the message and not a `source`, because the interpreter would print a source a
    // second time.
    #[error("load({file:?}): {reason}")]
    Unreadable { file: String, reason: ReadFileError },
}

/// The reason why `option(...)` failed.
#[derive(Debug, Error)]
pub(crate) enum OptionError {
    #[error("option {name}: {value:?} is neither true nor false")]
    NotABool { name: String, value: String },
    #[error("option {name}: {value:?} is no number")]
    NotANumber { name: String, value: String },
}
