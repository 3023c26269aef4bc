//! Evidence about builds, without decisions: counters over attempts' ends, and how peers exchange them.
//!
//! Counters only grow within a stage, so lost, late and repeated messages do no harm: the newest replaces the
//! one before, and an open window's evidence is the difference to what stood when it began.

mod counters;
mod histogram;
mod message;
mod pool;

pub use counters::{Arm, Evidence, HitKind, OutcomeCounts, SLICES, Sample, SliceCounts, hit_share};
pub use histogram::{BINS, Histogram};
pub use message::{GossipHeader, MAX_MESSAGE_BYTES, decode, encode};
pub use pool::{EvidencePool, StageEvidence};
