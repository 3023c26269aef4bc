//! A simulation of a publisher, a replaced older publisher that still runs, and subscribers whose connections
//! lose, repeat, reorder and damage lines.

use crate::common::{TestDriver, receive};
use std::collections::{BTreeMap, VecDeque};
use violetseam_distribution::admission::{Admission, AdmissionDecision, AdmissionLimits};
use violetseam_distribution::publisher::{LogLimits, Publisher, SubscribeResponse};
use violetseam_distribution::subscriber::{Effect, Subscriber};
use violetseam_distribution::{
    Change, Configuration, Delta, Message, Micros, Report, Resource, SnapshotPart, Subscribe, Term, Version,
};

/// A short log, so that subscribers that are far behind need a snapshot.
const LOG_LIMITS: LogLimits = LogLimits { deltas: 6, bytes: 1 << 20 };
const ADMISSION_LIMITS: AdmissionLimits =
    AdmissionLimits { interval: 400_000, grace: 2_000_000, max_reservations: 64 };
/// The number of parts into which the simulation splits each snapshot, although it would fit into one.
const PARTS_PER_SNAPSHOT: usize = 3;
const TIME_STEP: Micros = 100_000;

/// A fault that affects one line on its way to a subscriber.
#[derive(Clone, Debug)]
pub enum Fault {
    None,
    Lost,
    Repeated,
    /// The line arrives after the line that was sent next.
    Reordered,
    /// One byte is replaced. The fields are its position, modulo the line's length, and the new byte.
    Damaged(usize, u8),
}

/// What a publisher still has after a restart.
#[derive(Clone, Debug)]
pub enum Restart {
    /// The publisher still has its complete log.
    Intact,
    /// The publisher has lost everything and starts under a higher term. The previous publisher may still
    /// run.
    LogLost,
    /// The publisher has lost this number of the newest versions, as if restored from an old copy of its
    /// disk. If a term began among them, it continues under the previous term.
    EndLost(usize),
}

/// One of the two publishers that may run at the same time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PublisherInstance {
    Current,
    Replaced,
}

/// A publisher's state on disk.
#[derive(Clone)]
struct StoredState {
    configuration: Configuration,
    log: Vec<Delta>,
}

struct SubscriberNode {
    subscriber: Subscriber,
    driver: TestDriver,
    stored: Option<Configuration>,
    lines: VecDeque<Vec<u8>>,
    connected_to: PublisherInstance,
    watching: bool,
}

pub struct Simulation {
    now: Micros,
    term: u64,
    publisher: Publisher,
    replaced: Option<Publisher>,
    admission: Admission,
    stored_states: Vec<StoredState>,
    published: BTreeMap<Version, Vec<Configuration>>,
    nodes: Vec<SubscriberNode>,
}

impl Simulation {
    pub fn new(subscribers: usize) -> Simulation {
        let publisher = Publisher::new(Term(1), LOG_LIMITS);
        let node = |index: usize| SubscriberNode {
            subscriber: Subscriber::new(0, &subscriber_name(index), index as u64, None),
            driver: TestDriver::default(),
            stored: None,
            lines: VecDeque::new(),
            connected_to: PublisherInstance::Current,
            watching: false,
        };
        let mut simulation = Simulation {
            now: 0,
            term: 1,
            publisher,
            replaced: None,
            admission: Admission::new(ADMISSION_LIMITS),
            stored_states: Vec::new(),
            published: BTreeMap::new(),
            nodes: (0..subscribers).map(node).collect(),
        };
        simulation.record_published(PublisherInstance::Current);
        simulation
    }

    pub fn publish(&mut self, instance: PublisherInstance, changes: Vec<Change>) {
        let Some(publisher) = self.publisher_mut(instance) else { return };
        let configuration_before = publisher.configuration().clone();
        match publisher.publish(changes) {
            Ok(entry) => {
                self.record_published(instance);
                self.send_to_watches(instance, &entry.line);
            }
            Err(_) => assert_eq!(
                *publisher.configuration(),
                configuration_before,
                "a rejected update changes nothing"
            ),
        }
    }

    /// Replaces the current publisher's configuration, which closes its watches.
    pub fn replace_configuration(&mut self, resources: Vec<Resource>) {
        let Ok(configuration) = self.publisher.propose_replacement(resources) else { return };
        self.publisher.replace(configuration).unwrap();
        self.record_published(PublisherInstance::Current);
        self.end_watches(PublisherInstance::Current);
    }

    pub fn heartbeat(&mut self) {
        for instance in [PublisherInstance::Current, PublisherInstance::Replaced] {
            if let Some(publisher) = self.publisher_mut(instance) {
                let line = publisher.heartbeat().write();
                self.send_to_watches(instance, &line);
            }
        }
    }

    pub fn restart_publisher(&mut self, restart: &Restart) {
        self.end_watches(PublisherInstance::Current);
        self.admission = Admission::new(ADMISSION_LIMITS);
        match restart {
            Restart::Intact => self.restore(0),
            Restart::EndLost(versions) => self.restore(*versions),
            Restart::LogLost => {
                self.end_watches(PublisherInstance::Replaced);
                self.term += 1;
                let new_publisher = Publisher::new(Term(self.term), LOG_LIMITS);
                self.replaced = Some(std::mem::replace(&mut self.publisher, new_publisher));
                self.stored_states.clear();
                self.record_published(PublisherInstance::Current);
            }
        }
    }

    pub fn restart_subscriber(&mut self, index: usize, keeps_disk: bool) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let stored = if keeps_disk { node.stored.clone() } else { None };
        node.subscriber = Subscriber::new(now, &subscriber_name(index), now, stored.clone());
        node.driver = TestDriver { configuration: stored };
        node.watching = false;
        node.lines.clear();
    }

    /// Writes the configuration in force to the subscriber's disk. A restart returns to the configuration
    /// that was written last.
    pub fn store_configuration(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.stored = node.driver.configuration.clone();
    }

    pub fn disconnect(&mut self, index: usize) {
        let now = self.now;
        self.nodes[index].end_watch(now);
    }

    pub fn connect_to(&mut self, index: usize, instance: PublisherInstance) {
        self.nodes[index].connected_to = instance;
        self.disconnect(index);
    }

    /// Stops the replaced publisher and connects all subscribers to the current one.
    pub fn stop_replaced(&mut self) {
        self.end_watches(PublisherInstance::Replaced);
        self.replaced = None;
        self.nodes.iter_mut().for_each(|node| node.connected_to = PublisherInstance::Current);
    }

    /// Advances the time. Silent watches time out, and subscribers whose next call is due call.
    pub fn advance(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.now = end.min(self.now + TIME_STEP);
            for index in 0..self.nodes.len() {
                let now = self.now;
                let effects = self.nodes[index].subscriber.on_tick(now);
                self.perform_effects(index, &effects);
                if let Some(subscribe) = self.nodes[index].subscriber.call(now) {
                    self.respond(index, &subscribe);
                }
            }
        }
    }

    /// Delivers the next line to a subscriber, subject to the fault.
    pub fn deliver(&mut self, index: usize, fault: &Fault) {
        let lines = &mut self.nodes[index].lines;
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
            Fault::Reordered => {
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

    /// Runs without faults until all subscribers have the newest configuration, for at most `span`. Returns
    /// whether they do.
    pub fn converges_within(&mut self, span: Micros) -> bool {
        let end = self.now + span;
        while self.now < end {
            self.advance(TIME_STEP);
            self.heartbeat();
            for index in 0..self.nodes.len() {
                while !self.nodes[index].lines.is_empty() {
                    self.deliver(index, &Fault::None);
                }
            }
            if self.all_up_to_date() {
                return true;
            }
        }
        false
    }

    fn all_up_to_date(&self) -> bool {
        let newest = self.publisher.configuration();
        self.nodes.iter().all(|node| node.driver.configuration.as_ref() == Some(newest))
    }

    /// Checks that the configuration in force at a subscriber is one that a publisher published under its
    /// version, and that the version is not lower than before.
    fn check_configuration(&self, index: usize, previous_version: Option<Version>) {
        let node = &self.nodes[index];
        let current = node.subscriber.configuration();
        assert_eq!(
            node.driver.configuration.as_ref(),
            current,
            "the driver and the subscriber must have the same configuration"
        );
        if let Some(current) = current {
            let published = &self.published[&current.version()];
            assert!(
                published.contains(current),
                "no publisher published this configuration as version {}",
                current.version()
            );
        }
        assert!(node.subscriber.version() >= previous_version, "the version must not decrease");
    }

    fn receive(&mut self, index: usize, line: &[u8]) {
        let previous_version = self.nodes[index].subscriber.version();
        let now = self.now;
        let subscriber = &mut self.nodes[index].subscriber;
        let effects = match Message::parse(line) {
            Ok(message) => receive(subscriber, now, message),
            Err(error) => subscriber.on_malformed(now, &error),
        };
        self.perform_effects(index, &effects);
        self.check_configuration(index, previous_version);
    }

    fn perform_effects(&mut self, index: usize, effects: &[Effect]) {
        let node = &mut self.nodes[index];
        node.driver.apply_effects(&node.subscriber, effects);
        let instance = node.connected_to;
        if effects.contains(&Effect::CloseWatch) {
            node.watching = false;
            node.lines.clear();
        }
        for effect in effects {
            if let Effect::Report(report) = effect {
                self.send_report(instance, report);
            }
        }
    }

    fn send_report(&mut self, instance: PublisherInstance, report: &Report) {
        let (now, line) = (self.now, report.write());
        let report = Report::parse(&line).expect("reports are well formed");
        if let Some(publisher) = self.publisher_mut(instance) {
            // The publisher does not record a report on a version that it lost, or that a damaged line named.
            let _result = publisher.on_report(now, &report);
        }
    }

    fn respond(&mut self, index: usize, subscribe: &Subscribe) {
        let subscribe = Subscribe::from_query(&subscribe.to_query()).expect("subscriptions are well formed");
        let instance = self.nodes[index].connected_to;
        let now = self.now;
        let Some(publisher) = self.publisher_mut(instance) else { return self.disconnect(index) };
        let heartbeat = publisher.heartbeat().write();
        let lines = match publisher.subscribe(now, &subscribe) {
            SubscribeResponse::UpToDate => Vec::new(),
            SubscribeResponse::Deltas(deltas) => {
                deltas.iter().map(|log_entry| log_entry.line.to_vec()).collect()
            }
            SubscribeResponse::Snapshot { snapshot, deltas: later_deltas } => {
                match self.admission.request(now, &subscribe.subscriber) {
                    AdmissionDecision::Admit => {
                        let parts = snapshot.parts.iter().flat_map(|line| split_into_parts(line));
                        parts.chain(later_deltas.iter().map(|entry| entry.line.to_vec())).collect()
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
                if instance == PublisherInstance::Current {
                    self.begin_term_after_loss(term);
                }
                return self.disconnect(index);
            }
        };
        let node = &mut self.nodes[index];
        node.watching = true;
        node.lines = lines.into();
        node.lines.push_back(heartbeat.to_vec());
    }

    fn begin_term(&mut self) {
        self.term += 1;
        self.publisher.begin_term(Term(self.term)).unwrap();
        self.record_published(PublisherInstance::Current);
        self.end_watches(PublisherInstance::Current);
    }

    /// Begins a new term, as an operator does when the publisher has halted because a subscriber follows a
    /// higher term. For the current publisher, that must be a term that it began itself and then lost with
    /// its disk.
    fn begin_term_after_loss(&mut self, followed_term: Term) {
        let stored_term = self.publisher.version().term;
        assert!(
            stored_term < Term(self.term),
            "superseded by term {followed_term}, although the disk has lost no term"
        );
        assert!(
            followed_term <= Term(self.term),
            "superseded by term {followed_term}, which no publisher began"
        );
        self.begin_term();
    }

    /// Restores the publisher from its disk, without the given number of newest versions.
    fn restore(&mut self, lost_versions: usize) {
        let remaining = self.stored_states.len().saturating_sub(lost_versions).max(1);
        self.stored_states.truncate(remaining);
        let stored = self.stored_states[remaining - 1].clone();
        self.publisher = Publisher::restore(stored.configuration, stored.log, LOG_LIMITS).unwrap();
    }

    fn record_published(&mut self, instance: PublisherInstance) {
        let Some(publisher) = self.publisher_mut(instance) else { return };
        let configuration = publisher.configuration().clone();
        let log = deltas_in_log(publisher);
        self.published.entry(configuration.version()).or_default().push(configuration.clone());
        if instance == PublisherInstance::Current {
            self.stored_states.push(StoredState { configuration, log });
        }
    }

    fn publisher_mut(&mut self, instance: PublisherInstance) -> Option<&mut Publisher> {
        match instance {
            PublisherInstance::Current => Some(&mut self.publisher),
            PublisherInstance::Replaced => self.replaced.as_mut(),
        }
    }

    fn send_to_watches(&mut self, instance: PublisherInstance, line: &[u8]) {
        for node in self.nodes.iter_mut().filter(|node| node.watching && node.connected_to == instance) {
            node.lines.push_back(line.to_vec());
        }
    }

    fn end_watches(&mut self, instance: PublisherInstance) {
        let now = self.now;
        self.nodes
            .iter_mut()
            .filter(|node| node.connected_to == instance)
            .for_each(|node| node.end_watch(now));
    }
}

impl SubscriberNode {
    fn end_watch(&mut self, now: Micros) {
        self.watching = false;
        self.lines.clear();
        self.subscriber.on_watch_closed(now);
    }
}

fn subscriber_name(index: usize) -> String {
    format!("proxy-{index}")
}

/// Returns the deltas in the publisher's log, by subscribing from the oldest version that it knows.
fn deltas_in_log(publisher: &mut Publisher) -> Vec<Delta> {
    let known = Some(publisher.oldest_known());
    let subscribe = Subscribe { subscriber: "store".to_owned(), known, snapshot_required: false };
    match publisher.subscribe(0, &subscribe) {
        SubscribeResponse::Deltas(deltas) => deltas.iter().map(|entry| entry.delta.clone()).collect(),
        _ => Vec::new(),
    }
}

/// Splits a snapshot that was encoded as a single part into several parts.
fn split_into_parts(line: &[u8]) -> Vec<Vec<u8>> {
    let Ok(Message::SnapshotPart(snapshot)) = Message::parse(line) else { panic!("not a snapshot part") };
    assert_eq!(snapshot.parts, 1, "a small snapshot has one part");
    let part = |index: usize| SnapshotPart {
        part: index as u32,
        parts: PARTS_PER_SNAPSHOT as u32,
        resources: snapshot.resources.iter().skip(index).step_by(PARTS_PER_SNAPSHOT).cloned().collect(),
        ..snapshot.clone()
    };
    (0..PARTS_PER_SNAPSHOT).map(|index| Message::SnapshotPart(part(index)).write().to_vec()).collect()
}
