//! The platform's protocol without I/O or a clock: bytes in, the decisions' plain types out, and back.
//!
//! - [`config`]: what a proxy is told when it starts
//! - [`call`]: clients' commands, as they go on to servers
//! - [`answer`]: what a server's reply says of an attempt, and a proxy's own answers
//! - [`discovery`]: the server list
//! - [`pipeline`]: stage news, reports of wrong answers, votes
//!
//! What is malformed becomes an error with its reason here and never reaches the decisions. Times are
//! microseconds; the platform's wall-clock times are taken as they are, so a driver's clock must count from
//! the same origin.

pub mod answer;
pub mod call;
pub mod config;
pub mod discovery;
pub mod pipeline;

pub use violetseam_site::Malformed;

pub(crate) fn malformed<T>(reason: impl Into<String>) -> Result<T, Malformed> {
    Err(Malformed(reason.into()))
}
