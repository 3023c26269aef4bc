//! Configuration scripts in Starlark. A script calls one function for each section of what it describes;
//! every call is recorded with its file and line, so that an error found later can name the place.
//!
//! A script has no clock, no network and no files but those that it loads from its own folder; its steps and
//! memory are bounded. What the sections mean is up to the caller ([`Call::read`]).

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
