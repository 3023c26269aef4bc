//! Admission of snapshots at a stated rate: who does not get one now is told when to come back.
//!
//! Each subscriber that calls gets a slot of its own in time; slots lie one interval apart. The slot is kept
//! under the subscriber's name: a call before it changes nothing and is told what is left of the wait, a
//! call within the grace after it is served. So every caller that comes back when it was told is served on
//! its second call, whoever else calls and however often, and no more snapshots are served in any span than
//! the span and one grace have slots. A caller that comes later than the grace gets a new slot at the end.

use crate::Micros;
use crate::message::RETRY_AFTER_MOST;
use std::collections::{BTreeMap, HashMap};

const SECOND: Micros = 1_000_000;

/// The bounds of an admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// The span between two slots, in microseconds; at least 1.
    pub interval: Micros,
    /// How long after its slot a caller is still served, in microseconds.
    pub grace: Micros,
    /// The most slots that are kept. Beyond it callers are told to come when the last one has passed, and
    /// no slot is kept for them.
    pub reservations: usize,
}

impl AdmissionLimits {
    /// Default grace: 2 s, so that a subscriber's own delay does not cost it its slot.
    pub const GRACE: Micros = 2 * SECOND;
    /// Default bound of slots kept: three times a fleet of 4,700.
    pub const RESERVATIONS: usize = 16_384;

    /// This many snapshots a second (at least one), with the default grace and bound.
    pub fn per_second(rate: u32) -> AdmissionLimits {
        let interval = (SECOND / Micros::from(rate.max(1))).max(1);
        AdmissionLimits { interval, grace: Self::GRACE, reservations: Self::RESERVATIONS }
    }
}

/// What a call for a snapshot is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admitted {
    /// A snapshot now.
    Now,
    /// Come back in this many microseconds, at most [`RETRY_AFTER_MOST`].
    After(Micros),
}

/// Slots for snapshots.
#[derive(Debug)]
pub struct Admission {
    limits: AdmissionLimits,
    next_slot: Micros,
    slot_of: HashMap<String, Micros>,
    holder_of: BTreeMap<Micros, String>,
}

impl Admission {
    /// No slot is taken yet.
    pub fn new(limits: AdmissionLimits) -> Admission {
        let limits = AdmissionLimits { interval: limits.interval.max(1), ..limits };
        Admission { limits, next_slot: 0, slot_of: HashMap::new(), holder_of: BTreeMap::new() }
    }

    /// A subscriber calls for a snapshot.
    pub fn call(&mut self, now: Micros, subscriber: &str) -> Admitted {
        self.expire(now);
        if let Some(slot) = self.slot_of.get(subscriber).copied() {
            return self.call_with_slot(now, slot);
        }
        let slot = self.next_slot.max(now);
        if slot == now {
            self.next_slot = now + self.limits.interval;
            return Admitted::Now;
        }
        if self.slot_of.len() >= self.limits.reservations {
            return after(slot - now);
        }
        self.reserve(slot, subscriber);
        after(slot - now)
    }

    /// The number of slots that are kept.
    pub fn reserved(&self) -> usize {
        self.slot_of.len()
    }

    fn call_with_slot(&mut self, now: Micros, slot: Micros) -> Admitted {
        if now < slot {
            return after(slot - now);
        }
        self.release(slot);
        Admitted::Now
    }

    fn reserve(&mut self, slot: Micros, subscriber: &str) {
        self.next_slot = slot + self.limits.interval;
        self.slot_of.insert(subscriber.to_owned(), slot);
        self.holder_of.insert(slot, subscriber.to_owned());
    }

    fn release(&mut self, slot: Micros) {
        if let Some(holder) = self.holder_of.remove(&slot) {
            self.slot_of.remove(&holder);
        }
    }

    /// Drops slots whose grace has passed.
    fn expire(&mut self, now: Micros) {
        while let Some((slot, _)) = self.holder_of.first_key_value() {
            let slot = *slot;
            if slot + self.limits.grace >= now {
                break;
            }
            self.release(slot);
        }
    }
}

fn after(wait: Micros) -> Admitted {
    Admitted::After(wait.min(RETRY_AFTER_MOST))
}
