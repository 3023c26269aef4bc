//! The side that faces servers: replies.

use crate::{Bounds, Cursor, Fault, length};

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

/// What the front of the input holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read<'a> {
    /// More is needed.
    More,
    /// A reply that is no array, and the bytes it took.
    One(Reply<'a>, usize),
    /// A whole array and the bytes it took.
    Array(Vec<Reply<'a>>, usize),
    /// An array whose elements so far are sound, and the fault in what follows them.
    Broken(Vec<Reply<'a>>, Fault),
}

/// Takes a reply off the front of `input`. An array within an array is none of this protocol.
pub fn read<'a>(input: &'a [u8], bounds: &Bounds) -> Result<Read<'a>, Fault> {
    let mut cursor = Cursor::new(input);
    if cursor.peek() != Some(b'*') {
        let one = element(&mut cursor, bounds)?;
        return Ok(one.map_or(Read::More, |reply| Read::One(reply, cursor.at)));
    }
    let Some(digits) = cursor.line(bounds.line)? else { return Ok(Read::More) };
    let Some(count) = length(digits, bounds.parts)? else {
        return Ok(Read::One(Reply::Null, cursor.at));
    };
    let mut elements = Vec::with_capacity(count);
    while elements.len() < count {
        match element(&mut cursor, bounds) {
            Ok(Some(reply)) => elements.push(reply),
            Ok(None) => return Ok(Read::More),
            Err(fault) => return Ok(Read::Broken(elements, fault)),
        }
    }
    Ok(Read::Array(elements, cursor.at))
}

fn element<'a>(cursor: &mut Cursor<'a>, bounds: &Bounds) -> Result<Option<Reply<'a>>, Fault> {
    let kind = match cursor.peek() {
        None => return Ok(None),
        Some(kind @ (b'+' | b'-' | b':' | b'$')) => kind,
        Some(other) => return Err(Fault::Kind(other)),
    };
    let Some(line) = cursor.line(bounds.line)? else { return Ok(None) };
    Ok(Some(match kind {
        b'+' => Reply::Simple(line),
        b'-' => Reply::Error(line),
        b':' => {
            let number = std::str::from_utf8(line).ok().and_then(|text| text.parse().ok());
            Reply::Integer(number.ok_or(Fault::Length)?)
        }
        _ => match length(line, bounds.bulk)? {
            None => Reply::Null,
            Some(length) if cursor.at + length + 2 > bounds.whole => return Err(Fault::TooLong),
            Some(length) => match cursor.bulk(length)? {
                None => return Ok(None),
                Some(bytes) => Reply::Bulk(bytes),
            },
        },
    }))
}
