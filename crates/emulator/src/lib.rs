//! Deterministic simulation of a scenario in simulated time: the same scenario and seed give the same events
//! and the same outcome.
//!
//! The decisions are made by the production code: each proxy runs [`violetseam_proxy::engine::Engine`] with
//! the decision module, and releases run the controller's state machine with the scenario's plans. The
//! servers, the endpoint list and the traffic are modelled by `violetseam-simulated-site`, with the models
//! that scenarios over sockets use; this package models the network and the clients. The rules are checked
//! from the messages between the models, with the checker that scenarios over sockets use.
//!
//! - `event_queue`: the events that are scheduled
//! - `cluster`: the servers in their places, the endpoint list and the attempts in flight
//! - `simulation`: the event loop, with clients, proxies, discovery and the release service
//! - `outcome`: the results of a scenario
//!
//! Scenarios with faults that cannot be simulated yet are rejected: see [`unsupported_faults`]. No sockets,
//! files or real clocks are involved.

mod client_try;
mod cluster;
mod error;
mod event_queue;
mod outcome;
mod simulation;

pub use error::{SimulationError, unsupported_faults};
pub use outcome::{BuildOutcome, GroupOutcome, LatencyPercentiles, Outcome, TryCounts};
pub use simulation::simulate;
