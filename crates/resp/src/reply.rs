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
    /// A reply that is no array, and its length in bytes.
    Single(Reply<'a>, usize),
    /// A complete array and its length in bytes.
    Array(Vec<Reply<'a>>, usize),
    /// The valid elements at the start of an array, and the fault in what follows them.
    Malformed(Vec<Reply<'a>>, FramingError),
}

/// Parses the reply at the front of `input`. An array within an array does not belong to this protocol.
///
/// # Errors
/// A [`FramingError`] if the input is no reply, or one over the bounds. A fault after the head of an array is a
/// [`ParsedReply::Malformed`] instead.
pub fn parse<'a>(input: &'a [u8], bounds: &Bounds) -> Result<ParsedReply<'a>, FramingError> {
    let mut cursor = Cursor::new(input);
    if cursor.peek() != Some(b'*') {
        let one = element(&mut cursor, bounds)?;
        return Ok(one.map_or(ParsedReply::Incomplete, |reply| ParsedReply::Single(reply, cursor.at)));
    }
    let Some(digits) = cursor.line(bounds.max_line_bytes)? else { return Ok(ParsedReply::Incomplete) };
    let Some(count) = parse_length(digits, bounds.max_elements)? else {
        return Ok(ParsedReply::Single(Reply::Null, cursor.at));
    };
    let mut elements = Vec::with_capacity(count);
    while elements.len() < count {
        match element(&mut cursor, bounds) {
            Ok(Some(reply)) => elements.push(reply),
            Ok(None) => return Ok(ParsedReply::Incomplete),
            Err(fault) => return Ok(ParsedReply::Malformed(elements, fault)),
        }
    }
    Ok(ParsedReply::Array(elements, cursor.at))
}

fn element<'a>(cursor: &mut Cursor<'a>, bounds: &Bounds) -> Result<Option<Reply<'a>>, FramingError> {
    let kind = match cursor.peek() {
        None => return Ok(None),
        Some(kind @ (b'+' | b'-' | b':' | b'$')) => kind,
        Some(other) => return Err(FramingError::UnexpectedByte(other)),
    };
    let Some(line) = cursor.line(bounds.max_line_bytes)? else { return Ok(None) };
    Ok(Some(match kind {
        b'+' => Reply::Simple(line),
        b'-' => Reply::Error(line),
        b':' => {
            let number = std::str::from_utf8(line).ok().and_then(|text| text.parse().ok());
            Reply::Integer(number.ok_or(FramingError::InvalidLength)?)
        }
        _ => match parse_length(line, bounds.max_bulk_bytes)? {
            None => Reply::Null,
            Some(length) if cursor.at + length + 2 > bounds.max_message_bytes => {
                return Err(FramingError::TooLong);
            }
            Some(length) => match cursor.bulk(length)? {
                None => return Ok(None),
                Some(bytes) => Reply::Bulk(bytes),
            },
        },
    }))
}
