//! A day in simulated time, deterministic: the same day and seed give the same outcome, event by event.
//!
//! What decides is the product's own: each proxy is its [`violetseam_proxy::engine::Engine`] round the decision
//! module, releases are the controller's state machine over the day's plans. Modelled are the servers, the
//! roster and the traffic (`violetseam-simulated-site`, the very models that the days over sockets use), the network
//! between them, and the clients. The rules are checked from what crossed between the models, by the checker
//! that the days over sockets use.
//!
//! - `agenda.rs`: what happens next
//! - `world.rs`: servers, roster and platform; proxies and what they are told
//! - `run.rs`: the loop, and the outcome
//!
//! Not modelled yet, and refused: see [`unplayed`]. Everything here is simulated.

mod agenda;
mod run;
mod world;

pub use run::{Fate, Outcome, run, unplayed};
