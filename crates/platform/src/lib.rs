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

/// Why something was not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed(pub String);

impl std::fmt::Display for Malformed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Malformed {}

pub(crate) fn malformed<T>(reason: impl Into<String>) -> Result<T, Malformed> {
    Err(Malformed(reason.into()))
}
