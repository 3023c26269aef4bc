//! Admission control: limits the rate of snapshots by reserving time slots.
//!
//! Each subscriber that requests a snapshot reserves a time slot under its name. Slots are one interval
//! apart. A request before the slot changes nothing and returns the remaining wait. A request at the slot, or
//! within a grace period after it, is admitted. A subscriber that returns in time is therefore admitted at
//! its second request, no matter who else calls and how often. In any time span, at most as many snapshots
//! are admitted as there are slots in the span plus one grace period. A subscriber that returns after the
//! grace period reserves a new slot after all others.

use crate::Micros;
use crate::message::MAX_RETRY_AFTER;
use std::collections::{BTreeMap, HashMap};

const MICROS_PER_SECOND: Micros = 1_000_000;

/// The limits of an [`Admission`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// The time between two slots, in microseconds, at least 1.
    pub interval: Micros,
    /// How long after the start of its slot a subscriber is still admitted, in microseconds.
    pub grace: Micros,
    /// The maximum number of reserved slots. Further subscribers get no reservation; they wait until the last
    /// reserved slot has passed.
    pub max_reservations: usize,
}

impl AdmissionLimits {
    /// The default grace period: 2 s, so that a subscriber does not lose its slot by a delay of its own.
    pub const GRACE: Micros = 2 * MICROS_PER_SECOND;
    /// The default maximum number of reserved slots: three times a fleet of 4,700 subscribers.
    pub const MAX_RESERVATIONS: usize = 16_384;

    /// Creates limits that admit `rate` snapshots per second (at least one), with the default grace period
    /// and number of slots.
    pub fn per_second(rate: u32) -> AdmissionLimits {
        let interval = (MICROS_PER_SECOND / Micros::from(rate.max(1))).max(1);
        AdmissionLimits { interval, grace: Self::GRACE, max_reservations: Self::MAX_RESERVATIONS }
    }
}

/// The decision on a subscriber's request for a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Send the snapshot now.
    Admit,
    /// Ask the subscriber to retry after this number of microseconds, at most [`MAX_RETRY_AFTER`].
    RetryAfter(Micros),
}

/// Decides when subscribers may receive a snapshot, and keeps their reserved slots.
#[derive(Debug)]
pub struct Admission {
    limits: AdmissionLimits,
    next_slot: Micros,
    slot_by_subscriber: HashMap<String, Micros>,
    subscriber_by_slot: BTreeMap<Micros, String>,
}

impl Admission {
    /// Creates an admission without reservations.
    pub fn new(limits: AdmissionLimits) -> Admission {
        let limits = AdmissionLimits { interval: limits.interval.max(1), ..limits };
        Admission {
            limits,
            next_slot: 0,
            slot_by_subscriber: HashMap::new(),
            subscriber_by_slot: BTreeMap::new(),
        }
    }

    /// Decides on a subscriber's request for a snapshot.
    pub fn request(&mut self, now: Micros, subscriber: &str) -> AdmissionDecision {
        self.release_expired(now);
        if let Some(slot) = self.slot_by_subscriber.get(subscriber).copied() {
            return self.admit_reserved(now, slot);
        }
        let slot = self.next_slot.max(now);
        if slot == now {
            self.next_slot = now + self.limits.interval;
            return AdmissionDecision::Admit;
        }
        if self.slot_by_subscriber.len() >= self.limits.max_reservations {
            return retry_after(slot - now);
        }
        self.reserve(slot, subscriber);
        retry_after(slot - now)
    }

    /// Returns the number of reserved slots.
    pub fn reserved_slots(&self) -> usize {
        self.slot_by_subscriber.len()
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
        self.slot_by_subscriber.insert(subscriber.to_owned(), slot);
        self.subscriber_by_slot.insert(slot, subscriber.to_owned());
    }

    fn release(&mut self, slot: Micros) {
        if let Some(subscriber) = self.subscriber_by_slot.remove(&slot) {
            self.slot_by_subscriber.remove(&subscriber);
        }
    }

    /// Releases the slots whose grace period has passed.
    fn release_expired(&mut self, now: Micros) {
        while let Some((slot, _)) = self.subscriber_by_slot.first_key_value() {
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
