//! Which builds each place runs, and which it is to run. The controller sends the platform the complete desired
//! set, again and again; the platform starts what is missing and drains the rest. So a lost message, a restart on
//! either side or a dead machine needs no repair of its own.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The state of a build in a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlaceState {
    /// It starts.
    Starting,
    /// It runs.
    Running,
    /// It finishes its requests.
    Draining,
    /// It is not there.
    Gone,
}

/// What the places run, as reported.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Places(BTreeMap<u32, BTreeMap<u16, PlaceState>>);

impl Places {
    /// Takes a report; whether it changed anything.
    pub fn report(&mut self, place: u32, build: u16, state: PlaceState) -> bool {
        let builds = self.0.entry(place).or_default();
        if state == PlaceState::Gone {
            builds.remove(&build).is_some()
        } else {
            builds.insert(build, state) != Some(state)
        }
    }

    /// All builds in all places, as pairs of place and build.
    pub fn known(&self) -> Vec<(u32, u16)> {
        let mut known = Vec::new();
        for (place, builds) in &self.0 {
            known.extend(builds.keys().map(|build| (*place, *build)));
        }
        known
    }

    fn is_running(&self, place: u32, build: u16) -> bool {
        self.0.get(&place).and_then(|builds| builds.get(&build)) == Some(&PlaceState::Running)
    }

    /// Counts the places in which a build is not gone.
    pub fn count_with(&self, build: u16) -> usize {
        self.0.values().filter(|builds| builds.contains_key(&build)).count()
    }

    /// Of these places, counts those that run a build.
    pub fn count_running(&self, places: &BTreeSet<u32>, build: u16) -> usize {
        places.iter().filter(|place| self.is_running(**place, build)).count()
    }

    /// The desired builds of a roll-out: in the `chosen` places `new`; `old` stays there until `new` runs, or in
    /// any case if `side_by_side`.
    pub fn roll_out(
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

    /// The desired builds of a rollback: `old` everywhere again. `new` stays in a place that runs it until `old`
    /// runs there, and is not started anywhere only to be drained.
    pub fn roll_back(&self, place_count: u32, new: u16, old: u16) -> BTreeSet<(u32, u16)> {
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
