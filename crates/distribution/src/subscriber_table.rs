//! The publisher's table of subscribers: which version each one has, and which version it rejected.

use crate::Micros;
use crate::report::Report;
use crate::version::Version;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// The maximum number of subscribers in the table. Beyond it, the subscriber with the oldest contact is
/// evicted.
pub const MAX_TRACKED_SUBSCRIBERS: usize = 8_192;

/// A rejection that has not been superseded by an acknowledgement of the same or a later version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// The rejected version.
    pub version: Version,
    /// The reason that the subscriber reported.
    pub reason: String,
}

/// The status of one subscriber, as far as the publisher knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubscriberStatus {
    /// The subscriber's name.
    pub subscriber: String,
    /// The version that the subscriber acknowledged, or stated in its latest call. `None` if it has no
    /// configuration.
    pub version: Option<Version>,
    /// By how many versions the subscriber is behind the newest one. `None` if it has no configuration, or a
    /// version of a different term.
    pub behind: Option<u64>,
    /// The time since the subscriber first reported that version, in microseconds.
    #[serde(rename = "held_for")]
    pub version_age: Micros,
    /// The time since the subscriber's latest call or report, in microseconds.
    #[serde(rename = "silent_for")]
    pub last_contact_age: Micros,
    /// The newest version that the subscriber rejected, unless it has acknowledged that version or a later
    /// one since.
    #[serde(rename = "refused")]
    pub rejected: Option<Rejection>,
}

#[derive(Debug)]
struct SubscriberState {
    version: Option<Version>,
    version_since: Micros,
    last_contact_at: Micros,
    rejected: Option<Rejection>,
}

/// The subscribers, by name.
#[derive(Debug, Default)]
pub(crate) struct SubscriberTable {
    states: HashMap<String, SubscriberState>,
}

impl SubscriberTable {
    /// Records the version that a subscriber states in its call, even if it is older than the recorded one or
    /// `None`.
    pub(crate) fn on_subscribe(&mut self, now: Micros, subscriber: &str, known: Option<Version>) {
        let state = self.state_mut(now, subscriber);
        if state.version != known {
            state.version = known;
            state.version_since = now;
        }
    }

    pub(crate) fn on_report(&mut self, now: Micros, report: &Report) {
        let state = self.state_mut(now, report.subscriber());
        match report {
            Report::Acknowledge { version, .. } => state.acknowledge(now, *version),
            Report::Reject { version, reason, .. } => state.reject(*version, reason),
        }
    }

    /// Returns the status of all subscribers, ordered by name.
    pub(crate) fn statuses(&self, now: Micros, newest: Version) -> Vec<SubscriberStatus> {
        let status = |(name, state): (&String, &SubscriberState)| state.status(name, now, newest);
        let mut statuses: Vec<SubscriberStatus> = self.states.iter().map(status).collect();
        statuses.sort_by(|left, right| left.subscriber.cmp(&right.subscriber));
        statuses
    }

    fn state_mut(&mut self, now: Micros, subscriber: &str) -> &mut SubscriberState {
        if !self.states.contains_key(subscriber) && self.states.len() >= MAX_TRACKED_SUBSCRIBERS {
            self.evict_oldest_contact();
        }
        let state = self.states.entry(subscriber.to_owned()).or_insert(SubscriberState {
            version: None,
            version_since: now,
            last_contact_at: now,
            rejected: None,
        });
        state.last_contact_at = now;
        state
    }

    fn evict_oldest_contact(&mut self) {
        let oldest_contact = self.states.iter().min_by_key(|(_, state)| state.last_contact_at);
        if let Some(name) = oldest_contact.map(|(name, _)| name.clone()) {
            self.states.remove(&name);
        }
    }
}

impl SubscriberState {
    /// Records an acknowledgement, unless the same or a later version is recorded already.
    fn acknowledge(&mut self, now: Micros, version: Version) {
        if self.version.is_some_and(|current| current >= version) {
            return;
        }
        self.version = Some(version);
        self.version_since = now;
        if self.rejected.as_ref().is_some_and(|rejection| rejection.version <= version) {
            self.rejected = None;
        }
    }

    fn reject(&mut self, version: Version, reason: &str) {
        let is_outdated = self.version.is_some_and(|current| current > version)
            || self.rejected.as_ref().is_some_and(|rejection| rejection.version > version);
        if !is_outdated {
            self.rejected = Some(Rejection { version, reason: reason.to_owned() });
        }
    }

    fn status(&self, name: &str, now: Micros, newest: Version) -> SubscriberStatus {
        let version_in_term = self.version.filter(|version| version.term == newest.term);
        SubscriberStatus {
            subscriber: name.to_owned(),
            version: self.version,
            behind: version_in_term.map(|version| newest.number.saturating_sub(version.number)),
            version_age: now.saturating_sub(self.version_since),
            last_contact_age: now.saturating_sub(self.last_contact_at),
            rejected: self.rejected.clone(),
        }
    }
}
