//! A simulated platform that starts and drains builds as the controller desires, each in a fixed time. Places
//! can be lost for a while.

use std::collections::{BTreeMap, BTreeSet};
use violetseam_plan::Micros;
use violetseam_release::PlaceState;

/// The platform's report on a build in a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlaceReport {
    /// The number of the place.
    pub place: u32,
    /// The number of the build.
    pub build: u16,
    /// The state of the build in the place.
    pub state: PlaceState,
}

/// Identifies a build in a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct InstanceId {
    place: u32,
    build: u16,
}

impl InstanceId {
    fn report(self, state: PlaceState) -> PlaceReport {
        PlaceReport { place: self.place, build: self.build, state }
    }
}

#[derive(Clone, Copy, Debug)]
struct Instance {
    state: PlaceState,
    /// When the build will have started or drained; `None` while it runs.
    completes_at: Option<Micros>,
}

/// The simulated platform. Times are in microseconds on the simulation's clock.
#[derive(Clone, Debug)]
pub struct Platform {
    start_duration: Micros,
    drain_duration: Micros,
    instances: BTreeMap<InstanceId, Instance>,
    /// The lost places and the times at which they come back.
    lost_until: BTreeMap<u32, Micros>,
}

impl Platform {
    /// Returns a platform on which all places run one build. A build takes `start_duration` to start and
    /// `drain_duration` to drain.
    pub fn new(places: u32, build: u16, start_duration: Micros, drain_duration: Micros) -> Self {
        let running = Instance { state: PlaceState::Running, completes_at: None };
        let instances = (0..places).map(|place| (InstanceId { place, build }, running)).collect();
        Platform { start_duration, drain_duration, instances, lost_until: BTreeMap::new() }
    }

    /// Returns reports on all builds in all places.
    pub fn reports(&self) -> Vec<PlaceReport> {
        self.instances.iter().map(|(id, instance)| id.report(instance.state)).collect()
    }

    /// Starts the desired builds that are missing and drains the builds that are not desired. Returns reports
    /// on the changes.
    pub fn reconcile(&mut self, now: Micros, desired: &BTreeSet<(u32, u16)>) -> Vec<PlaceReport> {
        let mut reports = self.start_missing(now, desired);
        reports.extend(self.drain_undesired(now, desired));
        reports
    }

    fn start_missing(&mut self, now: Micros, desired: &BTreeSet<(u32, u16)>) -> Vec<PlaceReport> {
        let completes_at = Some(now + self.start_duration);
        let mut reports = Vec::new();
        for &(place, build) in desired {
            let id = InstanceId { place, build };
            if !self.lost_until.contains_key(&place) && !self.instances.contains_key(&id) {
                self.instances.insert(id, Instance { state: PlaceState::Starting, completes_at });
                reports.push(id.report(PlaceState::Starting));
            }
        }
        reports
    }

    fn drain_undesired(&mut self, now: Micros, desired: &BTreeSet<(u32, u16)>) -> Vec<PlaceReport> {
        let completes_at = Some(now + self.drain_duration);
        let mut reports = Vec::new();
        for (id, instance) in &mut self.instances {
            let is_desired = desired.contains(&(id.place, id.build));
            if !is_desired && instance.state != PlaceState::Draining {
                *instance = Instance { state: PlaceState::Draining, completes_at };
                reports.push(id.report(PlaceState::Draining));
            }
        }
        reports
    }

    /// Loses a place and everything that it runs until a given time. Returns reports on the builds that are
    /// gone.
    pub fn lose_place(&mut self, place: u32, until: Micros) -> Vec<PlaceReport> {
        self.lost_until.insert(place, until);
        let lost: Vec<InstanceId> = self.instances.keys().filter(|id| id.place == place).copied().collect();
        for id in &lost {
            self.instances.remove(id);
        }
        lost.into_iter().map(|id| id.report(PlaceState::Gone)).collect()
    }

    /// Returns when the next build has started or drained, or the next lost place comes back.
    pub fn next_transition(&self) -> Option<Micros> {
        let completions = self.instances.values().filter_map(|instance| instance.completes_at);
        completions.chain(self.lost_until.values().copied()).min()
    }

    /// Completes the starts and drains that are due by now. Returns reports on the changes.
    pub fn advance(&mut self, now: Micros) -> Vec<PlaceReport> {
        self.lost_until.retain(|_, until| *until > now);
        let is_complete = |instance: &Instance| instance.completes_at.is_some_and(|at| at <= now);
        let complete = self.instances.iter().filter(|(_, instance)| is_complete(instance));
        let complete: Vec<InstanceId> = complete.map(|(id, _)| *id).collect();
        complete.into_iter().map(|id| self.complete(id)).collect()
    }

    fn complete(&mut self, id: InstanceId) -> PlaceReport {
        match self.instances.get_mut(&id) {
            Some(instance) if instance.state == PlaceState::Starting => {
                *instance = Instance { state: PlaceState::Running, completes_at: None };
                id.report(PlaceState::Running)
            }
            _ => {
                self.instances.remove(&id);
                id.report(PlaceState::Gone)
            }
        }
    }
}
