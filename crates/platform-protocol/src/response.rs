//! Parses servers' responses into the outcomes of their attempts, and writes the final responses that a proxy
//! sends to clients.

use crate::ResponseError;
use violetseam::interface::{Micros, Outcome};
use violetseam_resp::reply::{ParsedReply, Reply, parse};
use violetseam_resp::{Bounds, write_bulk, write_error};

/// What the bytes that a server has sent for an attempt mean.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerResponse<'a> {
    /// More bytes are needed.
    Incomplete,
    /// The server has served the request.
    Served {
        /// The value that the client gets.
        value: &'a [u8],
        /// Whether the connection may carry another request.
        reusable: bool,
    },
    /// The server has rejected or failed the request.
    NotServed {
        /// How the attempt ended.
        outcome: Outcome,
        /// Whether the connection may carry another request.
        reusable: bool,
    },
    /// The bytes are not a response of this protocol. The server may have run the request, and the connection
    /// cannot be used again.
    Malformed(ResponseError),
}

/// Parses the bytes that a server has sent for the one request in flight on a connection. The response to a
/// served request is an array of the value, a null, and the load report or another null. A complete value
/// counts even if the load report is malformed or bytes follow the response, but then the connection is not
/// used again.
pub fn parse_response<'a>(input: &'a [u8], bounds: &Bounds) -> ServerResponse<'a> {
    match parse(input, bounds) {
        Ok(ParsedReply::Incomplete) => ServerResponse::Incomplete,
        Ok(ParsedReply::Single { reply: Reply::Error(text), length }) => {
            let is_busy = text == b"BUSY" || text.starts_with(b"BUSY ");
            let outcome = if is_busy { Outcome::Rejected } else { Outcome::Error };
            ServerResponse::NotServed { outcome, reusable: length == input.len() }
        }
        Ok(ParsedReply::Single { .. }) => ServerResponse::Malformed(ResponseError::UnexpectedReply),
        Ok(ParsedReply::Array { elements, length }) => match elements[..] {
            [Reply::Bulk(value), Reply::Null, Reply::Null | Reply::Bulk(_)] => {
                ServerResponse::Served { value, reusable: length == input.len() }
            }
            [Reply::Bulk(value), Reply::Null, _] => ServerResponse::Served { value, reusable: false },
            _ => ServerResponse::Malformed(ResponseError::UnexpectedArray),
        },
        Ok(ParsedReply::Malformed { elements, error }) => match elements[..] {
            [Reply::Bulk(value), Reply::Null] => ServerResponse::Served { value, reusable: false },
            _ => ServerResponse::Malformed(ResponseError::Framing(error)),
        },
        Err(error) => ServerResponse::Malformed(ResponseError::Framing(error)),
    }
}

/// Appends the response to a served request to `out`.
pub fn write_served(out: &mut Vec<u8>, value: &[u8]) {
    write_bulk(out, value);
}

/// Appends a rejection to `out`. It states after how many milliseconds to retry, unless `retry_after` is 0.
pub fn write_rejected(out: &mut Vec<u8>, retry_after: Micros) {
    if retry_after == 0 {
        write_error(out, "BUSY");
    } else {
        write_error(out, &format!("BUSY {}", retry_after.div_ceil(1000)));
    }
}

/// Appends the response to a failed request to `out`.
pub fn write_failed(out: &mut Vec<u8>) {
    write_error(out, "ERR failed");
}

/// Appends the response to a malformed command, which no server has received, to `out`.
pub fn write_malformed(out: &mut Vec<u8>, reason: &str) {
    write_error(out, &format!("ERR {reason}"));
}
