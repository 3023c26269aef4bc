//! Bodies: by length, in chunks, or until the connection closes.

use crate::head::Fault;
use http::StatusCode;

/// How a message says where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// So many bytes; none for zero.
    Length(u64),
    /// In chunks.
    Chunked,
    /// Until the sender closes; answers only.
    UntilClose,
}

/// A chunk's size line or a trailer line may not be longer.
const LINE_MOST: usize = 512;
/// Trailer lines are dropped, and more of them refused.
const TRAILERS_MOST: usize = 32;

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    Left(u64),
    UntilClose,
    Size,
    Data(u64),
    DataEnd,
    Trailers(usize),
    Done,
}

/// Reads one body. Feed it input until [`BodyReader::is_done`].
#[derive(Clone, Debug)]
pub struct BodyReader {
    state: State,
    seen: u64,
    most: u64,
}

impl BodyReader {
    /// A reader for a body framed so, of at most `most` bytes.
    pub fn new(framing: Framing, most: u64) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(n) => State::Left(n),
            Framing::Chunked => State::Size,
            Framing::UntilClose => State::UntilClose,
        };
        BodyReader { state, seen: 0, most }
    }

    /// The body is complete.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// The sender closed: complete for a body that ends so, cut short for any other.
    ///
    /// # Errors
    /// [`Fault`] if the body has been cut short.
    pub fn close(&mut self) -> Result<(), Fault> {
        match self.state {
            State::UntilClose | State::Done => {
                self.state = State::Done;
                Ok(())
            }
            _ => Err(Fault::bad("closed within a body")),
        }
    }

    /// Takes what it can from `input`, appends body bytes to `out`, and returns how much it took. Taking
    /// nothing of a non-empty input means that a line is not complete yet.
    ///
    /// # Errors
    /// [`Fault`] if the input does not frame, or a part of it is over its limit.
    pub fn take(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<usize, Fault> {
        let mut at = 0;
        loop {
            let rest = &input[at..];
            match self.state {
                State::Done => return Ok(at),
                _ if rest.is_empty() => return Ok(at),
                State::UntilClose => {
                    self.pass(rest, out)?;
                    return Ok(input.len());
                }
                State::Left(left) => {
                    let n = rest.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    self.pass(&rest[..n], out)?;
                    at += n;
                    self.state = if left == n as u64 { State::Done } else { State::Left(left - n as u64) };
                }
                State::Data(left) => {
                    let n = rest.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    self.pass(&rest[..n], out)?;
                    at += n;
                    self.state = if left == n as u64 { State::DataEnd } else { State::Data(left - n as u64) };
                }
                State::DataEnd => {
                    if !b"\r\n".starts_with(&rest[..rest.len().min(2)]) {
                        return Err(Fault::bad("chunk longer than its size"));
                    }
                    if rest.len() < 2 {
                        return Ok(at);
                    }
                    at += 2;
                    self.state = State::Size;
                }
                State::Size => {
                    let Some(line) = line(rest)? else { return Ok(at) };
                    let size = chunk_size(line)?;
                    at += line.len() + 2;
                    self.state = if size == 0 { State::Trailers(0) } else { State::Data(size) };
                }
                State::Trailers(seen) => {
                    let Some(line) = line(rest)? else { return Ok(at) };
                    at += line.len() + 2;
                    self.state = match line.is_empty() {
                        true => State::Done,
                        false if seen < TRAILERS_MOST => State::Trailers(seen + 1),
                        false => return Err(Fault::bad("too many trailers")),
                    };
                }
            }
        }
    }

    /// Takes all that it can from `input`, `used` bytes of which are gone already; the body bytes.
    pub(crate) fn drain(&mut self, input: &[u8], used: &mut usize) -> Result<Vec<u8>, Fault> {
        let mut out = Vec::new();
        while !self.is_done() {
            let taken = self.take(&input[*used..], &mut out)?;
            *used += taken;
            if taken == 0 {
                break;
            }
        }
        Ok(out)
    }

    fn pass(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<(), Fault> {
        self.seen += bytes.len() as u64;
        if self.seen > self.most {
            return Err(Fault::new(StatusCode::PAYLOAD_TOO_LARGE, "body over the limit"));
        }
        out.extend_from_slice(bytes);
        Ok(())
    }
}

/// The first line of `input` without its CR LF, once it is complete. Bare line ends are refused.
fn line(input: &[u8]) -> Result<Option<&[u8]>, Fault> {
    match memchr::memchr2(b'\r', b'\n', &input[..input.len().min(LINE_MOST)]) {
        None if input.len() >= LINE_MOST => Err(Fault::bad("line too long in a body")),
        None => Ok(None),
        Some(i) if input[i] == b'\n' => Err(Fault::bad("bare line feed in a body")),
        Some(i) => match input.get(i + 1) {
            None => Ok(None),
            Some(b'\n') => Ok(Some(&input[..i])),
            Some(_) => Err(Fault::bad("bare carriage return in a body")),
        },
    }
}

/// A chunk's size; extensions are passed over.
fn chunk_size(line: &[u8]) -> Result<u64, Fault> {
    let digits = line.split(|&b| b == b';').next().unwrap_or(line);
    let digits = digits.trim_ascii_end();
    if digits.is_empty() || digits.len() > 15 || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(Fault::bad("malformed chunk size"));
    }
    let text = std::str::from_utf8(digits).map_err(|_| Fault::bad("malformed chunk size"))?;
    u64::from_str_radix(text, 16).map_err(|_| Fault::bad("malformed chunk size"))
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
