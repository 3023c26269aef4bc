//! Plays scripted scenarios: proxies as processes of their own, a simulated site round them, faults
//! injected by the clock, and at the end the rules checked from what crossed the sockets. It also measures
//! what the proxy and the operators' tools cost.

mod base_scenario;
pub mod bench_scenario;
pub mod builtin_scenarios;
mod controller;
mod error;
mod fault_timeline;
pub mod fleet_scenarios;
pub mod measurement;
mod outcome;
mod playback;
mod process;
mod proxies;
pub mod proxy_settings;
pub mod release_plan;
pub mod report;
mod runner;
mod session;

pub use error::ScenarioRunError;
pub use outcome::ScenarioOutcome;
pub use runner::ScenarioRunner;
pub use violetseam_simulated_site::network::site::ReleaseDecider;
