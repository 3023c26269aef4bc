//! Simulations of release plans: a plan is played on a simulated clock, with a script of what people,
//! proxies, places and clocks do.
//!
//! What decides is the controller's own state machine (`violetseam-release`); this package simulates the
//! rest: the platform that starts and drains places ([`platform`]), proxies that vote and people who approve
//! ([`script`]), a wall clock that can be set and a controller that can be down ([`simulate`]). The same plan
//! and script give the same timeline. Everything here is simulated; nothing is measured.

pub mod chart;
pub mod platform;
mod player;
mod run;
pub mod script;

pub use player::simulate;
pub use run::{Sample, SimulationRun, Step, TimelineEntry};
pub use script::{Script, default_script, read_file, read_text};
