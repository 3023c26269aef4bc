//! The builds that each place reports, and the builds that each place should run.
//!
//! The controller sends the platform the complete set of desired builds, and repeats it periodically. The
//! platform starts the builds that are missing and drains those that are not in the set. Lost messages,
//! restarts on either side and failed machines are corrected by the next repetition and need no special
//! handling.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The state of a build in a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlaceState {
    /// The build is starting.
    Starting,
    /// The build is running.
    Running,
    /// The build is finishing its requests and takes no new ones.
    Draining,
    /// The build is no longer present in the place.
    Gone,
}

/// The builds in each place, as last reported by the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Places(BTreeMap<u32, BTreeMap<u16, PlaceState>>);

impl Places {
    /// Applies a report. Returns whether it changed anything.
    pub fn report(&mut self, place: u32, build: u16, state: PlaceState) -> bool {
        let builds = self.0.entry(place).or_default();
        if state == PlaceState::Gone {
            builds.remove(&build).is_some()
        } else {
            builds.insert(build, state) != Some(state)
        }
    }

    /// Returns all builds that are present in a place, as pairs of place and build.
    pub fn reported_builds(&self) -> Vec<(u32, u16)> {
        let mut reported = Vec::new();
        for (place, builds) in &self.0 {
            reported.extend(builds.keys().map(|build| (*place, *build)));
        }
        reported
    }

    fn is_running(&self, place: u32, build: u16) -> bool {
        self.0.get(&place).and_then(|builds| builds.get(&build)) == Some(&PlaceState::Running)
    }

    /// Counts the places in which a build is present, in whatever state.
    pub fn count_hosting(&self, build: u16) -> usize {
        self.0.values().filter(|builds| builds.contains_key(&build)).count()
    }

    /// Counts those of the given places in which a build is running.
    pub fn count_running(&self, places: &BTreeSet<u32>, build: u16) -> usize {
        places.iter().filter(|place| self.is_running(**place, build)).count()
    }

    /// Returns the desired builds of a rollout, as pairs of place and build. The `chosen` places should run
    /// the `new` build; the other places should run the `old` one. In a chosen place the old build also stays
    /// until the new one is running, or throughout if `side_by_side` is set.
    pub fn desired_for_rollout(
        &self,
        place_count: u32,
        chosen: &BTreeSet<u32>,
        old: u16,
        new: u16,
        side_by_side: bool,
    ) -> BTreeSet<(u32, u16)> {
        let mut desired = BTreeSet::new();
        for place in 0..place_count {
            let is_chosen = chosen.contains(&place);
            if is_chosen {
                desired.insert((place, new));
            }
            if !is_chosen || side_by_side || !self.is_running(place, new) {
                desired.insert((place, old));
            }
        }
        desired
    }

    /// Returns the desired builds of a rollback, as pairs of place and build. All places should run the `old`
    /// build again. A place that is running the `new` build keeps it until the old one is running there. The
    /// new build is started nowhere, since it would only be drained again.
    pub fn desired_for_rollback(&self, place_count: u32, new: u16, old: u16) -> BTreeSet<(u32, u16)> {
        let mut desired = BTreeSet::new();
        for place in 0..place_count {
            desired.insert((place, old));
            if self.is_running(place, new) && !self.is_running(place, old) {
                desired.insert((place, new));
            }
        }
        desired
    }
}
