//! Evidence about builds: counters of how attempts ended, and the exchange of these counters with peers.
//! Nothing is decided here.
//!
//! Within a stage the counters only grow. Lost, late and repeated messages therefore do no harm: the newest
//! report of a peer replaces the one before, and the evidence of an open window is the difference between the
//! counters now and the counters when the window started.

mod counters;
mod histogram;
mod message;
mod pool;

pub use counters::{Arm, Evidence, OutcomeCounts, SLICES, Sample, SliceCounts, SliceMetric, hit_share};
pub use histogram::{BINS, Histogram};
pub use message::{GossipHeader, MAX_MESSAGE_BYTES, decode, encode};
pub use pool::{EvidencePool, StageEvidence};
