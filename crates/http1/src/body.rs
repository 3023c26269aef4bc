//! Reads and writes message bodies that are framed by a length, by chunks or by the end of the connection.

use crate::input::InputBuffer;
use crate::{Framing, FramingError};

/// The maximum length of a chunk's size line or a trailer line, in bytes.
const MAX_LINE_BYTES: usize = 512;
/// The maximum number of trailer lines. Trailers are discarded.
const MAX_TRAILERS: usize = 32;
/// The maximum number of hexadecimal digits of a chunk's size.
const MAX_CHUNK_SIZE_DIGITS: usize = 15;
/// The length of the line end CR LF, in bytes.
const LINE_END_BYTES: usize = 2;

/// The part of the body that is expected next.
#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// This number of bytes, which are the rest of a body with a length.
    Length(u64),
    /// All bytes until the connection closes.
    UntilClose,
    /// The line with the size of a chunk.
    ChunkSize,
    /// This number of bytes, which are the rest of a chunk's data.
    ChunkData(u64),
    /// The line end after a chunk's data.
    ChunkEnd,
    /// A trailer line or the empty line that ends the body, after this number of trailers.
    Trailers(usize),
    /// Nothing: the body is complete.
    Done,
}

/// Reads one message body. The caller passes input to [`BodyReader::read`] until [`BodyReader::is_done`].
#[derive(Clone, Debug)]
pub struct BodyReader {
    state: State,
    body_bytes: u64,
    max_body_bytes: u64,
}

impl BodyReader {
    /// Creates a reader for a body with this framing and with at most `max_body_bytes` bytes.
    pub fn new(framing: Framing, max_body_bytes: u64) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        BodyReader { state, body_bytes: 0, max_body_bytes }
    }

    /// Whether the body is complete.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Tells the reader that the sender has closed the connection. This completes a body that is framed by
    /// the end of the connection, and truncates any other body.
    ///
    /// # Errors
    /// [`FramingError::ClosedWithinBody`] if the body is truncated.
    pub fn on_connection_closed(&mut self) -> Result<(), FramingError> {
        match self.state {
            State::UntilClose | State::Done => {
                self.state = State::Done;
                Ok(())
            }
            _ => Err(FramingError::ClosedWithinBody),
        }
    }

    /// Reads as much of `input` as possible, appends the bytes of the body to `out`, and returns the number
    /// of input bytes that it consumed. A result of 0 for a non-empty input means that a line is incomplete,
    /// or that the body was complete before.
    ///
    /// # Errors
    /// [`FramingError`] if the input is malformed, or if a part of it exceeds its limit.
    pub fn read(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<usize, FramingError> {
        let mut total = 0;
        while total < input.len() && !self.is_done() {
            let consumed = self.read_element(&input[total..], out)?;
            if consumed == 0 {
                break;
            }
            total += consumed;
        }
        Ok(total)
    }

    /// Reads the element that the state expects, or the available part of it. Returns the number of consumed
    /// bytes, which is 0 for an incomplete line.
    fn read_element(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<usize, FramingError> {
        match self.state {
            State::Done => Ok(0),
            State::UntilClose => {
                self.append(input, out)?;
                Ok(input.len())
            }
            State::Length(remaining) => {
                let data = first_bytes(input, remaining);
                self.append(data, out)?;
                let remaining = remaining - data.len() as u64;
                self.state = if remaining == 0 { State::Done } else { State::Length(remaining) };
                Ok(data.len())
            }
            State::ChunkData(remaining) => {
                let data = first_bytes(input, remaining);
                self.append(data, out)?;
                let remaining = remaining - data.len() as u64;
                self.state = if remaining == 0 { State::ChunkEnd } else { State::ChunkData(remaining) };
                Ok(data.len())
            }
            State::ChunkEnd => self.read_chunk_end(input),
            State::ChunkSize => self.read_chunk_size(input),
            State::Trailers(count) => self.read_trailer(input, count),
        }
    }

    fn read_chunk_size(&mut self, input: &[u8]) -> Result<usize, FramingError> {
        let Some(line) = first_line(input)? else { return Ok(0) };
        self.state = match parse_chunk_size(line)? {
            0 => State::Trailers(0),
            size => State::ChunkData(size),
        };
        Ok(line.len() + LINE_END_BYTES)
    }

    fn read_chunk_end(&mut self, input: &[u8]) -> Result<usize, FramingError> {
        let line_end = &input[..input.len().min(LINE_END_BYTES)];
        if !b"\r\n".starts_with(line_end) {
            return Err(FramingError::ChunkSizeMismatch);
        }
        if line_end.len() < LINE_END_BYTES {
            return Ok(0);
        }
        self.state = State::ChunkSize;
        Ok(LINE_END_BYTES)
    }

    fn read_trailer(&mut self, input: &[u8], count: usize) -> Result<usize, FramingError> {
        let Some(line) = first_line(input)? else { return Ok(0) };
        self.state = match line {
            [] => State::Done,
            _ if count < MAX_TRAILERS => State::Trailers(count + 1),
            _ => return Err(FramingError::TooManyTrailers),
        };
        Ok(line.len() + LINE_END_BYTES)
    }

    /// Reads and consumes as much of a buffer as possible, and returns the bytes of the body.
    pub(crate) fn read_buffered(&mut self, input: &mut InputBuffer) -> Result<Vec<u8>, FramingError> {
        let mut body = Vec::new();
        let consumed = self.read(input.unconsumed(), &mut body)?;
        input.consume(consumed);
        Ok(body)
    }

    fn append(&mut self, data: &[u8], out: &mut Vec<u8>) -> Result<(), FramingError> {
        self.body_bytes += data.len() as u64;
        if self.body_bytes > self.max_body_bytes {
            return Err(FramingError::BodyTooLarge);
        }
        out.extend_from_slice(data);
        Ok(())
    }
}

/// Returns the first `count` bytes of `input`, or all of it if it is shorter.
fn first_bytes(input: &[u8], count: u64) -> &[u8] {
    let count = usize::try_from(count).unwrap_or(usize::MAX);
    &input[..input.len().min(count)]
}

/// Returns the first line of `input` without its CR LF, or none if the line is incomplete. A bare CR or LF is
/// rejected.
fn first_line(input: &[u8]) -> Result<Option<&[u8]>, FramingError> {
    let window = &input[..input.len().min(MAX_LINE_BYTES)];
    let Some(end) = memchr::memchr2(b'\r', b'\n', window) else {
        let is_too_long = input.len() >= MAX_LINE_BYTES;
        return if is_too_long { Err(FramingError::BodyLineTooLong) } else { Ok(None) };
    };
    if input[end] == b'\n' {
        return Err(FramingError::BareLineFeedInBody);
    }
    match input.get(end + 1) {
        None => Ok(None),
        Some(b'\n') => Ok(Some(&input[..end])),
        Some(_) => Err(FramingError::BareCarriageReturnInBody),
    }
}

/// Parses a chunk's size. Chunk extensions are ignored.
fn parse_chunk_size(line: &[u8]) -> Result<u64, FramingError> {
    let size = line.split(|&byte| byte == b';').next().unwrap_or(line);
    let digits = std::str::from_utf8(size.trim_ascii_end()).map_err(|_| FramingError::MalformedChunkSize)?;
    // The digits are checked because `from_str_radix` would accept a sign.
    let is_number = digits.len() <= MAX_CHUNK_SIZE_DIGITS && digits.bytes().all(|b| b.is_ascii_hexdigit());
    if !is_number {
        return Err(FramingError::MalformedChunkSize);
    }
    u64::from_str_radix(digits, 16).map_err(|_| FramingError::MalformedChunkSize)
}

/// Appends these bytes as one chunk. Appends nothing if there are none, as an empty chunk would end the body.
pub fn write_chunk(out: &mut Vec<u8>, bytes: &[u8]) {
    if !bytes.is_empty() {
        out.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
        out.extend_from_slice(bytes);
        out.extend_from_slice(b"\r\n");
    }
}

/// Appends the empty chunk that ends a body, without trailers.
pub fn write_last_chunk(out: &mut Vec<u8>) {
    out.extend_from_slice(b"0\r\n\r\n");
}
