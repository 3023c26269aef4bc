//! Outlier detection across a fleet: gossip about servers, so that a server that fails everybody is ejected before each
//! member has found that out for itself. In a large fleet a member tries one server only every ten seconds to a minute.
//!
//! - **Observations.** Each member reports how its own latest attempts at a server went, and how long ago that was, to the
//!   server's *collectors*: three members on which all agree (rendezvous hashing, Thaler and Ravishankar 1998).
//! - **Ejections.** A collector ejects a server while nearly all of the members that tried it last found it bad; what others
//!   found before them no longer counts. It broadcasts its whole list of ejected servers again and again; a list that is not
//!   renewed expires.
//! - **Majority.** A member ejects a server when most of its collectors do, unless its own latest attempt there succeeded:
//!   its own observations take precedence. In one zone no more than a configured share is ejected. A member probes an
//!   ejected server from time to time, by a draw of one in the fleet's size, so that the fleet notices a recovery.
//!
//! A single member cannot have a server ejected by false reports: several reporters and two collectors have to agree. A
//! member that finds most servers bad suspects its own uplink and reports nothing. Where messages are lost, observations and
//! ejections expire, and each member is left with its own observations.

mod ejection;
mod message;
mod observation;
mod reporting;

pub use message::MAX_PAYLOAD_BYTES;
pub use observation::Outcome;

use crate::types::Micros;
use message::{GossipMessage, MessageId, MessageKind};
use observation::{AttemptCounts, Observation};
use reporting::{EjectionBroadcast, LastReport};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A server's identity, the same at all members.
pub type ServerId = u64;

/// Collectors of a server, if the fleet has as many members.
const COLLECTORS_PER_SERVER: usize = 3;
/// Recently tried servers from which on a member that finds more than half of them bad suspects its own uplink.
const MIN_SERVERS_FOR_SELF_SUSPICION: usize = 3;

/// Settings of the gossip. All members must have the same, but for their position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipSettings {
    /// Number of members, at least 1.
    pub members: usize,
    /// This member's number, below `members`.
    pub position: usize,
    /// A member's own observation counts for this long after the latest attempt.
    pub observation_window: Micros,
    /// A reported observation counts for this long at a collector.
    pub max_observation_age: Micros,
    /// A collector ejects a server if this many members that tried it last all found it bad, two or more of which could not
    /// reach it ...
    pub unreachable_threshold: usize,
    /// ... or if all but one of this many members found it bad.
    pub failure_threshold: usize,
    /// The part of a zone's servers that may be ejected, in percent.
    pub max_ejected_percent: usize,
    /// In each period of this length one member, on average, may use an ejected server. In a small fleet no server stays
    /// ejected for long in any case: observations expire, and a few attempts decide anew.
    pub probe_interval: Micros,
    /// The time between two calls of [`OutlierGossip::poll_messages`].
    pub poll_interval: Micros,
    /// Datagrams per call, at most.
    pub max_messages_per_poll: usize,
}

/// A server on the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerEndpoint {
    /// The server.
    pub id: ServerId,
    /// The zone that it is in.
    pub zone: u16,
}

/// A server on the list, and what this member's own attempts have shown.
#[derive(Clone, Debug)]
struct TrackedServer {
    zone: u16,
    /// Positions of its collectors.
    collectors: Vec<usize>,
    /// Own attempts since the last time that there was none for a whole window.
    counts: AttemptCounts,
    last_attempt_at: Option<Micros>,
    last_report: Option<LastReport>,
}

/// What another member has sent as a collector.
#[derive(Clone, Debug, Default)]
struct Peer {
    last_message: Option<MessageId>,
    ejected: BTreeSet<ServerId>,
    ejected_until: Micros,
}

/// Identifies the latest observation of one reporter; ordered by server, then reporter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ReportKey {
    server: ServerId,
    reporter: usize,
}

/// One member's view of all servers.
#[derive(Clone, Debug)]
pub struct OutlierGossip {
    settings: GossipSettings,
    incarnation: u64,
    last_message_number: u32,
    servers: BTreeMap<ServerId, TrackedServer>,
    peers: Vec<Peer>,
    /// Other members' observations of the servers that this member is a collector of.
    reports: BTreeMap<ReportKey, Observation>,
    broadcast: EjectionBroadcast,
}

impl OutlierGossip {
    /// The state of an incarnation that starts now. `incarnation` must be greater than those of this member before.
    pub fn new(now: Micros, settings: GossipSettings, incarnation: u64) -> OutlierGossip {
        let members = settings.members.max(1);
        let position = settings.position.min(members - 1);
        OutlierGossip {
            incarnation,
            last_message_number: 0,
            servers: BTreeMap::new(),
            peers: vec![Peer::default(); members],
            reports: BTreeMap::new(),
            broadcast: EjectionBroadcast::new(now, (position + 1) % members),
            settings: GossipSettings { members, position, ..settings },
        }
    }

    /// Replaces the list of servers. What is known of servers that are no longer on it is dropped, so that the list bounds
    /// the memory used.
    pub fn set_servers(&mut self, endpoints: &[ServerEndpoint]) {
        let mut previous = std::mem::take(&mut self.servers);
        for endpoint in endpoints {
            let server = match previous.remove(&endpoint.id) {
                Some(known) => TrackedServer { zone: endpoint.zone, ..known },
                None => TrackedServer::new(endpoint.zone, self.collectors(endpoint.id)),
            };
            self.servers.insert(endpoint.id, server);
        }
        let servers = &self.servers;
        self.reports.retain(|key, _| servers.contains_key(&key.server));
        for peer in &mut self.peers {
            peer.ejected.retain(|id| servers.contains_key(id));
        }
    }

    /// The collectors of a server: the members with the highest hash of member and server.
    fn collectors(&self, server: ServerId) -> Vec<usize> {
        let weight = |member: usize| xxh3_64_with_seed(&server.to_le_bytes(), member as u64);
        let mut members: Vec<usize> = (0..self.settings.members).collect();
        members.sort_unstable_by_key(|&member| Reverse((weight(member), member)));
        members.truncate(COLLECTORS_PER_SERVER);
        members
    }

    /// Records the end of one of this member's own attempts. Attempts at servers that are not on the list are ignored.
    pub fn record_attempt(&mut self, now: Micros, server: ServerId, outcome: Outcome) {
        let window = self.settings.observation_window;
        let Some(server) = self.servers.get_mut(&server) else { return };
        if server.recent_counts(now, window).is_none() {
            server.counts = AttemptCounts::default();
        }
        server.counts.record(outcome);
        server.last_attempt_at = Some(now);
    }

    /// Whether most of the recently tried servers look bad, so that this member's own uplink is the likely cause.
    pub fn suspects_own_uplink(&self, now: Micros) -> bool {
        let mut tried = 0;
        let mut bad = 0;
        for server in self.servers.values() {
            let Some(counts) = server.recent_counts(now, self.settings.observation_window) else { continue };
            tried += 1;
            bad += usize::from(counts.is_bad());
        }
        tried >= MIN_SERVERS_FOR_SELF_SUSPICION && 2 * bad > tried
    }

    /// Handles a member's message. One that cannot be decoded, is not newer than the last one of its sender, or comes from
    /// no other member changes nothing.
    pub fn on_message(&mut self, now: Micros, from: usize, payload: &[u8]) {
        let Some(message) = GossipMessage::decode(payload) else { return };
        if from >= self.settings.members || from == self.settings.position {
            return;
        }
        if self.peers[from].last_message.is_some_and(|last| message.id <= last) {
            return;
        }
        self.peers[from].last_message = Some(message.id);
        match message.kind {
            MessageKind::Observations => self.store_reports(now, from, &message),
            MessageKind::Ejections => self.store_ejections(now, from, &message),
        }
    }

    /// Keeps the observations of servers that this member is a collector of.
    fn store_reports(&mut self, now: Micros, reporter: usize, message: &GossipMessage) {
        for entry in &message.entries {
            if self.is_collector(self.settings.position, entry.server) {
                let observed_at = now.saturating_sub(entry.age);
                let key = ReportKey { server: entry.server, reporter };
                self.reports.insert(key, Observation { observed_at, counts: entry.counts });
            }
        }
    }

    /// Replaces a collector's list by the servers of the message that it is a collector of.
    fn store_ejections(&mut self, now: Micros, from: usize, message: &GossipMessage) {
        let listed = message.entries.iter().map(|entry| entry.server);
        let ejected = listed.filter(|server| self.is_collector(from, *server)).collect();
        let ejected_until = now + self.ejections_lifetime();
        let peer = &mut self.peers[from];
        peer.ejected = ejected;
        peer.ejected_until = ejected_until;
    }

    fn is_collector(&self, member: usize, server: ServerId) -> bool {
        self.servers.get(&server).is_some_and(|server| server.collectors.contains(&member))
    }
}

impl TrackedServer {
    fn new(zone: u16, collectors: Vec<usize>) -> TrackedServer {
        let counts = AttemptCounts::default();
        TrackedServer { zone, collectors, counts, last_attempt_at: None, last_report: None }
    }

    /// This member's own counts, if the latest attempt was within the window.
    fn recent_counts(&self, now: Micros, window: Micros) -> Option<AttemptCounts> {
        self.recent_observation(now, window).map(|observation| observation.counts)
    }

    /// This member's own observation, if the latest attempt was within the window.
    fn recent_observation(&self, now: Micros, window: Micros) -> Option<Observation> {
        let observed_at = self.last_attempt_at.filter(|last| now < last + window)?;
        Some(Observation { observed_at, counts: self.counts })
    }
}
