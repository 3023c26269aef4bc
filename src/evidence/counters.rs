//! Counters over the ends of attempts, for the new build and the earlier ones.

use super::histogram::{BINS, Histogram};
use crate::interface::ServerId;

/// Which builds an attempt counts for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arm {
    /// The new build.
    New,
    /// The earlier builds.
    Earlier,
}

/// The number of arms.
const ARMS: usize = 2;

impl Arm {
    fn index(self) -> usize {
        match self {
            Arm::New => 0,
            Arm::Earlier => 1,
        }
    }
}

/// An attempt's end as evidence about the build that answered.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// The class.
    pub class: usize,
    /// The server that answered.
    pub server: ServerId,
    /// It ended with an error.
    pub error: bool,
    /// It failed in any way, time-outs included.
    pub failed: bool,
    /// It took longer than is usual.
    pub slow: bool,
    /// Time taken for each unit of work; a lower bound where it was cut; `None` where it says nothing.
    pub pace: Option<f64>,
}

/// What one arm's samples of one class come to.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct OutcomeCounts {
    /// Attempts.
    pub attempts: f64,
    /// Those that ended with an error.
    pub errors: f64,
    /// Those that failed in any way.
    pub failed: f64,
    /// Those whose answer was flagged as wrong.
    pub flagged: f64,
    /// Times taken for each unit of work, where they say something.
    pub paces: Histogram,
}

impl OutcomeCounts {
    /// Adds other counts, scaled, with their times divided by `unit` (left out without one).
    pub fn merge(&mut self, other: &OutcomeCounts, scale: f64, unit: Option<f64>) {
        self.attempts += other.attempts * scale;
        self.errors += other.errors * scale;
        self.failed += other.failed * scale;
        self.flagged += other.flagged * scale;
        if let Some(unit) = unit {
            self.paces.merge(&other.paces, scale, unit);
        }
    }

    /// Whether the counts can be true: no more failures than attempts, and so on.
    fn is_plausible(&self) -> bool {
        let failures_include_all = self.errors.max(self.flagged) <= self.failed;
        failures_include_all && self.failed.max(self.paces.total()) <= self.attempts
    }
}

/// What is counted as a hit in a slice of the servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HitKind {
    /// Failures.
    Failed,
    /// Slow answers.
    Slow,
}

/// Attempts and hits of one slice of the servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SliceCounts {
    /// Attempts.
    pub attempts: f64,
    /// Those that were hits.
    pub hits: f64,
}

/// The share of hits in the slices' attempts.
pub fn hit_share(slices: &[SliceCounts]) -> f64 {
    let attempts: f64 = slices.iter().map(|slice| slice.attempts).sum();
    let hits: f64 = slices.iter().map(|slice| slice.hits).sum();
    hits / attempts.max(1.0)
}

/// Slices that the servers are parted into by their ids, so that faults of single machines show in a sum.
pub const SLICES: usize = 12;
/// Counters of a slice: attempts, failures, slow answers.
const SLICE_COUNTERS: usize = 3;
/// Counters of a class before its histogram: attempts, errors, failures, flagged answers.
const HEAD_COUNTERS: usize = 4;
const ATTEMPTS: usize = 0;
const ERRORS: usize = 1;
const FAILED: usize = 2;
const FLAGGED: usize = 3;
/// Counters of all slices.
const ALL_SLICE_COUNTERS: usize = ARMS * SLICES * SLICE_COUNTERS;

/// Counters over both arms as a flat row: slices by arm with attempts, failures and slow answers, then each
/// class's heads by arm, then its histograms by arm.
#[derive(Clone, Debug, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Evidence(pub(super) Vec<f64>);

impl Evidence {
    /// Counters at zero.
    pub fn new(classes: usize) -> Self {
        Evidence(vec![0.0; ALL_SLICE_COUNTERS + classes * ARMS * (HEAD_COUNTERS + BINS)])
    }

    pub(super) fn classes(&self) -> usize {
        self.0.len().saturating_sub(ALL_SLICE_COUNTERS) / (ARMS * (HEAD_COUNTERS + BINS))
    }

    fn head_start(arm: Arm, class: usize) -> usize {
        ALL_SLICE_COUNTERS + (class * ARMS + arm.index()) * HEAD_COUNTERS
    }

    /// Where the histogram of an arm and class begins.
    pub(super) fn bins_start(&self, arm: Arm, class: usize) -> usize {
        let heads = self.classes() * ARMS * HEAD_COUNTERS;
        ALL_SLICE_COUNTERS + heads + (class * ARMS + arm.index()) * BINS
    }

    fn slice_start(arm: Arm, server: ServerId) -> usize {
        let slice = ((server.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32) as usize) % SLICES;
        (arm.index() * SLICES + slice) * SLICE_COUNTERS
    }

    /// Counts a sample; one of an unknown class is passed over.
    pub fn add(&mut self, arm: Arm, sample: &Sample) {
        if sample.class >= self.classes() {
            return;
        }
        let one_if = |is: bool| f64::from(u8::from(is));
        let slice = Self::slice_start(arm, sample.server);
        self.0[slice] += 1.0;
        self.0[slice + 1] += one_if(sample.failed);
        self.0[slice + 2] += one_if(sample.slow);
        let head = Self::head_start(arm, sample.class);
        self.0[head + ATTEMPTS] += 1.0;
        self.0[head + ERRORS] += one_if(sample.error);
        self.0[head + FAILED] += one_if(sample.failed);
        if let Some(pace) = sample.pace {
            let mut histogram = Histogram::default();
            histogram.add(pace);
            let start = self.bins_start(arm, sample.class);
            for (bin, count) in self.0[start..start + BINS].iter_mut().zip(histogram.0) {
                *bin += count;
            }
        }
    }

    /// An answer counted before has turned out wrong.
    pub fn flag(&mut self, arm: Arm, server: ServerId, class: usize) {
        if class >= self.classes() {
            return;
        }
        let head = Self::head_start(arm, class);
        self.0[head + FAILED] += 1.0;
        self.0[head + FLAGGED] += 1.0;
        self.0[Self::slice_start(arm, server) + 1] += 1.0;
    }

    /// Adds other counters.
    pub fn merge(&mut self, other: &Evidence) {
        for (own, others) in self.0.iter_mut().zip(&other.0) {
            *own += others;
        }
    }

    /// What has been added since `before`.
    pub fn since(&self, before: Option<&Evidence>) -> Evidence {
        let Some(before) = before else { return self.clone() };
        Evidence(self.0.iter().zip(&before.0).map(|(now, then)| (now - then).max(0.0)).collect())
    }

    /// One arm's counts by class.
    pub fn counts(&self, arm: Arm) -> Vec<OutcomeCounts> {
        (0..self.classes()).map(|class| self.counts_of(arm, class)).collect()
    }

    fn counts_of(&self, arm: Arm, class: usize) -> OutcomeCounts {
        let head = Self::head_start(arm, class);
        let bins = self.bins_start(arm, class);
        let mut paces = Histogram::default();
        paces.0.copy_from_slice(&self.0[bins..bins + BINS]);
        OutcomeCounts {
            attempts: self.0[head + ATTEMPTS],
            errors: self.0[head + ERRORS],
            failed: self.0[head + FAILED],
            flagged: self.0[head + FLAGGED],
            paces,
        }
    }

    /// Attempts of one arm.
    pub fn attempts(&self, arm: Arm) -> f64 {
        (0..self.classes()).map(|class| self.0[Self::head_start(arm, class) + ATTEMPTS]).sum()
    }

    /// Attempts of both arms.
    pub fn all_attempts(&self) -> f64 {
        self.attempts(Arm::New) + self.attempts(Arm::Earlier)
    }

    /// One arm's slices that have attempts at all, by rising share of hits.
    pub fn slices(&self, arm: Arm, hits: HitKind) -> Vec<SliceCounts> {
        let rows = self.0.chunks_exact(SLICE_COUNTERS).skip(arm.index() * SLICES).take(SLICES);
        let counts = rows.map(|row| SliceCounts {
            attempts: row[0],
            hits: if hits == HitKind::Failed { row[1] } else { row[2] },
        });
        let mut slices: Vec<SliceCounts> = counts.filter(|slice| slice.attempts > 0.0).collect();
        slices.sort_by(|left, right| hit_share(&[*left]).total_cmp(&hit_share(&[*right])));
        slices
    }

    /// Whether the counters can be true, with at most `max_attempts` attempts.
    pub(super) fn is_plausible(&self, max_attempts: f64) -> bool {
        let arm_is = |arm| self.counts(arm).iter().all(OutcomeCounts::is_plausible);
        arm_is(Arm::New) && arm_is(Arm::Earlier) && self.all_attempts() <= max_attempts
    }
}
