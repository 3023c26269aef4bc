//! Admission control: rate limiting of snapshots by reserved time slots.
//!
//! Each subscriber that requests a snapshot reserves a slot of its own in time; slots lie one interval apart.
//! The slot is reserved under the subscriber's name: a request before it changes nothing and returns the rest
//! of the wait, a request within the grace after it is admitted. So a caller that comes back in time is
//! admitted at its second request, whoever else calls and however often, and no more snapshots are admitted
//! in any span than the span and one grace have slots. A caller later than the grace gets a new slot at the
//! end.

use crate::Micros;
use crate::message::MAX_RETRY_AFTER;
use std::collections::{BTreeMap, HashMap};

const MICROS_PER_SECOND: Micros = 1_000_000;

/// The bounds of an admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// The span between two slots, in microseconds; at least 1.
    pub interval: Micros,
    /// How long after its slot a caller is still admitted, in microseconds.
    pub grace: Micros,
    /// The maximum number of reserved slots. Beyond it callers wait until the last one has passed, without a
    /// reservation.
    pub max_reservations: usize,
}

impl AdmissionLimits {
    /// Default grace: 2 s, so that a subscriber's own delay does not cost it its slot.
    pub const GRACE: Micros = 2 * MICROS_PER_SECOND;
    /// Default maximum of reserved slots: three times a fleet of 4,700.
    pub const MAX_RESERVATIONS: usize = 16_384;

    /// This many snapshots a second (at least one), with the default grace and bound.
    pub fn per_second(rate: u32) -> AdmissionLimits {
        let interval = (MICROS_PER_SECOND / Micros::from(rate.max(1))).max(1);
        AdmissionLimits { interval, grace: Self::GRACE, max_reservations: Self::MAX_RESERVATIONS }
    }
}

/// The decision on a request for a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Send the snapshot now.
    Admit,
    /// The caller retries after this many microseconds, at most [`MAX_RETRY_AFTER`].
    RetryAfter(Micros),
}

/// The reserved slots.
#[derive(Debug)]
pub struct Admission {
    limits: AdmissionLimits,
    next_slot: Micros,
    slot_of: HashMap<String, Micros>,
    holder_of: BTreeMap<Micros, String>,
}

impl Admission {
    /// An admission without reservations.
    pub fn new(limits: AdmissionLimits) -> Admission {
        let limits = AdmissionLimits { interval: limits.interval.max(1), ..limits };
        Admission { limits, next_slot: 0, slot_of: HashMap::new(), holder_of: BTreeMap::new() }
    }

    /// Decides on the request of a subscriber for a snapshot.
    pub fn request(&mut self, now: Micros, subscriber: &str) -> AdmissionDecision {
        self.expire(now);
        if let Some(slot) = self.slot_of.get(subscriber).copied() {
            return self.admit_reserved(now, slot);
        }
        let slot = self.next_slot.max(now);
        if slot == now {
            self.next_slot = now + self.limits.interval;
            return AdmissionDecision::Admit;
        }
        if self.slot_of.len() >= self.limits.max_reservations {
            return retry_after(slot - now);
        }
        self.reserve(slot, subscriber);
        retry_after(slot - now)
    }

    /// The number of reserved slots.
    pub fn reserved_slots(&self) -> usize {
        self.slot_of.len()
    }

    fn admit_reserved(&mut self, now: Micros, slot: Micros) -> AdmissionDecision {
        if now < slot {
            return retry_after(slot - now);
        }
        self.release(slot);
        AdmissionDecision::Admit
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

fn retry_after(wait: Micros) -> AdmissionDecision {
    AdmissionDecision::RetryAfter(wait.min(MAX_RETRY_AFTER))
}
