//! Replies: what a server's answer means for its attempt, and the final responses that a proxy sends to clients.

use crate::ResponseError;
use violetseam::interface::{Micros, Outcome};
use violetseam_resp::reply::{ParsedReply, Reply, parse};
use violetseam_resp::{Bounds, write_bulk, write_error};

/// What the bytes from a server mean.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerResponse<'a> {
    /// Not complete yet.
    Incomplete,
    /// Served, with this value.
    Served {
        /// The value.
        value: &'a [u8],
        /// The connection may carry another request.
        reusable: bool,
    },
    /// Not served.
    NotServed {
        /// How the attempt ended.
        outcome: Outcome,
        /// The connection may carry another request.
        reusable: bool,
    },
    /// Not an answer of this protocol: the attempt may have run, and the connection cannot be used again.
    Malformed(ResponseError),
}

/// Parses what a server has sent for the one request that waits on a connection. An answer is an array: the
/// value, null, the load report or null. A complete value counts even if its load report is malformed
/// or if more bytes follow than belong to it, but then the connection is not used again.
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

/// Appends a served value as a client gets it.
pub fn write_served(out: &mut Vec<u8>, value: &[u8]) {
    write_bulk(out, value);
}

/// Appends a rejection; with a time to retry after, unless that is 0.
pub fn write_rejected(out: &mut Vec<u8>, retry_after: Micros) {
    if retry_after == 0 {
        write_error(out, "BUSY");
    } else {
        write_error(out, &format!("BUSY {}", retry_after.div_ceil(1000)));
    }
}

/// Appends a failure.
pub fn write_failed(out: &mut Vec<u8>) {
    write_error(out, "ERR failed");
}

/// Appends the response to a malformed command, which was sent to no server.
pub fn write_malformed(out: &mut Vec<u8>, why: &str) {
    write_error(out, &format!("ERR {why}"));
}
