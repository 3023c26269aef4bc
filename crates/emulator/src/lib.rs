//! A scenario in simulated time, deterministic: the same scenario and seed give the same outcome, event by
//! event.
//!
//! What decides is the product's own: each proxy is its [`violetseam_proxy::engine::Engine`] round the
//! decision module, releases are the controller's state machine over the scenario's plans. Modelled are the
//! servers, the endpoint list and the traffic (`violetseam-simulated-site`, the very models that scenarios
//! over sockets use), the network between them, and the clients. The rules are checked from what crossed
//! between the models, by the checker that scenarios over sockets use.
//!
//! - `event_queue`: what happens next
//! - `cluster`: servers in their places, the endpoint list, attempts in flight
//! - `simulation`: the event loop; clients, proxies, discovery and the release service
//! - `outcome`: what came of a scenario
//!
//! Some kinds of faults are not simulated yet, and refused: see [`unsupported_faults`]. Everything here is
//! simulated.

mod client_try;
mod cluster;
mod error;
mod event_queue;
mod outcome;
mod simulation;

pub use error::{SimulationError, unsupported_faults};
pub use outcome::{BuildOutcome, LatencyPercentiles, Outcome, TryCounts};
pub use simulation::simulate;
