//! Writing: frames are gathered on the caller's thread and written by another.

use crate::frame::{Frame, MAGIC, OwnedEvent, RecordedSettings, write_frame};
use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;
use violetseam::interface::{Action, Event, Micros, Settings};

/// Frames are handed to the writer in pieces of about this size.
const PIECE: usize = 128 * 1024;
/// Pieces that may wait for the disk.
const WAITING: usize = 64;

/// How large a recording may grow, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Of one file.
    pub segment: u64,
    /// Of all together.
    pub total: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { segment: 64 << 20, total: 1 << 30 }
    }
}

/// Writes a recording.
#[derive(Debug)]
pub struct Recorder {
    piece: Vec<u8>,
    /// Bytes handed over so far, all segments.
    written: u64,
    bounds: Bounds,
    to_disk: Option<SyncSender<Vec<u8>>>,
    writer: Option<JoinHandle<std::io::Result<()>>>,
    ended: Option<&'static str>,
}

impl Recorder {
    /// Starts a recording at `path`, with the settings and the seed of the module it is of.
    ///
    /// # Errors
    /// Errors of creating the file or the writing thread.
    pub fn start(path: &Path, bounds: Bounds, settings: &Settings, seed: u64) -> std::io::Result<Self> {
        let mut file = File::create(path)?;
        file.write_all(&MAGIC)?;
        let (to_disk, from_loop) = sync_channel(WAITING);
        let path = path.to_owned();
        let writer = std::thread::Builder::new()
            .name("flight-recorder".into())
            .spawn(move || write_out(&path, file, bounds.segment, &from_loop))?;
        let mut recorder = Recorder {
            piece: Vec::with_capacity(PIECE * 2),
            written: 0,
            bounds,
            to_disk: Some(to_disk),
            writer: Some(writer),
            ended: None,
        };
        let settings = Box::new(RecordedSettings(settings.clone()));
        write_frame(&mut recorder.piece, &Frame::Start { settings, seed });
        Ok(recorder)
    }

    /// Records one event and what came of it.
    pub fn event(&mut self, now: Micros, event: &Event<'_>, actions: &[Action]) {
        if self.ended.is_some() {
            return;
        }
        let (event, actions) = (OwnedEvent::of(event), actions.to_vec());
        write_frame(&mut self.piece, &Frame::Event { now, event, actions });
        if self.written + self.piece.len() as u64 > self.bounds.total {
            write_frame(&mut self.piece, &Frame::Full);
            self.hand_over();
            self.end("the recording's bound is reached");
        } else if self.piece.len() >= PIECE {
            self.hand_over();
        }
    }

    /// Hands what is gathered to the writer; call now and then, so that a crash loses little.
    pub fn flush(&mut self) {
        if self.ended.is_none() && !self.piece.is_empty() {
            self.hand_over();
        }
    }

    /// Why nothing more is recorded, once that is so.
    pub fn ended(&self) -> Option<&'static str> {
        self.ended
    }

    fn hand_over(&mut self) {
        self.written += self.piece.len() as u64;
        let piece = std::mem::replace(&mut self.piece, Vec::with_capacity(PIECE * 2));
        match self.to_disk.as_ref().map(|to| to.try_send(piece)) {
            Some(Ok(())) => {}
            Some(Err(TrySendError::Full(_))) => self.end("the disk does not keep up"),
            Some(Err(TrySendError::Disconnected(_))) | None => self.end("the file cannot be written"),
        }
    }

    fn end(&mut self, why: &'static str) {
        self.ended = self.ended.or(Some(why));
        (self.to_disk, self.piece) = (None, Vec::new());
    }

    /// Writes what is left and waits until it is on its way to the disk.
    ///
    /// # Errors
    /// The first error of writing the recording.
    pub fn finish(mut self) -> std::io::Result<()> {
        self.flush();
        self.to_disk = None;
        match self.writer.take().map(JoinHandle::join) {
            Some(Ok(result)) => result,
            Some(Err(_)) => Err(std::io::Error::other("the recorder's thread failed")),
            None => Ok(()),
        }
    }
}

/// The writer's thread: pieces hold whole frames, so a segment ends between two of them.
fn write_out(path: &Path, mut file: File, most: u64, pieces: &Receiver<Vec<u8>>) -> std::io::Result<()> {
    let (mut length, mut segment) = (MAGIC.len() as u64, 0u32);
    while let Ok(piece) = pieces.recv() {
        if length > MAGIC.len() as u64 && length + piece.len() as u64 > most {
            segment += 1;
            file = File::create(segment_path(path, segment))?;
            file.write_all(&MAGIC)?;
            length = MAGIC.len() as u64;
        }
        file.write_all(&piece)?;
        length += piece.len() as u64;
    }
    file.sync_data()
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
