//! Configuration scripts in Starlark. A script calls one function for each section of its configuration.
//! Every call is recorded with its file and line, so that an error that is found later can name the line.
//!
//! A script has no access to a clock or the network, and it can only load files from its own folder. The
//! number of its execution steps and its memory are limited. This crate does not interpret the sections; the
//! caller deserializes each call into a type of its own ([`Call::read`]).

mod call;
mod duration;
mod error;
mod evaluate;
mod recorder;

pub use call::{Call, Located, optional_section, required_section};
pub use duration::ScriptDuration;
pub use error::{ReadFileError, ScriptError};
pub use evaluate::{evaluate, evaluate_file};
pub use recorder::record_call;
