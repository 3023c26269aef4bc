//! The platform's protocol without I/O or a clock: converts bytes to the engine's types and back.
//!
//! - [`config`]: the configuration that a proxy reads at the start and on a reload
//! - [`call`]: clients' commands, and calls as they are sent to servers
//! - [`response`]: servers' responses to attempts, and the responses that a proxy sends to clients
//! - [`discovery`]: the server list
//! - [`release_service`]: the release status, reports of wrong responses, and votes
//!
//! Malformed input is returned as a typed error and never reaches the engine. Times are in microseconds. The
//! platform's wall-clock times are used without conversion of their origin, so the clock of the driver must
//! count from the same origin, the Unix epoch.

pub mod call;
pub mod config;
pub mod discovery;
mod error;
pub mod release_service;
pub mod response;

pub use error::{CallError, ConfigurationError, ListError, ReleaseServiceError, ResponseError};
