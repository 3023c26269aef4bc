//! The behaviour of the simulated services, without I/O. The caller passes the time in.

pub mod endpoint_registry;
pub mod release_service;
pub mod server;
pub mod traffic;

/// The generator of all random draws, seeded by the scenario.
pub type RandomSource = rand_pcg::Pcg64Mcg;
