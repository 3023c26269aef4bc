//! Counters of how attempts ended, kept separately for the new build and for the earlier builds.

use super::histogram::{BINS, Histogram};
use crate::interface::ServerId;

/// The arm of the canary analysis that an attempt counts for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arm {
    /// The new build.
    New,
    /// The earlier builds.
    Earlier,
}

/// Number of arms.
const ARMS: usize = 2;

impl Arm {
    fn index(self) -> usize {
        match self {
            Arm::New => 0,
            Arm::Earlier => 1,
        }
    }
}

/// The end of an attempt, as evidence about the build that responded.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Class of the request.
    pub class: usize,
    /// Server that responded.
    pub server: ServerId,
    /// Whether the attempt ended with an error.
    pub error: bool,
    /// Whether the attempt failed in any way, including a time-out.
    pub failed: bool,
    /// Whether the attempt took longer than usual.
    pub slow: bool,
    /// Time taken per unit of work. It is a lower bound if the attempt was cut short, and `None` if the time
    /// is not meaningful.
    pub pace: Option<f64>,
}

/// Totals over the samples of one arm and one class.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct OutcomeCounts {
    /// Number of attempts.
    pub attempts: f64,
    /// Number of attempts that ended with an error.
    pub errors: f64,
    /// Number of attempts that failed in any way.
    pub failed: f64,
    /// Number of attempts whose response was flagged as wrong.
    pub flagged: f64,
    /// Times taken per unit of work, for the attempts whose time is meaningful.
    pub paces: Histogram,
}

impl OutcomeCounts {
    /// Adds other counts, multiplied by `scale`. Their times are divided by `unit`, or left out if it is
    /// `None`.
    pub fn merge(&mut self, other: &OutcomeCounts, scale: f64, unit: Option<f64>) {
        self.attempts += other.attempts * scale;
        self.errors += other.errors * scale;
        self.failed += other.failed * scale;
        self.flagged += other.flagged * scale;
        if let Some(unit) = unit {
            self.paces.merge(&other.paces, scale, unit);
        }
    }

    /// Returns whether the counts are consistent with each other, for example no more failures than attempts.
    fn is_plausible(&self) -> bool {
        let failures_include_others = self.errors.max(self.flagged) <= self.failed;
        failures_include_others && self.failed.max(self.paces.total()) <= self.attempts
    }
}

/// Which attempts count as hits in a slice of the servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SliceMetric {
    /// Failed attempts.
    Failed,
    /// Slow attempts.
    Slow,
}

/// Numbers of attempts and hits of one slice of the servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SliceCounts {
    /// Number of attempts.
    pub attempts: f64,
    /// Number of attempts that were hits.
    pub hits: f64,
}

/// Returns the share of hits among all attempts of the slices.
pub fn hit_share(slices: &[SliceCounts]) -> f64 {
    let attempts: f64 = slices.iter().map(|slice| slice.attempts).sum();
    let hits: f64 = slices.iter().map(|slice| slice.hits).sum();
    hits / attempts.max(1.0)
}

/// Number of slices into which the servers are divided by a hash of their identifiers. Slices keep faults of
/// single servers visible when the counters of many balancers are added up.
pub const SLICES: usize = 12;
/// Number of counters of a slice: attempts, failures and slow attempts.
const SLICE_COUNTERS: usize = 3;
/// Number of counters of a class besides its histogram: attempts, errors, failures and flagged responses.
const OUTCOME_COUNTERS: usize = 4;
const ATTEMPTS: usize = 0;
const ERRORS: usize = 1;
const FAILED: usize = 2;
const FLAGGED: usize = 3;
/// Number of counters of all slices of both arms.
const ALL_SLICE_COUNTERS: usize = ARMS * SLICES * SLICE_COUNTERS;

/// The counters of both arms as a flat vector: first the slices of each arm, then the outcome counters of
/// each class and arm, and last the histogram of each class and arm.
#[derive(Clone, Debug, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Evidence(pub(super) Vec<f64>);

impl Evidence {
    /// Returns counters that are all zero.
    pub fn new(classes: usize) -> Self {
        Evidence(vec![0.0; ALL_SLICE_COUNTERS + classes * ARMS * (OUTCOME_COUNTERS + BINS)])
    }

    pub(super) fn classes(&self) -> usize {
        self.0.len().saturating_sub(ALL_SLICE_COUNTERS) / (ARMS * (OUTCOME_COUNTERS + BINS))
    }

    fn outcome_start(arm: Arm, class: usize) -> usize {
        ALL_SLICE_COUNTERS + (class * ARMS + arm.index()) * OUTCOME_COUNTERS
    }

    /// Returns the index at which the histogram of an arm and class begins.
    pub(super) fn bins_start(&self, arm: Arm, class: usize) -> usize {
        let outcome_counters = self.classes() * ARMS * OUTCOME_COUNTERS;
        ALL_SLICE_COUNTERS + outcome_counters + (class * ARMS + arm.index()) * BINS
    }

    fn slice_start(arm: Arm, server: ServerId) -> usize {
        let slice = ((server.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32) as usize) % SLICES;
        (arm.index() * SLICES + slice) * SLICE_COUNTERS
    }

    /// Counts a sample. A sample of an unknown class is ignored.
    pub fn add(&mut self, arm: Arm, sample: &Sample) {
        if sample.class >= self.classes() {
            return;
        }
        let as_count = |condition: bool| f64::from(u8::from(condition));
        let slice = Self::slice_start(arm, sample.server);
        self.0[slice] += 1.0;
        self.0[slice + 1] += as_count(sample.failed);
        self.0[slice + 2] += as_count(sample.slow);
        let outcomes = Self::outcome_start(arm, sample.class);
        self.0[outcomes + ATTEMPTS] += 1.0;
        self.0[outcomes + ERRORS] += as_count(sample.error);
        self.0[outcomes + FAILED] += as_count(sample.failed);
        if let Some(pace) = sample.pace {
            let mut histogram = Histogram::default();
            histogram.add(pace);
            let start = self.bins_start(arm, sample.class);
            for (bin, count) in self.0[start..start + BINS].iter_mut().zip(histogram.0) {
                *bin += count;
            }
        }
    }

    /// Counts a response that was reported as wrong after its attempt had already been counted.
    pub fn flag(&mut self, arm: Arm, server: ServerId, class: usize) {
        if class >= self.classes() {
            return;
        }
        let outcomes = Self::outcome_start(arm, class);
        self.0[outcomes + FAILED] += 1.0;
        self.0[outcomes + FLAGGED] += 1.0;
        self.0[Self::slice_start(arm, server) + 1] += 1.0;
    }

    /// Adds other counters to these.
    pub fn merge(&mut self, other: &Evidence) {
        for (own, other) in self.0.iter_mut().zip(&other.0) {
            *own += other;
        }
    }

    /// Returns what has been added since the counters stood at `baseline`, or all of it without a baseline.
    pub fn difference_since(&self, baseline: Option<&Evidence>) -> Evidence {
        let Some(baseline) = baseline else { return self.clone() };
        Evidence(self.0.iter().zip(&baseline.0).map(|(now, then)| (now - then).max(0.0)).collect())
    }

    /// Returns the counts of an arm for each class.
    pub fn counts(&self, arm: Arm) -> Vec<OutcomeCounts> {
        (0..self.classes()).map(|class| self.counts_of(arm, class)).collect()
    }

    fn counts_of(&self, arm: Arm, class: usize) -> OutcomeCounts {
        let outcomes = Self::outcome_start(arm, class);
        let bins = self.bins_start(arm, class);
        let mut paces = Histogram::default();
        paces.0.copy_from_slice(&self.0[bins..bins + BINS]);
        OutcomeCounts {
            attempts: self.0[outcomes + ATTEMPTS],
            errors: self.0[outcomes + ERRORS],
            failed: self.0[outcomes + FAILED],
            flagged: self.0[outcomes + FLAGGED],
            paces,
        }
    }

    /// Returns the number of attempts of an arm.
    pub fn attempts(&self, arm: Arm) -> f64 {
        (0..self.classes()).map(|class| self.0[Self::outcome_start(arm, class) + ATTEMPTS]).sum()
    }

    /// Returns the number of attempts of both arms together.
    pub fn all_attempts(&self) -> f64 {
        self.attempts(Arm::New) + self.attempts(Arm::Earlier)
    }

    /// Returns the slices of an arm that have attempts, sorted by rising share of hits.
    pub fn slices(&self, arm: Arm, metric: SliceMetric) -> Vec<SliceCounts> {
        let rows = self.0.chunks_exact(SLICE_COUNTERS).skip(arm.index() * SLICES).take(SLICES);
        let counts = rows.map(|row| SliceCounts {
            attempts: row[0],
            hits: if metric == SliceMetric::Failed { row[1] } else { row[2] },
        });
        let mut slices: Vec<SliceCounts> = counts.filter(|slice| slice.attempts > 0.0).collect();
        slices.sort_by(|left, right| hit_share(&[*left]).total_cmp(&hit_share(&[*right])));
        slices
    }

    /// Returns whether the counters are consistent with each other and hold at most `max_attempts` attempts.
    pub(super) fn is_plausible(&self, max_attempts: f64) -> bool {
        let arm_is_plausible = |arm| self.counts(arm).iter().all(OutcomeCounts::is_plausible);
        arm_is_plausible(Arm::New) && arm_is_plausible(Arm::Earlier) && self.all_attempts() <= max_attempts
    }
}
