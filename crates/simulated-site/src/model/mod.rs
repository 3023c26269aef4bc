//! What the stand-ins do, without I/O and with time passed in.

pub mod desk;
pub mod roster;
pub mod server;
pub mod traffic;

/// All draws are from this generator, seeded by the day.
pub type Rng = rand_pcg::Pcg64Mcg;
