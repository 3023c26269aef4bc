//! A fleet-wide rate limit, divided into quotas that members lend each other by leases. The sum of the rates
//! at which all members may spend never exceeds the limit, whatever happens to messages and members.
//!
//! Each member has a permanent *guaranteed quota* and a *lendable quota*. Using the guaranteed quota takes no
//! messages. A member that needs more than it has sends a lease request to another member, the *owner*. The
//! owner grants the part of its lendable quota that it does not need itself, for the duration of a lease
//! (escrow after O'Neil, "The Escrow Transactional Method", 1986; leases after Gray and Cheriton, 1989).
//! Three rules keep the sum within the limit without synchronized clocks:
//!
//! 1. A borrower counts the duration of a lease from the moment at which it **requested** the lease, on its
//!    own clock, and shortens the duration by the maximum clock drift. The owner counts it from the moment at
//!    which it granted the lease, and lengthens it by the same amount. Because a grant follows its request,
//!    the lease ends for the borrower first, however late the grant arrives.
//! 2. An owner reserves the largest of its unexpired grants to a borrower, because a newer grant replaces an
//!    older one only when the borrower receives it.
//! 3. A restarted member does not know what its previous incarnation granted. It therefore neither spends nor
//!    lends its lendable quota until every lease of that incarnation has expired. A grant contains the
//!    incarnation that requested it, and any other incarnation ignores it.
//!
//! Spending is limited by a token bucket at the current rate. When a lease ends, the tokens that were saved
//! from it are dropped. Over any period W, all members together therefore spend at most
//! `quota * (W + burst)`.

use crate::demand::DemandEstimate;
use crate::token_bucket::{TOKEN, TokenBucket};
use crate::types::{Micros, Rate};
use thiserror::Error;

/// The maximum number of unexpired grants to one borrower. Further requests are not answered until a grant
/// expires.
const MAX_GRANTS_PER_BORROWER: usize = 4;
/// The maximum number of requests whose grant is still accepted. Older requests are forgotten.
const MAX_PENDING_REQUESTS: usize = 8;
/// The part of the lease duration after which a borrower requests a renewal, in percent.
const RENEWAL_PERCENT: u64 = 50;
/// The maximum number of requests that a member sends per lease duration.
const MAX_REQUESTS_PER_LEASE: u64 = 8;
/// The number of windows of the demand estimate per lease duration.
const DEMAND_WINDOWS_PER_LEASE: u64 = 4;
/// The shortest lease duration. It leaves one microsecond between two requests.
const MIN_LEASE_DURATION: Micros = MAX_REQUESTS_PER_LEASE;
/// The number of millionths in 1.
const PPM: u64 = 1_000_000;

/// The settings of one fleet-wide limit. All members must have the same settings, except for the position.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseSettings {
    /// The number of members, at least 1.
    pub members: usize,
    /// This member's number in the fleet, below `members`.
    pub position: usize,
    /// The limit for all members together.
    pub quota: Rate,
    /// The part of the quota that is never lent, in percent, at most 100.
    pub guaranteed_percent: u64,
    /// How long a grant is valid, at least 8 microseconds.
    pub lease_duration: Micros,
    /// The maximum deviation of a member's clock rate from true time, in parts per million, below a million.
    pub max_drift_ppm: u64,
    /// The time for which a member can save tokens: its bucket holds at most what its rate yields in this
    /// time.
    pub burst: Micros,
}

/// Why [`LeaseSettings`] cannot be used. A proxy sends these messages to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LeaseSettingsError {
    /// There are no members, or the position is not below their number.
    #[error("a position outside the members")]
    PositionOutOfRange,
    /// The guaranteed part is more than 100 percent of the quota.
    #[error("a floor over 100 percent")]
    GuaranteedPercentTooLarge,
    /// The maximum clock drift is a million parts per million or more.
    #[error("a drift of a whole")]
    DriftTooLarge,
    /// The lease is so short that its requests could not be sent at different times.
    #[error("a lease under 8 microseconds")]
    LeaseTooShort,
    /// The capacity of the token bucket does not fit in 64 bits.
    #[error("a budget and a burst that are too large together")]
    BucketTooLarge,
    /// The guaranteed quota yields less than one token within the burst, so it could never be spent.
    #[error("a floor that never saves up one token within the burst")]
    GuaranteedQuotaTooSmall,
}

/// A member's request to borrow quota from an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseRequest {
    /// The incarnation of the member that sends the request.
    pub incarnation: u32,
    /// The number of the request. Numbers ascend within an incarnation.
    pub number: u32,
    /// The total rate that the member wants from this owner, including what it has already borrowed from it.
    pub wanted: Rate,
}

/// An owner's reply to a [`LeaseRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseGrant {
    /// The incarnation that sent the request.
    pub incarnation: u32,
    /// The number of the request.
    pub number: u32,
    /// The rate that is lent. It replaces this owner's earlier grants, so 0 revokes them.
    pub amount: Rate,
}

/// A [`LeaseRequest`] and its recipient.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AddressedRequest {
    /// The position of the member that owns the quota.
    pub owner: usize,
    /// The request to send to the owner.
    pub request: LeaseRequest,
}

/// An owner's record of one of its grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct IssuedGrant {
    amount: Rate,
    /// The last moment at which the borrower may use the grant, on the owner's clock.
    expires_at: Micros,
}

/// A borrower's record of its lease from one owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct HeldLease {
    amount: Rate,
    /// The first moment at which the lease is no longer valid, on the borrower's clock.
    expires_at: Micros,
    /// The number of the request that the lease was granted for. Grants for earlier requests are outdated.
    request_number: u32,
}

/// A request whose grant may still arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PendingRequest {
    owner: usize,
    number: u32,
    requested_at: Micros,
}

/// One member's part of a fleet-wide limit: its own quota, the leases that it has granted, and the leases
/// that it holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QuotaLeases {
    settings: LeaseSettings,
    incarnation: u32,
    /// The moment from which no grant of an earlier incarnation is valid any more.
    lendable_from: Micros,
    /// The grants of this member, by position of the borrower.
    issued: Vec<Vec<IssuedGrant>>,
    /// The leases that this member holds, by position of the owner.
    held: Vec<HeldLease>,
    pending: Vec<PendingRequest>,
    next_request_number: u32,
    next_request_at: Micros,
    /// The owner to which the last request was sent. The next request is sent to the member after it.
    last_owner: usize,
    bucket: TokenBucket,
    demand: DemandEstimate,
}

impl LeaseSettings {
    /// Checks that all settings are within their bounds.
    ///
    /// # Errors
    ///
    /// Returns the error for the first setting that is out of bounds.
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

    /// Returns the part of the quota that always belongs to one member.
    fn guaranteed_quota(&self) -> Rate {
        self.quota * self.guaranteed_percent.min(100) / 100 / self.members as u64
    }

    /// Returns the duration of a lease on the owner's clock. It is long enough that the lease has expired on
    /// every borrower's clock.
    fn owner_lease_duration(&self) -> Micros {
        self.lease_duration + self.drift() + 1
    }

    /// Returns the duration of a lease on the borrower's clock. It is short enough that the lease is still
    /// valid on every owner's clock.
    fn borrower_lease_duration(&self) -> Micros {
        self.lease_duration - self.drift().min(self.lease_duration)
    }

    /// Returns the maximum deviation of a clock over the duration of a lease.
    fn drift(&self) -> Micros {
        (u128::from(self.lease_duration) * u128::from(self.max_drift_ppm) / u128::from(PPM)) as Micros
    }
}

impl QuotaLeases {
    /// Creates the state of an incarnation that starts now. `incarnation` must differ from every other
    /// incarnation of this member whose messages may still arrive. It can be a boot counter or a random
    /// number. Settings that do not pass [`LeaseSettings::validate`] are changed to at least one member and a
    /// position below `members`.
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

    /// Returns the part of the quota that always belongs to this member.
    pub fn guaranteed_quota(&self) -> Rate {
        self.settings.guaranteed_quota()
    }

    /// Returns the part of the quota that this member owns in addition to its guaranteed quota, and may lend.
    pub fn lendable_quota(&self) -> Rate {
        self.settings.quota / self.settings.members as u64 - self.guaranteed_quota()
    }

    /// Returns the part of the lendable quota that this member must not spend, because it is lent or may have
    /// been lent by an earlier incarnation.
    pub fn granted(&self, now: Micros) -> Rate {
        if now < self.lendable_from {
            return self.lendable_quota();
        }
        let reserved = |grants: &Vec<IssuedGrant>| {
            grants.iter().filter(|grant| now <= grant.expires_at).map(|grant| grant.amount).max()
        };
        self.issued.iter().filter_map(reserved).sum::<Rate>().min(self.lendable_quota())
    }

    /// Returns the sum of the leases that this member holds now.
    pub fn borrowed(&self, now: Micros) -> Rate {
        self.held.iter().filter(|lease| now < lease.expires_at).map(|lease| lease.amount).sum()
    }

    /// Returns the rate at which this member may spend now. The sum over all members never exceeds the quota.
    pub fn rate(&self, now: Micros) -> Rate {
        self.guaranteed_quota() + self.lendable_quota() - self.granted(now) + self.borrowed(now)
    }

    /// Takes a token if there is one. Returns whether there was one.
    pub fn try_spend(&mut self, now: Micros) -> bool {
        self.refill(now);
        self.demand.record();
        self.bucket.try_take()
    }

    /// Brings the bucket and the demand estimate up to date.
    ///
    /// Between two calls, leases can expire at any moment, but none begins. The bucket is refilled as if
    /// every grant had been valid until the end of that period and every held lease had expired at its start.
    fn refill(&mut self, now: Micros) {
        let min_rate = self.guaranteed_quota() + self.lendable_quota()
            - self.granted(self.bucket.refilled_at())
            + self.borrowed(now);
        self.bucket.refill(now, min_rate, self.settings.burst);
        self.limit_bucket(now);
        self.demand.update(now, self.settings.lease_duration / DEMAND_WINDOWS_PER_LEASE);
    }

    /// Drops saved tokens beyond the burst of the current rate, because tokens that were saved from a lease
    /// must not outlive it.
    fn limit_bucket(&mut self, now: Micros) {
        self.bucket.limit(self.rate(now), self.settings.burst);
    }

    /// Returns the request to send now, if the demand exceeds the rate at which this member may spend.
    /// Requests go to the other members in turn, at most eight per lease duration.
    pub fn next_request(&mut self, now: Micros) -> Option<AddressedRequest> {
        self.refill(now);
        if self.settings.members < 2 || now < self.next_request_at {
            return None;
        }
        // A lease that expires before this moment is counted as expired already, so that it is renewed in
        // time.
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

    /// Advances to the next member other than this one, and returns its position.
    fn advance_owner(&mut self) -> usize {
        let members = self.settings.members;
        self.last_owner = (self.last_owner + 1) % members;
        if self.last_owner == self.settings.position {
            self.last_owner = (self.last_owner + 1) % members;
        }
        self.last_owner
    }

    /// Creates a request to one owner. The requested rate is limited to the owner's lendable quota.
    pub fn request_from(&mut self, now: Micros, owner: usize, wanted: Rate) -> LeaseRequest {
        let number = self.next_request_number;
        self.next_request_number = self.next_request_number.wrapping_add(1);
        if self.pending.len() >= MAX_PENDING_REQUESTS {
            self.pending.remove(0);
        }
        self.pending.push(PendingRequest { owner, number, requested_at: now });
        LeaseRequest { incarnation: self.incarnation, number, wanted: wanted.min(self.lendable_quota()) }
    }

    /// Handles another member's request. Returns the grant to send back, or `None` if nothing can be lent.
    /// The borrower then sends its next request to another owner.
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

    /// Returns the rate that may be lent to a borrower, of which `reserved` is already reserved by earlier
    /// grants. It is the lendable quota less what is lent to others and less what this member needs beyond
    /// its guaranteed quota.
    fn available_to_borrower(&self, now: Micros, reserved: Rate) -> Rate {
        let granted_to_others = self.granted(now) - reserved;
        let own_need = self.demand.rate().saturating_sub(self.guaranteed_quota());
        self.lendable_quota().saturating_sub(granted_to_others).saturating_sub(own_need)
    }

    /// Handles an owner's grant. A grant is ignored unless it replies to a pending request of this
    /// incarnation that is newer than the last request which this owner granted.
    pub fn on_grant(&mut self, now: Micros, owner: usize, grant: LeaseGrant) {
        self.refill(now);
        let is_member = owner < self.settings.members;
        if !is_member || grant.incarnation != self.incarnation || grant.amount > self.lendable_quota() {
            return;
        }
        let is_granted = |request: &&PendingRequest| request.number == grant.number && request.owner == owner;
        let Some(request) = self.pending.iter().find(is_granted).copied() else { return };
        let held = &mut self.held[owner];
        if grant.number > held.request_number {
            let expires_at = request.requested_at + self.settings.borrower_lease_duration();
            *held = HeldLease { amount: grant.amount, expires_at, request_number: grant.number };
        }
        self.limit_bucket(now);
    }
}
