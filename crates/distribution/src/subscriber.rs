//! The subscriber: keeps the last configuration that passed all checks, and follows a publisher's updates.

use crate::Micros;
use crate::backoff::{Backoff, INITIAL_BACKOFF};
use crate::configuration::{ApplyError, Configuration};
use crate::digest::Digest;
use crate::message::{Change, Delta, MAX_DELTA_BYTES, Message, ParseError, SnapshotPart};
use crate::rejected::{RejectedUpdates, max_encoded_bytes, merge_deltas};
use crate::report::Report;
use crate::snapshot_assembly::SnapshotAssembly;
use crate::subscription::Subscribe;
use crate::version::Version;
use thiserror::Error;

pub use crate::subscriber_table::Rejection;

/// The longest time for which the publisher sends nothing on a watch, in microseconds.
pub const HEARTBEAT_INTERVAL: Micros = 2_000_000;
/// A watch on which nothing has arrived for this time, in microseconds, is closed. It is three heartbeat
/// intervals and a margin.
pub const WATCH_TIMEOUT: Micros = 7_000_000;
/// The maximum number of rejected deltas that are retained until a later one corrects them.
pub const MAX_REJECTED_DELTAS: usize = 256;
/// The maximum total size of the retained rejected deltas, in bytes.
pub const MAX_REJECTED_BYTES: usize = 2 * MAX_DELTA_BYTES;
/// The longest delay, in microseconds, before a subscriber whose rejected deltas exceed the bounds requests a
/// snapshot. The delay is at least half of this.
pub const REJECTED_SNAPSHOT_DELAY: Micros = 30_000_000;

/// An update that is about to be put in force, passed to a [`Validator`]. The validator checks what this
/// crate does not know, for example whether a request class exists.
#[derive(Clone, Copy, Debug)]
pub enum Proposal<'a> {
    /// Changes to the current configuration, each to a different key.
    Changes(&'a [Change]),
    /// A complete configuration that replaces the current one.
    Replacement(&'a Configuration),
}

/// The reason why a [`Validator`] rejects a proposal. The text of the cause is reported to the publisher
/// unchanged, except that [`Report::reject`] truncates it and replaces control characters.
#[derive(Debug, Error)]
#[error(transparent)]
pub struct InvalidProposal(Box<dyn std::error::Error + Send + Sync>);

impl InvalidProposal {
    /// Creates a rejection with this cause.
    pub fn new(cause: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> Self {
        InvalidProposal(cause.into())
    }
}

/// The caller's check of a proposal before it is put in force.
pub type Validator<'a> = dyn FnMut(Proposal<'_>) -> Result<(), InvalidProposal> + 'a;

/// An action that the caller has to perform. Effects are performed in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Put all of these changes in force at once, and store them with their version.
    Apply {
        /// The version after the changes.
        version: Version,
        /// The changes, each to a different key.
        changes: Vec<Change>,
    },
    /// Put [`Subscriber::configuration`] in force in place of the whole previous configuration, and store it.
    Replace {
        /// The version of the new configuration.
        version: Version,
    },
    /// Send this report to the publisher. If several reports wait to be sent, only the latest acknowledgement
    /// and the latest rejection are needed.
    Report(Report),
    /// Close the watch. [`Subscriber::deadline`] returns when to open the next one.
    CloseWatch,
}

/// How up to date a subscriber is with its publisher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SyncStatus {
    /// The version in force, or `None` if there is no configuration yet.
    pub version: Option<Version>,
    /// The time since the publisher last confirmed that this is the newest version, in microseconds. `None`
    /// if it has not done so since the subscriber started.
    pub age: Option<Micros>,
    /// Whether a watch is open.
    pub watching: bool,
    /// The newest rejected version and the reason, until that version or a later one is in force.
    pub rejected: Option<Rejection>,
}

#[derive(Clone, Copy, Debug)]
enum Watch {
    Closed { next_call: Micros },
    Open { received_at: Micros },
}

/// The state of a subscriber. Besides the configuration in force it holds at most the parts of one snapshot,
/// one rejected snapshot, or a bounded number of rejected deltas.
#[derive(Debug)]
pub struct Subscriber {
    name: String,
    current: Option<Configuration>,
    rejected_updates: RejectedUpdates,
    latest_rejection: Option<Rejection>,
    assembly: Option<SnapshotAssembly>,
    /// Whether only a snapshot, and no delta, leads from the current configuration to the newest one.
    snapshot_required: bool,
    watch: Watch,
    confirmed_at: Option<Micros>,
    backoff: Backoff,
}

impl Subscriber {
    /// Creates a subscriber with its stored configuration, if there is one and it is intact. The time of the
    /// first call is drawn at random within [`INITIAL_BACKOFF`], so that the subscribers of a fleet do not
    /// all call at the same time. Each subscriber needs its own seed.
    pub fn new(now: Micros, name: &str, seed: u64, stored: Option<Configuration>) -> Subscriber {
        let mut backoff = Backoff::new(seed);
        let next_call = now + backoff.jittered(INITIAL_BACKOFF);
        Subscriber {
            name: name.to_owned(),
            current: stored,
            rejected_updates: RejectedUpdates::None,
            latest_rejection: None,
            assembly: None,
            snapshot_required: false,
            watch: Watch::Closed { next_call },
            confirmed_at: None,
            backoff,
        }
    }

    /// Returns the configuration in force, or `None` if there is none yet.
    pub fn configuration(&self) -> Option<&Configuration> {
        self.current.as_ref()
    }

    /// Returns the version in force.
    pub fn version(&self) -> Option<Version> {
        self.current.as_ref().map(Configuration::version)
    }

    /// Returns how up to date the subscriber is with its publisher.
    pub fn status(&self, now: Micros) -> SyncStatus {
        SyncStatus {
            version: self.version(),
            age: self.confirmed_at.map(|at| now.saturating_sub(at)),
            watching: matches!(self.watch, Watch::Open { .. }),
            rejected: self.latest_rejection.clone(),
        }
    }

    /// Returns when the caller must act at the latest if no message arrives: it calls [`Subscriber::call`] if
    /// no watch is open, and [`Subscriber::on_tick`] if one is.
    pub fn deadline(&self) -> Micros {
        match self.watch {
            Watch::Closed { next_call } => next_call,
            Watch::Open { received_at } => self.last_progress_at(received_at) + WATCH_TIMEOUT,
        }
    }

    /// Returns the request that opens a watch, if no watch is open and the next call is due. Rejected updates
    /// are dropped, because the publisher sends them again and their validation may now have another result.
    pub fn call(&mut self, now: Micros) -> Option<Subscribe> {
        match self.watch {
            Watch::Closed { next_call } if next_call <= now => {}
            _ => return None,
        }
        self.watch = Watch::Open { received_at: now };
        self.rejected_updates = RejectedUpdates::None;
        self.assembly = None;
        Some(Subscribe {
            subscriber: self.name.clone(),
            known: self.version(),
            snapshot_required: self.snapshot_required,
        })
    }

    /// Records that the watch could not be opened or that the publisher closed it. Does nothing if no watch
    /// was open.
    pub fn on_watch_closed(&mut self, now: Micros) {
        if matches!(self.watch, Watch::Open { .. }) {
            let delay = self.backoff.next_delay();
            self.close_watch(now + delay);
        }
    }

    /// Handles a line that is not a valid message.
    pub fn on_malformed(&mut self, now: Micros, _error: &ParseError) -> Vec<Effect> {
        self.close_and_retry(now)
    }

    /// Closes a watch on which nothing has arrived, or whose snapshot has made no progress, for
    /// [`WATCH_TIMEOUT`].
    pub fn on_tick(&mut self, now: Micros) -> Vec<Effect> {
        match self.watch {
            Watch::Open { .. } if self.deadline() <= now => self.close_and_retry(now),
            _ => Vec::new(),
        }
    }

    /// Handles a message that arrived on the open watch. `validate` checks each update before it is put in
    /// force.
    pub fn on_message(&mut self, now: Micros, message: Message, validate: &mut Validator<'_>) -> Vec<Effect> {
        let Watch::Open { received_at } = &mut self.watch else { return Vec::new() };
        *received_at = now;
        if self.is_from_older_term(&message) {
            return self.close_and_retry(now);
        }
        match message {
            Message::Delta(delta) => self.on_delta(now, delta, validate),
            Message::SnapshotPart(part) => self.on_snapshot_part(now, part, validate),
            Message::Heartbeat { version, digest } => self.on_heartbeat(now, version, digest),
            Message::RetryAfter { micros } => {
                self.close_watch(now + micros);
                vec![Effect::CloseWatch]
            }
        }
    }

    /// Returns whether the message comes from a publisher that one with a higher term has replaced.
    fn is_from_older_term(&self, message: &Message) -> bool {
        let current_and_offered = self.version().zip(message.version());
        current_and_offered.is_some_and(|(current, offered)| offered.term < current.term)
    }

    fn on_delta(&mut self, now: Micros, delta: Delta, validate: &mut Validator<'_>) -> Vec<Effect> {
        let Some(newest) = self.newest_received() else { return self.close_and_retry(now) };
        if delta.version <= newest {
            return Vec::new();
        }
        if delta.base != newest || self.assembly.is_some() {
            return self.close_and_retry(now);
        }
        match std::mem::take(&mut self.rejected_updates) {
            RejectedUpdates::None => self.apply_with_rejected(now, Vec::new(), delta, validate),
            RejectedUpdates::Deltas(rejected) => self.apply_with_rejected(now, rejected, delta, validate),
            RejectedUpdates::Snapshot(mut candidate) => match candidate.apply(&delta) {
                Ok(()) => self.propose_replacement(now, candidate, validate),
                Err(error) => self.reject_and_request_snapshot(now, delta.version, &error.to_string()),
            },
        }
    }

    /// Applies a delta together with the rejected deltas that it is based on.
    fn apply_with_rejected(
        &mut self,
        now: Micros,
        mut rejected: Vec<Delta>,
        delta: Delta,
        validate: &mut Validator<'_>,
    ) -> Vec<Effect> {
        let Some(current) = &mut self.current else { return self.close_and_retry(now) };
        let merged = merge_deltas(&rejected, delta.clone(), current);
        if let Err(error) = current.validate_delta(&merged) {
            return self.reject_and_request_snapshot(now, delta.version, &error.to_string());
        }
        if let Err(error) = validate(Proposal::Changes(&merged.changes)) {
            let report = self.reject(delta.version, &error.to_string());
            rejected.push(delta);
            return self.retain_rejected(now, rejected, report);
        }
        if let Err(error) = current.apply(&merged) {
            return self.reject_and_request_snapshot(now, delta.version, &error.to_string());
        }
        self.on_update_in_force(now);
        let version = merged.version;
        vec![Effect::Apply { version, changes: merged.changes }, self.acknowledge(version)]
    }

    fn on_snapshot_part(
        &mut self,
        now: Micros,
        part: SnapshotPart,
        validate: &mut Validator<'_>,
    ) -> Vec<Effect> {
        let version = part.version;
        if self.is_obsolete_snapshot(version) {
            return Vec::new();
        }
        let mut assembly = match self.assembly.take() {
            Some(assembly) if assembly.version() == version => assembly,
            _ => SnapshotAssembly::new(now, &part),
        };
        self.rejected_updates = RejectedUpdates::None;
        match assembly.add(now, part) {
            Ok(true) => self.on_complete_snapshot(now, assembly, validate),
            Ok(false) => {
                self.assembly = Some(assembly);
                Vec::new()
            }
            Err(error) => self.reject_and_request_snapshot(now, version, &error.to_string()),
        }
    }

    fn on_complete_snapshot(
        &mut self,
        now: Micros,
        assembly: SnapshotAssembly,
        validate: &mut Validator<'_>,
    ) -> Vec<Effect> {
        let version = assembly.version();
        match assembly.finish() {
            Ok(configuration) => self.propose_replacement(now, configuration, validate),
            Err(error) => self.reject_and_request_snapshot(now, version, &error.to_string()),
        }
    }

    /// Puts a complete configuration in force. If validation rejects it, retains it until a later delta
    /// corrects it.
    fn propose_replacement(
        &mut self,
        now: Micros,
        candidate: Configuration,
        validate: &mut Validator<'_>,
    ) -> Vec<Effect> {
        let version = candidate.version();
        if let Err(error) = validate(Proposal::Replacement(&candidate)) {
            self.rejected_updates = RejectedUpdates::Snapshot(candidate);
            return vec![self.reject(version, &error.to_string())];
        }
        self.current = Some(candidate);
        self.snapshot_required = false;
        self.on_update_in_force(now);
        vec![Effect::Replace { version }, self.acknowledge(version)]
    }

    /// Returns whether a snapshot of this version is useless: it is the current version (unless a snapshot is
    /// required), it is older than the current version or the snapshot being assembled, or it is not newer
    /// than the rejected snapshot.
    fn is_obsolete_snapshot(&self, version: Version) -> bool {
        let is_current = self.version() == Some(version) && !self.snapshot_required;
        let newer_is_assembled = self.assembly.as_ref().is_some_and(|assembly| assembly.version() > version);
        self.rejected_updates.covers_snapshot(version)
            || is_current
            || newer_is_assembled
            || self.version() > Some(version)
    }

    /// Checks that the current configuration has the digest that the publisher states for that version. A
    /// different digest shows that the publisher lost the newest entries of its log and reused the version
    /// number.
    fn on_heartbeat(&mut self, now: Micros, version: Version, digest: Digest) -> Vec<Effect> {
        if self.assembly.is_some() {
            return Vec::new();
        }
        if let Some(current) = self.current.as_ref().filter(|current| current.version() == version) {
            let computed = current.digest();
            if computed != digest {
                let reason = ApplyError::DigestMismatch { computed, stated: digest };
                return self.reject_and_request_snapshot(now, version, &reason.to_string());
            }
            self.confirmed_at = Some(now);
            self.backoff.reset();
        }
        match self.newest_received() {
            Some(newest) if version <= newest => Vec::new(),
            _ => self.close_and_retry(now),
        }
    }

    /// Returns the newest version received without a gap: the newest rejected version, or else the current
    /// one.
    fn newest_received(&self) -> Option<Version> {
        self.rejected_updates.version().or(self.version())
    }

    /// Records that the newest update is in force.
    fn on_update_in_force(&mut self, now: Micros) {
        self.rejected_updates = RejectedUpdates::None;
        self.latest_rejection = None;
        self.assembly = None;
        self.confirmed_at = Some(now);
        self.backoff.reset();
    }

    /// Retains rejected deltas, so that they can be applied together with a later delta that corrects them.
    /// If they exceed the bounds, they are dropped and a snapshot is requested instead.
    fn retain_rejected(&mut self, now: Micros, rejected: Vec<Delta>, report: Effect) -> Vec<Effect> {
        let is_bounded =
            rejected.len() <= MAX_REJECTED_DELTAS && max_encoded_bytes(&rejected) <= MAX_REJECTED_BYTES;
        if is_bounded {
            self.rejected_updates = RejectedUpdates::Deltas(rejected);
            return vec![report];
        }
        self.snapshot_required = true;
        let delay = self.backoff.jittered(REJECTED_SNAPSHOT_DELAY);
        self.close_watch(now + delay);
        vec![report, Effect::CloseWatch]
    }

    /// Rejects an update that does not lead from the current configuration to the published one, which only a
    /// snapshot can do.
    fn reject_and_request_snapshot(&mut self, now: Micros, version: Version, reason: &str) -> Vec<Effect> {
        self.snapshot_required = true;
        let mut effects = vec![self.reject(version, reason)];
        effects.extend(self.close_and_retry(now));
        effects
    }

    /// Closes the watch and schedules the next call after a backoff.
    fn close_and_retry(&mut self, now: Micros) -> Vec<Effect> {
        let delay = self.backoff.next_delay();
        self.close_watch(now + delay);
        vec![Effect::CloseWatch]
    }

    fn close_watch(&mut self, next_call: Micros) {
        self.watch = Watch::Closed { next_call };
        self.assembly = None;
    }

    fn last_progress_at(&self, received_at: Micros) -> Micros {
        self.assembly.as_ref().map_or(received_at, SnapshotAssembly::last_progress_at)
    }

    fn acknowledge(&self, version: Version) -> Effect {
        Effect::Report(Report::Acknowledge { subscriber: self.name.clone(), version })
    }

    fn reject(&mut self, version: Version, reason: &str) -> Effect {
        self.latest_rejection = Some(Rejection { version, reason: reason.to_owned() });
        Effect::Report(Report::reject(&self.name, version, reason))
    }
}
