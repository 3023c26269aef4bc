//! The side that faces clients: commands, arrays of bulk strings.

use crate::{Bounds, Cursor, Fault, length, write_bulk};

/// A command's words; never empty.
pub type Words<'a> = Vec<&'a [u8]>;

/// Takes a command off the front of `input`: its words and how many bytes it took. `None`: more is needed.
pub fn read<'a>(input: &'a [u8], bounds: &Bounds) -> Result<Option<(Words<'a>, usize)>, Fault> {
    let mut cursor = Cursor::new(input);
    match cursor.peek() {
        None => return Ok(None),
        Some(b'*') => {}
        Some(other) => return Err(Fault::Kind(other)),
    }
    let Some(digits) = cursor.line(bounds.line)? else { return Ok(None) };
    // An array without elements, or null, is no command.
    let count = length(digits, bounds.parts)?.filter(|n| *n > 0).ok_or(Fault::Length)?;
    let mut words = Vec::with_capacity(count);
    for _ in 0..count {
        match cursor.peek() {
            None => return Ok(None),
            Some(b'$') => {}
            Some(other) => return Err(Fault::Kind(other)),
        }
        let Some(digits) = cursor.line(bounds.line)? else { return Ok(None) };
        let length = length(digits, bounds.bulk)?.ok_or(Fault::Length)?;
        if cursor.at + length + 2 > bounds.whole {
            return Err(Fault::TooLong);
        }
        let Some(word) = cursor.bulk(length)? else { return Ok(None) };
        words.push(word);
    }
    Ok(Some((words, cursor.at)))
}

/// Appends a command.
pub fn write(out: &mut Vec<u8>, words: &[&[u8]]) {
    out.extend_from_slice(format!("*{}\r\n", words.len()).as_bytes());
    words.iter().for_each(|word| write_bulk(out, word));
}
