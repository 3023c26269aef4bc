//! Files of event records.
//!
//! A file is `VSAU` and a version byte, then frames: length and CRC-32 (four bytes each, little-endian) and a
//! postcard-encoded [`EventRecord`]; the first frame holds the [`Rules`].

use crate::{EventRecord, Rules};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io::{Read, Write};

/// The bytes that a file starts with; the last is the version.
const MAGIC: [u8; 5] = [b'V', b'S', b'A', b'U', 2];
/// The length and the checksum before each frame's body, in bytes.
const FRAME_HEAD_BYTES: usize = 8;
const MAX_FRAME_BYTES: usize = 1 << 20;

/// Why a file was not read.
#[derive(Debug, thiserror::Error)]
pub enum RecordFileError {
    /// The reader failed.
    #[error("{0}")]
    Read(#[source] std::io::Error),
    /// The file does not start as a file of records does.
    #[error("not a file of records")]
    WrongMagic,
    /// The file has no frame.
    #[error("no rules")]
    NoRules,
    /// The file ends within a frame's head.
    #[error("cut within a frame's head")]
    CutInFrameHead,
    /// The file ends within a frame's body.
    #[error("cut within a frame")]
    CutInFrame,
    /// A frame states a length past the bound.
    #[error("a frame past the bound")]
    FrameTooLong,
    /// A frame's body does not fit its checksum.
    #[error("a frame whose checksum does not fit")]
    WrongChecksum,
    /// A frame's body is not what belongs there.
    #[error("a frame that cannot be read: {0}")]
    Undecodable(#[source] postcard::Error),
}

/// Writes a file of records.
///
/// # Errors
/// Errors of the writer; a record that cannot be encoded as one of kind `Other`.
pub fn write(out: &mut impl Write, rules: &Rules, records: &[EventRecord]) -> std::io::Result<()> {
    out.write_all(&MAGIC)?;
    write_frame(out, rules)?;
    records.iter().try_for_each(|record| write_frame(out, record))
}

fn write_frame<T: Serialize>(out: &mut impl Write, item: &T) -> std::io::Result<()> {
    let body = postcard::to_stdvec(item).map_err(std::io::Error::other)?;
    out.write_all(&(body.len() as u32).to_le_bytes())?;
    out.write_all(&crc32fast::hash(&body).to_le_bytes())?;
    out.write_all(&body)
}

/// Reads a complete file of records; a damaged or cut one is no evidence and is refused.
///
/// # Errors
/// [`RecordFileError`] if the file cannot be read, is cut short, or a frame of it is damaged.
pub fn read(input: &mut impl Read) -> Result<(Rules, Vec<EventRecord>), RecordFileError> {
    let mut bytes = Vec::new();
    input.read_to_end(&mut bytes).map_err(RecordFileError::Read)?;
    let rest = bytes.strip_prefix(&MAGIC[..]).ok_or(RecordFileError::WrongMagic)?;
    let mut frames = Frames { rest };
    let rules = decode(frames.next_body()?.ok_or(RecordFileError::NoRules)?)?;
    let mut records = Vec::new();
    while let Some(body) = frames.next_body()? {
        records.push(decode(body)?);
    }
    Ok((rules, records))
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, RecordFileError> {
    postcard::from_bytes(body).map_err(RecordFileError::Undecodable)
}

/// The frames of a file that are not read yet.
struct Frames<'a> {
    rest: &'a [u8],
}

impl<'a> Frames<'a> {
    /// The body of the next frame, checked; `None` at the end of the file.
    fn next_body(&mut self) -> Result<Option<&'a [u8]>, RecordFileError> {
        if self.rest.is_empty() {
            return Ok(None);
        }
        let (head, tail) =
            self.rest.split_at_checked(FRAME_HEAD_BYTES).ok_or(RecordFileError::CutInFrameHead)?;
        let length = little_endian_u32(head, 0) as usize;
        let checksum = little_endian_u32(head, 4);
        if length > MAX_FRAME_BYTES {
            return Err(RecordFileError::FrameTooLong);
        }
        let (body, rest) = tail.split_at_checked(length).ok_or(RecordFileError::CutInFrame)?;
        if crc32fast::hash(body) != checksum {
            return Err(RecordFileError::WrongChecksum);
        }
        self.rest = rest;
        Ok(Some(body))
    }
}

fn little_endian_u32(bytes: &[u8], offset: usize) -> u32 {
    u32::from_le_bytes([bytes[offset], bytes[offset + 1], bytes[offset + 2], bytes[offset + 3]])
}
