//! The platform's protocol without I/O or a clock: bytes in, the engine's plain types out, and back.
//!
//! - [`config`]: the configuration that a proxy is started with
//! - [`call`]: clients' commands, and calls as they are sent on to servers
//! - [`answer`]: what a server's reply means for its attempt, and a proxy's own responses
//! - [`discovery`]: the server list
//! - [`pipeline`]: the release status, reports of wrong answers, votes
//!
//! Malformed input becomes a typed error here and never reaches the engine. Times are
//! microseconds; the platform's wall-clock times are taken as they are, so a driver's clock must count from
//! the same origin.

pub mod answer;
pub mod call;
pub mod config;
pub mod discovery;
mod error;
pub mod pipeline;

pub use error::{AnswerError, CallError, ConfigurationError, ListError, PipelineError};
