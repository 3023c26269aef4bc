//! Simulates the release of a plan on a simulated clock, with a script of what people, proxies, places and
//! clocks do.
//!
//! The decisions are made by the controller's own state machine (`violetseam-release`). This package
//! simulates everything around it: the platform that starts and drains builds in places ([`platform`]), the
//! proxies that vote and the people who approve ([`script`]), a wall clock that can be set, and a controller
//! that can be down ([`simulate`]). The same plan and script always give the same timeline. All times in it
//! are simulated; none is measured.

pub mod chart;
pub mod platform;
mod run;
pub mod script;
mod simulator;

pub use run::{Sample, SimulationRun, Step, TimelineEntry};
pub use script::{Script, default_script, read_file, read_text};
pub use simulator::simulate;
