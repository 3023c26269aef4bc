//! Evidence about the builds, without decisions: samples, tallies, and the counters that peers exchange.
//!
//! Counters only grow within a stage, so lost, late and repeated messages do no harm: the newest replaces the
//! one before, and an open window's evidence is the difference to what stood when it began.

use crate::interface::{Build, ServerId};
use std::collections::BTreeMap;

/// An attempt's end as evidence about the build that answered.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// The class.
    pub class: usize,
    /// Who answered.
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

/// Bins of a histogram of times: two to an octave.
pub const BINS: usize = 24;
const LOWEST: f64 = -14.0; // half octaves below 1 at which the bins begin

/// Counts of times by logarithmic bins.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Histogram(pub [f64; BINS]);

impl Histogram {
    fn position(value: f64) -> f64 {
        2.0 * value.max(1e-9).log2() - LOWEST
    }

    /// Counts a value.
    pub fn add(&mut self, value: f64) {
        self.0[(Self::position(value).max(0.0) as usize).min(BINS - 1)] += 1.0;
    }

    /// How many values it holds.
    pub fn total(&self) -> f64 {
        self.0.iter().sum()
    }

    /// Adds another histogram, its counts scaled and its values divided by `unit`.
    pub fn merge(&mut self, other: &Histogram, scale: f64, unit: f64) {
        let shift = 2.0 * unit.max(1e-9).log2();
        for (bin, count) in other.0.iter().enumerate().filter(|(_, count)| **count > 0.0) {
            let to = (bin as f64 - shift).clamp(0.0, (BINS - 2) as f64);
            let upper = to.fract();
            self.0[to as usize] += count * scale * (1.0 - upper);
            self.0[to as usize + 1] += count * scale * upper;
        }
    }

    /// The `q` quantile, set evenly within its bin; `None` where it is empty.
    pub fn quantile(&self, q: f64) -> Option<f64> {
        let mut left = self.total() * q.clamp(0.0, 1.0);
        for (bin, &count) in self.0.iter().enumerate().filter(|(_, count)| **count > 0.0) {
            if left <= count {
                return Some(((bin as f64 + left / count + LOWEST) / 2.0).exp2());
            }
            left -= count;
        }
        self.0.iter().rposition(|&c| c > 0.0).map(|bin| ((bin as f64 + 1.0 + LOWEST) / 2.0).exp2())
    }
}

/// What one arm's samples of one class come to.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Tally {
    /// Attempts.
    pub n: f64,
    /// Those that ended with an error.
    pub errors: f64,
    /// Those that failed in any way.
    pub failed: f64,
    /// Those whose answer was flagged.
    pub flagged: f64,
    /// Times taken, where they say something.
    pub paces: Histogram,
}

impl Tally {
    /// Adds another tally, its counts scaled and its times set against `unit` (left out without one).
    pub fn merge(&mut self, other: &Tally, scale: f64, unit: Option<f64>) {
        self.n += other.n * scale;
        self.errors += other.errors * scale;
        self.failed += other.failed * scale;
        self.flagged += other.flagged * scale;
        if let Some(unit) = unit {
            self.paces.merge(&other.paces, scale, unit);
        }
    }
}

/// Slices that the machines are parted into by their ids, so that machine faults show in a sum.
pub const SLICES: usize = 12;
/// Bytes that one peer message may hold.
const MESSAGE_MOST: usize = 256;
const LAYOUT: u8 = 2; // another layout's messages are not read
const HEAD: usize = 4; // attempts, errors, failures, flagged answers

/// Counters over both arms (0: the new build, 1: the earlier ones) as a flat row: slices by arm with
/// attempts, failures and slow answers, then each class's heads by arm, then its histograms by arm.
#[derive(Clone, Debug, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Evidence(Vec<f64>);

/// Attempts and hits of one slice of the machines.
pub type Slice = [f64; 2];

/// What is counted as a hit in a slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hits {
    /// Failures.
    Failed,
    /// Slow answers.
    Slow,
}

/// The share of hits in the slices' attempts.
pub fn share(slices: &[Slice]) -> f64 {
    let sum = |k: usize| slices.iter().map(|s| s[k]).sum::<f64>();
    sum(1) / sum(0).max(1.0)
}

impl Evidence {
    /// Counters at zero.
    pub fn new(classes: usize) -> Self {
        Evidence(vec![0.0; 2 * SLICES * 3 + classes * 2 * (HEAD + BINS)])
    }

    fn classes(&self) -> usize {
        self.0.len().saturating_sub(2 * SLICES * 3) / (2 * (HEAD + BINS))
    }

    fn head(arm: usize, class: usize) -> usize {
        2 * SLICES * 3 + (class * 2 + arm) * HEAD
    }

    fn bins(&self, arm: usize, class: usize) -> usize {
        2 * SLICES * 3 + self.classes() * 2 * HEAD + (class * 2 + arm) * BINS
    }

    /// Counts a sample.
    pub fn add(&mut self, arm: usize, sample: &Sample) {
        if sample.class >= self.classes() || arm > 1 {
            return;
        }
        let yes = |b: bool| f64::from(u8::from(b));
        let slice = (arm * SLICES + Self::slice_of(sample.server)) * 3;
        let head = Self::head(arm, sample.class);
        for (at, amount) in [
            (slice, 1.0),
            (slice + 1, yes(sample.failed)),
            (slice + 2, yes(sample.slow)),
            (head, 1.0),
            (head + 1, yes(sample.error)),
            (head + 2, yes(sample.failed)),
        ] {
            self.0[at] += amount;
        }
        if let Some(pace) = sample.pace {
            let mut one = Histogram::default();
            one.add(pace);
            let bins = self.bins(arm, sample.class);
            self.0[bins..bins + BINS].iter_mut().zip(one.0).for_each(|(a, b)| *a += b);
        }
    }

    /// An answer counted before has turned out wrong.
    pub fn flag(&mut self, arm: usize, server: ServerId, class: usize) {
        if class < self.classes() && arm < 2 {
            let head = Self::head(arm, class);
            self.0[head + 2] += 1.0;
            self.0[head + 3] += 1.0;
            self.0[(arm * SLICES + Self::slice_of(server)) * 3 + 1] += 1.0;
        }
    }

    fn slice_of(server: ServerId) -> usize {
        ((server.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32) as usize) % SLICES
    }

    /// Adds other counters.
    pub fn plus(&mut self, other: &Evidence) {
        self.0.iter_mut().zip(&other.0).for_each(|(a, b)| *a += b);
    }

    /// What has been added since `before`.
    pub fn since(&self, before: Option<&Evidence>) -> Evidence {
        let Some(before) = before else { return self.clone() };
        Evidence(self.0.iter().zip(&before.0).map(|(a, b)| (a - b).max(0.0)).collect())
    }

    /// One arm's tallies by class.
    pub fn tallies(&self, arm: usize) -> Vec<Tally> {
        let tally = |class| {
            let (head, bins) = (Self::head(arm, class), self.bins(arm, class));
            let mut paces = Histogram::default();
            paces.0.copy_from_slice(&self.0[bins..bins + BINS]);
            let [n, errors, failed, flagged] = [0, 1, 2, 3].map(|k| self.0[head + k]);
            Tally { n, errors, failed, flagged, paces }
        };
        (0..self.classes()).map(tally).collect()
    }

    /// Attempts of one arm.
    pub fn attempts(&self, arm: usize) -> f64 {
        (0..self.classes()).map(|class| self.0[Self::head(arm, class)]).sum()
    }

    /// Attempts of both arms.
    pub fn all(&self) -> f64 {
        self.attempts(0) + self.attempts(1)
    }

    /// One arm's slices that were met at all: attempts and hits, by rising share of hits.
    pub fn slices(&self, arm: usize, hits: Hits) -> Vec<Slice> {
        let rows = self.0.chunks_exact(3).skip(arm * SLICES).take(SLICES);
        let met = rows.map(|r| [r[0], if hits == Hits::Failed { r[1] } else { r[2] }]);
        let mut slices: Vec<Slice> = met.filter(|r| r[0] > 0.0).collect();
        slices.sort_by(|a, b| share(&[*a]).total_cmp(&share(&[*b])));
        slices
    }

    /// Whether the counters can be true: no more failures than attempts, and not more than `most` of these.
    fn plausible(&self, most: f64) -> bool {
        let sound = |arm| {
            let tallies: Vec<Tally> = self.tallies(arm);
            tallies
                .iter()
                .all(|t| t.errors.max(t.flagged) <= t.failed && t.failed.max(t.paces.total()) <= t.n)
        };
        sound(0) && sound(1) && self.all() <= most
    }
}

/// What a message is about: build, stage, whether it is a collector's sum, and its sender's life.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Label {
    /// The build on trial.
    pub build: Build,
    /// Its stage.
    pub stage: u8,
    /// A collector's sum, not a balancer's own counters.
    pub sum: bool,
    /// Drawn at each start, so that counters that begin again are not taken for late ones.
    pub life: u8,
}

/// The bytes of a message. Histograms that do not fit are left out, the last class's first.
pub fn encode(label: Label, evidence: &Evidence) -> Vec<u8> {
    let mut bytes = Vec::new();
    for classes in (0..=evidence.classes()).rev() {
        bytes = vec![LAYOUT, u8::from(label.sum), label.life];
        bytes.extend(label.build.to_le_bytes());
        bytes.push(label.stage);
        let mut zeros = 0u8;
        for &count in &evidence.0[..evidence.bins(0, classes)] {
            let mut count = count.clamp(0.0, f64::from(u32::MAX)) as u32;
            if count == 0 && zeros < u8::MAX {
                zeros += 1;
                continue;
            }
            if zeros > 0 {
                bytes.extend([0, std::mem::take(&mut zeros)]);
            }
            while count > 0x7f {
                bytes.push((count & 0x7f) as u8 | 0x80);
                count >>= 7;
            }
            bytes.push(count as u8);
            if count == 0 {
                bytes.push(1);
            }
        }
        if bytes.len() <= MESSAGE_MOST {
            break;
        }
    }
    bytes
}

/// Reads a message; `None` where the bytes are no such thing or its counts cannot be true.
pub fn decode(bytes: &[u8], classes: usize, most: f64) -> Option<(Label, Evidence)> {
    let [LAYOUT, sum @ 0..=1, life, low, high, stage, rest @ ..] = bytes else { return None };
    let label =
        Label { build: u16::from_le_bytes([*low, *high]), stage: *stage, sum: *sum == 1, life: *life };
    let mut evidence = Evidence::new(classes);
    let (mut at, mut rest) = (0, rest.iter());
    while let Some(&first) = rest.next() {
        if first == 0 {
            at += usize::from(*rest.next()?);
            continue;
        }
        let (mut value, mut byte, mut shift) = (0u64, first, 0);
        loop {
            value |= u64::from(byte & 0x7f) << shift;
            shift += 7;
            if byte & 0x80 == 0 {
                break;
            }
            byte = *rest.next().filter(|_| shift < 35)?;
        }
        *evidence.0.get_mut(at)? = value as f64;
        at += 1;
    }
    evidence.plausible(most).then_some((label, evidence))
}

/// Own counters on the stage, peers' reports, and the sums that collectors sent.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Pool {
    /// Own counters.
    pub mine: Evidence,
    /// Peers' last reports by their number, with the sender's life.
    heard: BTreeMap<usize, (u8, Evidence)>,
    /// Reports of lives that have ended.
    ended: Evidence,
    /// Collectors' last sums.
    sums: BTreeMap<usize, (u8, Evidence)>,
    /// What all sums stood at when the open window began.
    base: BTreeMap<usize, Evidence>,
    /// What the own counters stood at then.
    base_own: Evidence,
    fresh: bool,
}

impl Pool {
    /// A new stage: all counters at zero.
    pub fn restart(&mut self, classes: usize) {
        let zero = Evidence::new(classes);
        *self =
            Pool { mine: zero.clone(), ended: zero.clone(), base_own: zero, fresh: true, ..Pool::default() };
    }

    /// Takes a peer's message in.
    pub fn hear(&mut self, from: usize, label: Label, evidence: Evidence) {
        let of = if label.sum { &mut self.sums } else { &mut self.heard };
        match of.get_mut(&from) {
            // Counters only grow: a lower one is late.
            Some((life, old)) if *life == label.life => {
                if evidence.all() >= old.all() {
                    *old = evidence;
                }
            }
            Some((life, old)) => {
                if !label.sum {
                    self.ended.plus(old);
                }
                (*life, *old) = (label.life, evidence);
            }
            None => {
                // A sum first heard in a later window says nothing of what came before.
                if label.sum && !self.fresh {
                    self.base.insert(from, evidence.clone());
                }
                of.insert(from, (label.life, evidence));
            }
        }
    }

    /// Own counters with all reports heard.
    pub fn total(&self) -> Evidence {
        let mut total = self.mine.clone();
        total.plus(&self.ended);
        self.heard.values().for_each(|(_, report)| total.plus(report));
        total
    }

    /// A window begins.
    pub fn mark(&mut self, position: usize) {
        (self.fresh, self.base_own) = (false, self.mine.clone());
        self.base = self.sums.iter().map(|(from, (_, sum))| (*from, sum.clone())).collect();
        self.base.insert(position, self.total());
    }

    /// The evidence on the whole stage and on the open window: the own, if its window holds `enough` attempts
    /// at the new build; else the widest at hand, own total or one collector's sum. Never two of them added
    /// up, so that nothing counts twice.
    pub fn widest(&self, position: usize, enough: f64) -> (Evidence, Evidence) {
        let own = self.mine.since(Some(&self.base_own));
        if own.attempts(0) >= enough {
            return (self.mine.clone(), own);
        }
        let total = self.total();
        let mut best = (total.since(self.base.get(&position)), total);
        for (from, (_, sum)) in &self.sums {
            let window = sum.since(self.base.get(from));
            if window.attempts(0) > best.0.attempts(0) {
                best = (window, sum.clone());
            }
        }
        (best.1, best.0)
    }
}

/// Whether latency could be compared, or a breach: its reason, what it shows in, and whether it is so mild
/// that it must last the whole span.
pub type Compared = Result<bool, (String, Hits, bool)>;

/// What a closed window says.
#[derive(Clone, Debug, PartialEq)]
pub enum Finding {
    /// Too little to say anything.
    Thin,
    /// Nothing against the build.
    Clean,
    /// A breach: its reason and how much it counts.
    Breach(String, f64),
}

impl Finding {
    /// Whether it is a breach, and how much it counts.
    pub fn breach(&self) -> (bool, f64) {
        if let Finding::Breach(_, weight) = self { (true, *weight) } else { (false, 0.0) }
    }
}
