//! Replies, as servers send them.

use crate::{Bounds, Cursor, FramingError, parse_length};

/// A reply that is not an array, or one element of an array.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply<'a> {
    /// A simple string: `+...`
    Simple(&'a [u8]),
    /// An error: `-...`
    Error(&'a [u8]),
    /// An integer: `:...`
    Integer(i64),
    /// A bulk string: `$...`
    Bulk(&'a [u8]),
    /// A null bulk string or a null array.
    Null,
}

/// What was found at the start of the input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ParsedReply<'a> {
    /// More input is needed.
    Incomplete,
    /// A complete reply that is not an array.
    Single {
        /// The reply.
        reply: Reply<'a>,
        /// How many bytes of the input the reply takes.
        length: usize,
    },
    /// A complete array.
    Array {
        /// All elements of the array.
        elements: Vec<Reply<'a>>,
        /// How many bytes of the input the array takes.
        length: usize,
    },
    /// An array with a malformed element.
    Malformed {
        /// The valid elements before the malformed one.
        elements: Vec<Reply<'a>>,
        /// What is wrong with the malformed element.
        error: FramingError,
    },
}

/// Parses the reply at the start of `input`. An array inside an array is malformed, as servers never send
/// one.
///
/// # Errors
/// Returns a [`FramingError`] if the input does not start with a reply, or if the reply exceeds the bounds.
/// An error in an element of an array is returned as [`ParsedReply::Malformed`] instead.
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
    let type_byte = match cursor.peek() {
        None => return Ok(None),
        Some(type_byte @ (b'+' | b'-' | b':' | b'$')) => type_byte,
        Some(other) => return Err(FramingError::UnexpectedByte(other)),
    };
    let Some(line) = cursor.line(bounds.max_line_bytes)? else { return Ok(None) };
    match type_byte {
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

/// Parses the rest of a bulk string. `digits` is the length that its first line, already consumed, declares.
fn parse_bulk<'a>(
    cursor: &mut Cursor<'a>,
    digits: &[u8],
    bounds: &Bounds,
) -> Result<Option<Reply<'a>>, FramingError> {
    let Some(length) = parse_length(digits, bounds.max_bulk_bytes)? else { return Ok(Some(Reply::Null)) };
    cursor.check_message_bound(length, bounds)?;
    Ok(cursor.bulk(length)?.map(Reply::Bulk))
}
