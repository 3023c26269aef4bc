//! The flight recorder: each event given to the decision module with its clock, and the actions that it
//! caused.
//!
//! The decision module is deterministic, so a recording from a proxy's start is enough to repeat all its
//! decisions: [`replay()`] feeds a new module and compares. [`Recorder`] writes on a thread of its own, so
//! that a slow disk never holds up traffic. If the disk does not keep up, the recording ends, as a replay
//! with a gap would prove nothing.
//!
//! A file is `VSFR` and a version byte, then frames: length and CRC-32 (each four bytes, little-endian)
//! and a postcard-encoded [`Frame`]. A recording is bounded: segments `FILE`, `FILE.1`, `FILE.2` ... up to
//! a total size, where it ends with [`Frame::Full`].

mod frame;
mod read;
mod replay;
mod write;

pub use frame::{Frame, OwnedEvent, RecordedSettings};
pub use read::{ReadError, ReadErrorKind, Reader};
pub use replay::{Difference, ReplayFilter, ReplayReport, replay};
pub use write::{Recorder, RecordingLimits, StopReason};
