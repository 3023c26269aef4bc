//! Finds the end of a message head in the input.

use crate::{FramingError, Limits};

/// The result of a scan for the end of a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeadScan {
    /// The head is complete: its length in bytes, including the empty line that ends it.
    Complete(usize),
    /// More input is needed: the offset at which the next scan can start.
    Incomplete(usize),
}

/// Scans for the end of a head, starting at the offset `start`. Lines must end in CR LF. A bare CR or LF is
/// rejected, because two parties that treat it differently disagree about where the head ends.
///
/// # Errors
/// [`FramingError`] if the head exceeds its limit or contains a bare CR or LF.
pub(crate) fn scan_head(input: &[u8], start: usize, limits: &Limits) -> Result<HeadScan, FramingError> {
    let mut scanned = start;
    while let Some(distance) = memchr::memchr2(b'\r', b'\n', &input[scanned..]) {
        let line_end = scanned + distance;
        if line_end >= limits.max_head_bytes {
            break;
        }
        if input[line_end] == b'\n' {
            return Err(FramingError::BareLineFeedInHead);
        }
        match input.get(line_end + 1) {
            None => return Ok(HeadScan::Incomplete(line_end)),
            Some(b'\n') => {}
            Some(_) => return Err(FramingError::BareCarriageReturnInHead),
        }
        if is_empty_line(input, line_end) {
            return Ok(HeadScan::Complete(line_end + 2));
        }
        scanned = line_end + 2;
    }
    if input.len() >= limits.max_head_bytes {
        return Err(FramingError::HeadTooLarge);
    }
    Ok(HeadScan::Incomplete(input.len()))
}

/// Whether the line whose CR LF is at this offset is empty: the CR LF follows that of another line, or is at
/// the start of the input.
fn is_empty_line(input: &[u8], line_end: usize) -> bool {
    line_end == 0 || (line_end >= 2 && input[line_end - 1] == b'\n')
}
