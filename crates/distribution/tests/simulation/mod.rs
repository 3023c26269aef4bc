//! A publisher, an older one that was replaced but still runs, and subscribers behind faulty lines.

use crate::common::{InForce, receive};
use std::collections::{BTreeMap, VecDeque};
use violetseam_distribution::admission::{Admission, AdmissionDecision, AdmissionLimits};
use violetseam_distribution::publisher::{LogLimits, Publisher, SubscribeResponse};
use violetseam_distribution::subscriber::{Effect, Subscriber};
use violetseam_distribution::{
    Change, Configuration, Delta, Message, Micros, Report, Resource, SnapshotPart, Subscribe, Term, Version,
};

/// Short, so that calls from long ago need a snapshot.
const LOG: LogLimits = LogLimits { deltas: 6, bytes: 1 << 20 };
const ADMISSION: AdmissionLimits =
    AdmissionLimits { interval: 400_000, grace: 2_000_000, max_reservations: 64 };
/// Parts that a snapshot comes in, small as it is.
const PARTS: usize = 3;
const STEP: Micros = 100_000;

/// What happens to a line on its way.
#[derive(Clone, Debug)]
pub enum Fault {
    None,
    Lost,
    Repeated,
    /// It arrives after the line behind it.
    Overtaken,
    /// One byte is another.
    Damaged(usize, u8),
}

/// How a publisher comes back.
#[derive(Clone, Debug)]
pub enum Restart {
    /// With its log.
    Intact,
    /// With nothing: under a higher term. The one before may still run somewhere.
    LogLost,
    /// Without the newest versions, as from an old copy of its disk. Where a term began among them, it goes
    /// on under the term before.
    EndLost(usize),
}

/// Which publisher a call reaches.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reach {
    Current,
    Replaced,
}

/// What a publisher has on disk.
#[derive(Clone)]
struct Stored {
    configuration: Configuration,
    log: Vec<Delta>,
}

struct Peer {
    subscriber: Subscriber,
    in_force: InForce,
    stored: Option<Configuration>,
    lines: VecDeque<Vec<u8>>,
    reach: Reach,
    watching: bool,
}

pub struct World {
    now: Micros,
    term: u64,
    publisher: Publisher,
    replaced: Option<Publisher>,
    admission: Admission,
    stored: Vec<Stored>,
    published: BTreeMap<Version, Vec<Configuration>>,
    peers: Vec<Peer>,
}

impl World {
    pub fn new(subscribers: usize) -> World {
        let publisher = Publisher::new(Term(1), LOG);
        let peer = |index: usize| Peer {
            subscriber: Subscriber::new(0, &name(index), index as u64, None),
            in_force: InForce::default(),
            stored: None,
            lines: VecDeque::new(),
            reach: Reach::Current,
            watching: false,
        };
        let mut world = World {
            now: 0,
            term: 1,
            publisher,
            replaced: None,
            admission: Admission::new(ADMISSION),
            stored: Vec::new(),
            published: BTreeMap::new(),
            peers: (0..subscribers).map(peer).collect(),
        };
        world.note_published(Reach::Current);
        world
    }

    pub fn publish(&mut self, by: Reach, changes: Vec<Change>) {
        let Some(publisher) = self.publisher_mut(by) else { return };
        let before = publisher.configuration().clone();
        match publisher.publish(changes) {
            Ok(published) => {
                self.note_published(by);
                self.send_to_watches(by, &published.line);
            }
            Err(_) => assert_eq!(*publisher.configuration(), before, "a refused change changes nothing"),
        }
    }

    /// Replaces the whole configuration.
    pub fn install(&mut self, resources: Vec<Resource>) {
        let Ok(configuration) = self.publisher.propose_replacement(resources) else { return };
        self.publisher.replace(configuration).unwrap();
        self.note_published(Reach::Current);
        self.end_watches(Reach::Current);
    }

    pub fn heartbeat(&mut self) {
        for reach in [Reach::Current, Reach::Replaced] {
            if let Some(publisher) = self.publisher_mut(reach) {
                let line = publisher.heartbeat().write();
                self.send_to_watches(reach, &line);
            }
        }
    }

    pub fn restart_publisher(&mut self, restart: &Restart) {
        self.end_watches(Reach::Current);
        self.admission = Admission::new(ADMISSION);
        match restart {
            Restart::Intact => self.restore(0),
            Restart::EndLost(versions) => self.restore(*versions),
            Restart::LogLost => {
                self.end_watches(Reach::Replaced);
                self.term += 1;
                let fresh = Publisher::new(Term(self.term), LOG);
                self.replaced = Some(std::mem::replace(&mut self.publisher, fresh));
                self.stored.clear();
                self.note_published(Reach::Current);
            }
        }
    }

    pub fn restart_subscriber(&mut self, index: usize, with_disk: bool) {
        let now = self.now;
        let peer = &mut self.peers[index];
        let stored = if with_disk { peer.stored.clone() } else { None };
        peer.subscriber = Subscriber::new(now, &name(index), now, stored.clone());
        peer.in_force = InForce { configuration: stored };
        peer.watching = false;
        peer.lines.clear();
    }

    /// Writes what is in force to the subscriber's disk; until then a restart goes back to what was there.
    pub fn store(&mut self, index: usize) {
        let peer = &mut self.peers[index];
        peer.stored = peer.in_force.configuration.clone();
    }

    pub fn disconnect(&mut self, index: usize) {
        let now = self.now;
        self.peers[index].end_watch(now);
    }

    pub fn reach(&mut self, index: usize, reach: Reach) {
        self.peers[index].reach = reach;
        self.disconnect(index);
    }

    /// The replaced publisher is gone for good.
    pub fn stop_replaced(&mut self) {
        self.end_watches(Reach::Replaced);
        self.replaced = None;
        self.peers.iter_mut().for_each(|peer| peer.reach = Reach::Current);
    }

    /// Lets time pass: silent watches end, and whoever's time has come calls.
    pub fn advance(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.now = end.min(self.now + STEP);
            for index in 0..self.peers.len() {
                let now = self.now;
                let effects = self.peers[index].subscriber.on_tick(now);
                self.carry_out(index, &effects);
                if let Some(subscribe) = self.peers[index].subscriber.call(now) {
                    self.answer(index, &subscribe);
                }
            }
        }
    }

    /// The first line on its way to a subscriber arrives, or what the fault leaves of it.
    pub fn deliver(&mut self, index: usize, fault: &Fault) {
        let lines = &mut self.peers[index].lines;
        match fault {
            Fault::None => {}
            Fault::Lost => {
                lines.pop_front();
                return;
            }
            Fault::Repeated => {
                if let Some(line) = lines.front().cloned() {
                    lines.push_front(line);
                }
            }
            Fault::Overtaken => {
                if lines.len() >= 2 {
                    lines.swap(0, 1);
                }
            }
            Fault::Damaged(position, byte) => {
                if let Some(line) = lines.front_mut() {
                    let position = position % line.len();
                    line[position] = *byte;
                }
            }
        }
        let Some(line) = lines.pop_front() else { return };
        self.receive(index, &line);
    }

    /// Plays on without faults until all hold what is published, for at most this long; whether they do.
    pub fn settles_within(&mut self, span: Micros) -> bool {
        let end = self.now + span;
        while self.now < end {
            self.advance(STEP);
            self.heartbeat();
            for index in 0..self.peers.len() {
                while !self.peers[index].lines.is_empty() {
                    self.deliver(index, &Fault::None);
                }
            }
            if self.all_hold_what_is_published() {
                return true;
            }
        }
        false
    }

    fn all_hold_what_is_published(&self) -> bool {
        let newest = self.publisher.configuration();
        self.peers.iter().all(|peer| peer.in_force.configuration.as_ref() == Some(newest))
    }

    /// What is in force at a subscriber is what some publisher published under that version, and no older
    /// than before.
    fn check(&self, index: usize, before: Option<Version>) {
        let peer = &self.peers[index];
        let held = peer.subscriber.configuration();
        assert_eq!(peer.in_force.configuration.as_ref(), held, "in force is what is held");
        if let Some(held) = held {
            let published = &self.published[&held.version()];
            assert!(published.contains(held), "{} is no state that was published", held.version());
        }
        assert!(peer.subscriber.version() >= before, "the version went back");
    }

    fn receive(&mut self, index: usize, line: &[u8]) {
        let before = self.peers[index].subscriber.version();
        let now = self.now;
        let subscriber = &mut self.peers[index].subscriber;
        let effects = match Message::parse(line) {
            Ok(message) => receive(subscriber, now, message),
            Err(error) => subscriber.on_malformed(now, &error),
        };
        self.carry_out(index, &effects);
        self.check(index, before);
    }

    fn carry_out(&mut self, index: usize, effects: &[Effect]) {
        let peer = &mut self.peers[index];
        peer.in_force.take(&peer.subscriber, effects);
        let reach = peer.reach;
        if effects.contains(&Effect::CloseWatch) {
            peer.watching = false;
            peer.lines.clear();
        }
        for effect in effects {
            if let Effect::Report(report) = effect {
                self.report(reach, report);
            }
        }
    }

    fn report(&mut self, to: Reach, report: &Report) {
        let (now, line) = (self.now, report.write());
        let report = Report::parse(&line).expect("reports are well formed");
        if let Some(publisher) = self.publisher_mut(to) {
            // A report on a version that was lost here, or that a damaged line named, is not taken.
            let _not_taken = publisher.on_report(now, &report);
        }
    }

    fn answer(&mut self, index: usize, subscribe: &Subscribe) {
        let subscribe = Subscribe::from_query(&subscribe.to_query()).expect("calls are well formed");
        let reach = self.peers[index].reach;
        let now = self.now;
        let Some(publisher) = self.publisher_mut(reach) else { return self.disconnect(index) };
        let heartbeat = publisher.heartbeat().write();
        let lines = match publisher.subscribe(now, &subscribe) {
            SubscribeResponse::UpToDate => Vec::new(),
            SubscribeResponse::Deltas(deltas) => {
                deltas.iter().map(|published| published.line.to_vec()).collect()
            }
            SubscribeResponse::Snapshot { snapshot, deltas: then } => {
                match self.admission.request(now, &subscribe.subscriber) {
                    AdmissionDecision::Admit => {
                        let parts = snapshot.parts.iter().flat_map(|line| split(line));
                        parts.chain(then.iter().map(|published| published.line.to_vec())).collect()
                    }
                    AdmissionDecision::RetryAfter(micros) => {
                        vec![Message::RetryAfter { micros }.write().to_vec()]
                    }
                }
            }
            SubscribeResponse::Ahead { .. } => {
                self.begin_term();
                return self.disconnect(index);
            }
            SubscribeResponse::Superseded { term } => {
                if reach == Reach::Current {
                    self.begin_term_after_loss(term);
                }
                return self.disconnect(index);
            }
        };
        let peer = &mut self.peers[index];
        peer.watching = true;
        peer.lines = lines.into();
        peer.lines.push_back(heartbeat.to_vec());
    }

    fn begin_term(&mut self) {
        self.term += 1;
        self.publisher.begin_term(Term(self.term)).unwrap();
        self.note_published(Reach::Current);
        self.end_watches(Reach::Current);
    }

    /// What an operator does whose publisher is halted because a subscriber follows a higher term. For the
    /// current publisher this must be a term that it began itself and that its disk has lost.
    fn begin_term_after_loss(&mut self, followed: Term) {
        let stored = self.publisher.version().term;
        assert!(stored < Term(self.term), "superseded by {followed}, although the disk has lost no term");
        assert!(followed <= Term(self.term), "superseded by {followed}, a term that no publisher began");
        self.begin_term();
    }

    /// Restores the publisher from its disk, without the newest versions.
    fn restore(&mut self, lost: usize) {
        let kept = self.stored.len().saturating_sub(lost).max(1);
        self.stored.truncate(kept);
        let stored = self.stored[kept - 1].clone();
        self.publisher = Publisher::restore(stored.configuration, stored.log, LOG).unwrap();
    }

    fn note_published(&mut self, by: Reach) {
        let Some(publisher) = self.publisher_mut(by) else { return };
        let configuration = publisher.configuration().clone();
        let log = log_of(publisher);
        self.published.entry(configuration.version()).or_default().push(configuration.clone());
        if by == Reach::Current {
            self.stored.push(Stored { configuration, log });
        }
    }

    fn publisher_mut(&mut self, reach: Reach) -> Option<&mut Publisher> {
        match reach {
            Reach::Current => Some(&mut self.publisher),
            Reach::Replaced => self.replaced.as_mut(),
        }
    }

    fn send_to_watches(&mut self, by: Reach, line: &[u8]) {
        for peer in self.peers.iter_mut().filter(|peer| peer.watching && peer.reach == by) {
            peer.lines.push_back(line.to_vec());
        }
    }

    fn end_watches(&mut self, by: Reach) {
        let now = self.now;
        self.peers.iter_mut().filter(|peer| peer.reach == by).for_each(|peer| peer.end_watch(now));
    }
}

impl Peer {
    fn end_watch(&mut self, now: Micros) {
        self.watching = false;
        self.lines.clear();
        self.subscriber.on_watch_closed(now);
    }
}

fn name(index: usize) -> String {
    format!("proxy-{index}")
}

/// The publisher's log, as its answer to a caller that knows its oldest version.
fn log_of(publisher: &mut Publisher) -> Vec<Delta> {
    let known = Some(publisher.oldest_known());
    let subscribe = Subscribe { subscriber: "store".to_owned(), known, snapshot_required: false };
    match publisher.subscribe(0, &subscribe) {
        SubscribeResponse::Deltas(deltas) => deltas.iter().map(|published| published.delta.clone()).collect(),
        _ => Vec::new(),
    }
}

/// A snapshot's only part as several.
fn split(line: &[u8]) -> Vec<Vec<u8>> {
    let Ok(Message::SnapshotPart(whole)) = Message::parse(line) else { panic!("not a part") };
    assert_eq!(whole.parts, 1, "a small snapshot has one part");
    let part = |index: usize| SnapshotPart {
        part: index as u32,
        parts: PARTS as u32,
        resources: whole.resources.iter().skip(index).step_by(PARTS).cloned().collect(),
        ..whole.clone()
    };
    (0..PARTS).map(|index| Message::SnapshotPart(part(index)).write().to_vec()).collect()
}
