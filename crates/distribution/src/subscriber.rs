//! The subscriber: holds the last good configuration and follows a publisher.

use crate::Micros;
use crate::collection::Collection;
use crate::configuration::{ApplyError, Configuration};
use crate::digest::Digest;
use crate::message::{Change, DELTA_BYTES_MOST, Delta, Message, ParseError, Report, SnapshotPart, Subscribe};
use crate::resource::ResourceKey;
use crate::retry::{Backoff, RETRY_FIRST};
use crate::version::Version;
use std::collections::BTreeMap;

pub use crate::status::Refusal;

/// The publisher sends something on each watch at least this often, in microseconds.
pub const HEARTBEAT_INTERVAL: Micros = 2_000_000;
/// A watch that brought nothing for this long, in microseconds, is given up: three heartbeats and some.
pub const SILENCE_MOST: Micros = 7_000_000;
/// The most refused deltas that are kept until a later one makes them good.
pub const REFUSED_DELTAS_MOST: usize = 256;
/// The most bytes of refused deltas that are kept.
pub const REFUSED_BYTES_MOST: usize = 2 * DELTA_BYTES_MOST;
/// Once there are more refused deltas, the call for a snapshot waits half to all of this, in microseconds.
pub const REFUSED_WAIT: Micros = 30_000_000;

/// What is about to be put in force, for a check of its meaning: an unknown request class, say.
#[derive(Clone, Copy, Debug)]
pub enum Proposal<'a> {
    /// Changes to the configuration held, each of another key.
    Changes(&'a [Change]),
    /// A whole configuration in place of the one held.
    Whole(&'a Configuration),
}

/// What the caller has to do, in this order.
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
    /// End the watch; [`Subscriber::deadline`] says when to call again.
    CloseWatch,
}

/// How a subscriber stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Standing {
    /// The version in force; none: nothing yet.
    pub version: Option<Version>,
    /// Microseconds since the publisher last said, or showed, that this is the newest version; none: not
    /// since the start.
    pub age: Option<Micros>,
    /// Whether a watch is open.
    pub watching: bool,
    /// The newest version that was refused, until it or a later one is in force.
    pub refused: Option<Refusal>,
}

#[derive(Clone, Copy, Debug)]
enum Watch {
    Closed { call_at: Micros },
    Open { heard_at: Micros },
}

/// What was refused for its meaning, and is kept until a later delta makes it good.
#[derive(Debug, Default)]
enum Refused {
    #[default]
    Nothing,
    /// Deltas, each onto the one before, the first onto what is held.
    Deltas(Vec<Delta>),
    /// A snapshot, with the deltas since applied.
    Snapshot(Configuration),
}

/// A subscriber's whole state. It holds one configuration; beside it the parts of one snapshot, or one
/// refused snapshot, or a bounded number of refused deltas.
#[derive(Debug)]
pub struct Subscriber {
    name: String,
    held: Option<Configuration>,
    refused: Refused,
    refusal: Option<Refusal>,
    collection: Option<Collection>,
    whole: bool,
    watch: Watch,
    confirmed_at: Option<Micros>,
    backoff: Backoff,
}

impl Subscriber {
    /// A subscriber with what it had stored, if that proved sound. Its first call is drawn within
    /// [`RETRY_FIRST`], so that a whole fleet does not call in the same instant; the seed is its own.
    pub fn new(now: Micros, name: &str, seed: u64, stored: Option<Configuration>) -> Subscriber {
        let mut backoff = Backoff::new(seed);
        let call_at = now + backoff.draw(RETRY_FIRST);
        Subscriber {
            name: name.to_owned(),
            held: stored,
            refused: Refused::Nothing,
            refusal: None,
            collection: None,
            whole: false,
            watch: Watch::Closed { call_at },
            confirmed_at: None,
            backoff,
        }
    }

    /// The configuration in force; none: nothing yet.
    pub fn configuration(&self) -> Option<&Configuration> {
        self.held.as_ref()
    }

    /// The version in force.
    pub fn version(&self) -> Option<Version> {
        self.held.as_ref().map(Configuration::version)
    }

    /// How it stands.
    pub fn standing(&self, now: Micros) -> Standing {
        Standing {
            version: self.version(),
            age: self.confirmed_at.map(|at| now.saturating_sub(at)),
            watching: matches!(self.watch, Watch::Open { .. }),
            refused: self.refusal.clone(),
        }
    }

    /// When to come back at the latest if no message arrives: to [`Subscriber::call`] while no watch is
    /// open, to [`Subscriber::on_tick`] while one is.
    pub fn deadline(&self) -> Micros {
        match self.watch {
            Watch::Closed { call_at } => call_at,
            Watch::Open { heard_at } => self.progressed_at(heard_at) + SILENCE_MOST,
        }
    }

    /// The call to open a watch with, when its time has come and none is open. What was refused is forgotten
    /// with it: it comes again, and the check of its meaning may have changed since.
    pub fn call(&mut self, now: Micros) -> Option<Subscribe> {
        match self.watch {
            Watch::Closed { call_at } if call_at <= now => {}
            _ => return None,
        }
        self.watch = Watch::Open { heard_at: now };
        self.refused = Refused::Nothing;
        self.collection = None;
        Some(Subscribe { subscriber: self.name.clone(), known: self.version(), whole: self.whole })
    }

    /// The watch could not be opened, or ended. Nothing changes where none was open.
    pub fn on_closed(&mut self, now: Micros) {
        if matches!(self.watch, Watch::Open { .. }) {
            let wait = self.backoff.next_wait();
            self.close(now + wait);
        }
    }

    /// A line came that is no message.
    pub fn on_malformed(&mut self, now: Micros, _error: &ParseError) -> Vec<Effect> {
        self.give_up(now)
    }

    /// Time has passed: gives up a watch that is silent, or a snapshot that does not get on.
    pub fn on_tick(&mut self, now: Micros) -> Vec<Effect> {
        match self.watch {
            Watch::Open { .. } if self.deadline() <= now => self.give_up(now),
            _ => Vec::new(),
        }
    }

    /// A message came on the open watch. `validate` checks the meaning of what is about to be put in force;
    /// the reason that it gives goes to the publisher.
    pub fn on_message(
        &mut self,
        now: Micros,
        message: Message,
        validate: &mut dyn FnMut(Proposal<'_>) -> Result<(), String>,
    ) -> Vec<Effect> {
        let Watch::Open { heard_at } = &mut self.watch else { return Vec::new() };
        *heard_at = now;
        if self.is_fenced(&message) {
            return self.give_up(now);
        }
        match message {
            Message::Delta(delta) => self.on_delta(now, delta, validate),
            Message::SnapshotPart(part) => self.on_part(now, part, validate),
            Message::Heartbeat { version, digest } => self.on_heartbeat(now, version, digest),
            Message::RetryAfter { micros } => {
                self.close(now + micros);
                vec![Effect::CloseWatch]
            }
        }
    }

    /// Whether the message comes from a publisher that a later one has replaced.
    fn is_fenced(&self, message: &Message) -> bool {
        let terms = self.version().zip(message.version());
        terms.is_some_and(|(held, offered)| offered.term < held.term)
    }

    fn on_delta(
        &mut self,
        now: Micros,
        delta: Delta,
        validate: &mut dyn FnMut(Proposal<'_>) -> Result<(), String>,
    ) -> Vec<Effect> {
        let Some(tip) = self.tip() else { return self.give_up(now) };
        if delta.version <= tip {
            return Vec::new();
        }
        if delta.base != tip || self.collection.is_some() {
            return self.give_up(now);
        }
        match std::mem::take(&mut self.refused) {
            Refused::Nothing => self.on_next(now, Vec::new(), delta, validate),
            Refused::Deltas(refused) => self.on_next(now, refused, delta, validate),
            Refused::Snapshot(mut candidate) => match candidate.apply(&delta) {
                Ok(()) => self.on_candidate(now, candidate, validate),
                Err(error) => self.ask_for_snapshot(now, delta.version, &error.to_string()),
            },
        }
    }

    /// Takes a delta together with the refused ones that it goes onto.
    fn on_next(
        &mut self,
        now: Micros,
        mut refused: Vec<Delta>,
        delta: Delta,
        validate: &mut dyn FnMut(Proposal<'_>) -> Result<(), String>,
    ) -> Vec<Effect> {
        let Some(held) = &mut self.held else { return self.give_up(now) };
        let joined = join(&refused, delta.clone(), held);
        if let Err(error) = held.check_delta(&joined) {
            return self.ask_for_snapshot(now, delta.version, &error.to_string());
        }
        if let Err(reason) = validate(Proposal::Changes(&joined.changes)) {
            let effect = self.refuse(delta.version, &reason);
            refused.push(delta);
            return self.keep_refused(now, refused, effect);
        }
        if let Err(error) = held.apply(&joined) {
            return self.ask_for_snapshot(now, delta.version, &error.to_string());
        }
        self.in_force(now);
        let version = joined.version;
        vec![Effect::Apply { version, changes: joined.changes }, self.acknowledge(version)]
    }

    fn on_part(
        &mut self,
        now: Micros,
        part: SnapshotPart,
        validate: &mut dyn FnMut(Proposal<'_>) -> Result<(), String>,
    ) -> Vec<Effect> {
        let version = part.version;
        if self.is_repeated_or_overtaken(version) {
            return Vec::new();
        }
        let mut collection = match self.collection.take() {
            Some(collection) if collection.version() == version => collection,
            _ => Collection::new(now, &part),
        };
        self.refused = Refused::Nothing;
        match collection.add(now, part) {
            Ok(true) => self.on_snapshot(now, collection, validate),
            Ok(false) => {
                self.collection = Some(collection);
                Vec::new()
            }
            Err(error) => self.ask_for_snapshot(now, version, &error.to_string()),
        }
    }

    fn on_snapshot(
        &mut self,
        now: Micros,
        collection: Collection,
        validate: &mut dyn FnMut(Proposal<'_>) -> Result<(), String>,
    ) -> Vec<Effect> {
        let version = collection.version();
        match collection.assemble() {
            Ok(configuration) => self.on_candidate(now, configuration, validate),
            Err(error) => self.ask_for_snapshot(now, version, &error.to_string()),
        }
    }

    /// Takes a whole configuration, or keeps it until a later delta makes it good.
    fn on_candidate(
        &mut self,
        now: Micros,
        candidate: Configuration,
        validate: &mut dyn FnMut(Proposal<'_>) -> Result<(), String>,
    ) -> Vec<Effect> {
        let version = candidate.version();
        if let Err(reason) = validate(Proposal::Whole(&candidate)) {
            self.refused = Refused::Snapshot(candidate);
            return vec![self.refuse(version, &reason)];
        }
        self.held = Some(candidate);
        self.whole = false;
        self.in_force(now);
        vec![Effect::Replace { version }, self.acknowledge(version)]
    }

    /// Whether a snapshot of this version is of no use: the one held, or older than what is held, refused
    /// or being collected.
    fn is_repeated_or_overtaken(&self, version: Version) -> bool {
        let is_refused = matches!(&self.refused, Refused::Snapshot(refused) if refused.version() >= version);
        let is_held = self.version() == Some(version) && !self.whole;
        let is_collected = self.collection.as_ref().is_some_and(|collection| collection.version() > version);
        is_refused || is_held || is_collected || self.version() > Some(version)
    }

    /// A version that is held must have the digest that its publisher states. That it has not shows a
    /// publisher that lost the end of its log and used the number again.
    fn on_heartbeat(&mut self, now: Micros, version: Version, digest: Digest) -> Vec<Effect> {
        if self.collection.is_some() {
            return Vec::new();
        }
        if let Some(held) = self.held.as_ref().filter(|held| held.version() == version) {
            if held.digest() != digest {
                let reason = ApplyError::Digest { found: held.digest(), stated: digest };
                return self.ask_for_snapshot(now, version, &reason.to_string());
            }
            self.confirmed_at = Some(now);
            self.backoff.succeeded();
        }
        match self.tip() {
            Some(tip) if version <= tip => Vec::new(),
            _ => self.give_up(now),
        }
    }

    /// The newest version received in order: the last one refused, or that in force.
    fn tip(&self) -> Option<Version> {
        let refused = match &self.refused {
            Refused::Nothing => None,
            Refused::Deltas(deltas) => deltas.last().map(|delta| delta.version),
            Refused::Snapshot(snapshot) => Some(snapshot.version()),
        };
        refused.or(self.version())
    }

    fn in_force(&mut self, now: Micros) {
        self.refused = Refused::Nothing;
        self.refusal = None;
        self.collection = None;
        self.confirmed_at = Some(now);
        self.backoff.succeeded();
    }

    /// Keeps refused deltas: one that makes them good is applied together with them. Too many of them are
    /// given up for a snapshot.
    fn keep_refused(&mut self, now: Micros, refused: Vec<Delta>, effect: Effect) -> Vec<Effect> {
        let changes = refused.iter().flat_map(|delta| &delta.changes);
        let bytes: usize = changes.map(Change::weight).sum();
        if refused.len() <= REFUSED_DELTAS_MOST && bytes <= REFUSED_BYTES_MOST {
            self.refused = Refused::Deltas(refused);
            return vec![effect];
        }
        self.whole = true;
        let wait = self.backoff.draw(REFUSED_WAIT);
        self.close(now + wait);
        vec![effect, Effect::CloseWatch]
    }

    /// What came does not lead from what is held to what was published: only a snapshot does.
    fn ask_for_snapshot(&mut self, now: Micros, version: Version, reason: &str) -> Vec<Effect> {
        self.whole = true;
        let mut effects = vec![self.refuse(version, reason)];
        effects.extend(self.give_up(now));
        effects
    }

    /// Ends the watch and calls again after a back-off.
    fn give_up(&mut self, now: Micros) -> Vec<Effect> {
        let wait = self.backoff.next_wait();
        self.close(now + wait);
        vec![Effect::CloseWatch]
    }

    fn close(&mut self, call_at: Micros) {
        self.watch = Watch::Closed { call_at };
        self.collection = None;
    }

    fn progressed_at(&self, heard_at: Micros) -> Micros {
        self.collection.as_ref().map_or(heard_at, Collection::progressed_at)
    }

    fn acknowledge(&self, version: Version) -> Effect {
        Effect::Report(Report::Acknowledge { subscriber: self.name.clone(), version })
    }

    fn refuse(&mut self, version: Version, reason: &str) -> Effect {
        self.refusal = Some(Refusal { version, reason: reason.to_owned() });
        Effect::Report(Report::refuse(&self.name, version, reason))
    }
}

/// One delta that does what refused ones and the next do together: the last change of each key counts, and
/// the removal of what was never in force falls away.
fn join(refused: &[Delta], next: Delta, held: &Configuration) -> Delta {
    let Some(first) = refused.first() else { return next };
    let mut latest: BTreeMap<ResourceKey, Change> = BTreeMap::new();
    for change in refused.iter().flat_map(|delta| &delta.changes).chain(&next.changes) {
        latest.insert(change.key(), change.clone());
    }
    latest.retain(|key, change| matches!(change, Change::Put(_)) || held.contains(key));
    let changes = latest.into_values().collect();
    Delta { base: first.base, version: next.version, changes, digest: next.digest }
}
