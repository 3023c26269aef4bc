//! The side that faces clients: commands, arrays of bulk strings.

use crate::{Bounds, Cursor, FramingError, parse_length, write_bulk};

/// A command's words; at least one.
pub type Words<'a> = Vec<&'a [u8]>;

/// Parses the command at the front of `input`: its words and its length in bytes. `None`: more input is needed.
///
/// # Errors
/// A [`FramingError`] if the input is no command, or one over the bounds.
pub fn parse<'a>(input: &'a [u8], bounds: &Bounds) -> Result<Option<(Words<'a>, usize)>, FramingError> {
    let mut cursor = Cursor::new(input);
    match cursor.peek() {
        None => return Ok(None),
        Some(b'*') => {}
        Some(other) => return Err(FramingError::UnexpectedByte(other)),
    }
    let Some(digits) = cursor.line(bounds.max_line_bytes)? else { return Ok(None) };
    // An array without elements, or null, is no command.
    let count =
        parse_length(digits, bounds.max_elements)?.filter(|n| *n > 0).ok_or(FramingError::InvalidLength)?;
    let mut words = Vec::with_capacity(count);
    for _ in 0..count {
        match cursor.peek() {
            None => return Ok(None),
            Some(b'$') => {}
            Some(other) => return Err(FramingError::UnexpectedByte(other)),
        }
        let Some(digits) = cursor.line(bounds.max_line_bytes)? else { return Ok(None) };
        let length = parse_length(digits, bounds.max_bulk_bytes)?.ok_or(FramingError::InvalidLength)?;
        if cursor.at + length + 2 > bounds.max_message_bytes {
            return Err(FramingError::TooLong);
        }
        let Some(word) = cursor.bulk(length)? else { return Ok(None) };
        words.push(word);
    }
    Ok(Some((words, cursor.at)))
}

/// Appends a command.
pub fn write(out: &mut Vec<u8>, words: &[&[u8]]) {
    out.extend_from_slice(format!("*{}\r\n", words.len()).as_bytes());
    for word in words {
        write_bulk(out, word);
    }
}
