//! The side that faces servers: replies.

use crate::{Bounds, Cursor, FramingError, parse_length};

/// A reply, or an element of one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply<'a> {
    /// `+...`
    Simple(&'a [u8]),
    /// `-...`
    Error(&'a [u8]),
    /// `:...`
    Integer(i64),
    /// `$...`
    Bulk(&'a [u8]),
    /// A null bulk string or array.
    Null,
}

/// What was found at the front of the input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ParsedReply<'a> {
    /// More input is needed.
    Incomplete,
    /// A reply that is no array.
    Single {
        /// The reply.
        reply: Reply<'a>,
        /// Its length in bytes.
        length: usize,
    },
    /// A complete array.
    Array {
        /// Its elements.
        elements: Vec<Reply<'a>>,
        /// Its length in bytes.
        length: usize,
    },
    /// An array that is malformed after some valid elements.
    Malformed {
        /// The valid elements.
        elements: Vec<Reply<'a>>,
        /// What is wrong with what follows them.
        error: FramingError,
    },
}

/// Parses the reply at the front of `input`. An array within an array does not belong to this protocol.
///
/// # Errors
/// A [`FramingError`] if the input is no reply, or one over the bounds. An error after the head of an array
/// is a [`ParsedReply::Malformed`] instead.
pub fn parse<'a>(input: &'a [u8], bounds: &Bounds) -> Result<ParsedReply<'a>, FramingError> {
    let mut cursor = Cursor::new(input);
    if cursor.peek() == Some(b'*') {
        return parse_array(&mut cursor, bounds);
    }
    Ok(match parse_element(&mut cursor, bounds)? {
        None => ParsedReply::Incomplete,
        Some(reply) => ParsedReply::Single { reply, length: cursor.offset },
    })
}

fn parse_array<'a>(cursor: &mut Cursor<'a>, bounds: &Bounds) -> Result<ParsedReply<'a>, FramingError> {
    let Some(digits) = cursor.line(bounds.max_line_bytes)? else { return Ok(ParsedReply::Incomplete) };
    let Some(count) = parse_length(digits, bounds.max_elements)? else {
        return Ok(ParsedReply::Single { reply: Reply::Null, length: cursor.offset });
    };
    let mut elements = Vec::with_capacity(count);
    while elements.len() < count {
        match parse_element(cursor, bounds) {
            Ok(Some(reply)) => elements.push(reply),
            Ok(None) => return Ok(ParsedReply::Incomplete),
            Err(error) => return Ok(ParsedReply::Malformed { elements, error }),
        }
    }
    Ok(ParsedReply::Array { elements, length: cursor.offset })
}

fn parse_element<'a>(cursor: &mut Cursor<'a>, bounds: &Bounds) -> Result<Option<Reply<'a>>, FramingError> {
    let kind = match cursor.peek() {
        None => return Ok(None),
        Some(kind @ (b'+' | b'-' | b':' | b'$')) => kind,
        Some(other) => return Err(FramingError::UnexpectedByte(other)),
    };
    let Some(line) = cursor.line(bounds.max_line_bytes)? else { return Ok(None) };
    match kind {
        b'+' => Ok(Some(Reply::Simple(line))),
        b'-' => Ok(Some(Reply::Error(line))),
        b':' => parse_integer(line).map(Some),
        _ => parse_bulk(cursor, line, bounds),
    }
}

fn parse_integer(digits: &[u8]) -> Result<Reply<'static>, FramingError> {
    let number = std::str::from_utf8(digits).ok().and_then(|text| text.parse().ok());
    number.map(Reply::Integer).ok_or(FramingError::InvalidLength)
}

/// Parses a bulk string, the line with its length having been consumed.
fn parse_bulk<'a>(
    cursor: &mut Cursor<'a>,
    digits: &[u8],
    bounds: &Bounds,
) -> Result<Option<Reply<'a>>, FramingError> {
    let Some(length) = parse_length(digits, bounds.max_bulk_bytes)? else { return Ok(Some(Reply::Null)) };
    cursor.check_message_bound(length, bounds)?;
    Ok(cursor.bulk(length)?.map(Reply::Bulk))
}
