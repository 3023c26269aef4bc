//! Builds, and the effects of their defects in figures.

use crate::scenario::{BuildDefect, Release, Scenario};

/// A build, as it affects the servers that run it.
#[derive(Clone, Debug, Default)]
pub struct Build {
    /// The build's number.
    pub number: u16,
    /// Speed of the build relative to the first build.
    pub speed: f64,
    defect: Option<BuildDefect>,
    severity: f64,
}

/// The effect of a defect on one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct DefectEffect {
    /// Factor by which the request's work grows.
    pub work_factor: f64,
    /// Probability that the request fails.
    pub error_rate: f64,
}

impl DefectEffect {
    const NONE: DefectEffect = DefectEffect { work_factor: 1.0, error_rate: 0.0 };

    fn errors(error_rate: f64) -> Self {
        DefectEffect { error_rate, ..Self::NONE }
    }
}

impl Build {
    /// Creates a build without a defect.
    pub fn without_defect(number: u16) -> Self {
        Build { number, speed: 1.0, defect: None, severity: 0.0 }
    }

    /// Creates the build of a release.
    pub fn from_release(number: u16, release: &Release) -> Self {
        Build { number, speed: release.speed, defect: release.defect, severity: release.severity }
    }

    /// Creates the build with a given number in a scenario. The releases' numbers follow on from that of the
    /// first build.
    pub fn in_scenario(scenario: &Scenario, number: u16) -> Self {
        let offset = usize::from(number - scenario.rollout.first_build);
        match offset.checked_sub(1).and_then(|index| scenario.releases.get(index)) {
            Some(release) => Build::from_release(number, release),
            None => Build::without_defect(number),
        }
    }

    /// Whether the build has a defect.
    pub fn is_defective(&self) -> bool {
        self.defect.is_some()
    }

    /// The build's defect, if it has one.
    pub fn defect(&self) -> Option<BuildDefect> {
        self.defect
    }

    /// Interpolates geometrically between the figures for severity 0 (`mild`) and severity 1 (`severe`).
    fn by_severity(&self, mild: f64, severe: f64) -> f64 {
        mild * (severe / mild).powf(self.severity)
    }

    /// The effect of the defect on a request of a class. `utilization` is the share of the server's slots
    /// that are in use, `age` the time since the server's start, in microseconds.
    pub(super) fn effect_on(&self, class: usize, utilization: f64, age: u64) -> DefectEffect {
        match self.defect {
            Some(BuildDefect::Errors) => DefectEffect::errors(self.by_severity(0.04, 0.36)),
            Some(BuildDefect::ClassErrors(affected)) if affected == class => {
                DefectEffect::errors(self.by_severity(0.25, 0.9))
            }
            Some(BuildDefect::Slow) => {
                DefectEffect { work_factor: self.by_severity(1.7, 3.7), error_rate: 0.0 }
            }
            Some(BuildDefect::UnderLoad) if utilization > self.by_severity(0.6, 0.3) => {
                DefectEffect { work_factor: 1.8, error_rate: 0.2 }
            }
            Some(BuildDefect::Delayed) if age as f64 > self.by_severity(11e6, 5e6) => {
                DefectEffect { work_factor: 2.0, error_rate: 0.2 }
            }
            _ => DefectEffect::NONE,
        }
    }

    /// Share of the build's answers that are wrong.
    pub(super) fn wrong_answer_rate(&self) -> f64 {
        match self.defect {
            Some(BuildDefect::WrongAnswers) => self.by_severity(0.03, 0.24),
            _ => 0.0,
        }
    }

    /// Factor by which the build slows all servers down, given its share of their traffic.
    pub fn fleet_slowdown(&self, traffic_share: f64) -> f64 {
        match self.defect {
            Some(BuildDefect::SlowsFleet) => 1.0 + traffic_share * self.by_severity(0.7, 2.7),
            _ => 1.0,
        }
    }
}
