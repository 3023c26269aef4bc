//! The publisher: numbers changes, keeps their log, responds to subscriptions.

pub use crate::log::{LogEntry, LogLimits};
pub use crate::snapshot::EncodedSnapshot;
pub use crate::subscriber_table::{MAX_TRACKED_SUBSCRIBERS, Rejection, SubscriberStatus};

use crate::Micros;
use crate::configuration::{ApplyError, Configuration};
use crate::log::Log;
use crate::message::{Change, Delta, MAX_DELTA_BYTES, MAX_DELTA_CHANGES, Message};
use crate::report::Report;
use crate::resource::Resource;
use crate::subscriber_table::SubscriberTable;
use crate::subscription::Subscribe;
use crate::version::{MAX_VERSION_NUMBER, Term, Version};
use std::sync::Arc;
use thiserror::Error;

/// An encoded snapshot is reused while at most this many deltas follow it.
pub const MAX_DELTAS_AFTER_SNAPSHOT: usize = 64;
/// As [`MAX_DELTAS_AFTER_SNAPSHOT`], in bytes of the deltas' lines.
pub const MAX_DELTA_BYTES_AFTER_SNAPSHOT: usize = 1 << 20;

/// The state of a publisher. All of it is bounded: the configuration, the log, one encoded snapshot
/// and the table of subscribers.
#[derive(Debug)]
pub struct Publisher {
    configuration: Configuration,
    log: Log,
    subscribers: SubscriberTable,
    snapshot: Option<Arc<EncodedSnapshot>>,
}

/// The response to a subscription. The watch stays open for what is published later, except after
/// [`SubscribeResponse::Ahead`] and [`SubscribeResponse::Superseded`].
#[derive(Debug)]
pub enum SubscribeResponse {
    /// Nothing is missing; a heartbeat states it.
    UpToDate,
    /// The deltas that are missing, oldest first.
    Deltas(Vec<Arc<LogEntry>>),
    /// A snapshot, if admission allows, then the deltas published since it.
    Snapshot {
        /// The snapshot.
        snapshot: Arc<EncodedSnapshot>,
        /// The deltas that follow it, oldest first.
        deltas: Vec<Arc<LogEntry>>,
    },
    /// The subscriber knows a version of this term that was never published here: the end of this log was
    /// lost. Nothing can be sent that it would accept until [`Publisher::begin_term`].
    Ahead {
        /// The version that the subscriber has.
        known: Version,
    },
    /// The subscriber follows a later publisher: this one must not publish any more.
    Superseded {
        /// The later publisher's term.
        term: Term,
    },
}

/// Why changes were not published; nothing has changed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PublishError {
    /// There are no changes.
    #[error("no change")]
    NoChanges,
    /// More changes than [`MAX_DELTA_CHANGES`] or more bytes than [`MAX_DELTA_BYTES`] for one delta.
    #[error("more than {MAX_DELTA_CHANGES} changes or {MAX_DELTA_BYTES} bytes for one delta")]
    TooLarge,
    /// The changes do not apply to the configuration.
    #[error(transparent)]
    Apply(#[from] ApplyError),
    /// The term has no higher version number.
    #[error("the term's numbers are used up")]
    NumbersExhausted,
}

/// Why a stored publisher could not be restored.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RestoreError {
    /// A delta of the log is not based on the one before.
    #[error("the log has a gap before version {version}")]
    LogGap {
        /// The delta's version.
        version: Version,
    },
    /// The log ends before the configuration's version, so that it cannot lead to it.
    #[error("the log ends before the configuration's version")]
    LogTooShort,
    /// A delta after the configuration's version does not apply.
    #[error("a delta of the log does not apply: {0}")]
    Apply(#[from] ApplyError),
}

/// A term that is not above the present one, or out of bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a new term is above the present one, {present}, and at most {MAX_VERSION_NUMBER}")]
pub struct TermNotHigher {
    /// The present term.
    pub present: Term,
}

/// A report on a version that this publisher never published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("version {0} was not published here")]
pub struct UnknownVersion(pub Version);

impl Publisher {
    /// A publisher with an empty configuration and log, at number 0 of a term that no publisher used
    /// before.
    pub fn new(term: Term, limits: LogLimits) -> Publisher {
        Publisher::with_log(Configuration::empty(Version::new(term, 0)), Log::new(limits))
    }

    /// A publisher as it was stored: a configuration, and the log of deltas. Deltas up to the
    /// configuration's version serve subscribers that are behind, later ones are applied.
    ///
    /// # Errors
    /// The log has a gap, ends before the configuration's version, or holds a delta that does not apply.
    pub fn restore(
        mut configuration: Configuration,
        deltas: impl IntoIterator<Item = Delta>,
        limits: LogLimits,
    ) -> Result<Publisher, RestoreError> {
        let mut log = Log::new(limits);
        let mut last: Option<Version> = None;
        for delta in deltas {
            if last.is_some_and(|last| last != delta.base) || delta.version != delta.base.next() {
                return Err(RestoreError::LogGap { version: delta.version });
            }
            if delta.version > configuration.version() {
                configuration.apply(&delta)?;
            }
            last = Some(delta.version);
            log.push(LogEntry::encode(delta));
        }
        if last.is_some_and(|last| last != configuration.version()) {
            return Err(RestoreError::LogTooShort);
        }
        Ok(Publisher::with_log(configuration, log))
    }

    /// The newest version.
    pub fn version(&self) -> Version {
        self.configuration.version()
    }

    /// The newest configuration.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// The oldest version from which the log leads to the newest one, which it is itself where the log is
    /// empty.
    pub fn oldest_known(&self) -> Version {
        self.log.oldest_base().unwrap_or(self.version())
    }

    /// Checks changes and makes the delta that would publish them; nothing changes. To be stored durably
    /// before [`Publisher::commit`].
    ///
    /// # Errors
    /// There are no changes, too many, or they do not apply, or the term's numbers are used up.
    pub fn propose(&self, changes: Vec<Change>) -> Result<Delta, PublishError> {
        if changes.is_empty() {
            return Err(PublishError::NoChanges);
        }
        let bytes: usize = changes.iter().map(Change::max_encoded_bytes).sum();
        if changes.len() > MAX_DELTA_CHANGES || bytes > MAX_DELTA_BYTES {
            return Err(PublishError::TooLarge);
        }
        let version = self.next_version()?;
        let digest = self.configuration.validate_changes(version, &changes)?;
        Ok(Delta { base: self.version(), version, changes, digest })
    }

    /// Applies a proposed delta to the configuration and appends it to the log; to be sent to all open
    /// watches.
    ///
    /// # Errors
    /// The delta does not apply; nothing has changed.
    pub fn commit(&mut self, delta: Delta) -> Result<Arc<LogEntry>, ApplyError> {
        self.configuration.apply(&delta)?;
        let entry = LogEntry::encode(delta);
        self.log.push(entry.clone());
        Ok(entry)
    }

    /// [`Publisher::propose`] and [`Publisher::commit`] in one, where nothing is stored between.
    ///
    /// # Errors
    /// As for [`Publisher::propose`]; nothing has changed.
    pub fn publish(&mut self, changes: Vec<Change>) -> Result<Arc<LogEntry>, PublishError> {
        let delta = self.propose(changes)?;
        Ok(self.commit(delta)?)
    }

    /// Checks a complete configuration that is to replace the present one as the next version; nothing
    /// changes. For what is too large for one delta, such as the first load. To be stored durably before
    /// [`Publisher::replace`].
    ///
    /// # Errors
    /// The resources make no valid configuration, or the term's numbers are used up.
    pub fn propose_replacement(
        &self,
        resources: impl IntoIterator<Item = Resource>,
    ) -> Result<Configuration, PublishError> {
        let version = self.next_version()?;
        Ok(Configuration::from_resources(version, resources)?)
    }

    /// Replaces the configuration. The log is cleared, so that every subscriber needs a snapshot: open
    /// watches are to be closed, and their callers pass admission as they come back.
    ///
    /// # Errors
    /// The configuration's version is not above the present one; nothing has changed.
    pub fn replace(&mut self, configuration: Configuration) -> Result<(), ApplyError> {
        let current = self.version();
        let next = configuration.version();
        if next <= current {
            return Err(ApplyError::BaseMismatch { current, base: next });
        }
        self.configuration = configuration;
        self.log.clear();
        self.snapshot = None;
        Ok(())
    }

    /// Continues with the same resources and number under a higher term, after the end of the log was lost.
    /// The log is cleared. To be stored durably before anything is sent.
    ///
    /// # Errors
    /// The term is not above the present one, or out of bounds; nothing has changed.
    pub fn begin_term(&mut self, term: Term) -> Result<(), TermNotHigher> {
        let present = self.version().term;
        if term <= present || term.0 > MAX_VERSION_NUMBER {
            return Err(TermNotHigher { present });
        }
        let number = self.version().number;
        self.configuration.renumber(Version::new(term, number));
        self.log.clear();
        self.snapshot = None;
        Ok(())
    }

    /// Responds to a subscription and records which version its subscriber has. A snapshot is sent only as
    /// [`crate::admission::Admission`] allows.
    pub fn subscribe(&mut self, now: Micros, subscribe: &Subscribe) -> SubscribeResponse {
        self.subscribers.on_subscribe(now, &subscribe.subscriber, subscribe.known);
        let newest = self.version();
        let Some(known) = subscribe.known else { return self.snapshot_response(None) };
        if known.term > newest.term {
            return SubscribeResponse::Superseded { term: known.term };
        }
        if known > newest {
            return SubscribeResponse::Ahead { known };
        }
        if subscribe.snapshot_required {
            return self.snapshot_response(Some(known));
        }
        if known == newest {
            return SubscribeResponse::UpToDate;
        }
        match self.log.since(known) {
            Some(deltas) => SubscribeResponse::Deltas(deltas),
            None => self.snapshot_response(Some(known)),
        }
    }

    /// The heartbeat to send on watches on which nothing else was sent for a while.
    pub fn heartbeat(&self) -> Message {
        Message::Heartbeat { version: self.version(), digest: self.configuration.digest() }
    }

    /// Records a subscriber's report.
    ///
    /// # Errors
    /// The report names a version that was never published here; it is not recorded.
    pub fn on_report(&mut self, now: Micros, report: &Report) -> Result<(), UnknownVersion> {
        let (Report::Acknowledge { version, .. } | Report::Reject { version, .. }) = report;
        if *version > self.version() {
            return Err(UnknownVersion(*version));
        }
        self.subscribers.on_report(now, report);
        Ok(())
    }

    /// All known subscribers, by name: which version each has, and how far it is behind.
    pub fn subscribers(&self, now: Micros) -> Vec<SubscriberStatus> {
        self.subscribers.statuses(now, self.version())
    }

    fn with_log(configuration: Configuration, log: Log) -> Publisher {
        Publisher { configuration, log, subscribers: SubscriberTable::default(), snapshot: None }
    }

    fn next_version(&self) -> Result<Version, PublishError> {
        let next = self.version().next();
        if next.is_bounded() { Ok(next) } else { Err(PublishError::NumbersExhausted) }
    }

    /// A snapshot that is not older than what the subscriber has.
    fn snapshot_response(&mut self, known: Option<Version>) -> SubscribeResponse {
        if let Some(snapshot) = self.snapshot.clone().filter(|snapshot| known <= Some(snapshot.version))
            && let Some(deltas) = self.deltas_after(snapshot.version)
        {
            return SubscribeResponse::Snapshot { snapshot, deltas };
        }
        let snapshot = Arc::new(EncodedSnapshot::encode(&self.configuration));
        self.snapshot = Some(snapshot.clone());
        SubscribeResponse::Snapshot { snapshot, deltas: Vec::new() }
    }

    /// The deltas after an encoded snapshot; none where they are too many, or no longer in the log.
    fn deltas_after(&self, version: Version) -> Option<Vec<Arc<LogEntry>>> {
        if version == self.version() {
            return Some(Vec::new());
        }
        let deltas = self.log.since(version)?;
        let bytes: usize = deltas.iter().map(|entry| entry.line.len()).sum();
        let is_bounded = deltas.len() <= MAX_DELTAS_AFTER_SNAPSHOT && bytes <= MAX_DELTA_BYTES_AFTER_SNAPSHOT;
        is_bounded.then_some(deltas)
    }
}
