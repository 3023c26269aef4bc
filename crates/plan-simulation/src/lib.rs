//! Rehearsals: a plan played on a simulated clock, with a script of what people, proxies, places and clocks do.
//!
//! What decides is the controller's own state machine (`violetseam-release`); this package plays the rest: the
//! platform that starts and drains places ([`platform`]), proxies that vote and people who sign ([`script`]),
//! a wall clock that can be set and a controller that can be away ([`player`]). Same plan and script, same
//! timeline. Everything here is simulated; nothing is measured.

pub mod chart;
pub mod platform;
pub mod player;
pub mod script;

pub use player::{Entry, Played, Step, play};
pub use script::{Script, healthy, read_file, read_text};
