//! Finds where a message head ends.

use crate::{FramingError, Limits};

/// What a scan for the end of a head found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeadScan {
    /// The head is complete. Its length in bytes, including its empty line.
    Complete(usize),
    /// More input is needed. The offset from which the next scan may start.
    Incomplete(usize),
}

/// Scans for the end of a head from the offset `start` on. Lines must end in CR LF: a bare CR or LF is
/// rejected, as two parties that treat it differently disagree about where the head ends.
///
/// # Errors
/// [`FramingError`] if the head is over its limits or has a bare CR or LF.
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

/// Whether the line that ends at this offset is empty: it follows another line's end, or starts the input.
fn is_empty_line(input: &[u8], line_end: usize) -> bool {
    line_end == 0 || (line_end >= 2 && input[line_end - 1] == b'\n')
}
