//! Clients' reports of wrong answers: the id that came with the answer, as JSON.

use crate::{Malformed, malformed};
use serde::{Deserialize, Serialize};

/// The longest body that is taken, in bytes.
pub const MAX_BODY_BYTES: usize = 256;

/// A report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerReport {
    /// The answer's id: 16 hexadecimal digits, as its header gave it.
    pub answer: String,
}

/// Reads a report's body: the answer's id.
///
/// # Errors
/// [`Malformed`] if the body is not a report.
pub fn parse(body: &[u8]) -> Result<u64, Malformed> {
    if body.len() > MAX_BODY_BYTES {
        return malformed("flag: too long");
    }
    let flag: AnswerReport = serde_json::from_slice(body).map_err(|e| Malformed(format!("flag: {e}")))?;
    if flag.answer.len() != 16 || !flag.answer.bytes().all(|b| b.is_ascii_hexdigit()) {
        return malformed("flag: an answer id has 16 hexadecimal digits");
    }
    u64::from_str_radix(&flag.answer, 16).map_err(|_| Malformed("flag: not a number".into()))
}

/// Writes an answer's id.
pub fn write_id(id: u64) -> String {
    format!("{id:016x}")
}
