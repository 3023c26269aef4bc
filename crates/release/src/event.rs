//! The events that the release state machine takes, and the time of an event.

use crate::PlaceState;
use serde::{Deserialize, Serialize};
use violetseam_plan::{Micros, Plan};

/// The time of an event on two clocks, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Now {
    /// Time since 1970-01-01 UTC by the controller's wall clock, which may jump.
    pub wall: Micros,
    /// Time by a monotonic clock. Its origin is arbitrary and differs each time the controller starts.
    pub steady: Micros,
}

/// The verdict that a proxy's vote carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Promote the build to the next wave.
    On,
    /// Keep the build in its current wave.
    Hold,
    /// Roll the build back.
    Back,
    /// Withdraw this proxy's earlier vote.
    Withdraw,
}

/// A proxy's vote on a build in one stage of its release.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// The number of the proxy that votes.
    pub proxy: u32,
    /// The build that the vote is about.
    pub build: u16,
    /// The stage that the build was in when the proxy voted.
    pub stage: u8,
    /// What the proxy votes for.
    pub verdict: Verdict,
}

/// An operator's order that intervenes in a running plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Begin no further wave for this long, unless a resume ends the hold earlier.
    Hold(Micros),
    /// End a hold early.
    Resume,
    /// Roll the build back, or drop the plan if its first wave has not begun.
    Back,
    /// Skip the rest of the current wave's soak time.
    Skip,
}

/// An event that the release state machine applies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// A controller started from the durable state. Its monotonic clock has a new origin.
    Started,
    /// Time passed. Only this event and [`Event::Started`] begin a wave or release a build; a rollback may
    /// begin with any event.
    Tick,
    /// An operator submits a plan.
    Offer(Box<Plan>),
    /// A proxy votes on the newest build.
    Vote(Vote),
    /// An operator approves a wave.
    Sign {
        /// The operator who approves.
        who: String,
        /// The name of the approved wave.
        wave: String,
    },
    /// An operator revokes an approval.
    Unsign {
        /// The operator who had approved the wave.
        who: String,
        /// The name of the wave.
        wave: String,
    },
    /// An operator gives an order that intervenes in a running plan.
    Order {
        /// The operator who gives the order.
        who: String,
        /// What the operator orders.
        order: Order,
    },
    /// The platform reports the state of a build in a place.
    Place {
        /// The number of the place.
        place: u32,
        /// The build that the report is about.
        build: u16,
        /// The state of that build in that place.
        state: PlaceState,
    },
}
