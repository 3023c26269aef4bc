//! Commands, as clients send them: arrays of bulk strings.

use crate::{Bounds, Cursor, FramingError, parse_length, write_bulk};

/// A complete command at the start of the input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParsedCommand<'a> {
    /// The command's name, followed by its arguments. Never empty.
    pub arguments: Vec<&'a [u8]>,
    /// How many bytes of the input the command takes.
    pub length: usize,
}

/// Parses the command at the start of `input`. Returns `None` if more input is needed.
///
/// # Errors
/// Returns a [`FramingError`] if the input does not start with a command, or if the command exceeds the
/// bounds.
pub fn parse<'a>(input: &'a [u8], bounds: &Bounds) -> Result<Option<ParsedCommand<'a>>, FramingError> {
    let mut cursor = Cursor::new(input);
    let Some(count) = parse_header(&mut cursor, b'*', bounds, bounds.max_elements)? else { return Ok(None) };
    // A command has at least its name, so an empty array is not a command.
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

/// Parses a line that starts with `type_byte` and declares a length of at most `max_length`. A null is an
/// error.
fn parse_header(
    cursor: &mut Cursor<'_>,
    type_byte: u8,
    bounds: &Bounds,
    max_length: usize,
) -> Result<Option<usize>, FramingError> {
    match cursor.peek() {
        None => return Ok(None),
        Some(byte) if byte != type_byte => return Err(FramingError::UnexpectedByte(byte)),
        Some(_) => {}
    }
    let Some(digits) = cursor.line(bounds.max_line_bytes)? else { return Ok(None) };
    let length = parse_length(digits, max_length)?;
    length.map(Some).ok_or(FramingError::InvalidLength)
}

/// Appends a command to `out`. `arguments` starts with the command's name.
pub fn write(out: &mut Vec<u8>, arguments: &[&[u8]]) {
    out.extend_from_slice(format!("*{}\r\n", arguments.len()).as_bytes());
    for argument in arguments {
        write_bulk(out, argument);
    }
}
