//! Outlier detection across a fleet. Members gossip about servers, so that a server that fails for all
//! members is ejected before each member has found that out itself. In a large fleet, a member tries the same
//! server only every ten seconds to a minute.
//!
//! - **Observations.** Each member reports the outcomes of its own latest attempts on a server, and how long
//!   ago they were, to the server's *collectors*. These are three members, and all members determine the same
//!   three (rendezvous hashing, Thaler and Ravishankar 1998).
//! - **Ejections.** A collector ejects a server while nearly all of the members that tried it most recently
//!   found it bad. Older observations do not count. The collector broadcasts its complete list of ejected
//!   servers periodically, and a list that is not renewed expires.
//! - **Majority.** A member ejects a server if most of the server's collectors do, unless its own latest
//!   attempt on the server succeeded: its own observations take precedence. In one zone, at most a configured
//!   share of the servers is ejected. Each member probes an ejected server from time to time, with a
//!   probability of one in the fleet's size per period, so that the fleet notices a recovery.
//!
//! A single member cannot get a server ejected by false reports, because several reporters and two collectors
//! have to agree. A member that finds most servers bad suspects its own uplink and reports nothing. If
//! messages are lost, observations and ejections expire, and each member is left with its own observations.

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

/// The id of a server, which is the same at all members.
pub type ServerId = u64;

/// The number of collectors of a server, if the fleet has at least that many members.
const COLLECTORS_PER_SERVER: usize = 3;
/// The minimum number of recently tried servers for a member to suspect its own uplink, which it does if more
/// than half of them are bad.
const MIN_SERVERS_FOR_SELF_SUSPICION: usize = 3;

/// Settings of the gossip. All members must have the same settings, except for the position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipSettings {
    /// The number of members, at least 1.
    pub members: usize,
    /// This member's number in the fleet, below `members`.
    pub position: usize,
    /// How long a member's own observation counts after the latest attempt.
    pub observation_window: Micros,
    /// How long a reported observation counts at a collector.
    pub max_observation_age: Micros,
    /// A collector ejects a server if all of this many members that tried it most recently found it bad, and
    /// at least two of them could not reach it.
    pub unreachable_threshold: usize,
    /// A collector also ejects a server if all but one of this many members that tried it most recently found
    /// it bad.
    pub failure_threshold: usize,
    /// The maximum part of a zone's servers that is ejected, in percent.
    pub max_ejected_percent: usize,
    /// The length of a period in which, on average, one member may use a server although it is ejected. In a
    /// small fleet, no server stays ejected for long in any case, because observations expire and a few new
    /// attempts decide again.
    pub probe_interval: Micros,
    /// The interval between two calls of [`OutlierGossip::poll_messages`].
    pub poll_interval: Micros,
    /// The maximum number of datagrams that one call returns.
    pub max_messages_per_poll: usize,
}

/// A server on the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerEndpoint {
    /// The id of the server.
    pub id: ServerId,
    /// The zone of the server.
    pub zone: u16,
}

/// A server on the endpoint list, and the outcomes of this member's own attempts on it.
#[derive(Clone, Debug)]
struct TrackedServer {
    zone: u16,
    /// The positions of the server's collectors.
    collectors: Vec<usize>,
    /// This member's attempts. Counting starts again after a whole window without attempts.
    counts: AttemptCounts,
    last_attempt_at: Option<Micros>,
    last_report: Option<LastReport>,
}

/// What this member knows about another one: its last message, and its list of ejected servers as a
/// collector.
#[derive(Clone, Debug, Default)]
struct Peer {
    last_message: Option<MessageId>,
    ejected: BTreeSet<ServerId>,
    ejected_until: Micros,
}

/// Identifies the latest observation of a server by one reporter. Keys are ordered by server, then by
/// reporter.
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
    /// Other members' latest observations of the servers for which this member is a collector.
    reports: BTreeMap<ReportKey, Observation>,
    broadcast: EjectionBroadcast,
}

impl OutlierGossip {
    /// Creates the state of an incarnation that starts now. `incarnation` must be greater than all earlier
    /// incarnations of this member.
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

    /// Replaces the list of servers. The state of servers that are no longer on the list is dropped, so the
    /// length of the list bounds the memory used.
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

    /// Returns the collectors of a server, which are the members with the highest hashes of member and
    /// server.
    fn collectors(&self, server: ServerId) -> Vec<usize> {
        let weight = |member: usize| xxh3_64_with_seed(&server.to_le_bytes(), member as u64);
        let mut members: Vec<usize> = (0..self.settings.members).collect();
        members.sort_unstable_by_key(|&member| Reverse((weight(member), member)));
        members.truncate(COLLECTORS_PER_SERVER);
        members
    }

    /// Records the outcome of one of this member's own attempts. Attempts on servers that are not on the list
    /// are ignored.
    pub fn record_attempt(&mut self, now: Micros, server: ServerId, outcome: Outcome) {
        let window = self.settings.observation_window;
        let Some(server) = self.servers.get_mut(&server) else { return };
        if server.recent_counts(now, window).is_none() {
            server.counts = AttemptCounts::default();
        }
        server.counts.record(outcome);
        server.last_attempt_at = Some(now);
    }

    /// Returns whether more than half of the recently tried servers are bad, which makes this member's own
    /// uplink the likely cause.
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

    /// Handles a message. A message changes nothing if it cannot be decoded, is not newer than the last
    /// message of its sender, or does not come from another member.
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

    /// Stores the observations of servers for which this member is a collector.
    fn store_reports(&mut self, now: Micros, reporter: usize, message: &GossipMessage) {
        for entry in &message.entries {
            if self.is_collector(self.settings.position, entry.server) {
                let observed_at = now.saturating_sub(entry.age);
                let key = ReportKey { server: entry.server, reporter };
                self.reports.insert(key, Observation { observed_at, counts: entry.counts });
            }
        }
    }

    /// Replaces the sender's list of ejected servers. Only servers for which the sender is a collector count.
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

    /// Returns this member's own counts, if the latest attempt was within the window.
    fn recent_counts(&self, now: Micros, window: Micros) -> Option<AttemptCounts> {
        self.recent_observation(now, window).map(|observation| observation.counts)
    }

    /// Returns this member's own observation, if the latest attempt was within the window.
    fn recent_observation(&self, now: Micros, window: Micros) -> Option<Observation> {
        let observed_at = self.last_attempt_at.filter(|last| now < last + window)?;
        Some(Observation { observed_at, counts: self.counts })
    }
}
