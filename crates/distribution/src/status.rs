//! What a publisher knows of its subscribers: who holds which version, and who refused one.

use crate::Micros;
use crate::message::Report;
use crate::version::Version;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// The most subscribers that are known at once; the one that was silent longest leaves first.
pub const SUBSCRIBERS_MOST: usize = 8_192;

/// A refusal that still stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The version that was not taken.
    pub version: Version,
    /// Why, in the subscriber's words.
    pub reason: String,
}

/// One subscriber as its publisher sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubscriberStatus {
    /// Its name.
    pub subscriber: String,
    /// The version it holds: acknowledged, or stated in its latest call; none: nothing.
    pub version: Option<Version>,
    /// How many versions it is behind; none where it holds nothing or a version of another term.
    pub behind: Option<u64>,
    /// Microseconds since it held that version, as reported.
    pub held_for: Micros,
    /// Microseconds since its latest call or report.
    pub silent_for: Micros,
    /// The newest version that it refused, if it has not acknowledged that or a later one since.
    pub refused: Option<Refusal>,
}

#[derive(Debug)]
struct Entry {
    version: Option<Version>,
    held_since: Micros,
    heard_at: Micros,
    refused: Option<Refusal>,
}

#[derive(Debug, Default)]
pub(crate) struct SubscriberTable {
    entries: HashMap<String, Entry>,
}

impl SubscriberTable {
    /// A call states what its subscriber holds, also when that is less than before.
    pub(crate) fn on_subscribe(&mut self, now: Micros, subscriber: &str, known: Option<Version>) {
        let entry = self.entry(now, subscriber);
        if entry.version != known {
            entry.version = known;
            entry.held_since = now;
        }
    }

    pub(crate) fn on_report(&mut self, now: Micros, report: &Report) {
        let entry = self.entry(now, report.subscriber());
        match report {
            Report::Acknowledge { version, .. } => entry.acknowledge(now, *version),
            Report::Refuse { version, reason, .. } => entry.refuse(*version, reason),
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
        if !self.entries.contains_key(subscriber) && self.entries.len() >= SUBSCRIBERS_MOST {
            self.drop_most_silent();
        }
        let entry = self.entries.entry(subscriber.to_owned()).or_insert(Entry {
            version: None,
            held_since: now,
            heard_at: now,
            refused: None,
        });
        entry.heard_at = now;
        entry
    }

    fn drop_most_silent(&mut self) {
        let most_silent = self.entries.iter().min_by_key(|(_, entry)| entry.heard_at);
        if let Some(name) = most_silent.map(|(name, _)| name.clone()) {
            self.entries.remove(&name);
        }
    }
}

impl Entry {
    /// A report that was overtaken by a later one changes nothing.
    fn acknowledge(&mut self, now: Micros, version: Version) {
        if self.version.is_some_and(|held| held >= version) {
            return;
        }
        self.version = Some(version);
        self.held_since = now;
        if self.refused.as_ref().is_some_and(|refusal| refusal.version <= version) {
            self.refused = None;
        }
    }

    fn refuse(&mut self, version: Version, reason: &str) {
        let overtaken = self.version.is_some_and(|held| held > version)
            || self.refused.as_ref().is_some_and(|refusal| refusal.version > version);
        if !overtaken {
            self.refused = Some(Refusal { version, reason: reason.to_owned() });
        }
    }

    fn status(&self, name: &str, now: Micros, newest: Version) -> SubscriberStatus {
        let same_term = self.version.filter(|version| version.term == newest.term);
        SubscriberStatus {
            subscriber: name.to_owned(),
            version: self.version,
            behind: same_term.map(|version| newest.number.saturating_sub(version.number)),
            held_for: now.saturating_sub(self.held_since),
            silent_for: now.saturating_sub(self.heard_at),
            refused: self.refused.clone(),
        }
    }
}
