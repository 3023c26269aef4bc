//! The adapter between the simulator's wire protocol and the decision module.
//!
//! `record` reads the records of a batch, `host` delivers their events to the balancers, and `action` writes
//! the balancers' actions. Frames are packed and little-endian; they are read and written field by field.

pub mod action;
pub mod host;
pub mod reader;
pub mod record;
