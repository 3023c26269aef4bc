//! One member's part of all fleet-wide rate limits: a [`QuotaLeases`] for each request class that has a
//! limit, and the messages between members. The caller sends and receives the messages.

use crate::lease_messages::{self, ClassMessage, LeaseMessage};
use crate::quota_leases::{LeaseSettings, LeaseSettingsError, QuotaLeases};
use crate::types::{Micros, OutgoingMessage, Rate};
use std::collections::BTreeMap;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// How often [`FleetQuotas::poll_requests`] is called per lease duration. This is twice the number of
/// requests that may be sent in that time.
const POLLS_PER_LEASE: u64 = 16;

/// How a fleet divides its rate limits. All members must have the same plan, except for the position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaPlan {
    /// The number of members, at least 1.
    pub members: usize,
    /// This member's number in the fleet, below `members`.
    pub position: usize,
    /// The limit for all members together, by class. 0 means that a class has no limit.
    pub quota_by_class: Vec<Rate>,
    /// See [`LeaseSettings::guaranteed_percent`].
    pub guaranteed_percent: u64,
    /// See [`LeaseSettings::lease_duration`].
    pub lease_duration: Micros,
    /// See [`LeaseSettings::max_drift_ppm`].
    pub max_drift_ppm: u64,
    /// See [`LeaseSettings::burst`].
    pub burst: Micros,
}

/// Why a [`QuotaPlan`] cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the quota plan of class {class} is not valid: {reason}")]
pub struct QuotaPlanError {
    /// The index of the first class whose plan is not valid.
    pub class: usize,
    /// What is wrong with the plan of this class.
    #[source]
    pub reason: ClassQuotaError,
}

/// Why the limit of one class cannot be used. A proxy sends these messages to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ClassQuotaError {
    /// The index of the class is [`lease_messages::MAX_CLASSES`] or more, which messages cannot encode.
    #[error("more classes than messages can name")]
    TooManyClasses,
    /// A setting of the class is out of bounds.
    #[error(transparent)]
    Settings(#[from] LeaseSettingsError),
}

/// A member's part of the limit of one class at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuotaStatus {
    /// The index of the class.
    pub class: usize,
    /// The limit of the whole fleet.
    pub quota: Rate,
    /// The part that always belongs to the member.
    pub guaranteed_quota: Rate,
    /// The part that the member owns in addition, and may lend.
    pub lendable_quota: Rate,
    /// How much of the lendable quota is lent, or may have been lent by an earlier incarnation.
    pub granted: Rate,
    /// How much the member has borrowed.
    pub borrowed: Rate,
    /// The rate at which the member may spend.
    pub rate: Rate,
    /// The number of tokens spent since the start.
    pub spent: u64,
    /// The number of tokens denied since the start.
    pub denied: u64,
}

/// The leases of one class and how many tokens were spent and denied.
#[derive(Debug)]
struct ClassQuota {
    leases: QuotaLeases,
    spent: u64,
    denied: u64,
}

/// One member's part of all fleet-wide rate limits.
#[derive(Debug)]
pub struct FleetQuotas {
    plan: QuotaPlan,
    plan_digest: u32,
    by_class: BTreeMap<usize, ClassQuota>,
}

impl QuotaPlan {
    /// Returns the lease settings of a class, or `None` if the class has no limit.
    fn lease_settings(&self, class: usize) -> Option<LeaseSettings> {
        let quota = self.quota_by_class.get(class).copied().filter(|quota| *quota > 0)?;
        Some(LeaseSettings {
            members: self.members,
            position: self.position,
            quota,
            guaranteed_percent: self.guaranteed_percent,
            lease_duration: self.lease_duration,
            max_drift_ppm: self.max_drift_ppm,
            burst: self.burst,
        })
    }

    /// Checks the number of classes and the settings of each class that has a limit.
    ///
    /// # Errors
    ///
    /// Returns the first class that is not valid, and what is wrong with it.
    pub fn validate(&self) -> Result<(), QuotaPlanError> {
        if self.quota_by_class.len() > lease_messages::MAX_CLASSES {
            let class = lease_messages::MAX_CLASSES;
            return Err(QuotaPlanError { class, reason: ClassQuotaError::TooManyClasses });
        }
        for class in 0..self.quota_by_class.len() {
            let Some(settings) = self.lease_settings(class) else { continue };
            settings.validate().map_err(|error| QuotaPlanError { class, reason: error.into() })?;
        }
        Ok(())
    }

    /// Returns a hash of the plan without the position. Members whose plans differ ignore each other's
    /// messages.
    fn digest(&self) -> u32 {
        let shared_settings = [
            self.members as u64,
            self.guaranteed_percent,
            self.lease_duration,
            self.max_drift_ppm,
            self.burst,
        ];
        let numbers = shared_settings.iter().chain(&self.quota_by_class);
        let bytes: Vec<u8> = numbers.flat_map(|number| number.to_le_bytes()).collect();
        xxh3_64(&bytes) as u32
    }
}

impl FleetQuotas {
    /// Creates the state of an incarnation that starts now. [`QuotaLeases::new`] describes `incarnation`.
    pub fn new(now: Micros, plan: QuotaPlan, incarnation: u32) -> FleetQuotas {
        let mut by_class = BTreeMap::new();
        for class in 0..plan.quota_by_class.len() {
            let Some(settings) = plan.lease_settings(class) else { continue };
            let leases = QuotaLeases::new(now, settings, incarnation);
            by_class.insert(class, ClassQuota { leases, spent: 0, denied: 0 });
        }
        FleetQuotas { plan_digest: plan.digest(), by_class, plan }
    }

    /// Takes a token of a class if there is one. Returns whether there was one, or true if the class has no
    /// limit.
    pub fn try_spend(&mut self, now: Micros, class: usize) -> bool {
        let Some(quota) = self.by_class.get_mut(&class) else { return true };
        let is_allowed = quota.leases.try_spend(now);
        if is_allowed {
            quota.spent += 1;
        } else {
            quota.denied += 1;
        }
        is_allowed
    }

    /// Returns the interval at which to call [`FleetQuotas::poll_requests`], at least 1 microsecond.
    pub fn poll_interval(&self) -> Micros {
        (self.plan.lease_duration / POLLS_PER_LEASE).max(1)
    }

    /// Returns the lease requests to send now. At most eight are sent per class and lease duration,
    /// independent of the fleet's size.
    pub fn poll_requests(&mut self, now: Micros) -> Vec<OutgoingMessage> {
        let mut requests_by_owner: BTreeMap<usize, Vec<ClassMessage>> = BTreeMap::new();
        for (&class, quota) in &mut self.by_class {
            if let Some(addressed) = quota.leases.next_request(now) {
                let message = LeaseMessage::Request(addressed.request);
                requests_by_owner.entry(addressed.owner).or_default().push(ClassMessage { class, message });
            }
        }
        let mut outgoing = Vec::new();
        for (owner, messages) in requests_by_owner {
            let chunks = messages.chunks(lease_messages::MAX_MESSAGES);
            let payloads = chunks.filter_map(|chunk| lease_messages::encode(self.plan_digest, chunk));
            outgoing.extend(payloads.map(|payload| OutgoingMessage { to: owner, payload }));
        }
        outgoing
    }

    /// Handles a payload from another member and returns the payload of the reply, if there is one. A payload
    /// that cannot be decoded or comes from a member with another plan changes nothing, nor does a message
    /// for a class without a limit.
    pub fn on_message(&mut self, now: Micros, from: usize, payload: &[u8]) -> Option<Vec<u8>> {
        let received = lease_messages::decode(payload)?;
        if received.plan_digest != self.plan_digest {
            return None;
        }
        let mut grants: Vec<ClassMessage> = Vec::new();
        for ClassMessage { class, message } in received.messages {
            let Some(quota) = self.by_class.get_mut(&class) else { continue };
            match message {
                LeaseMessage::Request(request) => {
                    if let Some(grant) = quota.leases.on_request(now, from, request) {
                        grants.push(ClassMessage { class, message: LeaseMessage::Grant(grant) });
                    }
                }
                LeaseMessage::Grant(grant) => quota.leases.on_grant(now, from, grant),
            }
        }
        lease_messages::encode(self.plan_digest, &grants)
    }

    /// Returns this member's part of the limit of each class that has one, in ascending order of class.
    pub fn status(&self, now: Micros) -> Vec<QuotaStatus> {
        self.by_class.iter().map(|(&class, quota)| self.class_status(now, class, quota)).collect()
    }

    fn class_status(&self, now: Micros, class: usize, quota: &ClassQuota) -> QuotaStatus {
        let leases = &quota.leases;
        QuotaStatus {
            class,
            quota: self.plan.quota_by_class[class],
            guaranteed_quota: leases.guaranteed_quota(),
            lendable_quota: leases.lendable_quota(),
            granted: leases.granted(now),
            borrowed: leases.borrowed(now),
            rate: leases.rate(now),
            spent: quota.spent,
            denied: quota.denied,
        }
    }
}
