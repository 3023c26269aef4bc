//! The publisher: numbers changes, keeps their log, answers subscriptions.

pub use crate::log::{LogLimits, Published};
pub use crate::status::{Refusal, SUBSCRIBERS_MOST, SubscriberStatus};

use crate::Micros;
use crate::configuration::{ApplyError, Configuration};
use crate::log::Log;
use crate::message::{
    CHANGES_MOST, Change, DELTA_BYTES_MOST, Delta, Line, Message, PART_BYTES_MOST, Report, SnapshotPart,
    Subscribe,
};
use crate::resource::Resource;
use crate::status::SubscriberTable;
use crate::version::{NUMBER_MOST, Term, Version};
use std::sync::Arc;

/// An encoded snapshot is used again while no more deltas than this lead on from it.
pub const SNAPSHOT_DELTAS_MOST: usize = 64;
/// As [`SNAPSHOT_DELTAS_MOST`], in bytes of the deltas' lines.
pub const SNAPSHOT_DELTA_BYTES_MOST: usize = 1 << 20;

/// A publisher's whole state. What it holds is bounded: the configuration, the log, one encoded snapshot
/// and the table of subscribers.
#[derive(Debug)]
pub struct Publisher {
    configuration: Configuration,
    log: Log,
    subscribers: SubscriberTable,
    snapshot: Option<Arc<SnapshotLines>>,
}

/// A snapshot as lines, encoded once for all that ask while it is new enough.
#[derive(Debug, PartialEq)]
pub struct SnapshotLines {
    /// Its version.
    pub version: Version,
    /// One line a part, in their order.
    pub parts: Vec<Line>,
}

/// What a subscription is answered with. In each case the watch stays open for what is published later,
/// but for [`Answer::Ahead`] and [`Answer::Superseded`].
#[derive(Debug)]
pub enum Answer {
    /// Nothing is missing; a heartbeat says so.
    UpToDate,
    /// The deltas that are missing, oldest first.
    Deltas(Vec<Arc<Published>>),
    /// A snapshot, if admission allows, then the deltas published since it.
    Snapshot {
        /// The snapshot.
        snapshot: Arc<SnapshotLines>,
        /// What leads on from it, oldest first.
        then: Vec<Arc<Published>>,
    },
    /// The subscriber knows a version of this term that was never published here: the end of this log was
    /// lost. Nothing can be sent that it would take until [`Publisher::begin_term`].
    Ahead {
        /// What the subscriber knows.
        known: Version,
    },
    /// The subscriber follows a later publisher: this one must publish no more.
    Superseded {
        /// The later publisher's term.
        term: Term,
    },
}

/// Why changes were not published; nothing has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishError {
    /// No change at all.
    Empty,
    /// More changes than [`CHANGES_MOST`] or more bytes than [`DELTA_BYTES_MOST`] for one delta.
    Size,
    /// The changes do not go onto the configuration.
    Apply(ApplyError),
    /// The term's numbers are used up.
    Numbers,
}

/// Why a stored publisher could not be restored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RestoreError {
    /// A delta of the log does not go onto the one before.
    Gap {
        /// The delta's version.
        version: Version,
    },
    /// The log ends before the configuration's version, so that it cannot lead on to it.
    Short,
    /// A delta after the configuration's version does not apply.
    Apply(ApplyError),
}

/// A term that is not above the present one, or out of bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TermNotHigher {
    /// The present term.
    pub present: Term,
}

/// A report on a version that this publisher never published.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownVersion(pub Version);

impl Publisher {
    /// A publisher with an empty configuration and log, at number 0 of a term that no publisher used
    /// before.
    pub fn new(term: Term, limits: LogLimits) -> Publisher {
        Publisher::with_log(Configuration::empty(Version::new(term, 0)), Log::new(limits))
    }

    /// A publisher as it was stored: a configuration, and the log of deltas. Deltas up to the
    /// configuration's version serve subscribers that are behind, later ones are applied.
    pub fn restore(
        mut configuration: Configuration,
        deltas: impl IntoIterator<Item = Delta>,
        limits: LogLimits,
    ) -> Result<Publisher, RestoreError> {
        let mut log = Log::new(limits);
        let mut last: Option<Version> = None;
        for delta in deltas {
            if last.is_some_and(|last| last != delta.base) || delta.version != delta.base.next() {
                return Err(RestoreError::Gap { version: delta.version });
            }
            if delta.version > configuration.version() {
                configuration.apply(&delta).map_err(RestoreError::Apply)?;
            }
            last = Some(delta.version);
            log.push(Published::encode(delta));
        }
        if last.is_some_and(|last| last != configuration.version()) {
            return Err(RestoreError::Short);
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

    /// The oldest version from which the log leads on; the newest version where the log is empty.
    pub fn oldest_known(&self) -> Version {
        self.log.oldest_base().unwrap_or(self.version())
    }

    /// Checks changes and makes the delta that would publish them; nothing changes. To be stored durably
    /// before [`Publisher::commit`].
    pub fn propose(&self, changes: Vec<Change>) -> Result<Delta, PublishError> {
        if changes.is_empty() {
            return Err(PublishError::Empty);
        }
        let bytes: usize = changes.iter().map(Change::weight).sum();
        if changes.len() > CHANGES_MOST || bytes > DELTA_BYTES_MOST {
            return Err(PublishError::Size);
        }
        let version = self.next_version()?;
        let digest = self.configuration.check_changes(version, &changes).map_err(PublishError::Apply)?;
        Ok(Delta { base: self.version(), version, changes, digest })
    }

    /// Puts a proposed delta into the configuration and the log; to be sent to all open watches.
    pub fn commit(&mut self, delta: Delta) -> Result<Arc<Published>, ApplyError> {
        self.configuration.apply(&delta)?;
        let published = Published::encode(delta);
        self.log.push(published.clone());
        Ok(published)
    }

    /// [`Publisher::propose`] and [`Publisher::commit`] in one, where nothing is stored between.
    pub fn publish(&mut self, changes: Vec<Change>) -> Result<Arc<Published>, PublishError> {
        let delta = self.propose(changes)?;
        self.commit(delta).map_err(PublishError::Apply)
    }

    /// Checks a whole configuration that is to replace the present one as the next version; nothing
    /// changes. For what is too large for one delta, such as the first load. To be stored durably before
    /// [`Publisher::install`].
    pub fn propose_whole(
        &self,
        resources: impl IntoIterator<Item = Resource>,
    ) -> Result<Configuration, PublishError> {
        let version = self.next_version()?;
        Configuration::from_resources(version, resources).map_err(PublishError::Apply)
    }

    /// Replaces the configuration. The log starts anew, so that every subscriber needs a snapshot: open
    /// watches are to be ended, and their callers pass admission as they come back.
    pub fn install(&mut self, configuration: Configuration) -> Result<(), ApplyError> {
        let (held, next) = (self.version(), configuration.version());
        if next <= held {
            return Err(ApplyError::Base { held, base: next });
        }
        self.configuration = configuration;
        self.log.clear();
        self.snapshot = None;
        Ok(())
    }

    /// Goes on with the same resources and number under a higher term: after the end of the log was lost.
    /// The log starts anew. To be stored durably before anything is sent.
    pub fn begin_term(&mut self, term: Term) -> Result<(), TermNotHigher> {
        let present = self.version().term;
        if term <= present || term.0 > NUMBER_MOST {
            return Err(TermNotHigher { present });
        }
        let number = self.version().number;
        self.configuration.renumber(Version::new(term, number));
        self.log.clear();
        self.snapshot = None;
        Ok(())
    }

    /// Answers a subscription and notes what its subscriber holds. A snapshot is to be sent only as
    /// [`crate::admission::Admission`] allows.
    pub fn answer(&mut self, now: Micros, subscribe: &Subscribe) -> Answer {
        self.subscribers.on_subscribe(now, &subscribe.subscriber, subscribe.known);
        let newest = self.version();
        let Some(known) = subscribe.known else { return self.snapshot(None) };
        if known.term > newest.term {
            return Answer::Superseded { term: known.term };
        }
        if known > newest {
            return Answer::Ahead { known };
        }
        if subscribe.whole {
            return self.snapshot(Some(known));
        }
        if known == newest {
            return Answer::UpToDate;
        }
        match self.log.since(known) {
            Some(deltas) => Answer::Deltas(deltas),
            None => self.snapshot(Some(known)),
        }
    }

    /// The heartbeat to send on watches on which nothing else was sent for a while.
    pub fn heartbeat(&self) -> Message {
        Message::Heartbeat { version: self.version(), digest: self.configuration.digest() }
    }

    /// Takes a subscriber's report. One on a version that was never published here is not taken.
    pub fn on_report(&mut self, now: Micros, report: &Report) -> Result<(), UnknownVersion> {
        let (Report::Acknowledge { version, .. } | Report::Refuse { version, .. }) = report;
        if *version > self.version() {
            return Err(UnknownVersion(*version));
        }
        self.subscribers.on_report(now, report);
        Ok(())
    }

    /// All subscribers that are known, by name: what each holds, and who is behind.
    pub fn subscribers(&self, now: Micros) -> Vec<SubscriberStatus> {
        self.subscribers.statuses(now, self.version())
    }

    fn with_log(configuration: Configuration, log: Log) -> Publisher {
        Publisher { configuration, log, subscribers: SubscriberTable::default(), snapshot: None }
    }

    fn next_version(&self) -> Result<Version, PublishError> {
        let next = self.version().next();
        if next.is_bounded() { Ok(next) } else { Err(PublishError::Numbers) }
    }

    /// A snapshot that is not older than what the subscriber knows.
    fn snapshot(&mut self, known: Option<Version>) -> Answer {
        if let Some(snapshot) = self.snapshot.clone().filter(|snapshot| known <= Some(snapshot.version))
            && let Some(then) = self.deltas_after(snapshot.version)
        {
            return Answer::Snapshot { snapshot, then };
        }
        let snapshot = Arc::new(SnapshotLines::encode(&self.configuration));
        self.snapshot = Some(snapshot.clone());
        Answer::Snapshot { snapshot, then: Vec::new() }
    }

    /// What leads on from an encoded snapshot; none where that is too much, or no longer in the log.
    fn deltas_after(&self, version: Version) -> Option<Vec<Arc<Published>>> {
        if version == self.version() {
            return Some(Vec::new());
        }
        let deltas = self.log.since(version)?;
        let bytes: usize = deltas.iter().map(|published| published.line.len()).sum();
        let few = deltas.len() <= SNAPSHOT_DELTAS_MOST && bytes <= SNAPSHOT_DELTA_BYTES_MOST;
        few.then_some(deltas)
    }
}

impl SnapshotLines {
    /// A configuration as the lines of its snapshot.
    pub fn encode(configuration: &Configuration) -> SnapshotLines {
        let chunks = chunks_by_weight(configuration.resources());
        let parts = chunks.len() as u32;
        let part = |(index, resources): (usize, Vec<Resource>)| SnapshotPart {
            version: configuration.version(),
            part: index as u32,
            parts,
            digest: configuration.digest(),
            resources,
        };
        let line = |part: SnapshotPart| Message::SnapshotPart(part).write();
        let parts = chunks.into_iter().enumerate().map(part).map(line).collect();
        SnapshotLines { version: configuration.version(), parts }
    }

    /// The length of all lines, in bytes.
    pub fn bytes(&self) -> usize {
        self.parts.iter().map(|line| line.len()).sum()
    }
}

/// Resources in groups of at most [`PART_BYTES_MOST`]; one empty group where there is none.
fn chunks_by_weight(resources: impl Iterator<Item = Resource>) -> Vec<Vec<Resource>> {
    let mut chunks = vec![Vec::new()];
    let mut weight = 0;
    for resource in resources {
        weight += resource.weight();
        if weight > PART_BYTES_MOST {
            weight = resource.weight();
            chunks.push(Vec::new());
        }
        if let Some(chunk) = chunks.last_mut() {
            chunk.push(resource);
        }
    }
    chunks
}

impl std::fmt::Display for PublishError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            PublishError::Empty => f.write_str("no change"),
            PublishError::Size => {
                write!(f, "more than {CHANGES_MOST} changes or {DELTA_BYTES_MOST} bytes for one delta")
            }
            PublishError::Apply(error) => error.fmt(f),
            PublishError::Numbers => f.write_str("the term's numbers are used up"),
        }
    }
}

impl std::fmt::Display for RestoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RestoreError::Gap { version } => write!(f, "the log has a gap before version {version}"),
            RestoreError::Short => f.write_str("the log ends before the configuration's version"),
            RestoreError::Apply(error) => write!(f, "a delta of the log does not apply: {error}"),
        }
    }
}

impl std::fmt::Display for TermNotHigher {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "a new term is above the present one, {}, and at most {NUMBER_MOST}", self.present)
    }
}

impl std::fmt::Display for UnknownVersion {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "version {} was not published here", self.0)
    }
}

impl std::error::Error for PublishError {}
impl std::error::Error for RestoreError {}
impl std::error::Error for TermNotHigher {}
impl std::error::Error for UnknownVersion {}
