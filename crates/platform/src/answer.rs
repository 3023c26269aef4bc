//! Replies: what one says of an attempt, and the final answers that a proxy words itself.

use violetseam::interface::{Micros, Outcome};
use violetseam_resp::reply::{Read, Reply, read};
use violetseam_resp::{Bounds, Fault, write_bulk, write_error};

/// What the bytes from a server say.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer<'a> {
    /// Not whole yet.
    More,
    /// Served, with this value.
    Served {
        /// The value.
        value: &'a [u8],
        /// The connection may carry another request.
        reusable: bool,
    },
    /// Not served.
    Ended {
        /// How the attempt ended.
        outcome: Outcome,
        /// The connection may carry another request.
        reusable: bool,
    },
    /// Nothing of this protocol: the attempt may have run, and the connection is of no further use.
    Spoilt(&'static str),
}

/// Reads what a server has sent for the one request that waits on a connection. An answer is an array: the
/// value, null, the load report or null. A value that is whole counts though its load report cannot be read
/// or more follows than belongs to it, but then nothing more is asked on that connection.
pub fn answer<'a>(input: &'a [u8], bounds: &Bounds) -> Answer<'a> {
    match read(input, bounds) {
        Ok(Read::More) => Answer::More,
        Ok(Read::One(Reply::Error(text), used)) => {
            let busy = text == b"BUSY" || text.starts_with(b"BUSY ");
            let outcome = if busy { Outcome::Rejected } else { Outcome::Error };
            Answer::Ended { outcome, reusable: used == input.len() }
        }
        Ok(Read::One(..)) => Answer::Spoilt("neither an array nor an error"),
        Ok(Read::Array(elements, used)) => match elements[..] {
            [Reply::Bulk(value), Reply::Null, Reply::Null | Reply::Bulk(_)] => {
                Answer::Served { value, reusable: used == input.len() }
            }
            [Reply::Bulk(value), Reply::Null, _] => Answer::Served { value, reusable: false },
            _ => Answer::Spoilt("an array that is no answer"),
        },
        Ok(Read::Broken(elements, fault)) => match elements[..] {
            [Reply::Bulk(value), Reply::Null] => Answer::Served { value, reusable: false },
            _ => Answer::Spoilt(reason(fault)),
        },
        Err(fault) => Answer::Spoilt(reason(fault)),
    }
}

fn reason(fault: Fault) -> &'static str {
    match fault {
        Fault::Kind(_) => "noise",
        Fault::Line => "a line without an end",
        Fault::Length => "a length that does not fit",
        Fault::TooLong => "a length over the limit",
    }
}

/// Appends a served value as a client gets it.
pub fn write_served(out: &mut Vec<u8>, value: &[u8]) {
    write_bulk(out, value);
}

/// Appends a refusal; with advice when to come back, unless that is 0.
pub fn write_refused(out: &mut Vec<u8>, come_back: Micros) {
    if come_back == 0 {
        write_error(out, "BUSY");
    } else {
        write_error(out, &format!("BUSY {}", come_back.div_ceil(1000)));
    }
}

/// Appends a failure.
pub fn write_failed(out: &mut Vec<u8>) {
    write_error(out, "ERR failed");
}

/// Appends the answer to what cannot be taken; nothing of it has gone anywhere.
pub fn write_malformed(out: &mut Vec<u8>, why: &str) {
    write_error(out, &format!("ERR {why}"));
}
