//! Plays scripted scenarios: each proxy runs as a process of its own against a simulated site, faults are
//! injected at scheduled times, and at the end the invariants are checked on what crossed the sockets. The
//! crate also measures the cost of the proxy and of the operators' tools.

mod base_scenario;
pub mod bench_scenario;
pub mod builtin_scenarios;
mod controller;
mod error;
mod fault_timeline;
pub mod fleet_scenarios;
pub mod measurement;
mod outcome;
pub mod overload_scenario;
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
