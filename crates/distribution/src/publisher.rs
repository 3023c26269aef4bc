//! The publisher: assigns versions to changes, keeps the log of deltas, and responds to subscriptions.

pub use crate::log::{LogEntry, LogLimits};
pub use crate::snapshot::EncodedSnapshot;
pub use crate::subscriber_table::{MAX_TRACKED_SUBSCRIBERS, Rejection, SubscriberStatus};

use crate::Micros;
use crate::configuration::{ApplyError, Configuration};
use crate::log::DeltaLog;
use crate::message::{Change, Delta, MAX_DELTA_BYTES, MAX_DELTA_CHANGES, Message};
use crate::report::Report;
use crate::resource::Resource;
use crate::subscriber_table::SubscriberTable;
use crate::subscription::Subscribe;
use crate::version::{MAX_VERSION_NUMBER, Term, Version};
use std::sync::Arc;
use thiserror::Error;

/// The encoded snapshot is reused as long as at most this number of deltas follow it.
pub const MAX_DELTAS_AFTER_SNAPSHOT: usize = 64;
/// The encoded snapshot is reused as long as the lines of the deltas that follow it have at most this number
/// of bytes.
pub const MAX_DELTA_BYTES_AFTER_SNAPSHOT: usize = 1 << 20;

/// The state of a publisher: the configuration, the log, one encoded snapshot and the table of subscribers.
/// The size of each of them is bounded.
#[derive(Debug)]
pub struct Publisher {
    configuration: Configuration,
    log: DeltaLog,
    subscribers: SubscriberTable,
    encoded_snapshot: Option<Arc<EncodedSnapshot>>,
}

/// The response to a subscription. The watch stays open for later updates, except after
/// [`SubscribeResponse::Ahead`] and [`SubscribeResponse::Superseded`].
#[derive(Debug)]
pub enum SubscribeResponse {
    /// The subscriber has the newest version. A heartbeat confirms this to the subscriber.
    UpToDate,
    /// The deltas that the subscriber lacks, oldest first.
    Deltas(Vec<Arc<LogEntry>>),
    /// A snapshot, to be sent if admission allows it, and the deltas that were published after it.
    Snapshot {
        /// The snapshot.
        snapshot: Arc<EncodedSnapshot>,
        /// The deltas after the snapshot, oldest first.
        deltas: Vec<Arc<LogEntry>>,
    },
    /// The subscriber has a version of the current term that this publisher does not know, because the
    /// newest entries of its log were lost. The subscriber accepts no update until a new term begins with
    /// [`Publisher::begin_term`].
    Ahead {
        /// The version that the subscriber has.
        known: Version,
    },
    /// The subscriber follows a publisher with a higher term. This publisher must not publish any more.
    Superseded {
        /// The term of that publisher.
        term: Term,
    },
}

/// The reason why changes were not published. The publisher is left unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PublishError {
    /// There are no changes.
    #[error("no change")]
    NoChanges,
    /// There are more than [`MAX_DELTA_CHANGES`] changes, or more than [`MAX_DELTA_BYTES`] bytes, for one
    /// delta.
    #[error("more than {MAX_DELTA_CHANGES} changes or {MAX_DELTA_BYTES} bytes for one delta")]
    TooLarge,
    /// The changes do not apply to the configuration.
    #[error(transparent)]
    Apply(#[from] ApplyError),
    /// The term has no higher version number left.
    #[error("the term's numbers are used up")]
    NumbersExhausted,
}

/// The reason why a publisher could not be restored from stored data.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RestoreError {
    /// A delta in the log is not based on the version before it, or skips a version number.
    #[error("the stored log has a gap before version {version}")]
    LogGap {
        /// The version of that delta.
        version: Version,
    },
    /// The last delta in the log is older than the stored configuration.
    #[error("the stored log ends before the version of the stored configuration")]
    LogTooShort,
    /// A delta newer than the stored configuration does not apply to it.
    #[error("a delta in the stored log does not apply to the stored configuration: {0}")]
    Apply(#[from] ApplyError),
}

/// A new term is not greater than the current term, or is greater than [`MAX_VERSION_NUMBER`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a new term must be greater than the current term {current} and at most {MAX_VERSION_NUMBER}")]
pub struct TermNotHigher {
    /// The current term.
    pub current: Term,
}

/// A report names a version that this publisher never published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("version {0} was not published here")]
pub struct UnknownVersion(pub Version);

impl Publisher {
    /// Creates a publisher with an empty configuration and an empty log, at number 0 of `term`. No publisher
    /// may have used that term before.
    pub fn new(term: Term, limits: LogLimits) -> Publisher {
        Publisher::with_log(Configuration::empty(Version::new(term, 0)), DeltaLog::new(limits))
    }

    /// Restores a publisher from its stored configuration and log. Deltas up to the configuration's version
    /// are kept for subscribers that are behind; newer deltas are also applied to the configuration.
    ///
    /// # Errors
    /// Returns an error if the log has a gap, ends before the configuration's version, or contains a newer
    /// delta that does not apply.
    pub fn restore(
        mut configuration: Configuration,
        deltas: impl IntoIterator<Item = Delta>,
        limits: LogLimits,
    ) -> Result<Publisher, RestoreError> {
        let mut log = DeltaLog::new(limits);
        let mut last_version: Option<Version> = None;
        for delta in deltas {
            if last_version.is_some_and(|last| last != delta.base) || delta.version != delta.base.next() {
                return Err(RestoreError::LogGap { version: delta.version });
            }
            if delta.version > configuration.version() {
                configuration.apply(&delta)?;
            }
            last_version = Some(delta.version);
            log.push(LogEntry::encode(delta));
        }
        if last_version.is_some_and(|last| last != configuration.version()) {
            return Err(RestoreError::LogTooShort);
        }
        Ok(Publisher::with_log(configuration, log))
    }

    /// Returns the newest version.
    pub fn version(&self) -> Version {
        self.configuration.version()
    }

    /// Returns the newest configuration.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the oldest version from which the log leads to the newest version. If the log is empty, that
    /// is the newest version itself.
    pub fn oldest_known(&self) -> Version {
        self.log.oldest_base().unwrap_or(self.version())
    }

    /// Checks changes and returns the delta that would publish them. The publisher is not modified. The
    /// caller must store the delta durably before it calls [`Publisher::commit`].
    ///
    /// # Errors
    /// Returns an error if there are no changes or too many, if they do not apply, or if the term has no
    /// version number left.
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

    /// Applies a proposed delta to the configuration and appends it to the log. The caller sends the returned
    /// entry on all open watches.
    ///
    /// # Errors
    /// Returns an error if the delta does not apply. The publisher is then left unchanged.
    pub fn commit(&mut self, delta: Delta) -> Result<Arc<LogEntry>, ApplyError> {
        self.configuration.apply(&delta)?;
        let entry = LogEntry::encode(delta);
        self.log.push(entry.clone());
        Ok(entry)
    }

    /// Proposes and commits changes in one call, for publishers without durable storage.
    ///
    /// # Errors
    /// Returns an error in the cases of [`Publisher::propose`]. The publisher is then left unchanged.
    pub fn publish(&mut self, changes: Vec<Change>) -> Result<Arc<LogEntry>, PublishError> {
        let delta = self.propose(changes)?;
        Ok(self.commit(delta)?)
    }

    /// Checks a complete configuration that is to replace the current one as the next version. The publisher
    /// is not modified. This is meant for updates that are too large for one delta, such as the first load.
    /// The caller must store the configuration durably before it calls [`Publisher::replace`].
    ///
    /// # Errors
    /// Returns an error if the resources do not make up a valid configuration, or if the term has no version
    /// number left.
    pub fn propose_replacement(
        &self,
        resources: impl IntoIterator<Item = Resource>,
    ) -> Result<Configuration, PublishError> {
        let version = self.next_version()?;
        Ok(Configuration::from_resources(version, resources)?)
    }

    /// Replaces the configuration and clears the log, so that every subscriber needs a snapshot. The caller
    /// closes all open watches; their subscribers pass admission when they call again.
    ///
    /// # Errors
    /// Returns an error if the configuration's version is not greater than the current one. The publisher is
    /// then left unchanged.
    pub fn replace(&mut self, configuration: Configuration) -> Result<(), ApplyError> {
        let current = self.version();
        let next = configuration.version();
        if next <= current {
            return Err(ApplyError::BaseMismatch { current, base: next });
        }
        self.configuration = configuration;
        self.log.clear();
        self.encoded_snapshot = None;
        Ok(())
    }

    /// Continues with the same resources and the same number under a higher term, after the newest entries of
    /// the log were lost. Clears the log. The caller must store the new term durably before it sends
    /// anything.
    ///
    /// # Errors
    /// Returns an error if the term is not greater than the current one, or is out of bounds. The publisher
    /// is then left unchanged.
    pub fn begin_term(&mut self, term: Term) -> Result<(), TermNotHigher> {
        let current = self.version().term;
        if term <= current || term.0 > MAX_VERSION_NUMBER {
            return Err(TermNotHigher { current });
        }
        let number = self.version().number;
        self.configuration.renumber(Version::new(term, number));
        self.log.clear();
        self.encoded_snapshot = None;
        Ok(())
    }

    /// Responds to a subscription and records which version the subscriber has. The caller sends a snapshot
    /// only when [`crate::admission::Admission`] allows it.
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

    /// Returns the heartbeat to send on watches on which nothing else has been sent for a while.
    pub fn heartbeat(&self) -> Message {
        Message::Heartbeat { version: self.version(), digest: self.configuration.digest() }
    }

    /// Records a subscriber's report.
    ///
    /// # Errors
    /// Returns an error if this publisher never published the version that the report names. The report is
    /// then not recorded.
    pub fn on_report(&mut self, now: Micros, report: &Report) -> Result<(), UnknownVersion> {
        let (Report::Acknowledge { version, .. } | Report::Reject { version, .. }) = report;
        if *version > self.version() {
            return Err(UnknownVersion(*version));
        }
        self.subscribers.on_report(now, report);
        Ok(())
    }

    /// Returns the status of all known subscribers, ordered by name.
    pub fn subscribers(&self, now: Micros) -> Vec<SubscriberStatus> {
        self.subscribers.statuses(now, self.version())
    }

    fn with_log(configuration: Configuration, log: DeltaLog) -> Publisher {
        Publisher { configuration, log, subscribers: SubscriberTable::default(), encoded_snapshot: None }
    }

    fn next_version(&self) -> Result<Version, PublishError> {
        let next = self.version().next();
        if next.is_bounded() { Ok(next) } else { Err(PublishError::NumbersExhausted) }
    }

    /// Returns a snapshot that is at least as new as `known`, the version that the subscriber has.
    fn snapshot_response(&mut self, known: Option<Version>) -> SubscribeResponse {
        if let Some(snapshot) =
            self.encoded_snapshot.clone().filter(|snapshot| known <= Some(snapshot.version))
            && let Some(deltas) = self.deltas_after(snapshot.version)
        {
            return SubscribeResponse::Snapshot { snapshot, deltas };
        }
        let snapshot = Arc::new(EncodedSnapshot::encode(&self.configuration));
        self.encoded_snapshot = Some(snapshot.clone());
        SubscribeResponse::Snapshot { snapshot, deltas: Vec::new() }
    }

    /// Returns the deltas after an encoded snapshot of `version`, or `None` if they are too many or no longer
    /// in the log.
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
