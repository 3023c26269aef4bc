//! The record file: a run's rules and event records on disk.
//!
//! A file starts with `VSAU` and a version byte. A sequence of frames follows, each with its length and
//! CRC-32 (four bytes each, little-endian) and a postcard-encoded body. The body of the first frame is the
//! [`Rules`], and that of every other frame is an [`EventRecord`].

use crate::{EventRecord, Rules};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io::{Read, Write};

/// The first bytes of a file; the last of them is the format version.
const MAGIC: [u8; 5] = [b'V', b'S', b'A', b'U', 2];
/// The size of a frame's head, which holds the length and the checksum of its body.
const FRAME_HEAD_BYTES: usize = 8;
/// The largest frame body that is read.
const MAX_FRAME_BYTES: usize = 1 << 20;

/// Why a record file could not be read.
#[derive(Debug, thiserror::Error)]
pub enum RecordFileError {
    /// Reading the bytes failed.
    #[error("{0}")]
    Read(#[source] std::io::Error),
    /// The file does not start with the magic bytes and the supported version.
    #[error("not a file of records")]
    WrongMagic,
    /// The file ends after its first bytes, without a frame for the rules.
    #[error("the record file ends before the frame with the rules")]
    MissingRules,
    /// The file ends within a frame's head.
    #[error("the record file is truncated within a frame's head")]
    TruncatedFrameHead,
    /// The file ends within a frame's body.
    #[error("the record file is truncated within a frame's body")]
    TruncatedFrameBody,
    /// A frame's length exceeds the largest that is read.
    #[error("a frame past the bound")]
    FrameTooLong,
    /// A frame's body does not match its checksum.
    #[error("a frame's body does not match its CRC-32 checksum")]
    ChecksumMismatch,
    /// A frame's body cannot be decoded as the rules or an event record.
    #[error("a frame's body cannot be decoded: {0}")]
    Undecodable(#[source] postcard::Error),
}

/// Writes a record file.
///
/// # Errors
/// Returns the writer's errors, and an error of kind `Other` if a record cannot be encoded.
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

/// Reads a complete record file. A damaged or truncated file is rejected as a whole, because an incomplete
/// run proves nothing.
///
/// # Errors
/// [`RecordFileError`] if the file cannot be read, is truncated, or has a damaged frame.
pub fn read(input: &mut impl Read) -> Result<(Rules, Vec<EventRecord>), RecordFileError> {
    let mut bytes = Vec::new();
    input.read_to_end(&mut bytes).map_err(RecordFileError::Read)?;
    let rest = bytes.strip_prefix(&MAGIC[..]).ok_or(RecordFileError::WrongMagic)?;
    let mut frames = Frames { rest };
    let rules = decode(frames.next_body()?.ok_or(RecordFileError::MissingRules)?)?;
    let mut records = Vec::new();
    while let Some(body) = frames.next_body()? {
        records.push(decode(body)?);
    }
    Ok((rules, records))
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, RecordFileError> {
    postcard::from_bytes(body).map_err(RecordFileError::Undecodable)
}

/// The frames of a file that have not been read yet.
struct Frames<'a> {
    rest: &'a [u8],
}

impl<'a> Frames<'a> {
    /// Returns the body of the next frame after verifying its checksum, or `None` at the end of the file.
    fn next_body(&mut self) -> Result<Option<&'a [u8]>, RecordFileError> {
        if self.rest.is_empty() {
            return Ok(None);
        }
        let (head, tail) =
            self.rest.split_at_checked(FRAME_HEAD_BYTES).ok_or(RecordFileError::TruncatedFrameHead)?;
        let length = little_endian_u32(head, 0) as usize;
        let checksum = little_endian_u32(head, 4);
        if length > MAX_FRAME_BYTES {
            return Err(RecordFileError::FrameTooLong);
        }
        let (body, rest) = tail.split_at_checked(length).ok_or(RecordFileError::TruncatedFrameBody)?;
        if crc32fast::hash(body) != checksum {
            return Err(RecordFileError::ChecksumMismatch);
        }
        self.rest = rest;
        Ok(Some(body))
    }
}

fn little_endian_u32(bytes: &[u8], offset: usize) -> u32 {
    u32::from_le_bytes([bytes[offset], bytes[offset + 1], bytes[offset + 2], bytes[offset + 3]])
}
