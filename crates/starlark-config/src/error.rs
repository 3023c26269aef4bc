//! Why a script is rejected.

use std::path::PathBuf;
use thiserror::Error;

/// Why a script is rejected. The text of each variant starts with the file, and the line where it is known.
#[derive(Debug, Error)]
pub enum ScriptError {
    /// The script's file could not be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why it could not be read.
        source: ReadFileError,
    },
    /// The script does not parse, failed, or went past one of its bounds.
    #[error("{location}: {reason}")]
    Evaluation {
        /// File and line, or the script's name where there is no line.
        location: String,
        /// The interpreter's text.
        reason: String,
    },
    /// The arguments of a call are not those of its section.
    #[error("{location}: {function}: {source}")]
    Arguments {
        /// File and line of the call.
        location: String,
        /// The function that was called.
        function: &'static str,
        /// The argument and what is wrong with it.
        source: serde_path_to_error::Error<serde_json::Error>,
    },
    /// An option was given that the script does not read.
    #[error("{script}: asks for no option {option:?}")]
    UnknownOption {
        /// The script's name.
        script: String,
        /// The option's name.
        option: String,
    },
    /// A section that must be there is not.
    #[error("{script}: no {section}(...)")]
    MissingSection {
        /// The script's name.
        script: String,
        /// The function of the section.
        section: String,
    },
    /// A section that may be there once is there twice.
    #[error("{location}: {section}: called before, at {first}")]
    DuplicateSection {
        /// File and line of the second call.
        location: String,
        /// The function of the section.
        section: String,
        /// File and line of the first call.
        first: String,
    },
    /// A section is well-formed, but its values are not acceptable.
    #[error("{location}: {reason}")]
    Invalid {
        /// File and line, or the script's name.
        location: String,
        /// What is not acceptable, and why.
        reason: String,
    },
}

impl ScriptError {
    /// Values that are not acceptable, at a place in a script.
    pub fn invalid(location: impl Into<String>, reason: impl std::fmt::Display) -> ScriptError {
        ScriptError::Invalid { location: location.into(), reason: reason.to_string() }
    }

    /// A section that must be there and is not.
    pub fn missing_section(script: impl Into<String>, section: impl Into<String>) -> ScriptError {
        ScriptError::MissingSection { script: script.into(), section: section.into() }
    }
}

/// Why a script's file could not be read.
#[derive(Debug, Error)]
pub enum ReadFileError {
    /// The file system's error.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// It is a folder, a device or the like, or too large.
    #[error("not a file, or over 1 MiB")]
    NotASmallFile,
}

/// Why `load(...)` failed.
#[derive(Debug, Error)]
pub(crate) enum LoadError {
    #[error("load({file:?}): only plain names of files in the script's own folder")]
    OutsideFolder { file: String },
    #[error("load({file:?}): loaded too deep, or in a circle")]
    TooDeep { file: String },
    // The cause is part of the text and no `source`: the interpreter would print it a second time.
    #[error("load({file:?}): {reason}")]
    Unreadable { file: String, reason: ReadFileError },
}

/// Why `option(...)` failed.
#[derive(Debug, Error)]
pub(crate) enum OptionError {
    #[error("option {name}: {value:?} is neither true nor false")]
    NotABool { name: String, value: String },
    #[error("option {name}: {value:?} is no number")]
    NotANumber { name: String, value: String },
}
