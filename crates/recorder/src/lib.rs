//! The flight recorder: each event given to the decisions with its clock, and the actions that came of it.
//!
//! As the decisions are deterministic, a recording from a proxy's start is all it takes to have them
//! decide again: [`replay`] feeds a fresh module and compares. [`Recorder`] writes on a thread of its own,
//! so that a slow disk never holds up traffic; what it cannot keep up with ends the recording, as a replay
//! with a hole would prove nothing.
//!
//! A file is `VSFR` and a version byte, then frames: length and CRC-32 (each four bytes, little-endian)
//! and a postcard-encoded [`Frame`]. A recording is bounded: segments `FILE`, `FILE.1`, `FILE.2` ... up to
//! a total, where it ends with [`Frame::Full`].

mod frame;
mod read;
mod replay;
mod write;

pub use frame::{Frame, OwnedEvent};
pub use read::{ReadFault, Reader};
pub use replay::{Interest, Report, replay};
pub use write::{Bounds, Recorder};
