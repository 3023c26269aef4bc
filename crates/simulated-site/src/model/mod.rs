//! What the simulated services do: no I/O, and the time is passed in.

pub mod endpoint_registry;
pub mod release_service;
pub mod server;
pub mod traffic;

/// The source of all random draws, seeded by the scenario.
pub type RandomSource = rand_pcg::Pcg64Mcg;
