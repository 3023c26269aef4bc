//! Plays scripted days: proxies as processes of their own, stand-ins round them, troubles by the clock, and
//! at the end the rules checked from what crossed the sockets.

mod controller;
pub mod days;
pub mod disturbed;
pub mod drawn;
pub mod fleet;
pub mod fleet_days;
pub mod measure;
mod proxies;
pub mod report;
mod run;
pub mod script;

pub use controller::plan;
pub use run::{Lab, Outcome};
