//! What a publisher knows of its subscribers: which version each has, and which one it rejected.

use crate::Micros;
use crate::report::Report;
use crate::version::Version;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// The maximum number of subscribers known at once; the one heard least recently is evicted.
pub const MAX_TRACKED_SUBSCRIBERS: usize = 8_192;

/// A rejection that no later acknowledgement has superseded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// The version that was rejected.
    pub version: Version,
    /// The reason as the subscriber reported it.
    pub reason: String,
}

/// One subscriber as its publisher sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubscriberStatus {
    /// Its name.
    pub subscriber: String,
    /// The version it has: acknowledged, or stated in its latest call; none: nothing.
    pub version: Option<Version>,
    /// How many versions it is behind; none where it has nothing or a version of another term.
    pub behind: Option<u64>,
    /// Microseconds since it reported that version.
    #[serde(rename = "held_for")]
    pub version_age: Micros,
    /// Microseconds since its latest call or report.
    #[serde(rename = "silent_for")]
    pub last_contact_age: Micros,
    /// The newest version that it rejected, if it has not acknowledged that or a later one since.
    #[serde(rename = "refused")]
    pub rejected: Option<Rejection>,
}

#[derive(Debug)]
struct Entry {
    version: Option<Version>,
    version_since: Micros,
    last_contact_at: Micros,
    rejected: Option<Rejection>,
}

/// The subscribers by name.
#[derive(Debug, Default)]
pub(crate) struct SubscriberTable {
    entries: HashMap<String, Entry>,
}

impl SubscriberTable {
    /// A call states what its subscriber has, also when that is less than before.
    pub(crate) fn on_subscribe(&mut self, now: Micros, subscriber: &str, known: Option<Version>) {
        let entry = self.entry(now, subscriber);
        if entry.version != known {
            entry.version = known;
            entry.version_since = now;
        }
    }

    pub(crate) fn on_report(&mut self, now: Micros, report: &Report) {
        let entry = self.entry(now, report.subscriber());
        match report {
            Report::Acknowledge { version, .. } => entry.acknowledge(now, *version),
            Report::Reject { version, reason, .. } => entry.reject(*version, reason),
        }
    }

    /// All subscribers by name.
    pub(crate) fn statuses(&self, now: Micros, newest: Version) -> Vec<SubscriberStatus> {
        let status = |(name, entry): (&String, &Entry)| entry.status(name, now, newest);
        let mut statuses: Vec<SubscriberStatus> = self.entries.iter().map(status).collect();
        statuses.sort_by(|a, b| a.subscriber.cmp(&b.subscriber));
        statuses
    }

    fn entry(&mut self, now: Micros, subscriber: &str) -> &mut Entry {
        if !self.entries.contains_key(subscriber) && self.entries.len() >= MAX_TRACKED_SUBSCRIBERS {
            self.evict_least_recent();
        }
        let entry = self.entries.entry(subscriber.to_owned()).or_insert(Entry {
            version: None,
            version_since: now,
            last_contact_at: now,
            rejected: None,
        });
        entry.last_contact_at = now;
        entry
    }

    fn evict_least_recent(&mut self) {
        let least_recent = self.entries.iter().min_by_key(|(_, entry)| entry.last_contact_at);
        if let Some(name) = least_recent.map(|(name, _)| name.clone()) {
            self.entries.remove(&name);
        }
    }
}

impl Entry {
    /// A report that a later one has overtaken changes nothing.
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
        let is_overtaken = self.version.is_some_and(|current| current > version)
            || self.rejected.as_ref().is_some_and(|rejection| rejection.version > version);
        if !is_overtaken {
            self.rejected = Some(Rejection { version, reason: reason.to_owned() });
        }
    }

    fn status(&self, name: &str, now: Micros, newest: Version) -> SubscriberStatus {
        let same_term = self.version.filter(|version| version.term == newest.term);
        SubscriberStatus {
            subscriber: name.to_owned(),
            version: self.version,
            behind: same_term.map(|version| newest.number.saturating_sub(version.number)),
            version_age: now.saturating_sub(self.version_since),
            last_contact_age: now.saturating_sub(self.last_contact_at),
            rejected: self.rejected.clone(),
        }
    }
}
