//! What a simulation gives. Times are microseconds from the offer.

use std::collections::BTreeSet;
use violetseam_plan::Micros;
use violetseam_release::{Announcement, Event, Now, Reply};

/// A line of the timeline.
#[derive(Clone, Debug, PartialEq)]
pub struct TimelineEntry {
    /// When.
    pub at: Micros,
    /// What happened.
    pub text: String,
}

/// A value with the moment from which it held.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample<T> {
    /// From when on.
    pub at: Micros,
    /// The value.
    pub value: T,
}

/// One event as it was played, with the release before and after it; for those who check decisions.
#[derive(Clone, Debug)]
pub struct Step {
    /// When.
    pub now: Now,
    /// What happened.
    pub event: Event,
    /// The release's reply.
    pub reply: Reply,
    /// Whether the event must be persisted.
    pub must_persist: bool,
    /// The announcement before the event.
    pub before: Announcement,
    /// The announcement after it.
    pub after: Announcement,
    /// Which places are to run which builds, after it.
    pub desired_builds: BTreeSet<(u32, u16)>,
}

/// What a simulation gave.
#[derive(Clone, Debug, Default)]
pub struct SimulationRun {
    /// The timeline.
    pub timeline: Vec<TimelineEntry>,
    /// The announcements.
    pub announcements: Vec<Sample<Announcement>>,
    /// How many places ran the new build.
    pub running_places: Vec<Sample<usize>>,
    /// How the controller describes the release at the end.
    pub final_status: String,
}
