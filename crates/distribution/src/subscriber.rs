//! The subscriber: keeps the last good configuration and follows a publisher.

use crate::Micros;
use crate::backoff::{Backoff, INITIAL_BACKOFF};
use crate::configuration::{ApplyError, Configuration};
use crate::digest::Digest;
use crate::message::{Change, Delta, MAX_DELTA_BYTES, Message, ParseError, SnapshotPart};
use crate::rejected::{Rejected, encoded_bytes, merge};
use crate::report::Report;
use crate::snapshot_assembly::SnapshotAssembly;
use crate::subscription::Subscribe;
use crate::version::Version;
use thiserror::Error;

pub use crate::subscriber_table::Rejection;

/// The publisher sends something on each watch at least this often, in microseconds.
pub const HEARTBEAT_INTERVAL: Micros = 2_000_000;
/// A watch that brought nothing for this long, in microseconds, is closed: three heartbeats and a margin.
pub const WATCH_TIMEOUT: Micros = 7_000_000;
/// The maximum number of rejected deltas that are retained until a later one repairs them.
pub const MAX_REJECTED_DELTAS: usize = 256;
/// The maximum size of the retained rejected deltas, in bytes.
pub const MAX_REJECTED_BYTES: usize = 2 * MAX_DELTA_BYTES;
/// Past the bounds of rejected deltas, the call for a snapshot waits half to all of this, in microseconds.
pub const REJECTED_SNAPSHOT_DELAY: Micros = 30_000_000;

/// An update about to be put in force, for a validation of its meaning (an unknown request class, say).
#[derive(Clone, Copy, Debug)]
pub enum Proposal<'a> {
    /// Changes to the current configuration, each of another key.
    Changes(&'a [Change]),
    /// A complete configuration in place of the current one.
    Replacement(&'a Configuration),
}

/// Why a [`Validator`] rejects a proposal. The text of its cause is reported to the publisher as it is.
#[derive(Debug, Error)]
#[error(transparent)]
pub struct InvalidProposal(Box<dyn std::error::Error + Send + Sync>);

impl InvalidProposal {
    /// A rejection with this cause.
    pub fn new(cause: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> Self {
        InvalidProposal(cause.into())
    }
}

/// Validates the meaning of a proposal.
pub type Validator<'a> = dyn FnMut(Proposal<'_>) -> Result<(), InvalidProposal> + 'a;

/// What the caller has to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Put these changes in force, all at once, and store them with their version.
    Apply {
        /// The version after them.
        version: Version,
        /// The changes, each of another key.
        changes: Vec<Change>,
    },
    /// Put [`Subscriber::configuration`] in force in place of everything, and store it.
    Replace {
        /// Its version.
        version: Version,
    },
    /// Send this to the publisher. Of several that wait to be sent, the latest of each kind suffices.
    Report(Report),
    /// Close the watch; [`Subscriber::deadline`] says when to call again.
    CloseWatch,
}

/// How far a subscriber follows its publisher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SyncStatus {
    /// The version in force; none: nothing yet.
    pub version: Option<Version>,
    /// Microseconds since the publisher last confirmed that this is the newest version; none: not since the
    /// start.
    pub age: Option<Micros>,
    /// Whether a watch is open.
    pub watching: bool,
    /// The newest version that was rejected, until it or a later one is in force.
    pub rejected: Option<Rejection>,
}

#[derive(Clone, Copy, Debug)]
enum Watch {
    Closed { next_call: Micros },
    Open { received_at: Micros },
}

/// The state of a subscriber. It holds one configuration, and beside it the parts of one snapshot, one
/// rejected snapshot, or a bounded number of rejected deltas.
#[derive(Debug)]
pub struct Subscriber {
    name: String,
    current: Option<Configuration>,
    rejected: Rejected,
    rejection: Option<Rejection>,
    assembly: Option<SnapshotAssembly>,
    /// Deltas do not lead from the current configuration to the newest one.
    snapshot_required: bool,
    watch: Watch,
    confirmed_at: Option<Micros>,
    backoff: Backoff,
}

impl Subscriber {
    /// A subscriber with the configuration that it had stored, if that is intact. Its first call is drawn
    /// within [`INITIAL_BACKOFF`], so that a fleet does not call all at once; each subscriber has its own
    /// seed.
    pub fn new(now: Micros, name: &str, seed: u64, stored: Option<Configuration>) -> Subscriber {
        let mut backoff = Backoff::new(seed);
        let next_call = now + backoff.jittered(INITIAL_BACKOFF);
        Subscriber {
            name: name.to_owned(),
            current: stored,
            rejected: Rejected::None,
            rejection: None,
            assembly: None,
            snapshot_required: false,
            watch: Watch::Closed { next_call },
            confirmed_at: None,
            backoff,
        }
    }

    /// The configuration in force; none: nothing yet.
    pub fn configuration(&self) -> Option<&Configuration> {
        self.current.as_ref()
    }

    /// The version in force.
    pub fn version(&self) -> Option<Version> {
        self.current.as_ref().map(Configuration::version)
    }

    /// How far it follows its publisher.
    pub fn status(&self, now: Micros) -> SyncStatus {
        SyncStatus {
            version: self.version(),
            age: self.confirmed_at.map(|at| now.saturating_sub(at)),
            watching: matches!(self.watch, Watch::Open { .. }),
            rejected: self.rejection.clone(),
        }
    }

    /// When to call again at the latest if no message arrives: [`Subscriber::call`] while no watch is open,
    /// [`Subscriber::on_tick`] while one is.
    pub fn deadline(&self) -> Micros {
        match self.watch {
            Watch::Closed { next_call } => next_call,
            Watch::Open { received_at } => self.progressed_at(received_at) + WATCH_TIMEOUT,
        }
    }

    /// The call to open a watch with, when it is due and none is open. Rejected updates are dropped: they
    /// will be sent again, and the outcome of their validation may have changed since.
    pub fn call(&mut self, now: Micros) -> Option<Subscribe> {
        match self.watch {
            Watch::Closed { next_call } if next_call <= now => {}
            _ => return None,
        }
        self.watch = Watch::Open { received_at: now };
        self.rejected = Rejected::None;
        self.assembly = None;
        Some(Subscribe {
            subscriber: self.name.clone(),
            known: self.version(),
            snapshot_required: self.snapshot_required,
        })
    }

    /// The watch could not be opened, or was closed by the other side. Nothing changes where none was open.
    pub fn on_watch_closed(&mut self, now: Micros) {
        if matches!(self.watch, Watch::Open { .. }) {
            let delay = self.backoff.next_delay();
            self.close(now + delay);
        }
    }

    /// A line arrived that is not a message.
    pub fn on_malformed(&mut self, now: Micros, _error: &ParseError) -> Vec<Effect> {
        self.close_and_retry(now)
    }

    /// Time has passed: closes a watch that is silent, or whose snapshot makes no progress.
    pub fn on_tick(&mut self, now: Micros) -> Vec<Effect> {
        match self.watch {
            Watch::Open { .. } if self.deadline() <= now => self.close_and_retry(now),
            _ => Vec::new(),
        }
    }

    /// A message arrived on the open watch. `validate` checks the meaning of each update before it is put in
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
                self.close(now + micros);
                vec![Effect::CloseWatch]
            }
        }
    }

    /// Whether the message comes from a publisher that a later one has replaced.
    fn is_from_older_term(&self, message: &Message) -> bool {
        let versions = self.version().zip(message.version());
        versions.is_some_and(|(current, offered)| offered.term < current.term)
    }

    fn on_delta(&mut self, now: Micros, delta: Delta, validate: &mut Validator<'_>) -> Vec<Effect> {
        let Some(newest) = self.newest_received() else { return self.close_and_retry(now) };
        if delta.version <= newest {
            return Vec::new();
        }
        if delta.base != newest || self.assembly.is_some() {
            return self.close_and_retry(now);
        }
        match std::mem::take(&mut self.rejected) {
            Rejected::None => self.apply_with_rejected(now, Vec::new(), delta, validate),
            Rejected::Deltas(rejected) => self.apply_with_rejected(now, rejected, delta, validate),
            Rejected::Snapshot(mut candidate) => match candidate.apply(&delta) {
                Ok(()) => self.propose_replacement(now, candidate, validate),
                Err(error) => self.reject_and_request_snapshot(now, delta.version, &error.to_string()),
            },
        }
    }

    /// Applies a delta together with the rejected ones that it is based on.
    fn apply_with_rejected(
        &mut self,
        now: Micros,
        mut rejected: Vec<Delta>,
        delta: Delta,
        validate: &mut Validator<'_>,
    ) -> Vec<Effect> {
        let Some(current) = &mut self.current else { return self.close_and_retry(now) };
        let merged = merge(&rejected, delta.clone(), current);
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
        self.on_current(now);
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
        self.rejected = Rejected::None;
        match assembly.add(now, part) {
            Ok(true) => self.on_snapshot(now, assembly, validate),
            Ok(false) => {
                self.assembly = Some(assembly);
                Vec::new()
            }
            Err(error) => self.reject_and_request_snapshot(now, version, &error.to_string()),
        }
    }

    fn on_snapshot(
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

    /// Puts a complete configuration in force, or retains it until a later delta repairs it.
    fn propose_replacement(
        &mut self,
        now: Micros,
        candidate: Configuration,
        validate: &mut Validator<'_>,
    ) -> Vec<Effect> {
        let version = candidate.version();
        if let Err(error) = validate(Proposal::Replacement(&candidate)) {
            self.rejected = Rejected::Snapshot(candidate);
            return vec![self.reject(version, &error.to_string())];
        }
        self.current = Some(candidate);
        self.snapshot_required = false;
        self.on_current(now);
        vec![Effect::Replace { version }, self.acknowledge(version)]
    }

    /// Whether a snapshot of this version is of no use: the current one, or older than what is current,
    /// rejected or being assembled.
    fn is_obsolete_snapshot(&self, version: Version) -> bool {
        let is_current = self.version() == Some(version) && !self.snapshot_required;
        let newer_is_assembled = self.assembly.as_ref().is_some_and(|assembly| assembly.version() > version);
        self.rejected.covers_snapshot(version)
            || is_current
            || newer_is_assembled
            || self.version() > Some(version)
    }

    /// The current version must have the digest that its publisher states. Another digest shows a publisher
    /// that lost the end of its log and used the number again.
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

    /// The newest version received in order: the last rejected one, or the current one.
    fn newest_received(&self) -> Option<Version> {
        self.rejected.version().or(self.version())
    }

    /// The newest update is in force.
    fn on_current(&mut self, now: Micros) {
        self.rejected = Rejected::None;
        self.rejection = None;
        self.assembly = None;
        self.confirmed_at = Some(now);
        self.backoff.reset();
    }

    /// Retains rejected deltas: one that repairs them is applied together with them. Past the bounds they are
    /// dropped for a snapshot.
    fn retain_rejected(&mut self, now: Micros, rejected: Vec<Delta>, report: Effect) -> Vec<Effect> {
        let is_bounded =
            rejected.len() <= MAX_REJECTED_DELTAS && encoded_bytes(&rejected) <= MAX_REJECTED_BYTES;
        if is_bounded {
            self.rejected = Rejected::Deltas(rejected);
            return vec![report];
        }
        self.snapshot_required = true;
        let delay = self.backoff.jittered(REJECTED_SNAPSHOT_DELAY);
        self.close(now + delay);
        vec![report, Effect::CloseWatch]
    }

    /// The update does not lead from the current configuration to what was published: only a snapshot does.
    fn reject_and_request_snapshot(&mut self, now: Micros, version: Version, reason: &str) -> Vec<Effect> {
        self.snapshot_required = true;
        let mut effects = vec![self.reject(version, reason)];
        effects.extend(self.close_and_retry(now));
        effects
    }

    /// Closes the watch and calls again after a back-off.
    fn close_and_retry(&mut self, now: Micros) -> Vec<Effect> {
        let delay = self.backoff.next_delay();
        self.close(now + delay);
        vec![Effect::CloseWatch]
    }

    fn close(&mut self, next_call: Micros) {
        self.watch = Watch::Closed { next_call };
        self.assembly = None;
    }

    fn progressed_at(&self, received_at: Micros) -> Micros {
        self.assembly.as_ref().map_or(received_at, SnapshotAssembly::progressed_at)
    }

    fn acknowledge(&self, version: Version) -> Effect {
        Effect::Report(Report::Acknowledge { subscriber: self.name.clone(), version })
    }

    fn reject(&mut self, version: Version, reason: &str) -> Effect {
        self.rejection = Some(Rejection { version, reason: reason.to_owned() });
        Effect::Report(Report::reject(&self.name, version, reason))
    }
}
