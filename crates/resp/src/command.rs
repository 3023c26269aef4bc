//! The side that faces clients: commands, which are arrays of bulk strings.

use crate::{Bounds, Cursor, FramingError, parse_length, write_bulk};

/// A complete command at the front of the input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParsedCommand<'a> {
    /// Its arguments, the command's name first; at least one.
    pub arguments: Vec<&'a [u8]>,
    /// Its length in bytes.
    pub length: usize,
}

/// Parses the command at the front of `input`. `None`: more input is needed.
///
/// # Errors
/// A [`FramingError`] if the input is no command, or one over the bounds.
pub fn parse<'a>(input: &'a [u8], bounds: &Bounds) -> Result<Option<ParsedCommand<'a>>, FramingError> {
    let mut cursor = Cursor::new(input);
    let Some(count) = parse_header(&mut cursor, b'*', bounds, bounds.max_elements)? else { return Ok(None) };
    // An array without elements is no command.
    if count == 0 {
        return Err(FramingError::InvalidLength);
    }
    let mut arguments = Vec::with_capacity(count);
    for _ in 0..count {
        let Some(argument) = parse_argument(&mut cursor, bounds)? else { return Ok(None) };
        arguments.push(argument);
    }
    Ok(Some(ParsedCommand { arguments, length: cursor.offset }))
}

fn parse_argument<'a>(cursor: &mut Cursor<'a>, bounds: &Bounds) -> Result<Option<&'a [u8]>, FramingError> {
    let Some(length) = parse_header(cursor, b'$', bounds, bounds.max_bulk_bytes)? else { return Ok(None) };
    cursor.check_message_bound(length, bounds)?;
    cursor.bulk(length)
}

/// Parses a line of this kind that states a length of at most `max_length`. Null is an error.
fn parse_header(
    cursor: &mut Cursor<'_>,
    kind: u8,
    bounds: &Bounds,
    max_length: usize,
) -> Result<Option<usize>, FramingError> {
    match cursor.peek() {
        None => return Ok(None),
        Some(byte) if byte != kind => return Err(FramingError::UnexpectedByte(byte)),
        Some(_) => {}
    }
    let Some(digits) = cursor.line(bounds.max_line_bytes)? else { return Ok(None) };
    let length = parse_length(digits, max_length)?;
    length.map(Some).ok_or(FramingError::InvalidLength)
}

/// Appends a command.
pub fn write(out: &mut Vec<u8>, arguments: &[&[u8]]) {
    out.extend_from_slice(format!("*{}\r\n", arguments.len()).as_bytes());
    for argument in arguments {
        write_bulk(out, argument);
    }
}
