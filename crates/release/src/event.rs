//! Events: what happens to a release, and when.

use crate::PlaceState;
use serde::{Deserialize, Serialize};
use violetseam_plan::{Micros, Plan};

/// The time of an event on two clocks, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Now {
    /// Since 1970 UTC, as the controller's clock has it.
    pub wall: Micros,
    /// Of a monotonic clock; its zero is arbitrary and changes with each start.
    pub steady: Micros,
}

/// What a proxy votes for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Move on to the next wave.
    On,
    /// Stay in this wave.
    Hold,
    /// Roll the build back.
    Back,
    /// Withdraw the vote.
    Withdraw,
}

/// A proxy's vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// The proxy's number.
    pub proxy: u32,
    /// The build.
    pub build: u16,
    /// The stage.
    pub stage: u8,
    /// The verdict.
    pub verdict: Verdict,
}

/// An order of an operator outside the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Stay in this wave, for at most so long.
    Hold(Micros),
    /// End a hold.
    Resume,
    /// Roll the build back.
    Back,
    /// Skip what is left of the soak.
    Skip,
}

/// An event that the release takes in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// A controller started from the durable state: its steady clock is another one.
    Started,
    /// Time passed.
    Tick,
    /// An operator offers a plan.
    Offer(Box<Plan>),
    /// A proxy votes.
    Vote(Vote),
    /// An operator approves a wave.
    Sign {
        /// The operator.
        who: String,
        /// The wave.
        wave: String,
    },
    /// An operator revokes an approval.
    Unsign {
        /// The operator.
        who: String,
        /// The wave.
        wave: String,
    },
    /// An operator gives an order.
    Order {
        /// The operator.
        who: String,
        /// The order.
        order: Order,
    },
    /// The platform reports a build in a place.
    Place {
        /// Its number.
        place: u32,
        /// The build.
        build: u16,
        /// Its state.
        state: PlaceState,
    },
}
