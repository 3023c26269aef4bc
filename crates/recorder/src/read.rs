//! Reading: frames in order over all segments, stopping at the first damaged one.

use crate::frame::{FRAME_HEAD, FRAME_MOST, Frame, MAGIC};
use crate::write::segment_path;
use std::fs::File;
use std::io::{BufReader, Read};
use std::path::{Path, PathBuf};

/// Why reading stopped before the end.
#[derive(Debug)]
pub struct ReadFault {
    /// The file.
    pub file: PathBuf,
    /// Where in it, in bytes.
    pub at: u64,
    /// What is wrong there.
    pub reason: String,
}

impl std::fmt::Display for ReadFault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} at byte {}: {}", self.file.display(), self.at, self.reason)
    }
}

impl std::error::Error for ReadFault {}

/// Reads a recording.
#[derive(Debug)]
pub struct Reader {
    path: PathBuf,
    segment: u32,
    file: BufReader<File>,
    at: u64,
}

impl Reader {
    /// Opens a recording's first segment.
    ///
    /// # Errors
    /// [`ReadFault`] if the file cannot be read, is no recording, or of another version.
    pub fn open(path: &Path) -> Result<Self, ReadFault> {
        let (file, at) = open_segment(path)?;
        Ok(Reader { path: path.to_owned(), segment: 0, file, at })
    }

    fn fault<T>(&self, reason: impl Into<String>) -> Result<T, ReadFault> {
        let file = segment_path(&self.path, self.segment);
        Err(ReadFault { file, at: self.at, reason: reason.into() })
    }

    /// The next frame; none at the end.
    ///
    /// # Errors
    /// [`ReadFault`] if the file cannot be read, is cut short, or the frame is damaged.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, ReadFault> {
        let mut head = [0; FRAME_HEAD];
        loop {
            match read_whole(&mut self.file, &mut head) {
                Ok(FRAME_HEAD) => break,
                Ok(0) => {}
                Ok(_) => return self.fault("the file ends within a frame's head"),
                Err(e) => return self.fault(e.to_string()),
            }
            let next = segment_path(&self.path, self.segment + 1);
            if !next.exists() {
                return Ok(None);
            }
            (self.file, self.at) = open_segment(&next)?;
            self.segment += 1;
        }
        let word = |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let (length, sum) = (word(0) as usize, word(4));
        if length > FRAME_MOST {
            return self.fault(format!("a frame of {length} bytes"));
        }
        let mut body = vec![0; length];
        match read_whole(&mut self.file, &mut body) {
            Ok(n) if n == length => {}
            Ok(n) => return self.fault(format!("the file ends after {n} of a frame's {length} bytes")),
            Err(e) => return self.fault(e.to_string()),
        }
        if crc32fast::hash(&body) != sum {
            return self.fault("a frame whose checksum does not fit");
        }
        match postcard::from_bytes(&body) {
            Ok(frame) => {
                self.at += (FRAME_HEAD + length) as u64;
                Ok(Some(frame))
            }
            Err(e) => self.fault(format!("a frame that cannot be read: {e}")),
        }
    }
}

fn open_segment(path: &Path) -> Result<(BufReader<File>, u64), ReadFault> {
    let fault = |reason: String| ReadFault { file: path.to_owned(), at: 0, reason };
    let mut file = BufReader::with_capacity(1 << 20, File::open(path).map_err(|e| fault(e.to_string()))?);
    let mut magic = [0; MAGIC.len()];
    match read_whole(&mut file, &mut magic) {
        Ok(_) if magic == MAGIC => Ok((file, MAGIC.len() as u64)),
        Ok(_) if magic[..4] == MAGIC[..4] => Err(fault(format!("a recording of version {}", magic[4]))),
        Ok(_) => Err(fault("not a recording".into())),
        Err(e) => Err(fault(e.to_string())),
    }
}

/// Reads until the buffer is full or the file ends; how much it read.
fn read_whole(file: &mut impl Read, buffer: &mut [u8]) -> std::io::Result<usize> {
    let mut done = 0;
    while done < buffer.len() {
        match file.read(&mut buffer[done..]) {
            Ok(0) => break,
            Ok(n) => done += n,
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(done)
}
