//! Writes recordings. Frames are buffered on the caller's thread and written to disk by a separate thread.

use crate::frame::{Frame, MAGIC, OwnedEvent, RecordedSettings, write_frame};
use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::{self, JoinHandle};
use thiserror::Error;
use violetseam::interface::{Action, Event, Micros, Settings};

/// Buffered frames are sent to the writer thread once they have this many bytes.
const CHUNK_BYTES: usize = 128 * 1024;
/// The initial capacity of a chunk's buffer, in bytes, so that its last frame rarely makes it grow.
const CHUNK_CAPACITY: usize = 2 * CHUNK_BYTES;
/// The maximum number of chunks that wait to be written to disk.
const MAX_QUEUED_CHUNKS: usize = 64;

/// The size limits of a recording.
#[derive(Clone, Copy, Debug)]
pub struct RecordingLimits {
    /// The maximum size of one segment, in bytes. A segment with a single chunk of frames may exceed it.
    pub max_segment_bytes: u64,
    /// The maximum size of all segments together, in bytes.
    pub max_total_bytes: u64,
}

impl Default for RecordingLimits {
    fn default() -> Self {
        RecordingLimits { max_segment_bytes: 64 << 20, max_total_bytes: 1 << 30 }
    }
}

/// Why a recording stopped before the process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StopReason {
    /// The recording has reached [`RecordingLimits::max_total_bytes`].
    #[error("the recording has reached its size limit")]
    SizeLimit,
    /// Too many chunks wait to be written to disk.
    #[error("the disk does not keep up with the recording")]
    SlowDisk,
    /// The writer thread has ended with an error, which [`Recorder::finish`] returns.
    #[error("the recording's file cannot be written")]
    WriteFailed,
}

/// Writes a recording.
#[derive(Debug)]
pub struct Recorder {
    /// Frames that have not been sent to the writer thread.
    chunk: Vec<u8>,
    /// The number of bytes sent to the writer thread.
    sent_bytes: u64,
    limits: RecordingLimits,
    chunk_sender: Option<SyncSender<Vec<u8>>>,
    writer: Option<JoinHandle<io::Result<()>>>,
    stop_reason: Option<StopReason>,
}

impl Recorder {
    /// Starts a recording at `path`. `settings` and `seed` are those of the recorded decision module.
    ///
    /// # Errors
    /// If the file or the writer thread cannot be created.
    pub fn start(path: &Path, limits: RecordingLimits, settings: &Settings, seed: u64) -> io::Result<Self> {
        let file = create_segment(path)?;
        let (chunk_sender, chunks) = sync_channel(MAX_QUEUED_CHUNKS);
        let path = path.to_owned();
        let writer = thread::Builder::new()
            .name("flight-recorder".into())
            .spawn(move || write_segments(&path, file, limits.max_segment_bytes, &chunks))?;
        let mut recorder = Recorder {
            chunk: Vec::with_capacity(CHUNK_CAPACITY),
            sent_bytes: 0,
            limits,
            chunk_sender: Some(chunk_sender),
            writer: Some(writer),
            stop_reason: None,
        };
        let settings = Box::new(RecordedSettings(settings.clone()));
        write_frame(&mut recorder.chunk, &Frame::Start { settings, seed });
        Ok(recorder)
    }

    /// Records an event that was given to the module at `now`, and the actions that the module returned.
    pub fn record_event(&mut self, now: Micros, event: &Event<'_>, actions: &[Action]) {
        if self.stop_reason.is_some() {
            return;
        }
        let frame = Frame::Event { now, event: OwnedEvent::from(event), actions: actions.to_vec() };
        write_frame(&mut self.chunk, &frame);
        if self.sent_bytes + self.chunk.len() as u64 > self.limits.max_total_bytes {
            write_frame(&mut self.chunk, &Frame::Full);
            self.send_chunk();
            self.stop(StopReason::SizeLimit);
        } else if self.chunk.len() >= CHUNK_BYTES {
            self.send_chunk();
        }
    }

    /// Sends the buffered frames to the writer thread. Regular calls limit how much of the recording a crash
    /// loses.
    pub fn flush(&mut self) {
        if self.stop_reason.is_none() && !self.chunk.is_empty() {
            self.send_chunk();
        }
    }

    /// Why the recording has stopped; `None` while it goes on.
    pub fn stop_reason(&self) -> Option<StopReason> {
        self.stop_reason
    }

    fn send_chunk(&mut self) {
        self.sent_bytes += self.chunk.len() as u64;
        let chunk = std::mem::replace(&mut self.chunk, Vec::with_capacity(CHUNK_CAPACITY));
        match self.chunk_sender.as_ref().map(|sender| sender.try_send(chunk)) {
            Some(Ok(())) => {}
            Some(Err(TrySendError::Full(_))) => self.stop(StopReason::SlowDisk),
            Some(Err(TrySendError::Disconnected(_))) | None => self.stop(StopReason::WriteFailed),
        }
    }

    /// Stops recording. If it has stopped before, the earlier reason stays.
    fn stop(&mut self, reason: StopReason) {
        self.stop_reason.get_or_insert(reason);
        self.chunk_sender = None;
        self.chunk = Vec::new();
    }

    /// Writes the buffered frames and waits until the file has been synchronized to disk.
    ///
    /// # Errors
    /// The error with which the writer thread ended.
    pub fn finish(mut self) -> io::Result<()> {
        self.flush();
        self.chunk_sender = None;
        match self.writer.take().map(JoinHandle::join) {
            Some(Ok(result)) => result,
            Some(Err(_)) => Err(io::Error::other("the flight recorder's writer thread panicked")),
            None => Ok(()),
        }
    }
}

/// Runs on the writer thread. Each chunk holds complete frames, so a segment always ends between two frames.
fn write_segments(
    path: &Path,
    mut file: File,
    max_segment_bytes: u64,
    chunks: &Receiver<Vec<u8>>,
) -> io::Result<()> {
    const EMPTY_SEGMENT_BYTES: u64 = MAGIC.len() as u64;
    let mut segment_bytes = EMPTY_SEGMENT_BYTES;
    let mut segment = 0;
    while let Ok(chunk) = chunks.recv() {
        let chunk_bytes = chunk.len() as u64;
        if segment_bytes > EMPTY_SEGMENT_BYTES && segment_bytes + chunk_bytes > max_segment_bytes {
            segment += 1;
            file = create_segment(&segment_path(path, segment))?;
            segment_bytes = EMPTY_SEGMENT_BYTES;
        }
        file.write_all(&chunk)?;
        segment_bytes += chunk_bytes;
    }
    file.sync_data()
}

/// Creates a segment's file with its first bytes and no frames.
fn create_segment(path: &Path) -> io::Result<File> {
    let mut file = File::create(path)?;
    file.write_all(&MAGIC)?;
    Ok(file)
}

/// The path of a segment. The first segment has the path of the recording itself.
pub(crate) fn segment_path(path: &Path, segment: u32) -> PathBuf {
    if segment == 0 {
        return path.to_owned();
    }
    let mut name = path.as_os_str().to_owned();
    name.push(format!(".{segment}"));
    name.into()
}
