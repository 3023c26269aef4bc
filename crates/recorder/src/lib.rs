//! The flight recorder. It writes each event that is given to the decision module, the module's clock at that
//! event, and the actions that the module returned.
//!
//! The decision module is deterministic, so a recording that begins at the start of a proxy is enough to
//! repeat all its decisions: [`replay()`] feeds the events to a new module and compares the actions.
//! [`Recorder`] writes on a separate thread, so that a slow disk never delays requests. If the disk does not
//! keep up, the recording ends, because a replay of a recording with a gap would prove nothing.
//!
//! A file starts with `VSFR` and a version byte. Frames follow: the length and the CRC-32 of the content
//! (each four bytes, little-endian), then a postcard-encoded [`Frame`]. The size of a recording is limited:
//! it consists of the segments `FILE`, `FILE.1`, `FILE.2` ... and ends with [`Frame::Full`] when their total
//! size reaches the limit.

mod frame;
mod read;
mod replay;
mod write;

pub use frame::{Frame, OwnedEvent, RecordedSettings};
pub use read::{ReadError, ReadErrorKind, Reader};
pub use replay::{Difference, ReplayFilter, ReplayReport, replay};
pub use write::{Recorder, RecordingLimits, StopReason};
