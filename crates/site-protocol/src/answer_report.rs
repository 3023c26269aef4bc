//! Reports from clients that an answer (a response) was wrong. A report is a JSON object with the id that
//! came with the answer.

use crate::json::from_json;
use crate::{MessageError, MessageType};
use serde::{Deserialize, Serialize};

/// The maximum length of a report's body, in bytes.
pub const MAX_BODY_BYTES: usize = 256;
/// The number of hexadecimal digits of an answer's id.
const ID_DIGIT_COUNT: usize = 16;

/// A client's report that an answer was wrong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerReport {
    /// The answer's id as 16 hexadecimal digits, copied from the header that came with the answer.
    pub answer: String,
}

/// Parses the body of a report and returns the answer's id.
///
/// # Errors
/// [`MessageError`] if the body is too long or is not a report.
pub fn parse(body: &[u8]) -> Result<u64, MessageError> {
    if body.len() > MAX_BODY_BYTES {
        return Err(MessageError::ReportTooLong);
    }
    let report: AnswerReport = from_json(MessageType::AnswerReport, body)?;
    parse_id(&report.answer).ok_or(MessageError::InvalidAnswerId)
}

fn parse_id(digits: &str) -> Option<u64> {
    // The digits are checked first, because `from_str_radix` would accept a sign.
    let is_id = digits.len() == ID_DIGIT_COUNT && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !is_id {
        return None;
    }
    u64::from_str_radix(digits, 16).ok()
}

/// Formats an answer's id as 16 hexadecimal digits.
pub fn write_id(id: u64) -> String {
    format!("{id:016x}")
}
