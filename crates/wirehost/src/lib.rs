//! The adapter between the simulator's wire and the decision module.

pub mod codec;
pub mod host;
