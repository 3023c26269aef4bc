//! A fleet-wide rate limit, divided into quotas that its members lend each other by leases. The sum of what all members
//! may spend never exceeds the limit, whatever happens to messages and members.
//!
//! Each member has a permanent *guaranteed quota* and a *lendable quota*. The guaranteed quota needs no message. A member
//! that needs more than it has sends a lease request to another one, the *owner*, which grants the part of its lendable
//! quota that it does not need itself, for the duration of a lease (escrow after O'Neil, "The Escrow Transactional Method",
//! 1986; leases after Gray and Cheriton, 1989). Three rules keep the sum within the limit without synchronized clocks:
//!
//! 1. A borrower's lease runs from the moment at which it **requested** it, by its own clock, shortened by the maximal clock
//!    drift. The owner counts the lease from the moment at which it granted it, lengthened by the same. As a grant follows
//!    its request, the lease ends for the borrower first, however late the grant arrives.
//! 2. An owner reserves the largest of its unexpired grants to one borrower: a newer grant replaces an older one only at a
//!    borrower that has received it.
//! 3. A restarted member does not know what its previous incarnation granted, so it neither spends nor lends its lendable
//!    quota until every lease of that incarnation has expired. Grants name the incarnation that requested them, and are
//!    ignored by any other.
//!
//! Spending is a token bucket at the present rate. When a lease ends, the tokens saved from it are dropped: over any
//! period W all members together spend at most `quota * (W + burst)`.

use crate::demand::DemandEstimate;
use crate::token_bucket::{TOKEN, TokenBucket};
use crate::types::{Micros, Rate};
use thiserror::Error;

/// Unexpired grants to one borrower; further requests go unanswered until one expires.
const MAX_GRANTS_PER_BORROWER: usize = 4;
/// Requests whose grant is still accepted; older ones are forgotten.
const MAX_PENDING_REQUESTS: usize = 8;
/// Part of the lease duration after which a borrower requests a renewal, in percent.
const RENEWAL_PERCENT: u64 = 50;
/// Requests that a member sends per lease duration, at most.
const MAX_REQUESTS_PER_LEASE: u64 = 8;
/// Windows of the demand estimate per lease duration.
const DEMAND_WINDOWS_PER_LEASE: u64 = 4;
/// The shortest lease duration: one microsecond between two requests.
const MIN_LEASE_DURATION: Micros = MAX_REQUESTS_PER_LEASE;
/// One whole, in parts per million.
const PPM: u64 = 1_000_000;

/// Settings of one fleet-wide limit. All members must have the same, but for their position.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseSettings {
    /// Number of members, at least 1.
    pub members: usize,
    /// This member's number, below `members`.
    pub position: usize,
    /// The limit of all members together.
    pub quota: Rate,
    /// The part of the quota that is never lent, in percent, at most 100.
    pub guaranteed_percent: u64,
    /// How long a grant is valid, at least 8 microseconds.
    pub lease_duration: Micros,
    /// Maximal deviation of a member's clock from true time, in parts per million, below a million.
    pub max_drift_ppm: u64,
    /// Tokens are saved up for at most this long.
    pub burst: Micros,
}

/// Why [`LeaseSettings`] cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LeaseSettingsError {
    /// There are no members, or the position is not below their number.
    #[error("a position outside the members")]
    PositionOutOfRange,
    /// The guaranteed part is more than the whole quota.
    #[error("a floor over 100 percent")]
    GuaranteedPercentTooLarge,
    /// The drift is a million parts per million or more.
    #[error("a drift of a whole")]
    DriftTooLarge,
    /// The lease is too short to send the requests of one lease at different times.
    #[error("a lease under 8 microseconds")]
    LeaseTooShort,
    /// The capacity of the token bucket does not fit in 64 bits.
    #[error("a budget and a burst that are too large together")]
    BucketTooLarge,
    /// The guaranteed quota yields less than one token within the burst, so that it could never be spent.
    #[error("a floor that never saves up one token within the burst")]
    GuaranteedQuotaTooSmall,
}

/// A member's request to borrow quota from an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseRequest {
    /// Incarnation of the member that requests.
    pub incarnation: u32,
    /// Number of the request, ascending within the incarnation.
    pub number: u32,
    /// What the member wants from this owner in all, including what it has borrowed from it already.
    pub wanted: Rate,
}

/// An owner's answer to a [`LeaseRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseGrant {
    /// Incarnation that sent the request.
    pub incarnation: u32,
    /// Number of the request.
    pub number: u32,
    /// What is lent in place of this owner's earlier grants; 0 revokes them.
    pub amount: Rate,
}

/// A [`LeaseRequest`] and its receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AddressedRequest {
    /// Position of the member that owns the quota.
    pub owner: usize,
    /// What to request.
    pub request: LeaseRequest,
}

/// An owner's record of one of its grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct IssuedGrant {
    amount: Rate,
    /// The borrower may use the grant up to then, by the owner's clock.
    expires_at: Micros,
}

/// A borrower's record of what it holds from one owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct HeldLease {
    amount: Rate,
    /// The first moment, by the borrower's clock, at which the lease no longer counts.
    expires_at: Micros,
    /// The request that it answered. Grants to earlier requests are outdated.
    request_number: u32,
}

/// A request whose grant may still arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PendingRequest {
    owner: usize,
    number: u32,
    requested_at: Micros,
}

/// One member's part of a fleet-wide limit: its own quota, what it has lent and what it has borrowed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QuotaLeases {
    settings: LeaseSettings,
    incarnation: u32,
    /// From then on no grant of an earlier incarnation is valid.
    lendable_from: Micros,
    /// By borrower.
    issued: Vec<Vec<IssuedGrant>>,
    /// By owner.
    held: Vec<HeldLease>,
    pending: Vec<PendingRequest>,
    next_request_number: u32,
    next_request_at: Micros,
    /// The owner that the last request went to; the next one goes to the member after it.
    last_owner: usize,
    bucket: TokenBucket,
    demand: DemandEstimate,
}

impl LeaseSettings {
    /// Checks the bounds of all settings.
    ///
    /// # Errors
    ///
    /// The first setting that is out of bounds.
    pub fn validate(&self) -> Result<(), LeaseSettingsError> {
        if self.members == 0 || self.position >= self.members {
            return Err(LeaseSettingsError::PositionOutOfRange);
        }
        if self.guaranteed_percent > 100 {
            return Err(LeaseSettingsError::GuaranteedPercentTooLarge);
        }
        if self.max_drift_ppm >= PPM {
            return Err(LeaseSettingsError::DriftTooLarge);
        }
        if self.lease_duration < MIN_LEASE_DURATION {
            return Err(LeaseSettingsError::LeaseTooShort);
        }
        if self.quota.checked_mul(self.burst).is_none() {
            return Err(LeaseSettingsError::BucketTooLarge);
        }
        if self.guaranteed_quota().saturating_mul(self.burst) < TOKEN {
            return Err(LeaseSettingsError::GuaranteedQuotaTooSmall);
        }
        Ok(())
    }

    /// The part of the quota that is one member's own under all circumstances.
    fn guaranteed_quota(&self) -> Rate {
        self.quota * self.guaranteed_percent.min(100) / 100 / self.members as u64
    }

    /// A lease's duration on its owner's clock: long enough that the lease has expired by every borrower's clock.
    fn owner_lease_duration(&self) -> Micros {
        self.lease_duration + self.drift() + 1
    }

    /// A lease's duration on its borrower's clock: short enough that the lease is still valid by every owner's clock.
    fn borrower_lease_duration(&self) -> Micros {
        self.lease_duration - self.drift().min(self.lease_duration)
    }

    /// How far a clock deviates over the duration of a lease, at most.
    fn drift(&self) -> Micros {
        (u128::from(self.lease_duration) * u128::from(self.max_drift_ppm) / u128::from(PPM)) as Micros
    }
}

impl QuotaLeases {
    /// The state of an incarnation that starts now. `incarnation` must differ from those of this member whose messages may
    /// still arrive (a boot counter, or a random number). Settings that do not pass [`LeaseSettings::validate`] are treated
    /// as a fleet of at least one member with a position within it.
    pub fn new(now: Micros, settings: LeaseSettings, incarnation: u32) -> QuotaLeases {
        let members = settings.members.max(1);
        let position = settings.position.min(members - 1);
        let settings = LeaseSettings { members, position, ..settings };
        QuotaLeases {
            incarnation,
            lendable_from: now + settings.owner_lease_duration() + 1,
            issued: vec![Vec::new(); members],
            held: vec![HeldLease::default(); members],
            pending: Vec::new(),
            next_request_number: 1,
            next_request_at: now,
            last_owner: (position + 1) % members,
            bucket: TokenBucket::new(now),
            demand: DemandEstimate::new(now),
            settings,
        }
    }

    /// The part of the quota that is this member's own under all circumstances.
    pub fn guaranteed_quota(&self) -> Rate {
        self.settings.guaranteed_quota()
    }

    /// The part of the quota that this member owns beyond the guaranteed one and may lend.
    pub fn lendable_quota(&self) -> Rate {
        self.settings.quota / self.settings.members as u64 - self.guaranteed_quota()
    }

    /// The part of the lendable quota that may not be spent here, as it is lent or may have been by an earlier
    /// incarnation.
    pub fn granted(&self, now: Micros) -> Rate {
        if now < self.lendable_from {
            return self.lendable_quota();
        }
        let reserved = |grants: &Vec<IssuedGrant>| {
            grants.iter().filter(|grant| now <= grant.expires_at).map(|grant| grant.amount).max()
        };
        self.issued.iter().filter_map(reserved).sum::<Rate>().min(self.lendable_quota())
    }

    /// The sum of the leases that this member holds now.
    pub fn borrowed(&self, now: Micros) -> Rate {
        self.held.iter().filter(|lease| now < lease.expires_at).map(|lease| lease.amount).sum()
    }

    /// What this member may spend now. The sum over all members never exceeds the quota.
    pub fn rate(&self, now: Micros) -> Rate {
        self.guaranteed_quota() + self.lendable_quota() - self.granted(now) + self.borrowed(now)
    }

    /// Takes a token if there is one; whether there was.
    pub fn try_spend(&mut self, now: Micros) -> bool {
        self.refill(now);
        self.demand.record();
        self.bucket.try_take()
    }

    /// Brings the bucket and the demand estimate up to date.
    ///
    /// Between two calls leases only expire, at unknown moments of the period. The bucket is refilled as if every grant
    /// were valid until the end of the period and every held lease had expired at its start.
    fn refill(&mut self, now: Micros) {
        let min_rate = self.guaranteed_quota() + self.lendable_quota()
            - self.granted(self.bucket.refilled_at())
            + self.borrowed(now);
        self.bucket.refill(now, min_rate, self.settings.burst);
        self.limit_bucket(now);
        self.demand.update(now, self.settings.lease_duration / DEMAND_WINDOWS_PER_LEASE);
    }

    /// Drops saved tokens beyond the present rate's burst, as those saved from a lease end with it.
    fn limit_bucket(&mut self, now: Micros) {
        self.bucket.limit(self.rate(now), self.settings.burst);
    }

    /// The request to send now, if demand exceeds what this member may spend: to one owner after another, at most eight
    /// times per lease duration.
    pub fn next_request(&mut self, now: Micros) -> Option<AddressedRequest> {
        self.refill(now);
        if self.settings.members < 2 || now < self.next_request_at {
            return None;
        }
        // A lease that expires soon counts as expired, so that it is renewed in time.
        let renewal_horizon = now + self.settings.lease_duration * RENEWAL_PERCENT / 100;
        let missing = self.demand.rate().saturating_sub(self.rate(renewal_horizon));
        if missing == 0 {
            return None;
        }
        let owner = self.advance_owner();
        self.next_request_at = now + self.settings.lease_duration / MAX_REQUESTS_PER_LEASE;
        let held = self.held[owner];
        let still_held = if renewal_horizon < held.expires_at { held.amount } else { 0 };
        let request = self.request_from(now, owner, missing + still_held);
        Some(AddressedRequest { owner, request })
    }

    /// Moves on to the next member other than this one.
    fn advance_owner(&mut self) -> usize {
        let members = self.settings.members;
        self.last_owner = (self.last_owner + 1) % members;
        if self.last_owner == self.settings.position {
            self.last_owner = (self.last_owner + 1) % members;
        }
        self.last_owner
    }

    /// A request to one owner. `wanted` is limited to the owner's lendable quota.
    pub fn request_from(&mut self, now: Micros, owner: usize, wanted: Rate) -> LeaseRequest {
        let number = self.next_request_number;
        self.next_request_number = self.next_request_number.wrapping_add(1);
        if self.pending.len() >= MAX_PENDING_REQUESTS {
            self.pending.remove(0);
        }
        self.pending.push(PendingRequest { owner, number, requested_at: now });
        LeaseRequest { incarnation: self.incarnation, number, wanted: wanted.min(self.lendable_quota()) }
    }

    /// Handles another member's request: the grant to send back. There is none where nothing can be lent; the borrower
    /// then goes on to the next owner.
    pub fn on_request(&mut self, now: Micros, borrower: usize, request: LeaseRequest) -> Option<LeaseGrant> {
        self.refill(now);
        let is_peer = borrower < self.settings.members && borrower != self.settings.position;
        if !is_peer || now < self.lendable_from {
            return None;
        }
        self.issued[borrower].retain(|grant| now <= grant.expires_at);
        if self.issued[borrower].len() >= MAX_GRANTS_PER_BORROWER {
            return None;
        }
        let reserved = self.issued[borrower].iter().map(|grant| grant.amount).max().unwrap_or(0);
        let amount = request.wanted.min(self.available_to_borrower(now, reserved));
        if amount == 0 && reserved == 0 {
            return None;
        }
        let expires_at = now + self.settings.owner_lease_duration();
        self.issued[borrower].push(IssuedGrant { amount, expires_at });
        self.limit_bucket(now);
        Some(LeaseGrant { incarnation: request.incarnation, number: request.number, amount })
    }

    /// What may be lent to a borrower for which `reserved` is set aside already: the lendable quota less what is lent to
    /// others and what this member needs beyond its guaranteed quota.
    fn available_to_borrower(&self, now: Micros, reserved: Rate) -> Rate {
        let granted_to_others = self.granted(now) - reserved;
        let own_need = self.demand.rate().saturating_sub(self.guaranteed_quota());
        self.lendable_quota().saturating_sub(granted_to_others).saturating_sub(own_need)
    }

    /// Handles an owner's grant. It counts only as the answer to a request of this incarnation that is newer than any
    /// answered before.
    pub fn on_grant(&mut self, now: Micros, owner: usize, grant: LeaseGrant) {
        self.refill(now);
        let is_member = owner < self.settings.members;
        if !is_member || grant.incarnation != self.incarnation || grant.amount > self.lendable_quota() {
            return;
        }
        let answered = |request: &&PendingRequest| request.number == grant.number && request.owner == owner;
        let Some(request) = self.pending.iter().find(answered).copied() else { return };
        let held = &mut self.held[owner];
        if grant.number > held.request_number {
            let expires_at = request.requested_at + self.settings.borrower_lease_duration();
            *held = HeldLease { amount: grant.amount, expires_at, request_number: grant.number };
        }
        self.limit_bucket(now);
    }
}
