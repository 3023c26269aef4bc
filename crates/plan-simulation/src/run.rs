//! The results of a simulation. Times are in microseconds since the offer.

use std::collections::BTreeSet;
use violetseam_plan::Micros;
use violetseam_release::{Announcement, Event, Now, Reply};

/// An entry of the timeline.
#[derive(Clone, Debug, PartialEq)]
pub struct TimelineEntry {
    /// When it happened.
    pub at: Micros,
    /// What happened.
    pub text: String,
}

/// A value and the time at which it took effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample<T> {
    /// When the value took effect.
    pub at: Micros,
    /// The value.
    pub value: T,
}

/// One event and the release's decisions on it, for checks of the decisions.
#[derive(Clone, Debug)]
pub struct Step {
    /// The controller's clocks at the event.
    pub now: Now,
    /// The event.
    pub event: Event,
    /// The release's reply.
    pub reply: Reply,
    /// Whether the controller must persist the event.
    pub must_persist: bool,
    /// The announcement before the event.
    pub before: Announcement,
    /// The announcement after the event.
    pub after: Announcement,
    /// The builds that each place should run after the event, as pairs of place and build.
    pub desired_builds: BTreeSet<(u32, u16)>,
}

/// The results of a simulation.
#[derive(Clone, Debug, Default)]
pub struct SimulationRun {
    /// What happened, in the order of time.
    pub timeline: Vec<TimelineEntry>,
    /// The announcements, in the order of time.
    pub announcements: Vec<Sample<Announcement>>,
    /// The number of places that ran the new build, in the order of time.
    pub running_places: Vec<Sample<usize>>,
    /// The controller's description of the release at the end.
    pub final_status: String,
}
