//! A platform that starts and drains what the controller wants, each in its time; places can be lost for a
//! while.

use std::collections::{BTreeMap, BTreeSet};
use violetseam_plan::Micros;
use violetseam_release::PlaceState;

/// The platform.
#[derive(Clone, Debug)]
pub struct Platform {
    boot: Micros,
    drain: Micros,
    /// What is where, and when it becomes something else.
    there: BTreeMap<(u32, u16), (PlaceState, Micros)>,
    /// Places that are lost, until when.
    lost: BTreeMap<u32, Micros>,
}

/// Something that a place tells.
pub type Told = (u32, u16, PlaceState);

impl Platform {
    /// All places run one build.
    pub fn new(places: u32, build: u16, boot: Micros, drain: Micros) -> Self {
        let there = (0..places).map(|place| ((place, build), (PlaceState::Running, Micros::MAX))).collect();
        Platform { boot, drain, there, lost: BTreeMap::new() }
    }

    /// What the places run.
    pub fn all(&self) -> Vec<Told> {
        self.there.iter().map(|((place, build), (state, _))| (*place, *build, *state)).collect()
    }

    /// Starts what is missing and drains the rest.
    pub fn want(&mut self, now: Micros, wanted: &BTreeSet<(u32, u16)>) -> Vec<Told> {
        let mut told = Vec::new();
        for &(place, build) in wanted {
            if !self.lost.contains_key(&place) && !self.there.contains_key(&(place, build)) {
                self.there.insert((place, build), (PlaceState::Starting, now + self.boot));
                told.push((place, build, PlaceState::Starting));
            }
        }
        for (&(place, build), there) in &mut self.there {
            if !wanted.contains(&(place, build)) && there.0 != PlaceState::Draining {
                *there = (PlaceState::Draining, now + self.drain);
                told.push((place, build, PlaceState::Draining));
            }
        }
        told
    }

    /// A place is lost with all it runs, until a moment.
    pub fn lose(&mut self, place: u32, until: Micros) -> Vec<Told> {
        self.lost.insert(place, until);
        let gone: Vec<(u32, u16)> = self.there.keys().filter(|k| k.0 == place).copied().collect();
        for key in &gone {
            self.there.remove(key);
        }
        gone.into_iter().map(|(place, build)| (place, build, PlaceState::Gone)).collect()
    }

    /// When something is done next.
    pub fn due(&self) -> Option<Micros> {
        let there = self.there.values().map(|t| t.1).filter(|at| *at < Micros::MAX);
        there.chain(self.lost.values().copied()).min()
    }

    /// What is done by now.
    pub fn advance(&mut self, now: Micros) -> Vec<Told> {
        self.lost.retain(|_, until| *until > now);
        let done: Vec<(u32, u16)> = self.there.iter().filter(|t| t.1.1 <= now).map(|t| *t.0).collect();
        let mut told = Vec::new();
        for (place, build) in done {
            match self.there.get_mut(&(place, build)) {
                Some(there) if there.0 == PlaceState::Starting => {
                    *there = (PlaceState::Running, Micros::MAX);
                    told.push((place, build, PlaceState::Running));
                }
                _ => {
                    self.there.remove(&(place, build));
                    told.push((place, build, PlaceState::Gone));
                }
            }
        }
        told
    }
}
