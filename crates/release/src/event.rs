//! Events: what happens to a release, and when.

use crate::PlaceState;
use serde::{Deserialize, Serialize};
use violetseam_plan::{Micros, Plan};

/// The moment of an event, microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Now {
    /// Since 1970 UTC, as the controller's clock has it.
    pub wall: Micros,
    /// Of a clock that never jumps; its zero is anywhere and changes with each start.
    pub steady: Micros,
}

/// What a proxy votes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Move on.
    On,
    /// Stop the clock.
    Hold,
    /// Send back.
    Back,
    /// No vote.
    Withdraw,
}

/// A proxy's vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// The proxy's number.
    pub proxy: u32,
    /// The build.
    pub build: u16,
    /// The stage that it means.
    pub stage: u8,
    /// What it votes.
    pub verdict: Verdict,
}

/// What a person orders beside the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Stand still, at most for so long.
    Hold(Micros),
    /// Go on.
    Resume,
    /// Send the build back.
    Back,
    /// Skip what is left of the soak.
    Skip,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// A controller begins with what was durable: its steady clock is another one.
    Started,
    /// Time passed.
    Tick,
    /// A build is offered.
    Offer(Box<Plan>),
    /// A proxy votes.
    Vote(Vote),
    /// Somebody approves a wave.
    Sign {
        /// Who.
        who: String,
        /// The wave.
        wave: String,
    },
    /// Somebody takes an approval back.
    Unsign {
        /// Who.
        who: String,
        /// The wave.
        wave: String,
    },
    /// Somebody orders something.
    Order {
        /// Who.
        who: String,
        /// What.
        order: Order,
    },
    /// A place tells what it runs.
    Place {
        /// Its number.
        place: u32,
        /// The build.
        build: u16,
        /// How it is.
        state: PlaceState,
    },
}
