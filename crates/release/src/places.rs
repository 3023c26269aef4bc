//! Which builds each place runs, and what it is to run. The controller tells the platform the whole of what is
//! wanted, again and again; the platform starts what is missing and drains the rest. So a lost word, a restart
//! on either side or a machine that dies needs no repair of its own.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// How a build is in a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlaceState {
    /// Starting.
    Starting,
    /// Running.
    Running,
    /// Finishing its work.
    Draining,
    /// Not there.
    Gone,
}

/// What the places run, as they told.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Places(BTreeMap<u32, BTreeMap<u16, PlaceState>>);

impl Places {
    /// Whether it was news.
    pub fn tell(&mut self, place: u32, build: u16, state: PlaceState) -> bool {
        let there = self.0.entry(place).or_default();
        if state == PlaceState::Gone {
            there.remove(&build).is_some()
        } else {
            there.insert(build, state) != Some(state)
        }
    }

    pub fn known(&self) -> Vec<(u32, u16)> {
        self.0.iter().flat_map(|(place, builds)| builds.keys().map(move |build| (*place, *build))).collect()
    }

    pub fn runs(&self, place: u32, build: u16) -> bool {
        self.0.get(&place).and_then(|p| p.get(&build)) == Some(&PlaceState::Running)
    }

    /// Places in which something of a build is left.
    pub fn left(&self, build: u16) -> usize {
        self.0.values().filter(|p| p.contains_key(&build)).count()
    }

    /// Of these places, how many run a build.
    pub fn running(&self, of: &BTreeSet<u32>, build: u16) -> usize {
        of.iter().filter(|place| self.runs(**place, build)).count()
    }

    /// On the places `on` the build `to`; until it runs there, and with `beside` in any case, `from` stays.
    pub fn replace(
        &self,
        all: u32,
        on: &BTreeSet<u32>,
        from: u16,
        to: u16,
        beside: bool,
    ) -> BTreeSet<(u32, u16)> {
        let mut wanted = BTreeSet::new();
        for place in 0..all {
            let chosen = on.contains(&place);
            if chosen {
                wanted.insert((place, to));
            }
            if !chosen || beside || !self.runs(place, to) {
                wanted.insert((place, from));
            }
        }
        wanted
    }

    /// Everywhere the build `to` again; `from` stays in a place that has it until `to` runs there, and is not
    /// started anywhere only to be drained.
    pub fn give_back(&self, all: u32, from: u16, to: u16) -> BTreeSet<(u32, u16)> {
        let mut wanted = BTreeSet::new();
        for place in 0..all {
            wanted.insert((place, to));
            if self.runs(place, from) && !self.runs(place, to) {
                wanted.insert((place, from));
            }
        }
        wanted
    }
}
