//! Reads the frames of all segments in order, up to the first damaged frame.

use crate::frame::{FRAME_HEADER_BYTES, Frame, FrameHeader, MAGIC, MAX_FRAME_BYTES, VERSION};
use crate::write::segment_path;
use std::fs::File;
use std::io::{self, BufReader, Read};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The size of the read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 1 << 20;

/// Where and why reading a recording stopped before its end.
#[derive(Debug, Error)]
#[error("{} at byte {offset}: {reason}", .file.display())]
pub struct ReadError {
    /// The segment's file.
    pub file: PathBuf,
    /// The offset of the damaged frame in the file, in bytes.
    pub offset: u64,
    /// What is wrong at that offset.
    #[source]
    pub reason: ReadErrorKind,
}

/// What is wrong with a recording.
#[derive(Debug, Error)]
pub enum ReadErrorKind {
    /// The file cannot be read.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The file does not start with the bytes of a recording.
    #[error("not a recording")]
    NotARecording,
    /// The recording has a version of the format that is not supported.
    #[error("the recording has version {0} of the format, which is not supported")]
    UnsupportedVersion(u8),
    /// The file ends within a frame's header.
    #[error("the file ends within a frame's head")]
    TruncatedHeader,
    /// A frame's header states a length over the maximum.
    #[error("the frame header states a length of {length} bytes, which is over the maximum")]
    OversizedFrame {
        /// The length that the header states, in bytes.
        length: usize,
    },
    /// The file ends within a frame's content.
    #[error("the file ends after {available} of a frame's {length} bytes")]
    TruncatedFrame {
        /// The number of bytes up to the end of the file.
        available: usize,
        /// The length that the header states, in bytes.
        length: usize,
    },
    /// A frame's content does not have the checksum that its header states.
    #[error("the frame's content does not match the checksum in its header")]
    ChecksumMismatch,
    /// A frame's content cannot be decoded.
    #[error("the frame's content cannot be decoded: {0}")]
    MalformedFrame(#[source] postcard::Error),
}

/// Reads a recording.
#[derive(Debug)]
pub struct Reader {
    path: PathBuf,
    segment: u32,
    file: BufReader<File>,
    /// The offset of the next frame in the segment, in bytes.
    offset: u64,
}

impl Reader {
    /// Opens a recording's first segment.
    ///
    /// # Errors
    /// [`ReadError`] if the file cannot be read, is not a recording, or has an unsupported version.
    pub fn open(path: &Path) -> Result<Self, ReadError> {
        let file = open_segment(path)?;
        Ok(Reader { path: path.to_owned(), segment: 0, file, offset: MAGIC.len() as u64 })
    }

    /// Reads the next frame, also from the following segments; `None` at the end of the recording.
    ///
    /// # Errors
    /// [`ReadError`] if the file cannot be read or ends within the frame, or if the frame is damaged.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, ReadError> {
        loop {
            if let Some(header) = self.read_header().map_err(|reason| self.error(reason))? {
                let frame = self.read_content(header).map_err(|reason| self.error(reason))?;
                self.offset += (FRAME_HEADER_BYTES + header.length) as u64;
                return Ok(Some(frame));
            }
            if !self.open_next_segment()? {
                return Ok(None);
            }
        }
    }

    /// Reads a frame's header; `None` at the end of the segment.
    fn read_header(&mut self) -> Result<Option<FrameHeader>, ReadErrorKind> {
        let mut bytes = [0; FRAME_HEADER_BYTES];
        match read_up_to(&mut self.file, &mut bytes)? {
            FRAME_HEADER_BYTES => Ok(Some(FrameHeader::decode(bytes))),
            0 => Ok(None),
            _ => Err(ReadErrorKind::TruncatedHeader),
        }
    }

    fn read_content(&mut self, header: FrameHeader) -> Result<Frame, ReadErrorKind> {
        let length = header.length;
        if length > MAX_FRAME_BYTES {
            return Err(ReadErrorKind::OversizedFrame { length });
        }
        let mut content = vec![0; length];
        let available = read_up_to(&mut self.file, &mut content)?;
        if available < length {
            return Err(ReadErrorKind::TruncatedFrame { available, length });
        }
        if crc32fast::hash(&content) != header.checksum {
            return Err(ReadErrorKind::ChecksumMismatch);
        }
        postcard::from_bytes(&content).map_err(ReadErrorKind::MalformedFrame)
    }

    /// Opens the next segment. Returns false if there is none.
    fn open_next_segment(&mut self) -> Result<bool, ReadError> {
        let next = segment_path(&self.path, self.segment + 1);
        if !next.exists() {
            return Ok(false);
        }
        self.file = open_segment(&next)?;
        self.offset = MAGIC.len() as u64;
        self.segment += 1;
        Ok(true)
    }

    fn error(&self, reason: ReadErrorKind) -> ReadError {
        ReadError { file: segment_path(&self.path, self.segment), offset: self.offset, reason }
    }
}

/// Opens a segment and checks that it starts with the bytes of a supported recording.
fn open_segment(path: &Path) -> Result<BufReader<File>, ReadError> {
    open_and_check(path).map_err(|reason| ReadError { file: path.to_owned(), offset: 0, reason })
}

fn open_and_check(path: &Path) -> Result<BufReader<File>, ReadErrorKind> {
    let mut file = BufReader::with_capacity(READ_BUFFER_BYTES, File::open(path)?);
    let mut magic = [0; MAGIC.len()];
    read_up_to(&mut file, &mut magic)?;
    let (format_name, version) = (&magic[..MAGIC.len() - 1], magic[MAGIC.len() - 1]);
    if !MAGIC.starts_with(format_name) {
        return Err(ReadErrorKind::NotARecording);
    }
    if version != VERSION {
        return Err(ReadErrorKind::UnsupportedVersion(version));
    }
    Ok(file)
}

/// Reads until the buffer is full or the file ends. Returns the number of bytes read.
fn read_up_to(file: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
    let mut filled = 0;
    while filled < buffer.len() {
        match file.read(&mut buffer[filled..]) {
            Ok(0) => break,
            Ok(count) => filled += count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(filled)
}
