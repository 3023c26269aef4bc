//! Message bodies: by length, in chunks, or until the connection closes.

use crate::input::InputBuffer;
use crate::{Framing, FramingError};

/// The maximum length of a chunk's size line or a trailer line, in bytes.
const MAX_LINE_BYTES: usize = 512;
/// The maximum number of trailer lines. They are dropped.
const MAX_TRAILERS: usize = 32;
/// The maximum number of hexadecimal digits of a chunk's size.
const MAX_CHUNK_SIZE_DIGITS: usize = 15;
/// The length of the line end CR LF.
const LINE_END_BYTES: usize = 2;

/// What is expected next.
#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// Bytes of a body with a length: how many.
    Length(u64),
    /// Bytes until the connection closes.
    UntilClose,
    /// The size line of a chunk.
    ChunkSize,
    /// Bytes of a chunk: how many.
    ChunkData(u64),
    /// The line end after a chunk.
    ChunkEnd,
    /// A trailer line or the empty line that ends the body: how many trailers came before.
    Trailers(usize),
    /// Nothing.
    Done,
}

/// Reads one body. Feed it input until [`BodyReader::is_done`].
#[derive(Clone, Debug)]
pub struct BodyReader {
    state: State,
    body_bytes: u64,
    max_body_bytes: u64,
}

impl BodyReader {
    /// A reader for a body with this framing, of at most `max_body_bytes`.
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

    /// The sender closed the connection. This completes a body that is framed so, and cuts any other short.
    ///
    /// # Errors
    /// [`FramingError::ClosedWithinBody`] if the body has been cut short.
    pub fn close(&mut self) -> Result<(), FramingError> {
        match self.state {
            State::UntilClose | State::Done => {
                self.state = State::Done;
                Ok(())
            }
            _ => Err(FramingError::ClosedWithinBody),
        }
    }

    /// Reads what it can of `input`, appends the body's bytes to `out`, and returns how much it consumed.
    /// Consuming nothing of a non-empty input means that a line is not complete yet.
    ///
    /// # Errors
    /// [`FramingError`] if the input is malformed, or a part of it is over its limit.
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

    /// Reads the element that the state expects, or as much of it as there is. Returns 0 for a line that is
    /// incomplete.
    fn read_element(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<usize, FramingError> {
        match self.state {
            State::Done => Ok(0),
            State::UntilClose => {
                self.append(input, out)?;
                Ok(input.len())
            }
            State::Length(remaining) => {
                let data = up_to(input, remaining);
                self.append(data, out)?;
                let remaining = remaining - data.len() as u64;
                self.state = if remaining == 0 { State::Done } else { State::Length(remaining) };
                Ok(data.len())
            }
            State::ChunkData(remaining) => {
                let data = up_to(input, remaining);
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

    /// Reads what it can of a buffer, consumes it, and returns the body's bytes.
    pub(crate) fn read_buffered(&mut self, input: &mut InputBuffer) -> Result<Vec<u8>, FramingError> {
        let mut body = Vec::new();
        let consumed = self.read(input.unread(), &mut body)?;
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

/// The first bytes of `input`, at most `count`.
fn up_to(input: &[u8], count: u64) -> &[u8] {
    let count = usize::try_from(count).unwrap_or(usize::MAX);
    &input[..input.len().min(count)]
}

/// The first line of `input` without its CR LF, once it is complete. Bare line ends are rejected.
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
    // `from_str_radix` would accept a sign.
    let is_number = digits.len() <= MAX_CHUNK_SIZE_DIGITS && digits.bytes().all(|b| b.is_ascii_hexdigit());
    if !is_number {
        return Err(FramingError::MalformedChunkSize);
    }
    u64::from_str_radix(digits, 16).map_err(|_| FramingError::MalformedChunkSize)
}

/// Appends one chunk; none for no bytes, as an empty chunk would end the body.
pub fn write_chunk(out: &mut Vec<u8>, bytes: &[u8]) {
    if !bytes.is_empty() {
        out.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
        out.extend_from_slice(bytes);
        out.extend_from_slice(b"\r\n");
    }
}

/// Appends the chunk that ends a body.
pub fn write_last_chunk(out: &mut Vec<u8>) {
    out.extend_from_slice(b"0\r\n\r\n");
}
