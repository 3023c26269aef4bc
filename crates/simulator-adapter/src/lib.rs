//! The adapter between the simulator's wire and the decision module.
//!
//! A batch of records is read in `record`, its events are delivered to the balancers in `host`, and their actions
//! are written in `action`. Little-endian packed frames, read and written field by field.

pub mod action;
pub mod host;
pub mod reader;
pub mod record;
