//! The platform's protocol without I/O or a clock: bytes in, the engine's plain types out, and back.
//!
//! - [`config`]: the configuration that a proxy is started with
//! - [`call`]: clients' commands, and calls as they are sent on to servers
//! - [`response`]: what a server's reply means for its attempt, and a proxy's own responses
//! - [`discovery`]: the server list
//! - [`release_service`]: the release status, reports of wrong answers, votes
//!
//! Malformed input becomes a typed error here and never reaches the engine. Times are
//! microseconds; the platform's wall-clock times are taken as they are, so a driver's clock must count from
//! the same origin.

pub mod call;
pub mod config;
pub mod discovery;
mod error;
pub mod release_service;
pub mod response;

pub use error::{CallError, ConfigurationError, ListError, ReleaseServiceError, ResponseError};
