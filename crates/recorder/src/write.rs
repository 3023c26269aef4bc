//! Writes recordings: frames are buffered on the caller's thread and written by another.

use crate::frame::{Frame, MAGIC, OwnedEvent, RecordedSettings, write_frame};
use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::{self, JoinHandle};
use thiserror::Error;
use violetseam::interface::{Action, Event, Micros, Settings};

/// Frames are sent to the writer's thread once there are this many bytes of them.
const CHUNK_BYTES: usize = 128 * 1024;
/// The memory that a chunk is given, so that its last frame fits as a rule, in bytes.
const CHUNK_CAPACITY: usize = 2 * CHUNK_BYTES;
/// The maximum number of chunks that wait for the disk.
const MAX_QUEUED_CHUNKS: usize = 64;

/// How large a recording may become.
#[derive(Clone, Copy, Debug)]
pub struct RecordingLimits {
    /// The size of one file, in bytes. A single chunk of frames may exceed it.
    pub max_segment_bytes: u64,
    /// The size of all files, in bytes.
    pub max_total_bytes: u64,
}

impl Default for RecordingLimits {
    fn default() -> Self {
        RecordingLimits { max_segment_bytes: 64 << 20, max_total_bytes: 1 << 30 }
    }
}

/// Why a recording stopped before the process did.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StopReason {
    /// The recording has [`RecordingLimits::max_total_bytes`].
    #[error("the recording's bound is reached")]
    SizeLimit,
    /// Too many chunks wait for the disk.
    #[error("the disk does not keep up")]
    SlowDisk,
    /// The writer's thread has ended with an error, which [`Recorder::finish`] returns.
    #[error("the file cannot be written")]
    WriteFailed,
}

/// Writes a recording.
#[derive(Debug)]
pub struct Recorder {
    /// Frames that have not been sent to the writer's thread.
    chunk: Vec<u8>,
    /// Bytes sent to the writer's thread.
    sent_bytes: u64,
    limits: RecordingLimits,
    chunk_sender: Option<SyncSender<Vec<u8>>>,
    writer: Option<JoinHandle<io::Result<()>>>,
    stop_reason: Option<StopReason>,
}

impl Recorder {
    /// Starts a recording at `path`, with the settings and the seed of the recorded decision module.
    ///
    /// # Errors
    /// Errors of creating the file or the writer's thread.
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

    /// Records an event at `now` and the actions that it caused.
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

    /// Sends the buffered frames to the writer's thread. Called from time to time, it limits what a crash
    /// loses.
    pub fn flush(&mut self) {
        if self.stop_reason.is_none() && !self.chunk.is_empty() {
            self.send_chunk();
        }
    }

    /// Why nothing more is recorded; none while recording.
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

    /// Stops recording; the first reason stays.
    fn stop(&mut self, reason: StopReason) {
        self.stop_reason.get_or_insert(reason);
        self.chunk_sender = None;
        self.chunk = Vec::new();
    }

    /// Writes the buffered frames and waits until the file has been synchronized.
    ///
    /// # Errors
    /// The first error of writing the recording.
    pub fn finish(mut self) -> io::Result<()> {
        self.flush();
        self.chunk_sender = None;
        match self.writer.take().map(JoinHandle::join) {
            Some(Ok(result)) => result,
            Some(Err(_)) => Err(io::Error::other("the recorder's thread failed")),
            None => Ok(()),
        }
    }
}

/// The writer's thread. Chunks have complete frames, so a segment ends between two of them.
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

/// Creates a segment without frames.
fn create_segment(path: &Path) -> io::Result<File> {
    let mut file = File::create(path)?;
    file.write_all(&MAGIC)?;
    Ok(file)
}

/// The path of a segment; the first has the recording's own.
pub(crate) fn segment_path(path: &Path, segment: u32) -> PathBuf {
    if segment == 0 {
        return path.to_owned();
    }
    let mut name = path.as_os_str().to_owned();
    name.push(format!(".{segment}"));
    name.into()
}
